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
	// workspaces is how many workspaces a deployment gets, a few of them large.
	workspaces      = 10
	largeWorkspaces = 2
	largeWeight     = 8
	defaultDeadline = 10 * time.Second
	servingPoll     = 20 * time.Millisecond
)

// WorkspaceName returns the name of workspace i; they repeat after the last one.
func WorkspaceName(i int) string { return fmt.Sprintf("member-%02d", i%workspaces+1) }

// Publish publishes a record that replaces whatever is in force for the subject.
func (d *Deployment) Publish(ctx context.Context, subject string, body any) (offset uint64, err error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, eris.Wrap(err, "encode body")
	}
	k, err := publisher.LoadConfiguration(ctx, d.Client)
	if err != nil {
		return 0, err
	}
	current, _ := k.State.RecordFor(subject)
	return publisher.Publish(ctx, d.Client, acceptor.Envelope{
		SchemaVersion: interpreter.SchemaLatest,
		RecordID:      uuid.Must(uuid.NewV7()).String(),
		Subject:       subject,
		Base:          current.Offset,
		Author:        "deployer",
		Body:          data,
	})
}

// PublishServices publishes the services and workspaces; calls to model services
// go to the named model.
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
	for i := range workspaces {
		body := interpreter.Workspace{Routes: routes, Weight: 1}
		if i < largeWorkspaces {
			body.Weight = largeWeight
		}
		if offset, err = d.Publish(ctx, interpreter.KindWorkspace+":"+WorkspaceName(i), body); err != nil {
			return 0, err
		}
	}
	return offset, nil
}

// PublishVersion stores weights and publishes that the model serves them on all
// endpoints of its service. previous may serve until then; it may be empty.
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

// ModelService returns the first model service.
func (d *Deployment) ModelService() Service {
	for _, s := range d.Topology.Services {
		if s.Kind == interpreter.ServiceKindModel {
			return s
		}
	}
	return Service{}
}

// NotServingError tells that too few replicas serve a version in time.
type NotServingError struct {
	VersionDigest string
	Serving       int
	Want          int
}

// Error implements error.
func (e *NotServingError) Error() string {
	return fmt.Sprintf("version %s: %d of %d replicas serve", e.VersionDigest, e.Serving, e.Want)
}

// AwaitServing waits until every entry routes to so many replicas of a version.
// progress, if set, is told the number now and then.
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
		time.Sleep(servingPoll)
	}
}

// Serving returns how many replicas of a version every entry routes to.
func (d *Deployment) Serving(digest string) int {
	fewest := -1
	for _, s := range d.EntryServers {
		if n := s.Status().Serving(digest); fewest < 0 || n < fewest {
			fewest = n
		}
	}
	return max(fewest, 0)
}

// KeyRuns counts the runs under each idempotency key, from the endpoints' own
// histories.
func (d *Deployment) KeyRuns() map[string]int {
	runs := map[string]int{}
	for _, e := range d.Endpoints {
		for _, run := range e.StandIn.Runs() {
			if run.IdempotencyKey != "" {
				runs[run.IdempotencyKey]++
			}
		}
	}
	return runs
}

// AwaitAttached waits until all instances are listed and every sidecar is
// attached, as in a deployment that has run for a while.
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
			// The processes read the list now and then, so each has it after one
			// more reading.
			time.Sleep(d.options.ListInterval + listGrace)
			return nil
		}
		time.Sleep(servingPoll)
	}
	return eris.Wrap(ctx.Err(), "sidecars not attached")
}

// listGrace is the time that a reading of the list may take.
const listGrace = 200 * time.Millisecond
