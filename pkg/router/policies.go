package router

import "time"

// Policy names a way to choose. All but PolicyPowerOfChoices are there to be
// compared with it.
type Policy string

// Policies.
const (
	// PolicyPowerOfChoices is the usual one, also when none is named.
	PolicyPowerOfChoices Policy = "few_choices"
	// PolicyRandom takes any endpoint.
	PolicyRandom Policy = "random"
	// PolicyRoundRobin takes one after the other.
	PolicyRoundRobin Policy = "round_robin"
	// PolicyLeastReported takes the endpoint that reported the least load.
	PolicyLeastReported Policy = "least_reported"
)

// ReasonPolicy means that a policy to compare with chose the endpoint.
const ReasonPolicy Reason = "policy"

// pickByPolicy chooses by a policy to compare with.
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

// leastReported returns the usable endpoint with the least reported load; ties
// go to the first one after a random place.
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
