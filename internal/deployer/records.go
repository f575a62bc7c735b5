package deployer

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"flamingoledge.org/flamingoledge/internal/publisher"
	"flamingoledge.org/flamingoledge/pkg/acceptor"
	"flamingoledge.org/flamingoledge/pkg/interpreter"
)

const (
	// workspaceCount is the number of workspaces in a deployment, of which the first
	// largeWorkspaceCount have the weight largeWorkspaceWeight and the others 1.
	workspaceCount       = 10
	largeWorkspaceCount  = 2
	largeWorkspaceWeight = 8
	defaultDeadline      = 10 * time.Second
	pollInterval         = 20 * time.Millisecond
)

// WorkspaceName returns the name of workspace i modulo the number of workspaces.
func WorkspaceName(i int) string { return fmt.Sprintf("member-%02d", i%workspaceCount+1) }

// Publish publishes a record that replaces the current record of the subject. It returns
// the offset of the new record.
func (d *Deployment) Publish(ctx context.Context, subject string, body any) (offset uint64, err error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, eris.Wrap(err, "encode record body")
	}
	configuration, err := publisher.LoadConfiguration(ctx, d.Client)
	if err != nil {
		return 0, err
	}
	current, _ := configuration.State.RecordFor(subject)
	return publisher.Publish(ctx, d.Client, acceptor.Envelope{
		SchemaVersion: interpreter.SchemaLatest,
		RecordID:      uuid.Must(uuid.NewV7()).String(),
		Subject:       subject,
		Base:          current.Offset,
		Author:        "deployer",
		Body:          data,
	})
}

// PublishServices publishes the topology's services and the workspaces, whose requests
// to model services are routed to the given model. It returns the offset of the last
// record.
func (d *Deployment) PublishServices(ctx context.Context, model string) (offset uint64, err error) {
	var routes []interpreter.Route
	for _, s := range d.Topology.Services {
		body := interpreter.Service{
			Kind:                  s.Kind,
			Idempotent:            s.Kind == interpreter.ServiceKindModel,
			EndpointConcurrency:   s.Concurrency,
			DefaultDeadlineMillis: int(defaultDeadline.Milliseconds()),
		}
		route := interpreter.Route{Service: s.Name}
		if s.Kind == interpreter.ServiceKindModel {
			body.ModelsPerEndpoint = 1
			route.Model = model
		}
		if _, err = d.Publish(ctx, interpreter.KindService+":"+s.Name, body); err != nil {
			return 0, err
		}
		routes = append(routes, route)
	}
	for i := range workspaceCount {
		body := interpreter.Workspace{Routes: routes, Weight: 1}
		if i < largeWorkspaceCount {
			body.Weight = largeWorkspaceWeight
		}
		if offset, err = d.Publish(ctx, interpreter.KindWorkspace+":"+WorkspaceName(i), body); err != nil {
			return 0, err
		}
	}
	return offset, nil
}

// PublishVersion stores weights as a version of a model and publishes a record by which
// all endpoints of the first model service serve it. If previous is not empty, it is
// the digest of a version that may be served in the meantime.
func (d *Deployment) PublishVersion(ctx context.Context, model, version string, weights []byte, chunkBytes int, previous string) (digest string, offset uint64, err error) {
	if digest, err = publisher.PutVersion(ctx, d.Client, model, version, weights, chunkBytes); err != nil {
		return "", 0, err
	}
	s := d.ModelService()
	offset, err = d.Publish(ctx, interpreter.KindModel+":"+model, interpreter.Model{
		Service: s.Name, VersionDigest: digest, PreviousVersionDigest: previous, Prefer: d.Topology.Prefer,
		MinReplicas: s.Endpoints, MaxReplicas: s.Endpoints, OriginCopies: 2,
	})
	return digest, offset, err
}

// ModelService returns the first model service of the topology, or a zero Service if it
// has none.
func (d *Deployment) ModelService() Service {
	for _, s := range d.Topology.Services {
		if s.Kind == interpreter.ServiceKindModel {
			return s
		}
	}
	return Service{}
}

// NotServingError reports that too few replicas served a version before the context
// ended.
type NotServingError struct {
	VersionDigest string
	Serving       int
	Want          int
}

// Error implements error.
func (e *NotServingError) Error() string {
	return fmt.Sprintf("version %s: %d of %d replicas serve", e.VersionDigest, e.Serving, e.Want)
}

// AwaitServing waits until every entry routes to at least want replicas of a version.
// progress, if not nil, is called with the current number after each poll.
func (d *Deployment) AwaitServing(ctx context.Context, digest string, want int, progress func(int)) error {
	for {
		n := d.Serving(digest)
		if n >= want {
			return nil
		}
		if ctx.Err() != nil {
			return &NotServingError{VersionDigest: digest, Serving: n, Want: want}
		}
		if progress != nil {
			progress(n)
		}
		time.Sleep(pollInterval)
	}
}

// Serving returns the minimum over all entries of the number of replicas of a version
// that the entry routes to.
func (d *Deployment) Serving(digest string) int {
	minimum := -1
	for _, s := range d.EntryServers {
		if n := s.Status().CountServing(digest); minimum < 0 || n < minimum {
			minimum = n
		}
	}
	return max(minimum, 0)
}

// RunsByKey returns the number of runs per idempotency key, from the histories of the
// endpoints.
func (d *Deployment) RunsByKey() map[string]int {
	runs := map[string]int{}
	for _, e := range d.Endpoints {
		for _, run := range e.Emulator.Runs() {
			if run.IdempotencyKey != "" {
				runs[run.IdempotencyKey]++
			}
		}
	}
	return runs
}

// AwaitAttached waits until all instances are listed, every sidecar is attached to an
// entry, and every process has had the time to read the complete list.
func (d *Deployment) AwaitAttached(ctx context.Context) error {
	for ctx.Err() == nil {
		instances, err := d.Client.Instances(ctx)
		ready := err == nil && len(instances) == len(d.Entries)+len(d.Endpoints)
		attached := map[string]struct{}{}
		for _, s := range d.EntryServers {
			for _, sc := range s.Status().Sidecars {
				attached[sc.Instance] = struct{}{}
			}
		}
		ready = ready && len(attached) == len(d.Endpoints)
		if ready {
			// The processes poll the list; each of them has read the complete list
			// after one more interval.
			time.Sleep(d.options.ListInterval + listReadMargin)
			return nil
		}
		time.Sleep(pollInterval)
	}
	return eris.Wrap(ctx.Err(), "wait for sidecars to attach")
}

// listReadMargin is the time allowed for reading the list of instances.
const listReadMargin = 200 * time.Millisecond
