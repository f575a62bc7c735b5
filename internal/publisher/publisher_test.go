package publisher_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/uuid"
	"github.com/matryer/is"

	"flamingoledge.org/flamingoledge/internal/emulator"
	"flamingoledge.org/flamingoledge/internal/platformclient"
	"flamingoledge.org/flamingoledge/internal/publisher"
	"flamingoledge.org/flamingoledge/pkg/acceptor"
	"flamingoledge.org/flamingoledge/pkg/provider"
)

const (
	seeds      = 60
	publishers = 6
	publishes  = 3
	subjects   = 2
)

// operation is a read, or a publish of a record with a base.
type operation struct {
	subject string
	read    bool
	base    uint64
}

// outcome is the result that an operator received.
type outcome struct {
	// offset is that of the accepted record, or of the record in force instead.
	offset   uint64
	accepted bool
}

// registerModel returns the model of a versioned register: a publish succeeds if its
// base is the current version; otherwise it returns the current version.
func registerModel() porcupine.Model {
	return porcupine.Model{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			parts := map[string][]porcupine.Operation{}
			for _, op := range history {
				s := op.Input.(operation).subject
				parts[s] = append(parts[s], op)
			}
			var all [][]porcupine.Operation
			for _, ops := range parts {
				all = append(all, ops)
			}
			return all
		},
		Init: func() any { return uint64(0) },
		Step: func(state, input, output any) (bool, any) {
			now, in, out := state.(uint64), input.(operation), output.(outcome)
			if in.read || !out.accepted {
				return out.offset == now, now
			}
			return in.base == now, out.offset
		},
		Equal: func(a, b any) bool { return a == b },
	}
}

type publishFunc func(ctx context.Context, log provider.Log, e acceptor.Envelope) (uint64, error)

// blindPublish is a faulty implementation that treats a successful append as acceptance.
func blindPublish(ctx context.Context, log provider.Log, e acceptor.Envelope) (uint64, error) {
	data, err := json.Marshal(e)
	if err != nil {
		return 0, err
	}
	return log.Append(ctx, provider.StreamConfiguration, data)
}

// harness runs an emulated platform and records the history of operations.
type harness struct {
	platform *emulator.Platform
	address  string
	started  time.Time

	mu         sync.Mutex
	operations []porcupine.Operation
	unknown    map[string]porcupine.Operation
}

func newHarness(t *testing.T, seed uint64) *harness {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h := &harness{
		platform: emulator.NewPlatform(emulator.PlatformConfig{Seed: seed}), address: lis.Addr().String(),
		started: time.Now(), unknown: map[string]porcupine.Operation{},
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = h.platform.Serve(ctx, lis)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return h
}

func (h *harness) client() *platformclient.Client {
	return platformclient.New(platformclient.Config{Address: h.address, Timeout: 300 * time.Millisecond})
}

func (h *harness) now() int64 { return time.Since(h.started).Nanoseconds() }

func (h *harness) record(call int64, in operation, out outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{Input: in, Output: out, Call: call, Return: h.now()})
}

// runOperator publishes records of one operator, each with the last known offset as base.
func (h *harness) runOperator(ctx context.Context, publish publishFunc, rng *rand.Rand) {
	client := h.client()
	base := map[string]uint64{}
	for range publishes {
		s := fmt.Sprint("workspace:w", rng.IntN(subjects))
		e := acceptor.Envelope{
			SchemaVersion: 1, RecordID: uuid.Must(uuid.NewV7()).String(), Subject: s, Base: base[s],
			Body: json.RawMessage(`{"weight":1,"priority":0,"routes":[{"service":"orders"}]}`),
		}
		call := h.now()
		in := operation{subject: s, base: base[s]}
		ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
		offset, err := publish(ctx, client, e)
		cancel()
		var conflict *publisher.ConflictError
		var unknown *publisher.UnknownOutcomeError
		switch {
		case err == nil:
			base[s] = offset
			h.record(call, in, outcome{offset: offset, accepted: true})
		case errors.As(err, &conflict):
			base[s] = conflict.WinnerOffset
			h.record(call, in, outcome{offset: conflict.WinnerOffset})
		case errors.As(err, &unknown):
			h.mu.Lock()
			h.unknown[e.RecordID] = porcupine.Operation{Input: in, Call: call, Return: 1 << 62}
			h.mu.Unlock()
		}
	}
}

