package measurer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"flamingoledge.org/flamingoledge/internal/deployer"
	"flamingoledge.org/flamingoledge/internal/endpointclient"
)

const (
	overheadDuration      = 2 * time.Second
	overheadQuickDuration = 200 * time.Millisecond
	overheadTokens        = 1
)

// measureOverhead compares calls through an entry and a sidecar with direct calls to
// the emulated endpoint, for different numbers of callers in closed loops.
func measureOverhead(ctx context.Context, cfg Config, r *Report) error {
	t := engineTopology(4, 1024, deployer.Service{})
	return withTestbed(ctx, cfg, t, deployer.Options{}, func(ctx context.Context, tb *testbed) error {
		for _, callers := range []int{1, 64, 1000} {
			viaEntry := tb.runClosedLoop(ctx, cfg, callers, tb.callViaEntry)
			direct := tb.runClosedLoop(ctx, cfg, callers, func(c, i int) bool { return tb.callEmulator(c, i, overheadTokens) })
			r.add(fmt.Sprintf("entry_overhead_ratio_%d", callers), viaEntry.percentile(50).Seconds()/direct.percentile(50).Seconds(), "ratio", LowerIsBetter)
			r.add(fmt.Sprintf("entry_p50_seconds_%d", callers), viaEntry.percentile(50).Seconds(), "s", LowerIsBetter).setBaseline(direct.percentile(50).Seconds())
			r.add(fmt.Sprintf("entry_requests_%d", callers), float64(viaEntry.count()), "requests", HigherIsBetter).setBaseline(float64(direct.count()))
		}
		return nil
	})
}

// runClosedLoop runs concurrent callers that each make one call after the other, and
// returns the latencies of the successful calls.
func (tb *testbed) runClosedLoop(ctx context.Context, cfg Config, callers int, call func(caller, i int) bool) *latencyRecorder {
	duration := overheadDuration
	if cfg.Quick {
		duration = overheadQuickDuration
	}
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	recorder := newLatencyRecorder()
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				start := time.Now()
				if call(c, i) {
					recorder.record(time.Since(start))
				}
			}
		})
	}
	wg.Wait()
	return recorder
}

// callViaEntry calls a model through an entry and reports whether it succeeded.
func (tb *testbed) callViaEntry(c, i int) bool {
	reply, err := tb.sendModelRequest(c, deployer.WorkspaceName(c), drainDeadline, promptBody(c, i, overheadTokens))
	return err == nil && reply.Complete
}

// callEmulator calls an emulated endpoint directly, in the same way as its sidecar does,
// and reports whether it succeeded.
func (tb *testbed) callEmulator(c, i, tokens int) bool {
	client := tb.emulatorClient(c)
	_, err := client.Run(context.Background(), endpointclient.Request{
		RequestID: "r", AttemptID: fmt.Sprint(c, "-", i), VersionDigest: tb.digest, Stream: true, Body: promptBody(c, i, tokens),
	}, func([]byte) error { return nil })
	return err == nil
}

// emulatorClient returns the client of caller c, from one client per endpoint.
func (tb *testbed) emulatorClient(c int) *endpointclient.Client {
	tb.clientsOnce.Do(func() {
		for _, e := range tb.Endpoints {
			tb.clients = append(tb.clients, endpointclient.New(e.Address))
		}
	})
	return tb.clients[c%len(tb.clients)]
}
