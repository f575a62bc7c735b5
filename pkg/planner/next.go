package planner

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"flamingoledge.org/flamingoledge/pkg/chunker"
)

const (
	bitsPerByte = 8
	// hedgeChecks is how often in a chunk timeout stalled fetches are looked for.
	hedgeChecksPerTimeout = 10
)

// NextFetches returns the fetches to start now. Each is in flight until RecordSuccess, RecordFailure
// or RemovePeer says otherwise. The slice is used again by the next call.
func (p *Planner) NextFetches(now time.Time) []Fetch {
	fs := p.fetchBuf[:0]
	fs = p.planExternal(now, fs)
	fs = p.planLocal(now, fs)
	p.fetchBuf = p.planHedges(now, fs)
	return p.fetchBuf
}

// planOutside starts the fetches that bring chunks into the region, first,
// because every other instance of the region waits for them.
func (p *Planner) planExternal(now time.Time, fs []Fetch) []Fetch {
	if now.Before(p.settleUntil) {
		return fs
	}
	for _, i := range p.externalChunks {
		if p.held.Has(i) || p.requested.Has(i) || !p.canFetchExternally(now, i) {
			continue
		}
		if f, ok := p.externalSource(now, i); ok {
			fs = append(fs, p.startFetch(now, f))
		}
	}
	return fs
}

func (p *Planner) externalSource(now time.Time, i int) (Fetch, bool) {
	// What an instance of the region holds need not come in again, unless those
	// that hold it deliver nothing.
	if p.copies[i] > 0 && p.isHeldInRegion(i) && (p.paths[i].rank > 0 || now.Sub(p.lastProgress) < p.cfg.TakeoverAfter) {
		return Fetch{}, false
	}
	for _, u := range p.availableUpstreams(now, i) {
		if pr := p.peers[u]; pr != nil && pr.held.Has(i) && p.isUsable(now, pr) {
			return Fetch{Index: i, Peer: u}, true
		}
	}
	if p.originInFlight < p.cfg.OriginWindow && p.canUseOrigin(now, i) {
		return Fetch{Index: i}, true
	}
	return Fetch{}, false
}

func (p *Planner) isHeldInRegion(i int) bool {
	for _, n := range p.names {
		pr := p.peers[n]
		if pr.member.Region == p.cfg.Self.Region && pr.held.Has(i) {
			return true
		}
	}
	return false
}

// planLocal pulls the rarest chunks from the least busy neighbours.
func (p *Planner) planLocal(now time.Time, fs []Fetch) []Fetch {
	maxOutstanding := p.maxOutstanding()
	if p.inFlight >= maxOutstanding {
		return fs
	}
	names := p.localPeers(now)
	for p.inFlight < maxOutstanding && len(names) > 0 {
		slices.SortStableFunc(names, func(a, b string) int {
			return cmp.Compare(p.peers[a].inFlight, p.peers[b].inFlight)
		})
		var found bool
		for k, n := range names {
			i, ok := p.rarestChunk(now, p.peers[n].held)
			if !ok {
				continue
			}
			fs = append(fs, p.startFetch(now, Fetch{Index: i, Peer: n}))
			found = true
			if !p.isUsable(now, p.peers[n]) {
				names = slices.Delete(names, k, k+1)
			}
			break
		}
		if !found {
			break
		}
	}
	return fs
}

// localPeers returns the usable peers of the own region in random order. The
// slice is used again by the next call.
func (p *Planner) localPeers(now time.Time) []string {
	names := p.usablePeers[:0]
	for _, n := range p.names {
		pr := p.peers[n]
		if pr.member.Region == p.cfg.Self.Region && p.isUsable(now, pr) {
			names = append(names, n)
		}
	}
	p.usablePeers = names
	for i := len(names) - 1; i > 0; i-- {
		j := p.cfg.Rand.IntN(i + 1)
		names[i], names[j] = names[j], names[i]
	}
	return names
}

func (p *Planner) isUsable(now time.Time, pr *peer) bool {
	return pr.inFlight < p.cfg.PeerWindow && pr.corruptChunks < maxCorruptChunks && !now.Before(pr.slowUntil)
}

// rarest returns the chunk among those offered, neither held nor in flight, whose
// turn it is and that the fewest peers hold. Ties are broken at random.
func (p *Planner) rarestChunk(now time.Time, offered chunker.IndexSet) (best int, ok bool) {
	ties := 0
	for b := range offered {
		wanted := offered[b] &^ p.held[b] &^ p.requested[b]
		for wanted != 0 {
			i := b*bitsPerByte + bits.TrailingZeros8(wanted)
			wanted &= wanted - 1
			if !p.canFetchLocally(now, i) {
				continue
			}
			switch {
			case !ok || p.copies[i] < p.copies[best]:
				best, ok, ties = i, true, 1
			case p.copies[i] == p.copies[best]:
				ties++
				if p.cfg.Rand.IntN(ties) == 0 {
					best = i
				}
			}
		}
	}
	return best, ok
}

// planHedges asks another holder for chunks whose source delivers nothing.
func (p *Planner) planHedges(now time.Time, fs []Fetch) []Fetch {
	if now.Sub(p.lastHedgeCheck) < p.cfg.ChunkTimeout/hedgeChecksPerTimeout {
		return fs
	}
	p.lastHedgeCheck = now
	for _, i := range p.stalledChunks(now) {
		source := p.activeFetches[i].all[0].source
		if pr := p.peers[source]; pr != nil {
			pr.slowUntil = now.Add(slowPenalty)
		}
		for _, n := range p.localPeers(now) {
			if n != source && p.peers[n].held.Has(i) {
				fs = append(fs, p.startFetch(now, Fetch{Index: i, Peer: n}))
				break
			}
		}
	}
	return fs
}

// stalled returns the chunks in flight once whose source made no progress for
// the chunk timeout.
func (p *Planner) stalledChunks(now time.Time) []int {
	var is []int
	for i, fs := range p.activeFetches {
		if fs.n >= maxInFlightPerChunk {
			continue
		}
		first := fs.all[0]
		since := first.since
		if pr := p.peers[first.source]; pr != nil && pr.lastArrival.After(since) {
			since = pr.lastArrival
		}
		if now.Sub(since) >= p.cfg.ChunkTimeout {
			is = append(is, i)
		}
	}
	slices.Sort(is)
	return is
}

func (p *Planner) startFetch(now time.Time, f Fetch) Fetch {
	fs := p.activeFetches[f.Index]
	fs.all[fs.n] = activeFetch{source: f.Peer, since: now}
	fs.n++
	p.activeFetches[f.Index] = fs
	p.requested.Add(f.Index)
	p.inFlight++
	if f.FromOrigin() {
		p.originInFlight++
	} else {
		p.peers[f.Peer].inFlight++
	}
	return f
}
