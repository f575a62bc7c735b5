package planner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"flamingoledge.org/flamingoledge/pkg/chunker"
	"flamingoledge.org/flamingoledge/pkg/planner"
)

// TestCongestedLinkReducesWindow simulates a link that becomes more than ten times
// slower. Requested chunks must not queue for seconds ahead of live requests.
func TestCongestedLinkReducesWindow(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	members := []planner.Member{{Instance: "self", Region: "r"}, {Instance: "b", Region: "r"}, {Instance: "c", Region: "r"}, {Instance: "d", Region: "r"}}
	p := planner.New(planner.Config{
		Self: members[0], VersionDigest: "v", Chunks: 192, OriginRegion: "q", OriginRanks: 1, EagerRanks: 1, Neighbors: 6,
		PeerWindow: 2, OriginWindow: 1, TotalWindow: 6, TakeoverAfter: time.Hour, ChunkTimeout: time.Hour,
		Rand: rand.New(rand.NewPCG(1, 2)),
	}, now, chunker.NewIndexSet(192))
	p.SetMembers(members)
	for _, m := range members[1:] {
		for i := range 192 {
			p.AddPeerChunk(m.Instance, i)
		}
	}
	var inFlight []planner.Fetch
	step := func(latency time.Duration) int {
		inFlight = append(inFlight, p.NextFetches(now)...)
		outstanding := len(inFlight)
		now = now.Add(latency)
		for _, f := range inFlight {
			p.RecordSuccess(now, f)
		}
		inFlight = inFlight[:0]
		return outstanding
	}
	var outstanding int
	for range 12 {
		outstanding = step(100 * time.Millisecond)
	}
	is.Equal(outstanding, 6) // the window grows to its limit on a fast link
	for range 8 {
		outstanding = step(1500 * time.Millisecond)
		now = now.Add(3 * time.Second)
	}
	is.True(outstanding <= 2)
	for range 12 {
		outstanding = step(50 * time.Millisecond)
	}
	is.Equal(outstanding, 6) // the window grows again when the link recovers
}

// slowLink simulates a link that delivers the outstanding chunks one after the other.
type slowLink struct {
	perChunk time.Duration
	freeAt   time.Time
	queue    []arrival
}

type arrival struct {
	fetch planner.Fetch
	at    time.Time
}

func (l *slowLink) add(now time.Time, fetches []planner.Fetch) {
	for _, f := range fetches {
		if l.freeAt.Before(now) {
			l.freeAt = now
		}
		l.freeAt = l.freeAt.Add(l.perChunk)
		l.queue = append(l.queue, arrival{f, l.freeAt})
	}
}

func (l *slowLink) deliver(now time.Time, p *planner.Planner) {
	for len(l.queue) > 0 && !l.queue[0].at.After(now) {
		p.RecordSuccess(l.queue[0].at, l.queue[0].fetch)
		l.queue = l.queue[1:]
	}
}

// TestSlowLinkQueue replays the transfer of a version over a link that is slow from the
// start, as after a restart. A request to the endpoint arrives behind all requested
// chunks, whichever region they come from.
func TestSlowLinkQueue(t *testing.T) {
	const chunks = 96
	tests := map[string]struct {
		// perChunk is the time that the link needs for one chunk.
		perChunk time.Duration
		// remote is how many of the other members are in another region.
		remote   int
		maxQueue time.Duration
	}{
		"1 Mbit/s, own region":    {perChunk: 200 * time.Millisecond, remote: 0, maxQueue: 600 * time.Millisecond},
		"1 Mbit/s, two regions":   {perChunk: 200 * time.Millisecond, remote: 12, maxQueue: 600 * time.Millisecond},
		"7 Mbit/s, two regions":   {perChunk: 27 * time.Millisecond, remote: 12, maxQueue: 300 * time.Millisecond},
		"0.5 Mbit/s, two regions": {perChunk: 400 * time.Millisecond, remote: 12, maxQueue: 1200 * time.Millisecond},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			members := []planner.Member{{Instance: "self", Region: "r"}}
			for i := range 14 {
				m := planner.Member{Instance: fmt.Sprint("m", i), Region: "r"}
				if i < tc.remote {
					m.Region = "q"
				}
				members = append(members, m)
			}
			p := planner.New(planner.Config{
				Self: members[0], VersionDigest: "v", Chunks: chunks, OriginRegion: "q", OriginRanks: 3, OriginReaders: 6, EagerRanks: 1, Neighbors: 6,
				PeerWindow: 2, OriginWindow: 2, TotalWindow: 6, TakeoverAfter: 600 * time.Millisecond, ChunkTimeout: time.Second,
				Rand: rand.New(rand.NewPCG(1, 2)),
			}, now, chunker.NewIndexSet(chunks))
			p.SetMembers(members)
			for _, m := range members[1:] {
				for i := range chunks {
					p.AddPeerChunk(m.Instance, i)
				}
			}
			link := slowLink{perChunk: tc.perChunk}
			var longest time.Duration
			for start := now; !p.Complete(); now = now.Add(20 * time.Millisecond) {
				link.deliver(now, p)
				link.add(now, p.NextFetches(now))
				longest = max(longest, link.freeAt.Sub(now))
				is.True(now.Sub(start) < chunks*tc.perChunk*3/2) // the link must stay busy
			}
			t.Logf("longest queue %v, complete after %v", longest, now.Sub(time.Unix(1000, 0)))
			is.True(longest <= tc.maxQueue)
		})
	}
}
