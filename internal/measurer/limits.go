package measurer

import (
	"context"
	"time"

	"flamingoledge.org/flamingoledge/internal/deployer"
	"flamingoledge.org/flamingoledge/internal/entryserver"
)

const (
	neighborP95RatioBound = 1.2
	goodputRatioBound     = 0.9

	admissionEngines       = 4
	admissionConcurrency   = 4
	admissionTokens        = 10
	admissionFirstToken    = 20 * time.Millisecond
	admissionTokenInterval = 4 * time.Millisecond
	admissionDuration      = 6 * time.Second
	admissionQuickDuration = 1700 * time.Millisecond
	admissionDeadline      = 400 * time.Millisecond
	// neighborLoadShare is how much of its own share each neighbour uses.
	neighborLoadShare = 0.6
	aggressorShares   = 10.0
	overloadFactor    = 3.0
	workspaceCount    = 10
)

func admissionTopology() deployer.Topology {
	return engineTopology(admissionEngines, admissionConcurrency, deployer.Service{FirstToken: admissionFirstToken, TokenInterval: admissionTokenInterval})
}

// nominalCapacity is how many requests a second the engines of admissionTopology run,
// from their own times.
func nominalCapacity() float64 {
	perRequest := admissionFirstToken + (admissionTokens-1)*admissionTokenInterval
	return admissionEngines * admissionConcurrency / perRequest.Seconds()
}

// measureCapacity is how many requests a second the stand-ins run when each of
// their places is kept busy directly.
func (tb *testbed) measureCapacity(ctx context.Context, cfg Config) float64 {
	start := time.Now()
	recorder := tb.runClosedLoop(ctx, cfg, admissionEngines*admissionConcurrency, func(c, i int) bool { return tb.callStandIn(c, i, admissionTokens) })
	return float64(recorder.count()) / time.Since(start).Seconds()
}

func (c Config) admissionLoadDuration() time.Duration {
	if c.Quick {
		return admissionQuickDuration
	}
	return admissionDuration
}

// measureFairness lets one workspace send ten times its share and compares the
// others' latency with a run in which it does not.
func measureFairness(ctx context.Context, cfg Config, r *Report) error {
	baseline, err := neighborP95(ctx, cfg, neighborLoadShare)
	if err != nil {
		return err
	}
	contended, err := neighborP95(ctx, cfg, aggressorShares)
	if err != nil {
		return err
	}
	r.addBounded("neighbour_p95_ratio", contended.Seconds()/baseline.Seconds(), "ratio", LowerIsBetter, neighborP95RatioBound)
	r.add("neighbour_p95_seconds", contended.Seconds(), "s", LowerIsBetter).setBaseline(baseline.Seconds())
	return nil
}

// neighborP95 returns the others' p95 while the last workspace sends so many
// times its share. The last workspaces all have the same weight.
func neighborP95(ctx context.Context, cfg Config, shares float64) (p95 time.Duration, err error) {
	err = withTestbed(ctx, cfg, admissionTopology(), deployer.Options{}, func(ctx context.Context, tb *testbed) error {
		ctx, cancel := context.WithTimeout(ctx, cfg.admissionLoadDuration())
		defer cancel()
		share := nominalCapacity() / workspaceCount
		done := make(chan error, 1)
		go func() {
			done <- runOpenLoop(ctx, share*shares, cfg.Seed+1, func(i int, _ time.Time) {
				_, _ = tb.sendModelRequest(i, deployer.WorkspaceName(workspaceCount-1), admissionDeadline, promptBody(i, i, admissionTokens))
			})
		}()
		recorder := newLatencyRecorder()
		err := runOpenLoop(ctx, share*neighborLoadShare*(workspaceCount-1), cfg.Seed, func(i int, due time.Time) {
			reply, err := tb.sendModelRequest(i, deployer.WorkspaceName(i%(workspaceCount-1)), admissionDeadline, promptBody(i, i, admissionTokens))
			elapsed := time.Since(due)
			if err != nil || reply.Outcome != entryserver.OutcomeAnswered {
				elapsed = max(elapsed, admissionDeadline)
			}
			recorder.record(elapsed)
		})
		p95 = recorder.percentile(95)
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
	return withTestbed(ctx, cfg, admissionTopology(), deployer.Options{}, func(ctx context.Context, tb *testbed) error {
		duration := cfg.admissionLoadDuration()
		capacity := tb.measureCapacity(ctx, cfg)
		ctx, cancel := context.WithTimeout(ctx, duration)
		defer cancel()
		var counts, inTime outcomeCounts
		started := time.Now()
		err := runOpenLoop(ctx, capacity*overloadFactor, cfg.Seed, func(i int, due time.Time) {
			body := promptBody(i, i, admissionTokens)
			reply, err := tb.sendModelRequest(i, deployer.WorkspaceName(i), admissionDeadline, body)
			counts.add(reply, err, err != nil || isExpectedStream(reply, body))
			if err == nil && reply.Whole && time.Since(due) <= admissionDeadline {
				inTime.add(reply, nil, true)
			}
		})
		if err != nil {
			return err
		}
		goodput := float64(inTime.answered) / time.Since(started).Seconds()
		r.addBounded("overload_goodput", goodput/capacity, "ratio", HigherIsBetter, goodputRatioBound)
		r.add("engines_capacity_per_second", capacity, "requests/s", HigherIsBetter).setBaseline(nominalCapacity())
		r.add("overload_refused_as_not_run", float64(counts.notRun)/float64(counts.sent), "ratio", LowerIsBetter)
		r.add("overload_unknown", float64(counts.unknown), "requests", LowerIsBetter)
		return nil
	})
}
