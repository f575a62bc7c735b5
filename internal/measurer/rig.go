package measurer

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"flamingoledge.org/flamingoledge/internal/caller"
	"flamingoledge.org/flamingoledge/internal/deployer"
	"flamingoledge.org/flamingoledge/internal/emulator"
	"flamingoledge.org/flamingoledge/internal/endpointclient"
	"flamingoledge.org/flamingoledge/internal/entryserver"
	"flamingoledge.org/flamingoledge/pkg/interpreter"
)

const (
	rigModel       = "notes"
	rigWeights     = 64 << 10
	rigChunk       = 4 << 10
	rigTimeout     = 3 * time.Minute
	rigConnections = 4096
	// rigListInterval lets a rig start sooner.
	rigListInterval = 300 * time.Millisecond
)

// rig is a deployment with a serving model on which request experiments run.
type rig struct {
	*deployer.Deployment
	caller *caller.Caller
	digest string

	clientsOnce sync.Once
	clients     []*endpointclient.Client
}

// engines is a topology of one region with engines and order endpoints.
func engines(n, concurrency int, s deployer.Service) deployer.Topology {
	s.Name, s.Kind, s.Endpoints, s.Concurrency, s.Slots = "engine", interpreter.ServiceKindModel, n, concurrency, 2
	return deployer.Topology{
		Regions:          []string{"a"},
		EntriesPerRegion: 2,
		Prefer:           interpreter.PreferTime,
		Services:         []deployer.Service{s},
	}
}

// withRig runs work on a fresh rig.
func withRig(ctx context.Context, cfg Config, t deployer.Topology, o deployer.Options, work func(ctx context.Context, r *rig) error) error {
	ctx, cancel := context.WithTimeout(ctx, rigTimeout)
	defer cancel()
	t.Seed = cfg.Seed
	o.Logger = cfg.Logger
	if o.ListInterval == 0 {
		o.ListInterval = rigListInterval
	}
	d, err := deployer.Start(ctx, t, o)
	if err != nil {
		return err
	}
	defer d.Stop()
	r := &rig{Deployment: d, caller: caller.New(caller.Config{MaxConnections: rigConnections})}
	if err = d.AwaitAttached(ctx); err != nil {
		return err
	}
	if _, err = d.PublishServices(ctx, rigModel); err != nil {
		return err
	}
	if d.ModelService().Endpoints > 0 {
		if r.digest, _, err = d.PublishVersion(ctx, rigModel, "v1", generated(rigWeights, cfg.Seed), rigChunk, ""); err != nil {
			return err
		}
		if err = d.AwaitServing(ctx, r.digest, d.ModelService().Endpoints, nil); err != nil {
			return err
		}
	}
	return work(ctx, r)
}

// entry returns the address of an entry, in turns.
func (r *rig) entry(i int) string { return r.Entries[i%len(r.Entries)].HTTPAddress }

// prompt returns a body whose beginning is one of many prefixes.
func prompt(prefix, i, tokens int) []byte {
	text := strings.Repeat(fmt.Sprintf("contract %d; ", prefix), prefixRepeats)
	data, err := json.Marshal(emulator.Prompt{Prompt: fmt.Sprintf("%s question %d", text, i), Tokens: tokens})
	if err != nil {
		return nil
	}
	return data
}

// prefixRepeats makes the prefix longer than what counts for affinity.
const prefixRepeats = 24

// ask sends a model request.
func (r *rig) ask(i int, workspace string, deadline time.Duration, body []byte) (caller.Reply, error) {
	return r.caller.Do(context.Background(), caller.Request{
		EntryAddress: r.entry(i), Workspace: workspace, Service: r.ModelService().Name, Deadline: deadline, Body: body,
	})
}

// tally counts what became of requests; it is safe for concurrent use.
type tally struct {
	mu       sync.Mutex
	sent     int
	answered int
	notRun   int
	unknown  int
	foreign  int
}

func (t *tally) add(reply caller.Reply, err error, own bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	switch {
	case err != nil:
		t.unknown++
	case reply.Outcome == entryserver.OutcomeAnswered && !own:
		t.foreign++
	case reply.Outcome == entryserver.OutcomeAnswered:
		t.answered++
	case reply.Outcome == entryserver.OutcomeNotRun:
		t.notRun++
	default:
		t.unknown++
	}
}

// isOwn tells whether a whole streamed answer is what its version answers to the
// body.
func isOwn(reply caller.Reply, body []byte) bool {
	frames, ended := reply.Frames()
	for i, f := range frames {
		if f.Text != emulator.Token(body, reply.VersionDigest, i) {
			return false
		}
	}
	return ended
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// runs counts the runs in the endpoints' own histories.
func (r *rig) runs() (n, cut int) {
	for _, e := range r.Endpoints {
		for _, run := range e.Emulator.Runs() {
			n++
			if run.Interrupted {
				cut++
			}
		}
	}
	return n, cut
}
