package planner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"flamingoledge.org/flamingoledge/pkg/chunker"
	"flamingoledge.org/flamingoledge/pkg/planner"
)

const (
	takeover     = time.Second
	chunkTimeout = time.Second
	backoff      = 700 * time.Millisecond
	step         = 50 * time.Millisecond
)

// simulation simulates the transfers of all members. A chunk that a planner requests
// arrives at once from a peer and in a later step from the origin, unless the source is
// down.
type simulation struct {
	now         time.Time
	chunks      int
	members     []planner.Member
	planners    map[string]*planner.Planner
	held        map[string]chunker.IndexSet
	dead        map[string]bool
	crossRegion map[string]int
	origin      map[int]int
	// originDownUntil is when the origin is available again. It sends
	// originChunksPerStep chunks in a step, or all requested ones if that is 0.
	originDownUntil     time.Time
	originChunksPerStep int
	originRead          []originRead
}

// originRead is a pending request to the origin.
type originRead struct {
	reader string
	fetch  planner.Fetch
}

func newSimulation(regions, perRegion, chunks, ranks, readers int, seed uint64) *simulation {
	sim := &simulation{
		now: time.Unix(1000, 0), chunks: chunks, planners: map[string]*planner.Planner{}, held: map[string]chunker.IndexSet{},
		dead: map[string]bool{}, crossRegion: map[string]int{}, origin: map[int]int{},
	}
	for r := range regions {
		for i := range perRegion {
			sim.members = append(sim.members, planner.Member{Instance: fmt.Sprintf("r%d-%d", r, i), Region: fmt.Sprintf("r%d", r)})
		}
	}
	for i, m := range sim.members {
		sim.held[m.Instance] = chunker.NewIndexSet(chunks)
		sim.planners[m.Instance] = planner.New(planner.Config{
			Self: m, VersionDigest: "v", Chunks: chunks, OriginRegion: "r0", OriginRanks: ranks, OriginReaders: readers, EagerRanks: 1,
			Neighbors: 4, PeerWindow: 2, OriginWindow: 4, TotalWindow: 8, TakeoverAfter: takeover, ChunkTimeout: chunkTimeout, MaxOriginBackoff: backoff,
			Rand: rand.New(rand.NewPCG(seed, uint64(i))),
		}, sim.now, sim.held[m.Instance])
	}
	sim.setMembers()
	return sim
}

func (sim *simulation) setMembers() {
	var live []planner.Member
	for _, m := range sim.members {
		if !sim.dead[m.Instance] {
			live = append(live, m)
		}
	}
	for _, p := range sim.planners {
		p.SetMembers(live)
	}
}

// run performs steps until all live members are complete and returns how many members
// are incomplete.
func (sim *simulation) run(steps int) (unfinished int) {
	for range steps {
		sim.now = sim.now.Add(step)
		sim.serveOrigin()
		unfinished = 0
		for _, m := range sim.members {
			if !sim.dead[m.Instance] && !sim.planners[m.Instance].Complete() {
				unfinished++
				sim.stepMember(m)
			}
		}
		if unfinished == 0 {
			return 0
		}
	}
	return unfinished
}

// serveOrigin delivers the chunks that the origin sends in one step.
func (sim *simulation) serveOrigin() {
	n := len(sim.originRead)
	if sim.originChunksPerStep > 0 {
		n = min(n, sim.originChunksPerStep)
	}
	for _, r := range sim.originRead[:n] {
		sim.origin[r.fetch.Index]++
		sim.held[r.reader].Add(r.fetch.Index)
		sim.planners[r.reader].RecordSuccess(sim.now, r.fetch)
	}
	sim.originRead = sim.originRead[n:]
}

func (sim *simulation) stepMember(m planner.Member) {
	p := sim.planners[m.Instance]
	for _, peer := range p.Peers(sim.now) {
		if sim.dead[peer.Instance] {
			p.RemovePeer(peer.Instance)
			continue
		}
		for i := range sim.chunks {
			if sim.held[peer.Instance].Has(i) && (peer.Wanted == nil || peer.Wanted.Has(i)) {
				p.AddPeerChunk(peer.Instance, i)
			}
		}
	}
	for _, f := range p.NextFetches(sim.now) {
		if !f.FromOrigin() && sim.dead[f.Peer] {
			p.RecordFailure(sim.now, f, planner.FailureUnavailable)
			continue
		}
		if f.FromOrigin() && sim.now.Before(sim.originDownUntil) {
			p.RecordFailure(sim.now, f, planner.FailureUnavailable)
			continue
		}
		if f.FromOrigin() {
			sim.originRead = append(sim.originRead, originRead{reader: m.Instance, fetch: f})
			continue
		}
		if f.Peer[:2] != m.Instance[:2] {
			sim.crossRegion[f.Peer[:2]+m.Instance[:2]]++
		}
		sim.held[m.Instance].Add(f.Index)
		p.RecordSuccess(sim.now, f)
	}
}

