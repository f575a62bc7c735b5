package router

import (
	"math/bits"
	"slices"
	"time"
)

// Reason says why an endpoint was chosen.
type Reason string

// Reasons of a choice.
const (
	// ReasonAffinity means that the endpoint likely has the prompt's prefix
	// cached and is not overloaded.
	ReasonAffinity Reason = "affinity"
	// ReasonCheapest means that the endpoint was the cheapest of a few.
	ReasonCheapest Reason = "cheapest"
	// ReasonKeyOwner means that the endpoint is the first choice for a key.
	ReasonKeyOwner Reason = "key_owner"
	// ReasonOnlyCandidate means that there was no other endpoint.
	ReasonOnlyCandidate Reason = "only_one"
)

// Config configures the policy of a choice.
type Config struct {
	// Policy is how to choose; empty is PolicyPowerOfChoices.
	Policy Policy
	Region string
	// AffinityBound is how much dearer than the cheapest choice the endpoint with
	// the cached prefix may be, in shares of its capacity.
	AffinityBound float64
	// RegionPenalty is added to the cost of endpoints of other regions, in
	// shares of capacity.
	RegionPenalty float64
	// SlowStart is how long a new endpoint is dearer than it reports.
	SlowStart time.Duration
}

// Query asks for an endpoint.
type Query struct {
	GroupKey GroupKey
	// AffinityKey is a hash of the prompt's prefix, 0 for none.
	AffinityKey uint64
	// OwnerKey is a hash of an idempotency key, 0 for none. It goes before cost,
	// so that copies of a call meet at one endpoint.
	OwnerKey uint64
	// Exclude are instances that were tried already.
	Exclude []string
	// Random is a random number for this choice.
	Random uint64
}

// Choice is a decision with what it was made from.
type Choice struct {
	Endpoint  *Endpoint
	Reason    Reason
	Cost      float64
	OtherCost float64
}

// Pick chooses an endpoint. It returns false if the group has none left.
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

// candidatesPerPick is how many endpoints are compared. Two would do for many endpoints;
// with few of them more candidatesPerPick leave fewer places idle, and an entry sees about
// twenty.
const candidatesPerPick = 4

// pickCheapest chooses the cheapest of a few endpoints at random places.
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

// candidate returns the first usable endpoint from a random place on. If all are
// ejected, ejection is ignored.
func (g *group) candidate(now time.Time, q Query, random uint64) *Endpoint {
	hi, _ := bits.Mul64(random, uint64(len(g.endpoints)))
	return g.firstUsableFrom(int(hi), now, q)
}

// firstUsableFrom returns the first usable endpoint firstUsableFrom a place on.
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

// isExcluded tells whether an endpoint was tried already or is ejected.
func (e *Endpoint) isExcluded(now time.Time, q Query) bool {
	return e.isEjected(now) || slices.Contains(q.Exclude, e.Instance)
}

// firstOnRing returns the first usable endpoint after key on the ring that is not to
// be avoided, or else the first one that is not ejected.
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

// cost is the load after one more attempt, as a share of capacity. The report
// is corrected by the own attempts that began or ended since it came.
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

// externalInFlight is the reported load without the own attempts that it contained.
func (e *Endpoint) externalInFlight() int {
	return max(int(e.stats.reportedLoad.Load()-e.stats.inFlightAtReport.Load()), 0)
}

func (e *Endpoint) isEjected(now time.Time) bool {
	return now.UnixNano() < e.stats.ejectedUntil.Load()
}

// Begin notes that an attempt goes to the endpoint.
func (e *Endpoint) Begin() { e.stats.inFlight.Add(1) }

// End notes that an attempt ended. ok is false when the endpoint is to blame.
// It returns true when the endpoint is ejected for that.
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

// mayEject tells whether one more endpoint of the group may be ejected: at least
// one stays, and no more than the largest share is out.
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
