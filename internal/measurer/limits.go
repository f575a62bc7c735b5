package measurer

import (
	"context"
	"time"

	"flamingoledge.org/flamingoledge/internal/deployer"
	"flamingoledge.org/flamingoledge/internal/entryserver"
)

const (
	neighborBound = 1.2
	goodputBound  = 0.9

	limitEngines     = 4
	limitConcurrency = 4
	limitTokens      = 10
	limitFirstToken  = 20 * time.Millisecond
	limitInterval    = 4 * time.Millisecond
	limitTime        = 6 * time.Second
	limitQuickTime   = 1700 * time.Millisecond
	limitDeadline    = 400 * time.Millisecond
	// neighborShare is how much of its own share each neighbour uses.
	neighborShare = 0.6
	aggressor     = 10.0
	overload      = 3.0
	workspaces    = 10
)

func limitTopology() deployer.Topology {
	return engines(limitEngines, limitConcurrency, deployer.Service{FirstToken: limitFirstToken, TokenInterval: limitInterval})
}

// limitCapacity is how many requests a second the engines of limitTopology run,
// from their own times.
func limitCapacity() float64 {
	each := limitFirstToken + (limitTokens-1)*limitInterval
	return limitEngines * limitConcurrency / each.Seconds()
}

// measuredCapacity is how many requests a second the stand-ins run when each of
// their places is kept busy directly.
func (r *rig) measuredCapacity(ctx context.Context, cfg Config) float64 {
	started := time.Now()
	ls := r.closedLoop(ctx, cfg, limitEngines*limitConcurrency, func(c, i int) bool { return r.callDirect(c, i, limitTokens) })
	return float64(ls.count()) / time.Since(started).Seconds()
}

func (c Config) limitLength() time.Duration {
	if c.Quick {
		return limitQuickTime
	}
	return limitTime
}

// measureFairness lets one workspace send ten times its share and compares the
// others' latency with a run in which it does not.
func measureFairness(ctx context.Context, cfg Config, r *Report) error {
	quiet, err := neighborLatency(ctx, cfg, neighborShare)
	if err != nil {
		return err
	}
	loud, err := neighborLatency(ctx, cfg, aggressor)
	if err != nil {
		return err
	}
	r.bounded("neighbour_p95_ratio", loud.Seconds()/quiet.Seconds(), "ratio", LowerIsBetter, neighborBound)
	r.add("neighbour_p95_seconds", loud.Seconds(), "s", LowerIsBetter).against(quiet.Seconds())
	return nil
}

// neighborLatency returns the others' p95 while the last workspace sends so many
// times its share. The last workspaces all have the same weight.
func neighborLatency(ctx context.Context, cfg Config, shares float64) (p95 time.Duration, err error) {
	err = withRig(ctx, cfg, limitTopology(), deployer.Options{}, func(ctx context.Context, rg *rig) error {
		ctx, cancel := context.WithTimeout(ctx, cfg.limitLength())
		defer cancel()
		share := limitCapacity() / workspaces
		done := make(chan error, 1)
		go func() {
			done <- openLoop(ctx, share*shares, cfg.Seed+1, func(i int, _ time.Time) {
				_, _ = rg.ask(i, deployer.WorkspaceName(workspaces-1), limitDeadline, prompt(i, i, limitTokens))
			})
		}()
		ls := newLatencies()
		err := openLoop(ctx, share*neighborShare*(workspaces-1), cfg.Seed, func(i int, due time.Time) {
			reply, err := rg.ask(i, deployer.WorkspaceName(i%(workspaces-1)), limitDeadline, prompt(i, i, limitTokens))
			taken := time.Since(due)
			if err != nil || reply.Outcome != entryserver.OutcomeAnswered {
				taken = max(taken, limitDeadline)
			}
			ls.record(taken)
		})
		p95 = ls.at(95)
		if err != nil {
			return err
		}
		return <-done
	})
	return p95, err
}

// measureOverload offers three times the capacity and counts what is answered
// before its deadline.
func measureOverload(ctx context.Context, cfg Config, r *Report) error {
	return withRig(ctx, cfg, limitTopology(), deployer.Options{}, func(ctx context.Context, rg *rig) error {
		length := cfg.limitLength()
		capacity := rg.measuredCapacity(ctx, cfg)
		ctx, cancel := context.WithTimeout(ctx, length)
		defer cancel()
		var all, good tally
		started := time.Now()
		err := openLoop(ctx, capacity*overload, cfg.Seed, func(i int, due time.Time) {
			body := prompt(i, i, limitTokens)
			reply, err := rg.ask(i, deployer.WorkspaceName(i), limitDeadline, body)
			all.add(reply, err, err != nil || isOwn(reply, body))
			if err == nil && reply.Whole && time.Since(due) <= limitDeadline {
				good.add(reply, nil, true)
			}
		})
		if err != nil {
			return err
		}
		goodput := float64(good.answered) / time.Since(started).Seconds()
		r.bounded("overload_goodput", goodput/capacity, "ratio", HigherIsBetter, goodputBound)
		r.add("engines_capacity_per_second", capacity, "requests/s", HigherIsBetter).against(limitCapacity())
		r.add("overload_refused_as_not_run", float64(all.notRun)/float64(all.sent), "ratio", LowerIsBetter)
		r.add("overload_unknown", float64(all.unknown), "requests", LowerIsBetter)
		return nil
	})
}
