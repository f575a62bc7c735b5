package router

import (
	"math/bits"
	"slices"
	"time"
)

// Reason is why an endpoint was chosen.
type Reason string

// Reasons for a choice.
const (
	// ReasonAffinity means that the endpoint probably has the prompt's prefix
	// cached and that its cost is within the affinity bound.
	ReasonAffinity Reason = "affinity"
	// ReasonCheapest means that the endpoint had the lowest cost among the compared
	// candidates.
	ReasonCheapest Reason = "cheapest"
	// ReasonKeyOwner means that the endpoint owns the idempotency key on the hash
	// ring.
	ReasonKeyOwner Reason = "key_owner"
	// ReasonOnlyCandidate means that there was no other candidate.
	ReasonOnlyCandidate Reason = "only_one"
)

// Config configures how an endpoint is chosen.
type Config struct {
	// Policy selects the algorithm. The default is PolicyPowerOfChoices.
	Policy Policy
	Region string
	// AffinityBound is by how much the cost of the endpoint with the cached prefix
	// may exceed that of the cheapest candidate, as a fraction of its capacity.
	AffinityBound float64
	// RegionPenalty is added to the cost of endpoints in other regions, as a
	// fraction of capacity.
	RegionPenalty float64
	// SlowStart is how long the cost of a new endpoint is increased.
	SlowStart time.Duration
}

// Query describes the attempt that an endpoint is chosen for.
type Query struct {
	GroupKey GroupKey
	// AffinityKey is a hash of the prompt's prefix, 0 for none.
	AffinityKey uint64
	// OwnerKey is a hash of an idempotency key, 0 for none. It takes precedence
	// over cost, so that copies of a call are sent to the same endpoint.
	OwnerKey uint64
	// Exclude lists instances that have already been tried.
	Exclude []string
	// Random is a random number for this choice.
	Random uint64
}

// Choice is the chosen endpoint, with the reason and the compared costs.
type Choice struct {
	Endpoint  *Endpoint
	Reason    Reason
	Cost      float64
	OtherCost float64
}

// Pick chooses an endpoint. It returns false if the group has no endpoint that is
// not excluded.
func (t *Table) Pick(cfg Config, now time.Time, q Query) (Choice, bool) {
	g := t.group(q.GroupKey)
	if g == nil {
		return Choice{}, false
	}
	if q.OwnerKey != 0 {
		return g.pickOwner(cfg, now, q)
	}
	if cfg.Policy != "" && cfg.Policy != PolicyPowerOfChoices {
		return g.pickByPolicy(cfg, now, q, t.turn.Add(1))
	}
	c, ok := g.pickCheapest(cfg, now, q)
	if !ok || q.AffinityKey == 0 {
		return c, ok
	}
	if preferred := g.firstOnRing(now, q, q.AffinityKey, g.isSlow); preferred != nil {
		if cost := g.cost(cfg, now, preferred); cost <= c.Cost+cfg.AffinityBound {
			return Choice{Endpoint: preferred, Reason: ReasonAffinity, Cost: cost, OtherCost: c.Cost}, true
		}
	}
	return c, true
}

// candidatesPerPick is the number of endpoints that are compared. Two suffice if
// there are many endpoints. If there are few, more candidates leave less capacity
// idle, and an entry usually has about twenty endpoints.
const candidatesPerPick = 4

// pickCheapest chooses the endpoint with the lowest cost among a few random
// candidates.
func (g *group) pickCheapest(cfg Config, now time.Time, q Query) (c Choice, ok bool) {
	random := q.Random
	for range candidatesPerPick {
		e := g.candidate(now, q, random)
		random = bits.RotateLeft64(random, 32)*0x9e3779b97f4a7c15 + 1
		if e == nil || e == c.Endpoint {
			continue
		}
		cost := g.cost(cfg, now, e)
		switch {
		case !ok:
			c, ok = Choice{Endpoint: e, Reason: ReasonOnlyCandidate, Cost: cost}, true
		case cost < c.Cost:
			c = Choice{Endpoint: e, Reason: ReasonCheapest, Cost: cost, OtherCost: c.Cost}
		default:
			c.Reason = ReasonCheapest
			c.OtherCost = cost
		}
	}
	return c, ok
}

func (g *group) pickOwner(cfg Config, now time.Time, q Query) (Choice, bool) {
	e := g.firstOnRing(now, q, q.OwnerKey, nil)
	if e == nil {
		return Choice{}, false
	}
	return Choice{Endpoint: e, Reason: ReasonKeyOwner, Cost: e.cost(cfg, now)}, true
}