// pollState reads the accepted state repeatedly, as processes do.
func (h *harness) pollState(ctx context.Context) {
	client := h.client()
	for ctx.Err() == nil {
		call := h.now()
		cfg, err := publisher.LoadConfiguration(ctx, client)
		if err == nil {
			for i := range subjects {
				s := fmt.Sprint("workspace:w", i)
				current, _ := cfg.State.RecordFor(s)
				h.record(call, operation{subject: s, read: true}, outcome{offset: current.Offset})
			}
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// resolveUnknownPublishes adds to the history the publishes that the log accepted and
// whose operators got an UnknownOutcomeError.
func (h *harness) resolveUnknownPublishes() {
	var records []acceptor.LogRecord
	for _, rec := range h.platform.Records(provider.StreamConfiguration) {
		records = append(records, acceptor.LogRecord{Offset: rec.Offset, Data: rec.Data})
	}
	_, outcomes := acceptor.State{}.WithRecords(records)
	for _, o := range outcomes {
		if op, ok := h.unknown[o.RecordID]; ok && o.Verdict == acceptor.VerdictAccepted {
			op.Output = outcome{offset: o.Offset, accepted: true}
			h.operations = append(h.operations, op)
		}
	}
}

// runRace runs concurrent operators with one seed and reports whether the history is
// linearizable with respect to the register.
func runRace(t *testing.T, publish publishFunc, seed uint64) bool {
	h := newHarness(t, seed)
	rng := rand.New(rand.NewPCG(seed, 1))
	h.platform.SetFaults(emulator.PlatformFaults{AppendReplyLossRate: 0.3 * rng.Float64(), LogLatencyMillis: rng.IntN(4)})
	ctx, stop := context.WithCancel(context.Background())
	var operators, readers sync.WaitGroup
	readers.Go(func() { h.pollState(ctx) })
	for p := range publishers {
		operators.Go(func() { h.runOperator(context.Background(), publish, rand.New(rand.NewPCG(seed, uint64(p+2)))) })
	}
	if seed%3 == 0 {
		time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
		h.platform.SetFaults(emulator.PlatformFaults{LogDown: true})
		time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
		h.platform.SetFaults(emulator.PlatformFaults{})
	}
	operators.Wait()
	stop()
	readers.Wait()
	h.resolveUnknownPublishes()
	return porcupine.CheckOperations(registerModel(), h.operations)
}

func TestPublishesAreLinearizable(t *testing.T) {
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			is.True(runRace(t, publisher.Publish, seed))
		})
	}
}

// TestCheckDetectsBlindPublishes verifies that the check of TestPublishesAreLinearizable
// fails for blindPublish.
func TestCheckDetectsBlindPublishes(t *testing.T) {
	is := is.New(t)
	caught := 0
	for seed := range uint64(10) {
		if !runRace(t, blindPublish, seed) {
			caught++
		}
	}
	is.True(caught > 0)
}

func TestRepeatedPublishOfTheSameRecord(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1)
	e := acceptor.Envelope{
		SchemaVersion: 1, RecordID: "once", Subject: "workspace:w",
		Body: json.RawMessage(`{"weight":1,"priority":0,"routes":[{"service":"orders"}]}`),
	}
	first, err := publisher.Publish(context.Background(), h.client(), e)
	is.NoErr(err)
	again, err := publisher.Publish(context.Background(), h.client(), e)
	is.NoErr(err)
	is.Equal(first, again)
}

func TestInvalidRecordIsNotAppended(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1)
	_, err := publisher.Publish(context.Background(), h.client(), acceptor.Envelope{
		SchemaVersion: 1, RecordID: "bad", Subject: "workspace:w", Body: json.RawMessage(`{"weight":0,"routes":[]}`),
	})
	is.True(err != nil)
	is.Equal(len(h.platform.Records(provider.StreamConfiguration)), 0)
}
