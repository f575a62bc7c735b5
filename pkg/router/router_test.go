package router_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"flamingoledge.org/flamingoledge/pkg/router"
)

var (
	now   = time.Unix(1000, 0)
	group = router.GroupKey{Service: "engine", VersionDigest: "v"}
	cfg   = router.Config{Region: "a", AffinityBound: 0.5, RegionPenalty: 0.05, SlowStart: time.Second}
)

func endpoints(n int) []router.Endpoint {
	es := make([]router.Endpoint, n)
	for i := range es {
		es[i] = router.Endpoint{
			Instance: fmt.Sprintf("e%02d", i), Region: "a", Service: "engine", Versions: []string{"v"},
			Load: router.Load{Capacity: 8}, JoinedAt: now.Add(-time.Hour),
		}
	}
	return es
}

func TestLocalAttemptsCorrectStaleReports(t *testing.T) {
	is := is.New(t)
	table := router.NewTable(endpoints(16), nil)
	sent := map[string]int{}
	for range 160 {
		c, ok := table.Pick(cfg, now, router.Query{GroupKey: group, Random: rand.Uint64()})
		is.True(ok)
		c.Endpoint.Begin()
		sent[c.Endpoint.Instance]++
	}
	for _, n := range sent {
		is.True(n <= 14) // ten each on average, although every endpoint reported no load
	}
}

func TestAffinityIsLimitedByBound(t *testing.T) {
	is := is.New(t)
	table := router.NewTable(endpoints(8), nil)
	q := router.Query{GroupKey: group, AffinityKey: 12345}
	first, _ := table.Pick(cfg, now, q)
	is.Equal(first.Reason, router.ReasonAffinity)
	for i := range 40 {
		q.Random = rand.Uint64()
		c, ok := table.Pick(cfg, now, q)
		is.True(ok)
		c.Endpoint.Begin()
		if c.Reason != router.ReasonAffinity {
			is.True(c.Endpoint.Instance != first.Endpoint.Instance)
			is.True(i >= 4) // the bound is half the capacity
			return
		}
	}
	is.Fail() // all attempts went to the preferred endpoint
}

func TestFailingEndpointIsEjectedTemporarily(t *testing.T) {
	is := is.New(t)
	table := router.NewTable(endpoints(4), nil)
	failing, ok := table.Find(group, "e02")
	is.True(ok)
	for range 3 {
		failing.Begin()
		table.End(now, group, failing, false)
	}
	for range 200 {
		c, ok := table.Pick(cfg, now, router.Query{GroupKey: group, Random: rand.Uint64(), AffinityKey: rand.Uint64()})
		is.True(ok)
		is.True(c.Endpoint.Instance != "e02")
	}
	later := now.Add(time.Minute)
	chosenAgain := false
	for range 200 {
		c, _ := table.Pick(cfg, later, router.Query{GroupKey: group, Random: rand.Uint64()})
		chosenAgain = chosenAgain || c.Endpoint.Instance == "e02"
	}
	is.True(chosenAgain)
}

func TestSlowEndpointIsAvoidedTemporarily(t *testing.T) {
	is := is.New(t)
	table := router.NewTable(endpoints(4), nil)
	for i := range 200 {
		e, ok := table.Find(group, fmt.Sprintf("e%02d", i%4))
		is.True(ok)
		latency := 10 * time.Millisecond
		if i%4 == 2 {
			latency *= 5
		}
		table.RecordLatency(now, group, e, latency)
	}
	timesChosen := func(at time.Time) (n int) {
		for range 400 {
			if c, _ := table.Pick(cfg, at, router.Query{GroupKey: group, Random: rand.Uint64(), AffinityKey: rand.Uint64()}); c.Endpoint.Instance == "e02" {
				n++
			}
		}
		return n
	}
	is.Equal(timesChosen(now), 0)
	is.True(timesChosen(now.Add(time.Minute)) > 40) // the endpoint is tried again
}

func TestNotAllEndpointsAreEjected(t *testing.T) {
	is := is.New(t)
	table := router.NewTable(endpoints(4), nil)
	for i := range 4 {
		e, _ := table.Find(group, fmt.Sprintf("e%02d", i))
		for range 3 {
			e.Begin()
			table.End(now, group, e, false)
		}
	}
	_, ok := table.Pick(cfg, now, router.Query{GroupKey: group, Random: 1})
	is.True(ok)
	_, ok = table.Pick(cfg, now, router.Query{GroupKey: group, Exclude: []string{"e00", "e01", "e02", "e03"}})
	is.True(!ok)
	_, ok = table.Pick(cfg, now, router.Query{GroupKey: router.GroupKey{Service: "none"}})
	is.True(!ok)
}

func TestRequestsWithSameKeyChooseSameEndpoint(t *testing.T) {
	is := is.New(t)
	all := endpoints(8)
	a, b := router.NewTable(all, nil), router.NewTable(all[:6], nil)
	matching := 0
	for key := range uint64(100) {
		q := router.Query{GroupKey: group, OwnerKey: (key + 1) * 0x9e3779b97f4a7c15, Random: rand.Uint64()}
		x, _ := a.Pick(cfg, now, q)
		y, _ := b.Pick(cfg, now, q)
		if x.Endpoint.Instance == y.Endpoint.Instance {
			matching++
		}
	}
	is.True(matching >= 60) // only the keys of the missing endpoints move
}
