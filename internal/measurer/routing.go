package measurer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"flamingoledge.org/flamingoledge/internal/deployer"
	"flamingoledge.org/flamingoledge/internal/emulator"
	"flamingoledge.org/flamingoledge/internal/entryserver"
	"flamingoledge.org/flamingoledge/pkg/router"
)

const (
	decisionEndpointCount = 2200
	decisionBoundNanos    = 2000.0
	p99RatioBound         = 0.7
	cacheHitRatioBound    = 0.9

	routingEngines           = 16
	routingConcurrency       = 4
	routingRequestsPerSecond = 450.0
	routingDuration          = 8 * time.Second
	routingQuickDuration     = 3 * time.Second
	routingTokens            = 10
	routingDeadline          = 5 * time.Second
	// routingPrefixes is the number of prefixes, which are drawn from a Zipf distribution.
	routingPrefixes     = 200
	routingZipfExponent = 1.1
	// firstTokenBound is the users' target for the time to the first token.
	firstTokenBound = 350 * time.Millisecond
	slowEngineCount = 2
	slowFactor      = 3
)

// measureRoutingDecision benchmarks one routing decision at the target size.
func measureRoutingDecision(_ context.Context, _ Config, r *Report) error {
	now := time.Now()
	endpoints := make([]router.Endpoint, decisionEndpointCount)
	for i := range endpoints {
		endpoints[i] = router.Endpoint{
			Instance: fmt.Sprintf("runner-%04d", i), Service: "engine", Versions: []string{"v"},
			Load: router.Load{Running: i % 8, Capacity: 8}, JoinedAt: now.Add(-time.Hour),
		}
	}
	table := router.NewTable(endpoints, nil)
	cfg := entryserver.DefaultRoutingConfig("a")
	q := router.Query{GroupKey: router.GroupKey{Service: "engine", VersionDigest: "v"}}
	result := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			q.Random = rand.Uint64()
			q.AffinityKey = rand.Uint64()
			if _, ok := table.Pick(cfg, now, q); !ok {
				b.Fatal("no endpoint")
			}
		}
	})
	r.addBounded("decision_ns", float64(result.NsPerOp()), "ns", LowerIsBetter, decisionBoundNanos)
	r.addBounded("decision_allocs", float64(result.AllocsPerOp()), "allocations", LowerIsBetter, 0)
	return nil
}

// routingResult contains the results of one routing policy.
type routingResult struct {
	// p50, p95 and p99 are percentiles of the time to the first token.
	p50, p95, p99 time.Duration
	// inTime is the share of requests with a first token within firstTokenBound.
	inTime float64
	// hits is the share of requests whose prefix was cached, and maxHits the share if only
	// the first request with each prefix missed.
	hits    float64
	maxHits float64
}

// measureRouting compares the routing policies under skewed workspaces and prefixes,
// load reports that lag by a second, two slow engines and one that crashes.
func measureRouting(ctx context.Context, cfg Config, r *Report) error {
	results := map[router.Policy]routingResult{}
	policies := []router.Policy{router.PolicyRandom, router.PolicyRoundRobin, router.PolicyLeastReported, router.PolicyPowerOfChoices}
	if cfg.Quick {
		policies = policies[2:]
	}
	for _, p := range policies {
		res, err := measurePolicy(ctx, cfg, p)
		if err != nil {
			return err
		}
		results[p] = res
		cfg.progressf("routing %s: first token p50 %v p95 %v p99 %v, in time %.3f, cache hits %.3f of %.3f", p, res.p50, res.p95, res.p99, res.inTime, res.hits, res.maxHits)
		r.add("first_token_p50_seconds_"+string(p), res.p50.Seconds(), "s", LowerIsBetter)
		r.add("first_token_p95_seconds_"+string(p), res.p95.Seconds(), "s", LowerIsBetter)
		r.add("first_token_p99_seconds_"+string(p), res.p99.Seconds(), "s", LowerIsBetter)
		r.add("share_in_time_"+string(p), res.inTime, "ratio", HigherIsBetter)
		r.add("cache_hit_share_"+string(p), res.hits, "ratio", HigherIsBetter)
	}
	powerOfChoices, leastReported := results[router.PolicyPowerOfChoices], results[router.PolicyLeastReported]
	r.addBounded("p99_over_least_reported", powerOfChoices.p99.Seconds()/leastReported.p99.Seconds(), "ratio", LowerIsBetter, p99RatioBound)
	r.addBounded("cache_hits_over_perfect", powerOfChoices.hits/powerOfChoices.maxHits, "ratio", HigherIsBetter, cacheHitRatioBound)
	return nil
}

