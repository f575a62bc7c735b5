package measurer

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"flamingoledge.org/flamingoledge/internal/caller"
	"flamingoledge.org/flamingoledge/internal/deployer"
	"flamingoledge.org/flamingoledge/internal/emulator"
	"flamingoledge.org/flamingoledge/internal/entryserver"
)

const (
	liveP95RatioBound     = 1.25
	liveWeightsBytes      = 6 << 20
	liveChunkBytes        = 32 << 10
	liveWindow            = 10 * time.Second
	liveRequestsPerSecond = 60.0
	liveBaselineDuration  = 6 * time.Second
	liveTokens            = 12
	liveDeadline          = 5 * time.Second
	liveTimeout           = 60 * time.Second
	liveMaxConnections    = 1024
	liveModel             = "live"
)

// measureLive compares the latency of requests with and without a concurrent rollout
// over the same links.
func measureLive(ctx context.Context, cfg Config, r *Report) error {
	ctx, cancel := context.WithTimeout(ctx, liveTimeout)
	defer cancel()
	topology := deployer.Zvaz()
	topology.Seed = cfg.Seed
	topology.Links.Origin = originCopiesPerWindow * liveWeightsBytes / liveWindow.Seconds()
	topology.Links.Instance = instanceCopiesPerWindow * liveWeightsBytes / liveWindow.Seconds()
	weightsBytes, baselineDuration := liveWeightsBytes, liveBaselineDuration
	if cfg.Quick {
		weightsBytes, baselineDuration = weightsBytes/quickDivisor, baselineDuration/quickDivisor
	}
	d, err := deployer.Start(ctx, topology, deployer.Options{Logger: cfg.Logger, ListInterval: testbedListInterval})
	if err != nil {
		return err
	}
	defer d.Stop()
	if err = d.AwaitAttached(ctx); err != nil {
		return err
	}
	if _, err = d.PublishServices(ctx, liveModel); err != nil {
		return err
	}
	firstDigest, err := rollOut(ctx, d, 1, "", weightsBytes, cfg.Seed)
	if err != nil {
		return err
	}
	load := &liveLoad{deployment: d, caller: caller.New(caller.Config{MaxConnections: liveMaxConnections})}
	baseline, err := load.runDuring(ctx, cfg.Seed, func() error {
		time.Sleep(baselineDuration)
		return nil
	})
	if err != nil {
		return err
	}
	var elapsed time.Duration
	duringRollout, err := load.runDuring(ctx, cfg.Seed, func() error {
		started := time.Now()
		_, err := rollOut(ctx, d, 2, firstDigest, weightsBytes, cfg.Seed+1)
		elapsed = time.Since(started)
		return err
	})
	if err != nil {
		return err
	}
	p95 := duringRollout.percentile(95).Seconds()
	r.addBounded("live_p95_ratio", p95/baseline.percentile(95).Seconds(), "ratio", LowerIsBetter, liveP95RatioBound)
	r.add("live_p95_seconds", p95, "s", LowerIsBetter).setBaseline(baseline.percentile(95).Seconds())
	r.add("live_requests", float64(duringRollout.count()), "requests", HigherIsBetter)
	r.add("live_rollout_seconds", elapsed.Seconds(), "s", LowerIsBetter)
	return nil
}

// rollOut publishes a version, waits until all replicas serve it and returns its digest.
func rollOut(ctx context.Context, d *deployer.Deployment, version int, previous string, weightsBytes int, seed uint64) (string, error) {
	digest, _, err := d.PublishVersion(ctx, liveModel, fmt.Sprint("v", version), generateWeights(weightsBytes, seed), liveChunkBytes, previous)
	if err != nil {
		return "", err
	}
	return digest, d.AwaitServing(ctx, digest, d.ModelService().Endpoints, nil)
}

// liveLoad sends model requests to all entries in turn.
type liveLoad struct {
	deployment *deployer.Deployment
	caller     *caller.Caller
}

// runDuring sends requests until work returns, and returns their latencies. A request
// without a complete answer counts with its full deadline.
func (l *liveLoad) runDuring(ctx context.Context, seed uint64, work func() error) (*latencyRecorder, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	recorder := newLatencyRecorder()
	workErr := make(chan error, 1)
	go func() {
		workErr <- work()
		stop()
	}()
	err := runOpenLoop(ctx, liveRequestsPerSecond, seed, func(i int, due time.Time) { recorder.record(l.callLatency(i, due)) })
	if err != nil {
		return nil, err
	}
	return recorder, <-workErr
}

// callLatency sends request i and returns its latency, counted from due.
func (l *liveLoad) callLatency(i int, due time.Time) time.Duration {
	body, err := json.Marshal(emulator.Prompt{Prompt: fmt.Sprint("account ", i), Tokens: liveTokens})
	if err != nil {
		return liveDeadline
	}
	reply, err := l.caller.Do(context.Background(), caller.Request{
		EntryAddress: l.deployment.Entries[i%len(l.deployment.Entries)].HTTPAddress,
		Workspace:    deployer.WorkspaceName(i), Service: l.deployment.ModelService().Name,
		Deadline: liveDeadline, Body: body,
	})
	if err != nil || reply.Outcome != entryserver.OutcomeAnswered {
		return liveDeadline
	}
	return time.Since(due)
}
