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

var onceSeeds = flag.Int("once.seeds", 200, "number of seeded fault schedules in the at-most-once check")

const (
	onceDeployments  = 4
	onceDeadline     = 1200 * time.Millisecond
	onceKeysPerRound = 3
	onceSendsPerKey  = 3
)

// onceOperation is an operation on an idempotency key: a run that an endpoint recorded or
// an outcome that a caller received.
type onceOperation struct {
	key     string
	run     bool
	outcome entryserver.Outcome
}

// onceModel models each key as a boolean register. A run sets it and must find it unset;
// the outcomes "answered" and "ran" must find it set.
func onceModel() porcupine.Model {
	return porcupine.Model{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			byKey := map[string][]porcupine.Operation{}
			for _, op := range history {
				k := op.Input.(onceOperation).key
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
			ran, in := state.(bool), input.(onceOperation)
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

// delayedLog randomly delays before and after appends, so that processes act on stale
// state.
type delayedLog struct {
	provider.Log
	mu  sync.Mutex
	rng *rand.Rand
}

func (l *delayedLog) delay() {
	l.mu.Lock()
	d := time.Duration(0)
	if l.rng.Float64() < 0.05 {
		d = time.Duration(l.rng.Int64N(int64(150 * time.Millisecond)))
	}
	l.mu.Unlock()
	time.Sleep(d)
}

func (l *delayedLog) Append(ctx context.Context, stream string, data ...json.RawMessage) (uint64, error) {
	l.delay()
	first, err := l.Log.Append(ctx, stream, data...)
	l.delay()
	return first, err
}

// separateClaimsLog gives each process a separate claims stream, which makes claims
// ineffective. It is used to verify that the check detects duplicate runs.
type separateClaimsLog struct {
	provider.Log
	name string
}

func (l *separateClaimsLog) stream(stream string) string {
	if strings.HasPrefix(stream, provider.StreamClaims) {
		return stream + l.name
	}
	return stream
}

func (l *separateClaimsLog) Append(ctx context.Context, stream string, data ...json.RawMessage) (uint64, error) {
	return l.Log.Append(ctx, l.stream(stream), data...)
}

func (l *separateClaimsLog) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (provider.Page, error) {
	return l.Log.Read(ctx, l.stream(stream), from, limit, wait)
}

// onceSystem is a deployment of a plain service and the history of the operations on it.
type onceSystem struct {
	*deployer.Deployment
	caller  *caller.Caller
	started time.Time

	mu         sync.Mutex
	operations []porcupine.Operation
	notRun     map[string]bool
	violations []string
}

func newOnceSystem(ctx context.Context, t *testing.T, separateClaims bool, seed uint64) *onceSystem {
	topology := deployer.Topology{
		Regions: []string{"a", "b"}, EntriesPerRegion: 1, Seed: seed,
		Services: []deployer.Service{{Name: "orders", Kind: interpreter.ServiceKindPlain, Endpoints: 3, Concurrency: 8, FirstTokenDelay: 2 * time.Millisecond}},
	}
	processes := 0
	d, err := deployer.Start(ctx, topology, deployer.Options{
		Logger: zap.NewNop(),
		ConfigureSidecar: func(c *sidecarserver.Config) {
			processes++
			if separateClaims {
				c.Log = &separateClaimsLog{Log: c.Log, name: fmt.Sprint(processes)}
			}
			c.Log = &delayedLog{Log: c.Log, rng: rand.New(rand.NewPCG(seed, uint64(processes)))}
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
	return &onceSystem{Deployment: d, caller: caller.New(caller.Config{MaxConnections: 256}), started: time.Now(), notRun: map[string]bool{}}
}

// runRound sends orders with repeated keys while the faults of one seed are active.
func (s *onceSystem) runRound(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 5))
	clearFaults := s.injectFaults(rng)
	var wg sync.WaitGroup
	for k := range onceKeysPerRound {
		key := newID()
		body := fmt.Appendf(nil, `{"seed":%d,"order":%d}`, seed, k)
		for range onceSendsPerKey {
			entry := s.Entries[rng.IntN(len(s.Entries))].HTTPAddress
			delay := time.Duration(rng.Int64N(int64(60 * time.Millisecond)))
			wg.Go(func() {
				time.Sleep(delay)
				s.sendOrder(ctx, entry, key, body)
			})
		}
	}
	time.Sleep(time.Duration(rng.Int64N(int64(120 * time.Millisecond))))
	clearFaults()
	wg.Wait()
}

// injectFaults injects one or two random faults and returns a function that clears them.
func (s *onceSystem) injectFaults(rng *rand.Rand) (clearFaults func()) {
	var platform emulator.PlatformFaults
	var endpoint emulator.EndpointFaults
	isolated := ""
	for range 1 + rng.IntN(2) {
		switch rng.IntN(7) {
		case 0:
			platform.LogDown = true
		case 1:
			platform.AppendReplyLossRate = 0.5
		case 2:
			platform.LogLatencyMillis = 20
		case 3:
			endpoint.TruncationRate = 0.5
		case 4:
			endpoint.RefusalRate = 0.5
		case 5:
			endpoint.WrongIDRate = 0.3
		case 6:
			isolated = s.Endpoints[rng.IntN(len(s.Endpoints))].Name
		}
	}
	s.Platform.SetFaults(platform)
	for _, e := range s.Endpoints {
		e.Emulator.SetFaults(endpoint)
	}
	if isolated != "" {
		s.Network.SetIsolated(isolated, true)
	}
	return func() {
		s.Platform.SetFaults(emulator.PlatformFaults{})
		if isolated != "" {
			s.Network.SetIsolated(isolated, false)
		}
		for _, e := range s.Endpoints {
			e.Emulator.SetFaults(emulator.EndpointFaults{})
		}
	}
}

func (s *onceSystem) sendOrder(ctx context.Context, entry, key string, body []byte) {
	id := newID()
	call := time.Since(s.started).Nanoseconds()
	reply, err := s.caller.Do(ctx, caller.Request{
		EntryAddress: entry, Workspace: deployer.WorkspaceName(0), Service: "orders",
		IdempotencyKey: key, RequestID: id, Deadline: onceDeadline, Body: body,
	})
	end := time.Since(s.started).Nanoseconds()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.operations = append(s.operations, porcupine.Operation{
		Input: onceOperation{key: key, outcome: reply.Outcome}, Call: call, Return: end,
	})
	if reply.Outcome == entryserver.OutcomeNotRun {
		s.notRun[id] = true
	}
	if err != nil || reply.Outcome != entryserver.OutcomeAnswered {
		return
	}
	var a emulator.CallResponse
	if json.Unmarshal(reply.Body, &a) != nil || a.Echo != emulator.Echo(body) {
		s.violations = append(s.violations, fmt.Sprintf("request %s: received the response to another request: %s", id, reply.Body))
	}
}

// check adds the endpoints' histories to the operations and returns all violations.
func (s *onceSystem) check() (violations []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	violations = append(violations, s.violations...)
	for _, e := range s.Endpoints {
		for _, run := range e.Emulator.Runs() {
			at := run.StartedAt.Sub(s.started).Nanoseconds()
			s.operations = append(s.operations, porcupine.Operation{Input: onceOperation{key: run.IdempotencyKey, run: true}, Call: at, Return: at})
			if s.notRun[run.RequestID] {
				violations = append(violations, "request "+run.RequestID+" ran and was reported as not run")
			}
		}
	}
	if !porcupine.CheckOperations(onceModel(), s.operations) {
		violations = append(violations, "history of runs and outcomes violates at-most-once execution")
	}
	return violations
}

// runSeeds distributes the seeds over several deployments and returns all violations and
// the number of operations.
func runSeeds(t *testing.T, seeds int, separateClaims bool) (violations []string, operations int) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
	defer cancel()
	var wg sync.WaitGroup
	systems := make([]*onceSystem, onceDeployments)
	for i := range systems {
		systems[i] = newOnceSystem(ctx, t, separateClaims, uint64(i+1))
		wg.Go(func() {
			for seed := i; seed < seeds; seed += onceDeployments {
				systems[i].runRound(ctx, uint64(seed))
			}
		})
	}
	wg.Wait()
	time.Sleep(onceDeadline)
	for _, s := range systems {
		violations = append(violations, s.check()...)
		operations += len(s.operations)
	}
	return violations, operations
}

func TestOrdersRunAtMostOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	violations, operations := runSeeds(t, *onceSeeds, false)
	for _, p := range violations {
		t.Error(p)
	}
	is.True(operations > *onceSeeds*onceKeysPerRound)
	t.Logf("%d operations checked", operations)
}

func TestCheckDetectsIneffectiveClaims(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	violations, _ := runSeeds(t, 40, true)
	is.True(len(violations) > 0) // without effective claims, some order runs twice
}
