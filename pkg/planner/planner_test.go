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

// world plays the part of the transfers: what a planner asks for arrives in the
// next step, unless its source is dead or lies.
type world struct {
	now         time.Time
	chunks      int
	members     []planner.Member
	planners    map[string]*planner.Planner
	held        map[string]chunker.IndexSet
	dead        map[string]bool
	crossRegion map[string]int
	origin      map[int]int
	// awayUntil is when the origin is back. It sends perStep chunks in a step,
	// all that it is asked for where that is 0.
	originDownUntil     time.Time
	originChunksPerStep int
	originRead          []originRead
}

// asked is a chunk that the origin was asked for.
type originRead struct {
	reader string
	fetch  planner.Fetch
}

func newWorld(regions, perRegion, chunks, ranks, readers int, seed uint64) *world {
	w := &world{
		now: time.Unix(1000, 0), chunks: chunks, planners: map[string]*planner.Planner{}, held: map[string]chunker.IndexSet{},
		dead: map[string]bool{}, crossRegion: map[string]int{}, origin: map[int]int{},
	}
	for r := range regions {
		for i := range perRegion {
			w.members = append(w.members, planner.Member{Instance: fmt.Sprintf("r%d-%d", r, i), Region: fmt.Sprintf("r%d", r)})
		}
	}
	for i, m := range w.members {
		w.held[m.Instance] = chunker.NewIndexSet(chunks)
		w.planners[m.Instance] = planner.New(planner.Config{
			Self: m, VersionDigest: "v", Chunks: chunks, OriginRegion: "r0", OriginRanks: ranks, OriginReaders: readers, EagerRanks: 1,
			Neighbors: 4, PeerWindow: 2, OriginWindow: 4, TotalWindow: 8, TakeoverAfter: takeover, ChunkTimeout: chunkTimeout, MaxOriginBackoff: backoff,
			Rand: rand.New(rand.NewPCG(seed, uint64(i))),
		}, w.now, w.held[m.Instance])
	}
	w.setMembers()
	return w
}

func (w *world) setMembers() {
	var live []planner.Member
	for _, m := range w.members {
		if !w.dead[m.Instance] {
			live = append(live, m)
		}
	}
	for _, p := range w.planners {
		p.SetMembers(live)
	}
}

// run steps until all live members are complete, and returns how many did not.
func (w *world) run(steps int) (unfinished int) {
	for range steps {
		w.now = w.now.Add(step)
		w.serveOrigin()
		unfinished = 0
		for _, m := range w.members {
			if !w.dead[m.Instance] && !w.planners[m.Instance].Complete() {
				unfinished++
				w.stepMember(m)
			}
		}
		if unfinished == 0 {
			return 0
		}
	}
	return unfinished
}

// send lets the origin send what it can in a step.
func (w *world) serveOrigin() {
	n := len(w.originRead)
	if w.originChunksPerStep > 0 {
		n = min(n, w.originChunksPerStep)
	}
	for _, a := range w.originRead[:n] {
		w.origin[a.fetch.Index]++
		w.held[a.reader].Add(a.fetch.Index)
		w.planners[a.reader].RecordSuccess(w.now, a.fetch)
	}
	w.originRead = w.originRead[n:]
}

func (w *world) stepMember(m planner.Member) {
	p := w.planners[m.Instance]
	for _, peer := range p.Peers(w.now) {
		if w.dead[peer.Instance] {
			p.RemovePeer(peer.Instance)
			continue
		}
		for i := range w.chunks {
			if w.held[peer.Instance].Has(i) && (peer.Wanted == nil || peer.Wanted.Has(i)) {
				p.AddPeerChunk(peer.Instance, i)
			}
		}
	}
	for _, f := range p.NextFetches(w.now) {
		if !f.FromOrigin() && w.dead[f.Peer] {
			p.RecordFailure(w.now, f, planner.FailureUnavailable)
			continue
		}
		if f.FromOrigin() && w.now.Before(w.originDownUntil) {
			p.RecordFailure(w.now, f, planner.FailureUnavailable)
			continue
		}
		if f.FromOrigin() {
			w.originRead = append(w.originRead, originRead{reader: m.Instance, fetch: f})
			continue
		}
		if f.Peer[:2] != m.Instance[:2] {
			w.crossRegion[f.Peer[:2]+m.Instance[:2]]++
		}
		w.held[m.Instance].Add(f.Index)
		p.RecordSuccess(w.now, f)
	}
}

