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
	overheadTime      = 2 * time.Second
	overheadQuickTime = 200 * time.Millisecond
	overheadTokens    = 1
)

// measureOverhead compares calls over an entry and a sidecar with calls of the
// stand-in itself, for closed loops of callers.
func measureOverhead(ctx context.Context, cfg Config, r *Report) error {
	t := engines(4, 1024, deployer.Service{})
	return withRig(ctx, cfg, t, deployer.Options{}, func(ctx context.Context, rg *rig) error {
		for _, callers := range []int{1, 64, 1000} {
			through := rg.closedLoop(ctx, cfg, callers, rg.callThrough)
			direct := rg.closedLoop(ctx, cfg, callers, func(c, i int) bool { return rg.callDirect(c, i, overheadTokens) })
			r.add(fmt.Sprintf("entry_overhead_ratio_%d", callers), through.at(50).Seconds()/direct.at(50).Seconds(), "ratio", LowerIsBetter)
			r.add(fmt.Sprintf("entry_p50_seconds_%d", callers), through.at(50).Seconds(), "s", LowerIsBetter).against(direct.at(50).Seconds())
			r.add(fmt.Sprintf("entry_requests_%d", callers), float64(through.count()), "requests", HigherIsBetter).against(float64(direct.count()))
		}
		return nil
	})
}

// closedLoop lets callers call one after the other for a while.
func (r *rig) closedLoop(ctx context.Context, cfg Config, callers int, call func(caller, i int) bool) *latencies {
	length := overheadTime
	if cfg.Quick {
		length = overheadQuickTime
	}
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	ls := newLatencies()
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				started := time.Now()
				if call(c, i) {
					ls.record(time.Since(started))
				}
			}
		})
	}
	wg.Wait()
	return ls
}

func (r *rig) callThrough(c, i int) bool {
	reply, err := r.ask(c, deployer.WorkspaceName(c), drainDeadline, prompt(c, i, overheadTokens))
	return err == nil && reply.Whole
}

// callDirect calls the stand-in as the sidecar does.
func (r *rig) callDirect(c, i, tokens int) bool {
	client := r.direct(c)
	_, err := client.Run(context.Background(), endpointclient.Request{
		RequestID: "r", AttemptID: fmt.Sprint(c, "-", i), VersionDigest: r.digest, Stream: true, Body: prompt(c, i, tokens),
	}, func([]byte) error { return nil })
	return err == nil
}

func (r *rig) direct(c int) *endpointclient.Client {
	r.clientsOnce.Do(func() {
		for _, e := range r.Endpoints {
			r.clients = append(r.clients, endpointclient.New(e.Address))
		}
	})
	return r.clients[c%len(r.clients)]
}
