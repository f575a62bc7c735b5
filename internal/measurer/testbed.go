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
	testbedModel          = "notes"
	testbedWeightsBytes   = 64 << 10
	testbedChunkBytes     = 4 << 10
	testbedTimeout        = 3 * time.Minute
	testbedMaxConnections = 4096
	// testbedListInterval is short so that a testbed starts quickly.
	testbedListInterval = 300 * time.Millisecond
)

// testbed is a deployment that serves a model, for the experiments on requests.
type testbed struct {
	*deployer.Deployment
	caller *caller.Caller
	digest string

	clientsOnce sync.Once
	clients     []*endpointclient.Client
}

// engineTopology returns one region with two entries and n engines for the model.
func engineTopology(n, concurrency int, s deployer.Service) deployer.Topology {
	s.Name, s.Kind, s.Endpoints, s.Concurrency, s.Slots = "engine", interpreter.ServiceKindModel, n, concurrency, 2
	return deployer.Topology{
		Regions:          []string{"a"},
		EntriesPerRegion: 2,
		Prefer:           interpreter.PreferTime,
		Services:         []deployer.Service{s},
	}
}

// withTestbed starts a testbed, waits until it serves the model, runs work on it and
// stops it.
func withTestbed(ctx context.Context, cfg Config, t deployer.Topology, o deployer.Options, work func(ctx context.Context, tb *testbed) error) error {
	ctx, cancel := context.WithTimeout(ctx, testbedTimeout)
	defer cancel()
	t.Seed = cfg.Seed
	o.Logger = cfg.Logger
	if o.ListInterval == 0 {
		o.ListInterval = testbedListInterval
	}
	d, err := deployer.Start(ctx, t, o)
	if err != nil {
		return err
	}
	defer d.Stop()
	tb := &testbed{Deployment: d, caller: caller.New(caller.Config{MaxConnections: testbedMaxConnections})}
	if err = d.AwaitAttached(ctx); err != nil {
		return err
	}
	if _, err = d.PublishServices(ctx, testbedModel); err != nil {
		return err
	}
	if d.ModelService().Endpoints > 0 {
		if tb.digest, _, err = d.PublishVersion(ctx, testbedModel, "v1", generateWeights(testbedWeightsBytes, cfg.Seed), testbedChunkBytes, ""); err != nil {
			return err
		}
		if err = d.AwaitServing(ctx, tb.digest, d.ModelService().Endpoints, nil); err != nil {
			return err
		}
	}
	return work(ctx, tb)
}

// entryAddress returns the HTTP address of the entry for request i, round robin.
func (tb *testbed) entryAddress(i int) string { return tb.Entries[i%len(tb.Entries)].HTTPAddress }

// promptBody returns the body of a model request whose text starts with the prefix of
// the given number.
func promptBody(prefix, i, tokens int) []byte {
	text := strings.Repeat(fmt.Sprintf("contract %d; ", prefix), prefixRepeats)
	data, err := json.Marshal(emulator.Prompt{Prompt: fmt.Sprintf("%s question %d", text, i), Tokens: tokens})
	if err != nil {
		return nil
	}
	return data
}

// prefixRepeats makes the prefix longer than the part of a body that determines its
// affinity.
const prefixRepeats = 24

// sendModelRequest sends a model request to the entry for request i.
func (tb *testbed) sendModelRequest(i int, workspace string, deadline time.Duration, body []byte) (caller.Reply, error) {
	return tb.caller.Do(context.Background(), caller.Request{
		EntryAddress: tb.entryAddress(i), Workspace: workspace, Service: tb.ModelService().Name, Deadline: deadline, Body: body,
	})
}

// outcomeCounts counts requests by outcome. It is safe for concurrent use.
type outcomeCounts struct {
	mu       sync.Mutex
	sent     int
	answered int
	notRun   int
	unknown  int
	// foreign counts answers that are not the expected ones for their request.
	foreign int
}

// add counts a request. expected is true if its answer is the correct one.
func (c *outcomeCounts) add(reply caller.Reply, err error, expected bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	switch {
	case err != nil:
		c.unknown++
	case reply.Outcome == entryserver.OutcomeAnswered && !expected:
		c.foreign++
	case reply.Outcome == entryserver.OutcomeAnswered:
		c.answered++
	case reply.Outcome == entryserver.OutcomeNotRun:
		c.notRun++
	default:
		c.unknown++
	}
}

// isExpectedStream reports whether a streamed response is complete and consists of the
// tokens that its version generates for the body.
func isExpectedStream(reply caller.Reply, body []byte) bool {
	frames, ended := reply.Frames()
	for i, f := range frames {
		if f.Text != emulator.Token(body, reply.VersionDigest, i) {
			return false
		}
	}
	return ended
}

func newUUID() string { return uuid.Must(uuid.NewV7()).String() }

// countRuns returns the number of runs in the histories of all endpoints, and how many
// of them were cut off.
func (tb *testbed) countRuns() (n, cutOff int) {
	for _, e := range tb.Endpoints {
		for _, run := range e.Emulator.Runs() {
			n++
			if run.Interrupted {
				cutOff++
			}
		}
	}
	return n, cutOff
}
