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
	// neighborLoadShare is the load of each neighbour as a fraction of its fair share.
	neighborLoadShare = 0.6
	// aggressorShares is the load of the aggressive workspace in fair shares.
	aggressorShares = 10.0
	// overloadFactor is the offered load as a multiple of the capacity.
	overloadFactor = 3.0
	workspaceCount = 10
)

func admissionTopology() deployer.Topology {
	return engineTopology(admissionEngines, admissionConcurrency, deployer.Service{FirstTokenDelay: admissionFirstToken, TokenInterval: admissionTokenInterval})
}

// nominalCapacity returns the requests per second that the engines of admissionTopology
// can run, computed from their configured token times.
func nominalCapacity() float64 {
	perRequest := admissionFirstToken + (admissionTokens-1)*admissionTokenInterval
	return admissionEngines * admissionConcurrency / perRequest.Seconds()
}

// measureCapacity returns the requests per second that the emulated endpoints run when
// direct calls use all of their concurrency.
func (tb *testbed) measureCapacity(ctx context.Context, cfg Config) float64 {
	start := time.Now()
	recorder := tb.runClosedLoop(ctx, cfg, admissionEngines*admissionConcurrency, func(c, i int) bool { return tb.callEmulator(c, i, admissionTokens) })
	return float64(recorder.count()) / time.Since(start).Seconds()
}

// admissionLoadDuration returns how long the fairness and overload experiments send load.
func (c Config) admissionLoadDuration() time.Duration {
	if c.Quick {
		return admissionQuickDuration
	}
	return admissionDuration
}

// measureFairness compares the latency of the other workspaces between a run in which
// one workspace sends ten times its fair share and a run in which it stays within it.
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

// neighborP95 returns the 95th percentile of the latency of the other workspaces while
// the last workspace sends the given multiple of its fair share. The last workspaces
// have equal weights. A request that is not answered counts with at least its deadline.
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

// measureOverload offers three times the capacity and measures the rate of requests
// that are answered within their deadline.
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
			if err == nil && reply.Complete && time.Since(due) <= admissionDeadline {
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