func TestEveryMemberCompletesWithOneCopy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		regions := rapid.IntRange(1, 4).Draw(t, "regions")
		w := newWorld(regions, rapid.IntRange(1, 8).Draw(t, "members"), rapid.IntRange(1, 60).Draw(t, "chunks"), 2, rapid.IntRange(0, 4).Draw(t, "readers"), rapid.Uint64().Draw(t, "seed"))
		is.Equal(w.run(400), 0)
		for i := range w.chunks {
			is.Equal(w.origin[i], 1) // each chunk leaves the origin once
		}
		// Each link out of the origin's region carries its even share of one copy.
		for r := 1; r < regions; r++ {
			got := w.crossRegion["r0"+fmt.Sprint("r", r)]
			share := w.chunks / (regions - 1)
			is.True(got == share || got == share+1)
		}
	})
}

func TestDeathsAreTakenOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		w := newWorld(rapid.IntRange(1, 3).Draw(t, "regions"), rapid.IntRange(4, 8).Draw(t, "members"), 40, 2, rapid.IntRange(0, 4).Draw(t, "readers"), rapid.Uint64().Draw(t, "seed"))
		w.run(rapid.IntRange(1, 4).Draw(t, "steps"))
		w.dead[w.members[rapid.IntRange(0, len(w.members)-1).Draw(t, "dies")].Instance] = true
		w.run(40) // the list still has the dead member
		w.setMembers()
		is.Equal(w.run(400), 0)
		total := 0
		for _, n := range w.origin {
			total += n
		}
		is.True(total <= 2*w.chunks) // two ranks read a chunk at most
	})
}

// TestFewReadTheOrigin checks that the connections to the origin do not grow with
// the fleet: an origin takes few at a time, and chunks that are read one after the
// other spread while the next ones come.
func TestFewReadTheOrigin(t *testing.T) {
	tests := map[string]struct {
		regions, perRegion, readers, want int
	}{
		"all of a small region": {regions: 2, perRegion: 4, readers: 6, want: 4},
		"some of a large one":   {regions: 3, perRegion: 40, readers: 6, want: 6},
		"all where not bounded": {regions: 1, perRegion: 40, want: 40},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(tc.regions, tc.perRegion, 400, 3, tc.readers, 1)
			readers := 0
			for _, m := range w.members {
				for _, f := range w.planners[m.Instance].NextFetches(w.now) {
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

// TestOriginComesBack lets the origin go away in the middle of a transfer. When it
// is back, everyone has waited for it, and what is sent twice delays all.
func TestOriginComesBack(t *testing.T) {
	tests := map[string]struct{ regions, perRegion int }{
		"one region":    {regions: 1, perRegion: 30},
		"three regions": {regions: 3, perRegion: 33},
		"few instances": {regions: 2, perRegion: 4},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(tc.regions, tc.perRegion, 96, 3, 6, 1)
			w.originChunksPerStep = 1 // 20 chunks a second
			w.run(50)
			w.originDownUntil = w.now.Add(6 * time.Second)
			w.originRead = nil
			for _, m := range w.members {
				for i := range w.chunks {
					w.planners[m.Instance].RecordFailure(w.now, planner.Fetch{Index: i}, planner.FailureUnavailable)
				}
			}
			w.run(120) // while it is away
			left := 0
			for i := range w.chunks {
				if w.origin[i] == 0 {
					left++
				}
			}
			restoredAt := w.now
			is.Equal(w.run(600), 0)
			total := 0
			for _, n := range w.origin {
				total += n
			}
			t.Logf("%d chunks were left, all held %v after the return, %d sent in all", left, w.now.Sub(restoredAt), total)
			is.True(left > 40)
			is.True(total <= w.chunks*11/10)                                               // one copy and a tenth
			is.True(w.now.Sub(restoredAt) <= time.Duration(left)*step*13/10+2*time.Second) // the time that the origin needs and a third, after a pause
		})
	}
}