func TestAllMembersCompleteWithOneOriginCopy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		regions := rapid.IntRange(1, 4).Draw(t, "regions")
		sim := newSimulation(regions, rapid.IntRange(1, 8).Draw(t, "members"), rapid.IntRange(1, 60).Draw(t, "chunks"), 2, rapid.IntRange(0, 4).Draw(t, "readers"), rapid.Uint64().Draw(t, "seed"))
		is.Equal(sim.run(400), 0)
		for i := range sim.chunks {
			is.Equal(sim.origin[i], 1) // each chunk is read from the origin once
		}
		// Each link out of the origin's region carries an equal share of one copy.
		for r := 1; r < regions; r++ {
			got := sim.crossRegion["r0"+fmt.Sprint("r", r)]
			share := sim.chunks / (regions - 1)
			is.True(got == share || got == share+1)
		}
	})
}

func TestTakeoverAfterMemberFailure(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		sim := newSimulation(rapid.IntRange(1, 3).Draw(t, "regions"), rapid.IntRange(4, 8).Draw(t, "members"), 40, 2, rapid.IntRange(0, 4).Draw(t, "readers"), rapid.Uint64().Draw(t, "seed"))
		sim.run(rapid.IntRange(1, 4).Draw(t, "steps"))
		sim.dead[sim.members[rapid.IntRange(0, len(sim.members)-1).Draw(t, "dies")].Instance] = true
		sim.run(40) // the members still include the failed one
		sim.setMembers()
		is.Equal(sim.run(400), 0)
		total := 0
		for _, n := range sim.origin {
			total += n
		}
		is.True(total <= 2*sim.chunks) // at most two ranks read a chunk
	})
}

// TestOriginReadersAreLimited checks that the number of instances that read from the
// origin does not grow with the fleet: an origin accepts few connections at a time, and
// chunks that are read one after the other spread while the next ones arrive.
func TestOriginReadersAreLimited(t *testing.T) {
	tests := map[string]struct {
		regions, perRegion, readers, want int
	}{
		"all of a small region":  {regions: 2, perRegion: 4, readers: 6, want: 4},
		"some of a large region": {regions: 3, perRegion: 40, readers: 6, want: 6},
		"all without a limit":    {regions: 1, perRegion: 40, want: 40},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(tc.regions, tc.perRegion, 400, 3, tc.readers, 1)
			readers := 0
			for _, m := range sim.members {
				for _, f := range sim.planners[m.Instance].NextFetches(sim.now) {
					if f.FromOrigin() {
						readers++
						break
					}
				}
			}
			is.Equal(readers, tc.want)
		})
	}
}

// TestOriginOutage makes the origin unavailable in the middle of a transfer. When it
// recovers, all instances wait for its chunks, so that every chunk that it sends twice
// delays all of them.
func TestOriginOutage(t *testing.T) {
	tests := map[string]struct{ regions, perRegion int }{
		"one region":    {regions: 1, perRegion: 30},
		"three regions": {regions: 3, perRegion: 33},
		"few instances": {regions: 2, perRegion: 4},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(tc.regions, tc.perRegion, 96, 3, 6, 1)
			sim.originChunksPerStep = 1 // 20 chunks a second
			sim.run(50)
			sim.originDownUntil = sim.now.Add(6 * time.Second)
			sim.originRead = nil
			for _, m := range sim.members {
				for i := range sim.chunks {
					sim.planners[m.Instance].RecordFailure(sim.now, planner.Fetch{Index: i}, planner.FailureUnavailable)
				}
			}
			sim.run(120) // during the outage
			missing := 0
			for i := range sim.chunks {
				if sim.origin[i] == 0 {
					missing++
				}
			}
			restoredAt := sim.now
			is.Equal(sim.run(600), 0)
			total := 0
			for _, n := range sim.origin {
				total += n
			}
			t.Logf("%d chunks missing after the outage, all held %v after its end, %d chunks sent in total", missing, sim.now.Sub(restoredAt), total)
			is.True(missing > 40)
			is.True(total <= sim.chunks*11/10)                                                  // at most 1.1 copies
			is.True(sim.now.Sub(restoredAt) <= time.Duration(missing)*step*13/10+2*time.Second) // 1.3 times what the origin needs to send them, after its backoff
		})
	}
}
