package deployer_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/caller"
	"flamingoledge.org/flamingoledge/internal/deployer"
	"flamingoledge.org/flamingoledge/internal/emulator"
	"flamingoledge.org/flamingoledge/internal/entryserver"
	"flamingoledge.org/flamingoledge/internal/sidecarserver"
	"flamingoledge.org/flamingoledge/pkg/interpreter"
	"flamingoledge.org/flamingoledge/pkg/provider"
)

var onceSeeds = flag.Int("once.seeds", 200, "seeded fault schedules of the at-most-once check")

const (
	onceDeployments = 4
	onceDeadline    = 1200 * time.Millisecond
	onceKeys        = 3
	onceSends       = 3
)

// onceInput is one operation on an idempotency key: a run that an endpoint
// recorded, or what a caller was told.
type onceInput struct {
	key     string
	run     bool
	outcome entryserver.Outcome
}

// onceModel is a register that a run sets, at most once, and that an answer or
// the word "ran" needs to be set.
func onceModel() porcupine.Model {
	return porcupine.Model{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			byKey := map[string][]porcupine.Operation{}
			for _, op := range history {
				k := op.Input.(onceInput).key
				byKey[k] = append(byKey[k], op)
			}
			var parts [][]porcupine.Operation
			for _, ops := range byKey {
				parts = append(parts, ops)
			}
			return parts
		},
		Init: func() any { return false },
		Step: func(state, input, _ any) (bool, any) {
			ran, in := state.(bool), input.(onceInput)
			switch {
			case in.run:
				return !ran, true
			case in.outcome == entryserver.OutcomeAnswered || in.outcome == entryserver.OutcomeRan:
				return ran, ran
			default:
				return true, ran
			}
		},
		Equal: func(a, b any) bool { return a == b },
	}
}

// pausedLog pauses calls of the log at random, so that a process acts on what it
// knew long ago.
type pausedLog struct {
	provider.Log
	mu  sync.Mutex
	rng *rand.Rand
}

func (p *pausedLog) pause() {
	p.mu.Lock()
	d := time.Duration(0)
	if p.rng.Float64() < 0.05 {
		d = time.Duration(p.rng.Int64N(int64(150 * time.Millisecond)))
	}
	p.mu.Unlock()
	time.Sleep(d)
}

func (p *pausedLog) Append(ctx context.Context, stream string, data ...json.RawMessage) (uint64, error) {
	p.pause()
	first, err := p.Log.Append(ctx, stream, data...)
	p.pause()
	return first, err
}

// unclaimedLog gives each process a claims stream of its own: the broken variant
// in which claims protect nothing.
type unclaimedLog struct {
	provider.Log
	name string
}

func (u *unclaimedLog) stream(stream string) string {
	if strings.HasPrefix(stream, provider.StreamClaims) {
		return stream + u.name
	}
	return stream
}

func (u *unclaimedLog) Append(ctx context.Context, stream string, data ...json.RawMessage) (uint64, error) {
	return u.Log.Append(ctx, u.stream(stream), data...)
}

func (u *unclaimedLog) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (provider.Page, error) {
	return u.Log.Read(ctx, u.stream(stream), from, limit, wait)
}

// onceRig is a deployment of order endpoints on which seeded rounds run.
type onceRig struct {
	*deployer.Deployment
	caller  *caller.Caller
	started time.Time

	mu         sync.Mutex
	operations []porcupine.Operation
	notRun     map[string]bool
	problems   []string
}

func newOnceRig(ctx context.Context, t *testing.T, broken bool, seed uint64) *onceRig {
	topology := deployer.Topology{
		Regions: []string{"a", "b"}, EntriesPerRegion: 1, Seed: seed,
		Services: []deployer.Service{{Name: "orders", Kind: interpreter.ServiceKindPlain, Endpoints: 3, Concurrency: 8, FirstToken: 2 * time.Millisecond}},
	}
	processes := 0
	d, err := deployer.Start(ctx, topology, deployer.Options{
		Logger: zap.NewNop(),
		Sidecar: func(c *sidecarserver.Config) {
			processes++
			if broken {
				c.Log = &unclaimedLog{Log: c.Log, name: fmt.Sprint(processes)}
			}
			c.Log = &pausedLog{Log: c.Log, rng: rand.New(rand.NewPCG(seed, uint64(processes)))}
			c.DrainTimeout = time.Second
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Stop)
	if err = d.AwaitAttached(ctx); err != nil {
		t.Fatal(err)
	}
	if _, err = d.PublishServices(ctx, ""); err != nil {
		t.Fatal(err)
	}
	time.Sleep(200 * time.Millisecond)
	return &onceRig{Deployment: d, caller: caller.New(caller.Config{MaxConnections: 256}), started: time.Now(), notRun: map[string]bool{}}
}

// round sends orders with repeated keys while the faults of one seed happen.
func (r *onceRig) round(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 5))
	heal := r.inject(rng)
	var wg sync.WaitGroup
	for k := range onceKeys {
		key := newKey()
		body := fmt.Appendf(nil, `{"seed":%d,"order":%d}`, seed, k)
		for range onceSends {
			entry := r.Entries[rng.IntN(len(r.Entries))].HTTPAddress
			delay := time.Duration(rng.Int64N(int64(60 * time.Millisecond)))
			wg.Go(func() {
				time.Sleep(delay)
				r.send(ctx, entry, key, body)
			})
		}
	}
	time.Sleep(time.Duration(rng.Int64N(int64(120 * time.Millisecond))))
	heal()
	wg.Wait()
}

