package planner_test

import (
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
		Self: members[0], VersionDigest: "v", Chunks: 96, OriginRegion: "q", OriginRanks: 1, EagerRanks: 1, Neighbors: 6,
		PeerWindow: 2, OriginWindow: 1, TotalWindow: 6, TakeoverAfter: time.Hour, ChunkTimeout: time.Hour,
		Rand: rand.New(rand.NewPCG(1, 2)),
	}, now, chunker.NewIndexSet(96))
	p.SetMembers(members)
	for _, m := range members[1:] {
		for i := range 96 {
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
	is.Equal(step(100*time.Millisecond), 6)
	is.Equal(step(100*time.Millisecond), 6)
	var outstanding int
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
