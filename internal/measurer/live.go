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
	liveBound       = 1.25
	liveWeights     = 6 << 20
	liveChunk       = 32 << 10
	liveWindow      = 10 * time.Second
	liveRate        = 60.0
	liveQuiet       = 6 * time.Second
	liveTokens      = 12
	liveDeadline    = 5 * time.Second
	liveTimeout     = 60 * time.Second
	liveConnections = 1024
	liveModel       = "live"
)

// measureLive compares the latency of requests with and without a rollout over
// the same links.
func measureLive(ctx context.Context, cfg Config, r *Report) error {
	ctx, cancel := context.WithTimeout(ctx, liveTimeout)
	defer cancel()
	t := deployer.Zvaz()
	t.Seed = cfg.Seed
	t.Links.Origin = originCopiesPerWindow * liveWeights / liveWindow.Seconds()
	t.Links.Instance = instanceCopiesPerWindow * liveWeights / liveWindow.Seconds()
	size, silence := liveWeights, liveQuiet
	if cfg.Quick {
		size, silence = size/quickDivisor, silence/quickDivisor
	}
	d, err := deployer.Start(ctx, t, deployer.Options{Logger: cfg.Logger, ListInterval: rigListInterval})
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
	first, err := roll(ctx, d, 1, "", size, cfg.Seed)
	if err != nil {
		return err
	}
	l := &liveLoad{deployment: d, caller: caller.New(caller.Config{MaxConnections: liveConnections})}
	quiet, err := l.during(ctx, cfg.Seed, func() error {
		time.Sleep(silence)
		return nil
	})
	if err != nil {
		return err
	}
	var taken time.Duration
	busy, err := l.during(ctx, cfg.Seed, func() error {
		started := time.Now()
		_, err := roll(ctx, d, 2, first, size, cfg.Seed+1)
		taken = time.Since(started)
		return err
	})
	if err != nil {
		return err
	}
	p95 := busy.at(95).Seconds()
	r.bounded("live_p95_ratio", p95/quiet.at(95).Seconds(), "ratio", LowerIsBetter, liveBound)
	r.add("live_p95_seconds", p95, "s", LowerIsBetter).against(quiet.at(95).Seconds())
	r.add("live_requests", float64(busy.count()), "requests", HigherIsBetter)
	r.add("live_rollout_seconds", taken.Seconds(), "s", LowerIsBetter)
	return nil
}

// roll publishes a version and waits until all replicas serve it.
func roll(ctx context.Context, d *deployer.Deployment, version int, previous string, size int, seed uint64) (string, error) {
	digest, _, err := d.PublishVersion(ctx, liveModel, fmt.Sprint("v", version), generated(size, seed), liveChunk, previous)
	if err != nil {
		return "", err
	}
	return digest, d.AwaitServing(ctx, digest, d.ModelService().Endpoints, nil)
}

// liveLoad sends model requests to all entries.
type liveLoad struct {
	deployment *deployer.Deployment
	caller     *caller.Caller
}

// during sends requests while work runs and returns their latencies. A request
// without a whole answer counts with its whole deadline.
func (l *liveLoad) during(ctx context.Context, seed uint64, work func() error) (*latencies, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	ls := newLatencies()
	failed := make(chan error, 1)
	go func() {
		failed <- work()
		stop()
	}()
	err := openLoop(ctx, liveRate, seed, func(i int, due time.Time) { ls.record(l.call(i, due)) })
	if err != nil {
		return nil, err
	}
	return ls, <-failed
}

func (l *liveLoad) call(i int, due time.Time) time.Duration {
	body, err := json.Marshal(emulator.Prompt{Prompt: fmt.Sprint("account ", i), Tokens: liveTokens})
	if err != nil {
		return liveDeadline
	}
	reply, err := l.caller.Do(context.Background(), caller.Request{
		Entry:     l.deployment.Entries[i%len(l.deployment.Entries)].HTTPAddress,
		Workspace: deployer.WorkspaceName(i), Service: l.deployment.ModelService().Name,
		Deadline: liveDeadline, Body: body,
	})
	if err != nil || reply.Outcome != entryserver.OutcomeAnswered {
		return liveDeadline
	}
	return time.Since(due)
}