// inject makes one or two faults happen and returns how to end them.
func (r *onceRig) inject(rng *rand.Rand) (heal func()) {
	var platform emulator.PlatformFaults
	var endpoint emulator.EndpointFaults
	isolated := ""
	for range 1 + rng.IntN(2) {
		switch rng.IntN(7) {
		case 0:
			platform.LogDown = true
		case 1:
			platform.LogLoseAnswers = 0.5
		case 2:
			platform.LogLatencyMillis = 20
		case 3:
			endpoint.Truncate = 0.5
		case 4:
			endpoint.FailRate = 0.5
		case 5:
			endpoint.Cross = 0.3
		case 6:
			isolated = r.Endpoints[rng.IntN(len(r.Endpoints))].Name
		}
	}
	r.Platform.SetFaults(platform)
	for _, e := range r.Endpoints {
		e.StandIn.SetFaults(endpoint)
	}
	if isolated != "" {
		r.Network.Isolate(isolated, true)
	}
	return func() {
		r.Platform.SetFaults(emulator.PlatformFaults{})
		if isolated != "" {
			r.Network.Isolate(isolated, false)
		}
		for _, e := range r.Endpoints {
			e.StandIn.SetFaults(emulator.EndpointFaults{})
		}
	}
}

func (r *onceRig) send(ctx context.Context, entry, key string, body []byte) {
	id := newKey()
	call := time.Since(r.started).Nanoseconds()
	reply, err := r.caller.Do(ctx, caller.Request{
		Entry: entry, Workspace: deployer.WorkspaceName(0), Service: "orders",
		IdempotencyKey: key, RequestID: id, Deadline: onceDeadline, Body: body,
	})
	end := time.Since(r.started).Nanoseconds()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.operations = append(r.operations, porcupine.Operation{
		Input: onceInput{key: key, outcome: reply.Outcome}, Call: call, Return: end,
	})
	if reply.Outcome == entryserver.OutcomeNotRun {
		r.notRun[id] = true
	}
	if err != nil || reply.Outcome != entryserver.OutcomeAnswered {
		return
	}
	var a emulator.CallAnswer
	if json.Unmarshal(reply.Body, &a) != nil || a.Echo != emulator.Echo(body) {
		r.problems = append(r.problems, fmt.Sprintf("request %s: answer %s is not its own", id, reply.Body))
	}
}

// check adds the endpoints' own histories and checks everything.
func (r *onceRig) check() (problems []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	problems = append(problems, r.problems...)
	for _, e := range r.Endpoints {
		for _, run := range e.StandIn.Runs() {
			at := run.StartedAt.Sub(r.started).Nanoseconds()
			r.operations = append(r.operations, porcupine.Operation{Input: onceInput{key: run.IdempotencyKey, run: true}, Call: at, Return: at})
			if r.notRun[run.RequestID] {
				problems = append(problems, "request "+run.RequestID+" ran, and its caller was told that it was not run")
			}
		}
	}
	if !porcupine.CheckOperations(onceModel(), r.operations) {
		problems = append(problems, "the history of runs and answers is not that of runs at most once")
	}
	return problems
}

// runOnceSeeds runs the seeds on several deployments and returns what is wrong.
func runOnceSeeds(t *testing.T, seeds int, broken bool) (problems []string, operations int) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
	defer cancel()
	var wg sync.WaitGroup
	rigs := make([]*onceRig, onceDeployments)
	for i := range rigs {
		rigs[i] = newOnceRig(ctx, t, broken, uint64(i+1))
		wg.Go(func() {
			for seed := i; seed < seeds; seed += onceDeployments {
				rigs[i].round(ctx, uint64(seed))
			}
		})
	}
	wg.Wait()
	time.Sleep(onceDeadline)
	for _, r := range rigs {
		problems = append(problems, r.check()...)
		operations += len(r.operations)
	}
	return problems, operations
}

func TestOrdersRunAtMostOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	problems, operations := runOnceSeeds(t, *onceSeeds, false)
	for _, p := range problems {
		t.Error(p)
	}
	is.True(operations > *onceSeeds*onceKeys)
	t.Logf("%d operations checked", operations)
}

func TestCheckCatchesSkippedClaims(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	problems, _ := runOnceSeeds(t, 40, true)
	is.True(len(problems) > 0) // without claims some order runs twice
}
