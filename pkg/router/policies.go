package router

import "time"

// Policy is an algorithm for choosing an endpoint. All but PolicyPowerOfChoices are
// baselines for comparison.
type Policy string

// Supported policies.
const (
	// PolicyPowerOfChoices chooses the cheapest of a few random candidates. It is
	// the default.
	PolicyPowerOfChoices Policy = "few_choices"
	// PolicyRandom chooses a random endpoint.
	PolicyRandom Policy = "random"
	// PolicyRoundRobin chooses the endpoints in turn.
	PolicyRoundRobin Policy = "round_robin"
	// PolicyLeastReported chooses the endpoint with the lowest reported load.
	PolicyLeastReported Policy = "least_reported"
)

// ReasonPolicy means that a baseline policy chose the endpoint.
const ReasonPolicy Reason = "policy"

// pickByPolicy chooses an endpoint by a baseline policy.
func (g *group) pickByPolicy(cfg Config, now time.Time, q Query, turn uint64) (Choice, bool) {
	var e *Endpoint
	switch cfg.Policy {
	case PolicyRoundRobin:
		e = g.firstUsableFrom(int(turn%uint64(len(g.endpoints))), now, q)
	case PolicyLeastReported:
		e = g.leastReported(now, q)
	default:
		e = g.candidate(now, q, q.Random)
	}
	if e == nil {
		return Choice{}, false
	}
	return Choice{Endpoint: e, Reason: ReasonPolicy, Cost: e.cost(cfg, now)}, true
}

// leastReported returns the usable endpoint with the lowest reported load. Among
// equals it returns the first one from a random index on.
func (g *group) leastReported(now time.Time, q Query) (best *Endpoint) {
	n := len(g.endpoints)
	start := int(q.Random % uint64(n))
	for i := range n {
		e := g.endpoints[(start+i)%n]
		if e.isExcluded(now, q) {
			continue
		}
		if best == nil || e.reportedUtilization() < best.reportedUtilization() {
			best = e
		}
	}
	if best == nil {
		return g.candidate(now, q, q.Random)
	}
	return best
}

func (e *Endpoint) reportedUtilization() float64 {
	return float64(e.Load.Running+e.Load.Queued) / float64(max(e.Load.Capacity, 1))
}
