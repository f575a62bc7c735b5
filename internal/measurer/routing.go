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
	decisionEndpoints = 2200
	decisionBound     = 2000.0
	p99Bound          = 0.7
	cacheBound        = 0.9

	routingEngines     = 16
	routingConcurrency = 4
	routingRate        = 450.0
	routingTime        = 8 * time.Second
	routingQuickTime   = 3 * time.Second
	routingTokens      = 10
	routingDeadline    = 5 * time.Second
	// routingPrefixes are drawn with the skew of a Zipf distribution.
	routingPrefixes = 200
	routingSkew     = 1.1
	// firstTokenInTime is the users' bound on the first token.
	firstTokenInTime = 350 * time.Millisecond
	slowEngines      = 2
	slowFactor       = 3
)

// measureDecision benchmarks one routing decision at the target size.
func measureDecision(_ context.Context, _ Config, r *Report) error {
	now := time.Now()
	endpoints := make([]router.Endpoint, decisionEndpoints)
	for i := range endpoints {
		endpoints[i] = router.Endpoint{
			Instance: fmt.Sprintf("runner-%04d", i), Service: "engine", Versions: []string{"v"},
			Load: router.Load{Running: i % 8, Capacity: 8}, JoinedAt: now.Add(-time.Hour),
		}
	}
	table := router.NewTable(endpoints, nil)
	cfg := entryserver.DefaultRoutingConfig("a")
	q := router.Query{Group: router.Group{Service: "engine", VersionDigest: "v"}}
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
	r.bounded("decision_ns", float64(result.NsPerOp()), "ns", LowerIsBetter, decisionBound)
	r.bounded("decision_allocs", float64(result.AllocsPerOp()), "allocations", LowerIsBetter, 0)
	return nil
}

// routingResult is what one policy reached.
type routingResult struct {
	p50, p95, p99 time.Duration
	inTime        float64
	hits          float64
	perfect       float64
}

// measureRouting compares the policies under skewed workspaces and prefixes,
// reports that lag by a second, two slow engines and one that dies.
func measureRouting(ctx context.Context, cfg Config, r *Report) error {
	results := map[router.Policy]routingResult{}
	policies := []router.Policy{router.PolicyRandom, router.PolicyRoundRobin, router.PolicyLeastReported, router.PolicyFewChoices}
	if cfg.Quick {
		policies = policies[2:]
	}
	for _, p := range policies {
		res, err := routePolicy(ctx, cfg, p)
		if err != nil {
			return err
		}
		results[p] = res
		cfg.say("routing %s: first token p50 %v p95 %v p99 %v, in time %.3f, cache hits %.3f of %.3f", p, res.p50, res.p95, res.p99, res.inTime, res.hits, res.perfect)
		r.add("first_token_p50_seconds_"+string(p), res.p50.Seconds(), "s", LowerIsBetter)
		r.add("first_token_p95_seconds_"+string(p), res.p95.Seconds(), "s", LowerIsBetter)
		r.add("first_token_p99_seconds_"+string(p), res.p99.Seconds(), "s", LowerIsBetter)
		r.add("share_in_time_"+string(p), res.inTime, "ratio", HigherIsBetter)
		r.add("cache_hit_share_"+string(p), res.hits, "ratio", HigherIsBetter)
	}
	ours, least := results[router.PolicyFewChoices], results[router.PolicyLeastReported]
	r.bounded("p99_over_least_reported", ours.p99.Seconds()/least.p99.Seconds(), "ratio", LowerIsBetter, p99Bound)
	r.bounded("cache_hits_over_perfect", ours.hits/ours.perfect, "ratio", HigherIsBetter, cacheBound)
	return nil
}

func routePolicy(ctx context.Context, cfg Config, p router.Policy) (res routingResult, err error) {
	t := engines(routingEngines, routingConcurrency, deployer.Service{
		FirstToken: 10 * time.Millisecond, TokenInterval: 4 * time.Millisecond,
		ColdPrefix: 40 * time.Millisecond, CachedPrefixes: routingPrefixes,
	})
	o := deployer.Options{Entry: func(c *entryserver.Config) { c.Routing.Policy = p }}
	err = withRig(ctx, cfg, t, o, func(ctx context.Context, rg *rig) error {
		res, err = rg.routeLoad(ctx, cfg)
		return err
	})
	return res, err
}

func (r *rig) routeLoad(ctx context.Context, cfg Config) (res routingResult, err error) {
	for i := range slowEngines {
		r.Endpoints[i].StandIn.SetFaults(emulator.EndpointFaults{Slowdown: slowFactor})
	}
	length := routingTime
	if cfg.Quick {
		length = routingQuickTime
	}
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	dying := time.AfterFunc(length/2, func() {
		r.Endpoints[slowEngines].StandIn.SetFaults(emulator.EndpointFaults{Crashed: true})
	})
	defer dying.Stop()
	ls := newLatencies()
	zipf := rand.NewZipf(rand.New(rand.NewPCG(cfg.Seed, 6)), routingSkew, 1, routingPrefixes-1)
	prefixes := make([]int, int(routingRate*length.Seconds()*2))
	for i := range prefixes {
		prefixes[i] = int(zipf.Uint64())
	}
	sent := 0
	inTime := &tally{}
	err = openLoop(ctx, routingRate, cfg.Seed, func(i int, due time.Time) {
		prefix := prefixes[i%len(prefixes)]
		started := time.Now()
		// The prefix decides the workspace, so that the workspaces are as skewed.
		reply, err := r.ask(i, deployer.WorkspaceName(prefix), routingDeadline, prompt(prefix, i, routingTokens))
		first := routingDeadline
		if err == nil && reply.Whole {
			first = reply.FirstByte + started.Sub(due)
		}
		ls.record(first)
		if first <= firstTokenInTime {
			inTime.add(reply, nil, true)
		}
	})
	if err != nil {
		return res, err
	}
	sent = int(ls.count())
	hits, misses := 0, 0
	for _, e := range r.Endpoints {
		h, m := e.StandIn.CacheUse()
		hits, misses = hits+h, misses+m
	}
	distinct := map[int]struct{}{}
	for _, p := range prefixes[:sent] {
		distinct[p] = struct{}{}
	}
	return routingResult{
		p50: ls.at(50), p95: ls.at(95), p99: ls.at(99),
		inTime:  float64(inTime.answered) / float64(sent),
		hits:    float64(hits) / float64(hits+misses),
		perfect: float64(sent-len(distinct)) / float64(sent),
	}, nil
}