// candidate returns the first usable endpoint from a random index on. Ejection is
// ignored if all endpoints are ejected.
func (g *group) candidate(now time.Time, q Query, random uint64) *Endpoint {
	hi, _ := bits.Mul64(random, uint64(len(g.endpoints)))
	return g.firstUsableFrom(int(hi), now, q)
}

// firstUsableFrom returns the first endpoint from index start on that is neither
// excluded nor ejected, or else the first ejected one.
func (g *group) firstUsableFrom(start int, now time.Time, q Query) *Endpoint {
	var ejected *Endpoint
	for i := range g.endpoints {
		e := g.endpoints[(start+i)%len(g.endpoints)]
		if slices.Contains(q.Exclude, e.Instance) {
			continue
		}
		if !e.isEjected(now) {
			return e
		}
		if ejected == nil {
			ejected = e
		}
	}
	return ejected
}

// isExcluded reports whether an endpoint is ejected or has already been tried.
func (e *Endpoint) isExcluded(now time.Time, q Query) bool {
	return e.isEjected(now) || slices.Contains(q.Exclude, e.Instance)
}

// firstOnRing returns the first endpoint at or after key on the ring that is
// neither excluded, ejected nor avoided. If there is none, it returns the first
// avoided one, or else the first ejected one.
func (g *group) firstOnRing(now time.Time, q Query, key uint64, avoid func(time.Time, *Endpoint) bool) *Endpoint {
	start, _ := slices.BinarySearchFunc(g.ring, key, func(p ringPoint, k uint64) int {
		if p.hash < k {
			return -1
		}
		return 1
	})
	var ejected, avoided *Endpoint
	for i := range g.ring {
		e := g.endpoints[g.ring[(start+i)%len(g.ring)].endpoint]
		switch {
		case slices.Contains(q.Exclude, e.Instance):
		case e.isEjected(now):
			ejected = firstNonNil(ejected, e)
		case avoid != nil && avoid(now, e):
			avoided = firstNonNil(avoided, e)
		default:
			return e
		}
	}
	return firstNonNil(avoided, ejected)
}

func firstNonNil(a, b *Endpoint) *Endpoint {
	if a != nil {
		return a
	}
	return b
}

// cost returns the load after one more attempt, as a fraction of capacity. The
// reported load is corrected for this process's attempts that began or ended since
// the report.
func (e *Endpoint) cost(cfg Config, now time.Time) float64 {
	c := float64(e.externalInFlight()+int(e.stats.inFlight.Load())+1) / float64(max(e.Load.Capacity, 1))
	if e.Region != cfg.Region {
		c += cfg.RegionPenalty
	}
	if age := now.Sub(e.JoinedAt); age < cfg.SlowStart {
		c += 1 - float64(age)/float64(cfg.SlowStart)
	}
	return c
}

// externalInFlight returns the reported load without this process's attempts that
// it included.
func (e *Endpoint) externalInFlight() int {
	return max(int(e.stats.reportedLoad.Load()-e.stats.inFlightAtReport.Load()), 0)
}

func (e *Endpoint) isEjected(now time.Time) bool {
	return now.UnixNano() < e.stats.ejectedUntil.Load()
}

// Begin records that an attempt is sent to the endpoint.
func (e *Endpoint) Begin() { e.stats.inFlight.Add(1) }

// End records that an attempt ended. ok is false if the endpoint failed the
// attempt. It returns true if the endpoint is ejected as a result.
func (t *Table) End(now time.Time, key GroupKey, e *Endpoint, ok bool) (ejected bool) {
	s := e.stats
	s.inFlight.Add(-1)
	if ok {
		s.consecutiveFailures.Store(0)
		s.consecutiveEjections.Store(0)
		return false
	}
	if s.consecutiveFailures.Add(1) < failuresToEject || !t.mayEject(now, key) {
		return false
	}
	s.consecutiveFailures.Store(0)
	duration := min(baseEjection<<min(s.consecutiveEjections.Add(1)-1, 8), maxEjection)
	s.ejectedUntil.Store(now.Add(duration).UnixNano())
	return true
}

// mayEject reports whether one more endpoint of the group may be ejected. At least
// one endpoint must remain, and at most maxEjectedShare of the group (but at least
// one endpoint) may be ejected.
func (t *Table) mayEject(now time.Time, key GroupKey) bool {
	g := t.group(key)
	if g == nil {
		return false
	}
	n := 1
	for _, e := range g.endpoints {
		if e.isEjected(now) {
			n++
		}
	}
	allowed := max(1, int(maxEjectedShare*float64(len(g.endpoints))))
	return n <= allowed && n < len(g.endpoints)
}
