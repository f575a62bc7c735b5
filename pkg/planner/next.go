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
	// hedgeChecksPerTimeout is the number of checks for stalled fetches per chunk
	// timeout.
	hedgeChecksPerTimeout = 10
)

// NextFetches returns the fetches to start now. Each stays in flight until a call to
// RecordSuccess, RecordFailure or RemovePeer ends it. The slice is valid until the
// next call.
func (p *Planner) NextFetches(now time.Time) []Fetch {
	fs := p.fetchBuf[:0]
	fs = p.planExternal(now, fs)
	fs = p.planLocal(now, fs)
	p.fetchBuf = p.planHedges(now, fs)
	return p.fetchBuf
}

// planExternal plans fetches from outside the region. They are planned before local
// ones because all other instances of the region wait for these chunks.
func (p *Planner) planExternal(now time.Time, fs []Fetch) []Fetch {
	if p.isSettling(now) {
		return fs
	}
	maxOutstanding := p.maxOutstanding()
	for _, i := range p.externalChunks {
		if p.inFlight >= maxOutstanding {
			return fs
		}
		if p.held.Has(i) || p.requested.Has(i) || !p.canFetchExternally(now, i) {
			continue
		}
		if f, ok := p.externalSource(now, i); ok {
			fs = append(fs, p.startFetch(now, f))
		}
	}
	return fs
}

// externalSource chooses the source outside the region for chunk i. It returns false
// if the chunk should not be fetched from outside now.
func (p *Planner) externalSource(now time.Time, i int) (Fetch, bool) {
	// A chunk that an instance of the region holds is not fetched into the region
	// again, unless the instances that hold it deliver nothing.
	if p.copies[i] > 0 && p.isHeldInRegion(i) && (p.paths[i].rank > 0 || now.Sub(p.lastProgress) < p.cfg.TakeoverAfter) {
		return Fetch{}, false
	}
	for _, u := range p.availableUpstreams(now, i) {
		if pr := p.peers[u]; pr != nil && pr.held.Has(i) && p.isUsable(now, pr) {
			return Fetch{Index: i, Peer: u}, true
		}
	}
	if p.originInFlight < p.originWindow() && p.canUseOrigin(now, i) {
		return Fetch{Index: i}, true
	}
	return Fetch{}, false
}

// isHeldInRegion reports whether a peer in this instance's region holds chunk i.
func (p *Planner) isHeldInRegion(i int) bool {
	for _, n := range p.names {
		pr := p.peers[n]
		if pr.member.Region == p.cfg.Self.Region && pr.held.Has(i) {
			return true
		}
	}
	return false
}

// planLocal plans fetches of the rarest chunks from the neighbours with the fewest
// outstanding requests.
func (p *Planner) planLocal(now time.Time, fs []Fetch) []Fetch {
	// Reads from a busy origin take long and say nothing of the link, so that they leave
	// room for at least one fetch from a peer.
	maxOutstanding := max(p.maxOutstanding(), p.originInFlight+1)
	if p.inFlight >= maxOutstanding {
		return fs
	}
	names, window := p.localPeers(now), p.localWindow()
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
			k, n = p.spareSource(names, k, i)
			fs = append(fs, p.startFetch(now, Fetch{Index: i, Peer: n}))
			found = true
			if !p.isUsable(now, p.peers[n]) || p.peers[n].inFlight >= window {
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

// spareSource returns the peer, of those in names with as few requests as names[k], to fetch
// chunk i from: one that did not bring it into the region, if there is one, since all
// others begin with that.
func (p *Planner) spareSource(names []string, k, i int) (int, string) {
	if !p.isFirstHolder(names[k], i) {
		return k, names[k]
	}
	for j := k + 1; j < len(names); j++ {
		if p.peers[names[j]].held.Has(i) && !p.isFirstHolder(names[j], i) {
			return j, names[j]
		}
	}
	return k, names[k]
}

// isFirstHolder reports whether a peer is the first that may bring chunk i into the region.
func (p *Planner) isFirstHolder(name string, i int) bool {
	return i < len(p.paths) && p.paths[i].firstHolder == name
}

// localPeers returns the usable peers in this instance's region in random order. Peers that
// are no neighbours any more are used only if few neighbours have announced chunks: while
// members appear one after the other, the first ones would stay everybody's neighbours. The
// slice is valid until the next call.
func (p *Planner) localPeers(now time.Time) []string {
	names, others := p.usablePeers[:0], p.otherPeers[:0]
	connected, window := 0, p.localWindow()
	for _, n := range p.names {
		pr := p.peers[n]
		if pr.member.Region != p.cfg.Self.Region {
			continue
		}
		isNeighbor := p.isNeighbor(n)
		if isNeighbor {
			connected++
		}
		switch {
		case !p.isUsable(now, pr) || pr.inFlight >= window:
		case isNeighbor:
			names = append(names, n)
		default:
			others = append(others, n)
		}
	}
	if 2*connected < len(p.neighbors) {
		names = append(names, others...)
	}
	p.otherPeers = others
	p.usablePeers = names
	for i := len(names) - 1; i > 0; i-- {
		j := p.cfg.Rand.IntN(i + 1)
		names[i], names[j] = names[j], names[i]
	}
	return names
}

// isNeighbor reports whether an instance is among the neighbours to fetch from.
func (p *Planner) isNeighbor(name string) bool {
	return slices.ContainsFunc(p.neighbors, func(n Peer) bool { return n.Instance == name })
}

// isUsable reports whether another chunk may be requested from a peer now.
func (p *Planner) isUsable(now time.Time, pr *peer) bool {
	return pr.inFlight < p.cfg.PeerWindow && pr.corruptChunks < maxCorruptChunks && !now.Before(pr.slowUntil)
}

// rarestChunk returns the offered chunk that the fewest peers hold, among those that
// are neither held nor in flight and that may be fetched locally now. Ties are broken
// at random.
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

// planHedges plans a second fetch, from another peer, for chunks whose source has
// stalled.
func (p *Planner) planHedges(now time.Time, fs []Fetch) []Fetch {
	if now.Sub(p.lastHedgeCheck) < p.cfg.ChunkTimeout/hedgeChecksPerTimeout {
		return fs
	}
	p.lastHedgeCheck = now
	stalled := p.stalledChunks(now)
	// A stalled fetch is not counted, since its source probably delivers nothing. If
	// instead this instance's own link is congested, the limit prevents the chunks
	// from being queued on it twice.
	outstanding, maxOutstanding := p.inFlight-len(stalled), p.maxOutstanding()
	for _, i := range stalled {
		if outstanding >= maxOutstanding {
			return fs
		}
		source := p.activeFetches[i].all[0].source
		if pr := p.peers[source]; pr != nil {
			pr.slowUntil = now.Add(slowPenalty)
		}
		for _, n := range p.localPeers(now) {
			if n != source && p.peers[n].held.Has(i) {
				fs = append(fs, p.startFetch(now, Fetch{Index: i, Peer: n}))
				outstanding++
				break
			}
		}
	}
	return fs
}

// stalledChunks returns the chunks with a single fetch in flight whose source has
// delivered nothing for ChunkTimeout.
func (p *Planner) stalledChunks(now time.Time) []int {
	var stalled []int
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
			stalled = append(stalled, i)
		}
	}
	slices.Sort(stalled)
	return stalled
}

// startFetch records f as in flight and returns it.
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