// measurePolicy runs the routing load with the given policy on a new testbed.
func measurePolicy(ctx context.Context, cfg Config, p router.Policy) (res routingResult, err error) {
	t := engineTopology(routingEngines, routingConcurrency, deployer.Service{
		FirstTokenDelay: 10 * time.Millisecond, TokenInterval: 4 * time.Millisecond,
		PrefixMissDelay: 40 * time.Millisecond, CachedPrefixes: routingPrefixes,
	})
	o := deployer.Options{ConfigureEntry: func(c *entryserver.Config) { c.Routing.Policy = p }}
	err = withTestbed(ctx, cfg, t, o, func(ctx context.Context, tb *testbed) error {
		res, err = tb.runRoutingLoad(ctx, cfg)
		return err
	})
	return res, err
}

// runRoutingLoad sends requests while some engines are slow and another one crashes
// halfway.
func (tb *testbed) runRoutingLoad(ctx context.Context, cfg Config) (res routingResult, err error) {
	for i := range slowEngineCount {
		tb.Endpoints[i].Emulator.SetFaults(emulator.EndpointFaults{Slowdown: slowFactor})
	}
	duration := routingDuration
	if cfg.Quick {
		duration = routingQuickDuration
	}
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	crashTimer := time.AfterFunc(duration/2, func() {
		tb.Endpoints[slowEngineCount].Emulator.SetFaults(emulator.EndpointFaults{Crashed: true})
	})
	defer crashTimer.Stop()
	recorder := newLatencyRecorder()
	zipf := rand.NewZipf(rand.New(rand.NewPCG(cfg.Seed, 6)), routingZipfExponent, 1, routingPrefixes-1)
	prefixes := make([]int, int(routingRequestsPerSecond*duration.Seconds()*2))
	for i := range prefixes {
		prefixes[i] = int(zipf.Uint64())
	}
	sent := 0
	inTime := &outcomeCounts{}
	err = runOpenLoop(ctx, routingRequestsPerSecond, cfg.Seed, func(i int, due time.Time) {
		prefix := prefixes[i%len(prefixes)]
		started := time.Now()
		// The prefix determines the workspace, so that workspaces are equally skewed.
		reply, err := tb.sendModelRequest(i, deployer.WorkspaceName(prefix), routingDeadline, promptBody(prefix, i, routingTokens))
		firstToken := routingDeadline
		if err == nil && reply.Complete {
			firstToken = reply.TimeToFirstByte + started.Sub(due)
		}
		recorder.record(firstToken)
		if firstToken <= firstTokenBound {
			inTime.add(reply, nil, true)
		}
	})
	if err != nil {
		return res, err
	}
	sent = int(recorder.count())
	hits, misses := 0, 0
	for _, e := range tb.Endpoints {
		h, m := e.Emulator.CacheStats()
		hits, misses = hits+h, misses+m
	}
	distinct := map[int]struct{}{}
	for _, p := range prefixes[:sent] {
		distinct[p] = struct{}{}
	}
	return routingResult{
		p50: recorder.percentile(50), p95: recorder.percentile(95), p99: recorder.percentile(99),
		inTime:  float64(inTime.answered) / float64(sent),
		hits:    float64(hits) / float64(hits+misses),
		maxHits: float64(sent-len(distinct)) / float64(sent),
	}, nil
}
