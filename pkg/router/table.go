// Package router chooses the endpoint that runs an attempt. A Table is an
// immutable view of the known endpoints. With the default policy, choosing an endpoint
// does not allocate, and its time hardly depends on the number of endpoints.
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
	// ringPoints is the number of points of each endpoint on the hash ring.
	ringPoints = 16
	// failuresToEject is the number of consecutive failures that eject an endpoint.
	failuresToEject = 3
	// baseEjection is the duration of the first ejection; it doubles each time.
	baseEjection = time.Second
	// maxEjection limits the duration of an ejection.
	maxEjection = 30 * time.Second
	// maxEjectedShare limits the fraction of a group that may be ejected.
	maxEjectedShare = 0.34
)

// Load is the load that an endpoint reported.
type Load struct {
	Running  int
	Queued   int
	Capacity int
}

// Endpoint describes an endpoint and its last known load.
type Endpoint struct {
	Instance    string
	Incarnation string
	Address     string
	Region      string
	Service     string
	// Versions are the digests of the versions that the endpoint serves.
	Versions []string
	Load     Load
	// JoinedAt is when the endpoint was discovered, for the slow start.
	JoinedAt time.Time
	Leaving  bool
	// Unattached is true if the endpoint is known only from the platform's list, so
	// that its load and versions are unknown.
	Unattached bool

	stats *stats
}

// stats holds the counters of an endpoint, which are shared by successive tables.
type stats struct {
	inFlight atomic.Int64
	// reportedLoad is the load that the endpoint last reported, in a heartbeat or
	// with an answer. inFlightAtReport is the number of this process's attempts that
	// it included.
	reportedLoad         atomic.Int64
	inFlightAtReport     atomic.Int64
	latency              latency
	consecutiveFailures  atomic.Int64
	consecutiveEjections atomic.Int64
	ejectedUntil         atomic.Int64
}

// GroupKey identifies a group of interchangeable endpoints: those of a service,
// or those that serve a version if VersionDigest is set.
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
	// latency is the average over the group. Successive tables share it.
	latency *latency
}

// Table is an immutable view of the endpoints by group. Only the counters of
// endpoints and groups change.
type Table struct {
	groups map[GroupKey]*group
	stats  map[string]*stats
	// turn counts the choices of the baseline policies. Successive tables share it.
	turn *atomic.Uint64
}

// NewTable returns a table of endpoints. It reuses the counters of endpoints that
// prev contains with the same incarnation; prev may be nil.
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
		previous := prev.group(key)
		g.buildRing(previous)
		g.latency = &latency{}
		if previous != nil {
			g.latency = previous.latency
		}
	}
	return t
}

// reuseStats adds the counters of e to the table and returns them. They are those of
// prev if it has the same incarnation of e, and new ones otherwise.
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

// buildRing builds the hash ring of the endpoints. It reuses the ring of prev if the
// instances are the same, so that load reports don't rebuild it.
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

// Size returns the number of endpoints in a group.
func (t *Table) Size(key GroupKey) int {
	if g := t.group(key); g != nil {
		return len(g.endpoints)
	}
	return 0
}

// Capacity returns the number of requests that the endpoints of a group run
// concurrently.
func (t *Table) Capacity(key GroupKey) int {
	if g := t.group(key); g != nil {
		return g.capacity
	}
	return 0
}

// ExternalInFlight returns the number of requests of other processes in progress at
// the endpoints of a group, according to the load reports.
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

// Find returns the endpoint of a group with the given instance.
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

// RecordReport records a new load report of an endpoint. The report is assumed to
// include this process's attempts that are in flight now.
func (t *Table) RecordReport(instance, incarnation string, running int) {
	if s := t.stats[instance+"/"+incarnation]; s != nil {
		s.recordLoad(running)
	}
}

// RecordAnswerLoad records the load that the endpoint reported with an answer. It
// must be called after the attempt has ended.
func (e *Endpoint) RecordAnswerLoad(running int) { e.stats.recordLoad(running) }

func (s *stats) recordLoad(running int) {
	s.reportedLoad.Store(int64(running))
	s.inFlightAtReport.Store(s.inFlight.Load())
}
