// Package router chooses the endpoint that runs an attempt. A Table is an
// immutable view of the known endpoints; choosing allocates nothing and takes
// time that does not grow with their number.
package router

import (
	"cmp"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// ringPoints is how many points each endpoint has on the affinity ring.
	ringPoints = 16
	// failuresToEject is how many failures in a row eject an endpoint.
	failuresToEject = 3
	// baseEjection is how long the first ejection lasts; it doubles each time.
	baseEjection = time.Second
	// maxEjection bounds an ejection.
	maxEjection = 30 * time.Second
	// maxEjectedShare bounds the share of a group that may be ejected.
	maxEjectedShare = 0.34
)

// Load is what an endpoint reported about itself.
type Load struct {
	Running  int
	Queued   int
	Capacity int
}

// Endpoint is what is known about one endpoint.
type Endpoint struct {
	Instance    string
	Incarnation string
	Address     string
	Region      string
	Service     string
	// Versions are the version digests that the endpoint serves.
	Versions []string
	Load     Load
	// JoinedAt is when the endpoint became known, for the slow start.
	JoinedAt time.Time
	Leaving  bool
	// Unattached is true when only the platform's list knows the endpoint, so
	// that its load and versions are not known.
	Unattached bool

	stats *stats
}

// stats are the counters of an endpoint that outlive tables.
type stats struct {
	inFlight atomic.Int64
	// reportedLoad is the load that the endpoint last reportedLoad, by heartbeat or with
	// an answer, and atReport the own attempts that were part of it.
	reportedLoad         atomic.Int64
	inFlightAtReport     atomic.Int64
	latency              latency
	consecutiveFailures  atomic.Int64
	consecutiveEjections atomic.Int64
	ejectedUntil         atomic.Int64
}

// GroupKey names the endpoints that can run an attempt alike.
type GroupKey struct {
	Service       string
	VersionDigest string
}

type ringPoint struct {
	hash     uint64
	endpoint int
}

type group struct {
	endpoints []*Endpoint
	ring      []ringPoint
	capacity  int
	// latency is the usual one in the group. It outlives tables.
	latency *latency
}

// Table is an immutable view of the endpoints by group.
type Table struct {
	groups map[GroupKey]*group
	stats  map[string]*stats
	// turn counts the choices of PolicyRoundRobin over all tables.
	turn *atomic.Uint64
}

// NewTable returns a table of endpoints. Counters of endpoints that prev knows
// in the same incarnation are carried on; prev may be nil.
func NewTable(endpoints []Endpoint, prev *Table) *Table {
	t := &Table{groups: map[GroupKey]*group{}, stats: map[string]*stats{}, turn: new(atomic.Uint64)}
	if prev != nil {
		t.turn = prev.turn
	}
	for i := range endpoints {
		e := endpoints[i]
		e.stats = t.reuseStats(&e, prev)
		if e.Leaving {
			continue
		}
		for _, g := range e.groups() {
			t.add(g, &e)
		}
	}
	for key, g := range t.groups {
		before := prev.group(key)
		g.buildRing(before)
		g.latency = &latency{}
		if before != nil {
			g.latency = before.latency
		}
	}
	return t
}

func (t *Table) reuseStats(e *Endpoint, prev *Table) *stats {
	id := e.Instance + "/" + e.Incarnation
	s := &stats{}
	s.reportedLoad.Store(int64(e.Load.Running + e.Load.Queued))
	if prev != nil && prev.stats[id] != nil {
		s = prev.stats[id]
	}
	t.stats[id] = s
	return s
}

func (e *Endpoint) groups() []GroupKey {
	gs := make([]GroupKey, 0, len(e.Versions)+1)
	gs = append(gs, GroupKey{Service: e.Service})
	for _, v := range e.Versions {
		gs = append(gs, GroupKey{Service: e.Service, VersionDigest: v})
	}
	return gs
}

func (t *Table) add(key GroupKey, e *Endpoint) {
	g := t.groups[key]
	if g == nil {
		g = &group{}
		t.groups[key] = g
	}
	g.endpoints = append(g.endpoints, e)
	g.capacity += max(e.Load.Capacity, 1)
}

func (t *Table) group(key GroupKey) *group {
	if t == nil {
		return nil
	}
	return t.groups[key]
}

// buildRing puts the endpoints on the ring. The ring of an unchanged group is
// taken over, so that reports of load cost nothing here.
func (g *group) buildRing(prev *group) {
	slices.SortFunc(g.endpoints, func(a, b *Endpoint) int { return cmp.Compare(a.Instance, b.Instance) })
	if prev != nil && slices.EqualFunc(g.endpoints, prev.endpoints, func(a, b *Endpoint) bool { return a.Instance == b.Instance }) {
		g.ring = prev.ring
		return
	}
	g.ring = make([]ringPoint, 0, len(g.endpoints)*ringPoints)
	for i, e := range g.endpoints {
		for p := range ringPoints {
			g.ring = append(g.ring, ringPoint{hash: xxhash.Sum64String(e.Instance + "/" + strconv.Itoa(p)), endpoint: i})
		}
	}
	slices.SortFunc(g.ring, func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) })
}

// Size returns how many endpoints a group has.
func (t *Table) Size(key GroupKey) int {
	if g := t.group(key); g != nil {
		return len(g.endpoints)
	}
	return 0
}

// Capacity returns how many requests the endpoints of a group run at a time.
func (t *Table) Capacity(key GroupKey) int {
	if g := t.group(key); g != nil {
		return g.capacity
	}
	return 0
}

// ExternalInFlight returns how many requests others than this process have in progress at
// the endpoints of a group, as far as the reports tell.
func (t *Table) ExternalInFlight(key GroupKey) (n int) {
	g := t.group(key)
	if g == nil {
		return 0
	}
	for _, e := range g.endpoints {
		n += e.externalInFlight()
	}
	return n
}

// Find returns an endpoint of a group by its instance.
func (t *Table) Find(key GroupKey, instance string) (*Endpoint, bool) {
	g := t.group(key)
	if g == nil {
		return nil, false
	}
	i, ok := slices.BinarySearchFunc(g.endpoints, instance, func(e *Endpoint, name string) int { return cmp.Compare(e.Instance, name) })
	if !ok {
		return nil, false
	}
	return g.endpoints[i], true
}

// RecordReport notes that a fresh load report of an endpoint has come, so that the
// own attempts in flight now are part of it.
func (t *Table) RecordReport(instance, incarnation string, running int) {
	if s := t.stats[instance+"/"+incarnation]; s != nil {
		s.recordLoad(running)
	}
}

// RecordAnswerLoad notes the load that came with an answer of the endpoint. It must be
// called after the attempt has ended.
func (e *Endpoint) RecordAnswerLoad(running int) { e.stats.recordLoad(running) }

func (s *stats) recordLoad(running int) {
	s.reportedLoad.Store(int64(running))
	s.inFlightAtReport.Store(s.inFlight.Load())
}
