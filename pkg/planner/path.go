package planner

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"flamingoledge.org/flamingoledge/pkg/chunker"
	"flamingoledge.org/flamingoledge/pkg/ranker"
)

// notRanked is the rank of an instance that never fetches a chunk from outside its
// region.
const notRanked = -1

// path describes how a chunk enters this instance's region.
type path struct {
	// rank is this instance's rank among those that may fetch the chunk from
	// outside the region, or notRanked.
	rank int
	// position is this instance's index in the chunk's rendezvous order of all
	// instances of the region.
	position int
	// weight is this instance's rendezvous weight for the chunk.
	weight uint64
	// firstHolder is the instance of this region that fetches the chunk from outside first.
	firstHolder string
	// upstreams are the instances of other regions to fetch the chunk from, in
	// order of preference; empty in the origin's region.
	upstreams []string
}

// SetMembers replaces the list of members, which may be out of date. Self is always
// added to it.
func (p *Planner) SetMembers(members []Member) {
	p.members = slices.Clone(members)
	if !slices.Contains(p.members, p.cfg.Self) {
		p.members = append(p.members, p.cfg.Self)
	}
	p.instancesByRegion = map[string][]string{}
	for _, m := range p.members {
		p.instancesByRegion[m.Region] = append(p.instancesByRegion[m.Region], m.Instance)
	}
	for name, pr := range p.peers {
		pr.member.Region = p.regionOf(name)
	}
	p.neighbors = p.selectNeighbors()
	p.readersByRegion, p.readersByChunk = map[string][]string{}, nil
	p.otherRegions = p.listOtherRegions()
	p.rankArchiveReaders()
	p.paths = make([]path, p.cfg.Chunks)
	p.externalChunks = p.externalChunks[:0]
	for i := range p.paths {
		p.paths[i] = p.newPath(i)
		if p.paths[i].rank != notRanked {
			p.externalChunks = append(p.externalChunks, i)
		}
	}
	// Chunks for which this instance has the first rank come before those that it only
	// takes over from others. Those of one rank come by rendezvous weight: instances that
	// know different members then read different chunks first, and not the same ones twice.
	slices.SortStableFunc(p.externalChunks, func(a, b int) int {
		return cmp.Or(cmp.Compare(p.paths[a].rank, p.paths[b].rank), cmp.Compare(p.paths[b].weight, p.paths[a].weight))
	})
}

// Peer is an instance to connect to.
type Peer struct {
	Instance string
	// Wanted is the set of chunks that the peer is asked to announce; nil for all.
	Wanted chunker.IndexSet
}

// Peers returns the instances to connect to: neighbours in this instance's region and
// the upstream instances of the chunks that it fetches from outside. Upstream
// instances are asked to announce only those chunks, because the links between
// regions are slow.
func (p *Planner) Peers(now time.Time) []Peer {
	peers := slices.Clone(p.neighbors)
	peerIndex := map[string]int{}
	for _, i := range p.externalChunks {
		if p.held.Has(i) || !p.canFetchExternally(now, i) {
			continue
		}
		for _, u := range p.availableUpstreams(now, i) {
			k, ok := peerIndex[u]
			if !ok {
				k = len(peers)
				peerIndex[u] = k
				peers = append(peers, Peer{Instance: u, Wanted: chunker.NewIndexSet(p.cfg.Chunks)})
			}
			peers[k].Wanted.Add(i)
		}
	}
	return peers
}

// availableUpstreams returns the instances that chunk i may be requested from now:
// the first upstream of its path, or all of them after TakeoverAfter without progress.
func (p *Planner) availableUpstreams(now time.Time, i int) []string {
	us := p.paths[i].upstreams
	if len(us) > 1 && now.Sub(p.lastProgress) < p.cfg.TakeoverAfter {
		return us[:1]
	}
	return us
}

// selectNeighbors returns the instances at fixed pseudo-random distances from self on
// a ring of the region's members. All members use the same distances, so that each is
// the neighbour of as many instances as it has neighbours.
func (p *Planner) selectNeighbors() []Peer {
	regionInstances := p.instancesByRegion[p.cfg.Self.Region]
	ring := ranker.Top(p.cfg.VersionDigest, regionInstances, len(regionInstances))
	self := slices.Index(ring, p.cfg.Self.Instance)
	n := len(ring) - 1
	if n <= p.cfg.Neighbors {
		return toPeers(slices.Delete(ring, self, self+1))
	}
	names := make([]string, 0, p.cfg.Neighbors)
	for _, d := range p.ringDistances(n) {
		names = append(names, ring[(self+d)%len(ring)])
	}
	return toPeers(names)
}

func toPeers(names []string) []Peer {
	peers := make([]Peer, len(names))
	for i, n := range names {
		peers[i] = Peer{Instance: n}
	}
	return peers
}

// ringDistances returns distinct distances from 1 to n. The distance 1 is always
// included, which keeps the graph connected.
func (p *Planner) ringDistances(n int) []int {
	all := make([]string, 0, n-1)
	for d := 2; d <= n; d++ {
		all = append(all, fmt.Sprint(d))
	}
	chosen := []int{1}
	for _, d := range ranker.Top(p.cfg.VersionDigest+"/distance", all, p.cfg.Neighbors-1) {
		var v int
		if _, err := fmt.Sscan(d, &v); err == nil {
			chosen = append(chosen, v)
		}
	}
	return chosen
}

// newPath computes the path of chunk i from the current members.
func (p *Planner) newPath(i int) path {
	region := p.cfg.Self.Region
	pt := path{weight: ranker.WeightIndexed(p.cfg.VersionDigest, i, p.cfg.Self.Instance)}
	pt.position, pt.firstHolder = p.positionOf(i, region, p.cfg.Self.Instance)
	pt.rank = p.selfRank(i, region, pt.position)
	switch {
	case p.readsArchive():
		pt.firstHolder = p.archive.readers[p.cfg.Archive.Partition(i)][0]
	case p.cfg.OriginReaders > 0 && region == p.cfg.OriginRegion:
		pt.firstHolder = p.rankedReaders(i)[0]
	}
	if pt.rank == notRanked || region == p.cfg.OriginRegion {
		return pt
	}
	first := p.transitRegion(i)
	if first != region && first != "" {
		pt.upstreams = append(pt.upstreams, p.rankedFetchers(i, first)...)
	}
	pt.upstreams = append(pt.upstreams, p.rankedFetchers(i, p.cfg.OriginRegion)...)
	return pt
}

// transitRegion returns the region that fetches chunk i from the origin's region; the
// remaining regions fetch the chunk from the transit region. Chunks are spread evenly
// over the regions, so that the links between them carry a share of the traffic. It
// returns "" if the origin's region is the only one.
func (p *Planner) transitRegion(i int) string {
	if len(p.otherRegions) == 0 {
		return ""
	}
	return p.otherRegions[i%len(p.otherRegions)]
}

// listOtherRegions returns the regions with members, other than the origin's, sorted
// by name.
func (p *Planner) listOtherRegions() []string {
	var otherRegions []string
	for r, members := range p.instancesByRegion {
		if r != p.cfg.OriginRegion && len(members) > 0 {
			otherRegions = append(otherRegions, r)
		}
	}
	slices.Sort(otherRegions)
	return otherRegions
}

// positionOf returns the index of an instance in the rendezvous order of the region's
// members for chunk i, and the first one in that order.
func (p *Planner) positionOf(i int, region, instance string) (position int, first string) {
	weight := ranker.WeightIndexed(p.cfg.VersionDigest, i, instance)
	first, highest := instance, weight
	for _, m := range p.instancesByRegion[region] {
		w := ranker.WeightIndexed(p.cfg.VersionDigest, i, m)
		if w > weight {
			position++
		}
		if w > highest {
			first, highest = m, w
		}
	}
	return position, first
}

// canFetchLocally reports whether chunk i may be requested within this instance's
// region. Instances request a chunk in rendezvous order, and each copy admits fanout
// more of them, so that a new chunk spreads as a tree instead of queueing at its first
// holder. The wait is bounded because the neighbours' copies are only a sample of the
// region's.
func (p *Planner) canFetchLocally(now time.Time, i int) bool {
	if i >= len(p.paths) {
		return true
	}
	copies := int(p.copies[i])
	if n := len(p.neighbors); n > 0 {
		copies = copies * (len(p.instancesByRegion[p.cfg.Self.Region]) - 1) / n
	}
	if p.paths[i].position <= p.fanout()*copies {
		return true
	}
	if p.withheldSince[i].IsZero() {
		p.withheldSince[i] = now
	}
	return now.Sub(p.withheldSince[i]) >= p.cfg.ChunkTimeout/localWaitDivisor
}

const (
	// originFanout is how many instances may request a chunk for each known copy of it, and
	// archiveFanout the one for versions in the store: all their chunks enter the region within
	// about 0.3 s. With 3, the last of 156 was complete 1.39 copies
	// after the first read in replays, with 2 1.31 and with 1 1.22.
	originFanout  = 3
	archiveFanout = 1
	// localWaitDivisor divides the chunk timeout; the quotient is the longest time
	// for which canFetchLocally withholds a chunk.
	localWaitDivisor = 4
)

func (p *Planner) fanout() int {
	if p.readsArchive() {
		return archiveFanout
	}
	return originFanout
}

// canFetchExternally reports whether this instance may now fetch chunk i from outside
// the region. The first EagerRanks ranks may do so at once; each later rank waits for
// one more TakeoverAfter without progress.
func (p *Planner) canFetchExternally(now time.Time, i int) bool {
	if len(p.paths) <= i || p.paths[i].rank == notRanked || p.awaitsArchive(now, i) {
		return false
	}
	wait := time.Duration(max(p.paths[i].rank-p.cfg.EagerRanks+1, 0)) * p.cfg.TakeoverAfter
	return now.Sub(p.lastProgress) >= wait
}

// canUseOrigin reports whether this instance may now read chunk i from the origin: at
// once in the origin's region, and elsewhere after upstreamTakeoverPeriods without
// progress, plus one more period for each rank.
func (p *Planner) canUseOrigin(now time.Time, i int) bool {
	if now.Before(p.originPausedUntil) || !p.canFetchExternally(now, i) || !slices.Contains(p.originReaders(p.cfg.Self.Region), p.cfg.Self.Instance) {
		return false
	}
	if len(p.paths[i].upstreams) == 0 {
		return p.cfg.Self.Region == p.cfg.OriginRegion || !p.mayLearnUpstreams(now)
	}
	delay := time.Duration(p.paths[i].rank+upstreamTakeoverPeriods) * p.cfg.TakeoverAfter
	return now.Sub(p.lastProgress) >= delay
}

// mayLearnUpstreams reports whether an instance of another region that knows none of the origin's
// may still learn of one: after a restart of all, lists have some of the members first.
func (p *Planner) mayLearnUpstreams(now time.Time) bool {
	return p.cfg.SettleDelay > 0 && now.Before(p.settleUntil.Add(p.cfg.TakeoverAfter))
}

// upstreamTakeoverPeriods is how many takeover periods another region waits for its
// upstream instances before it reads from the origin itself.
const upstreamTakeoverPeriods = 3

// regionOf returns the region of a member, or "" if the instance is not a member.
func (p *Planner) regionOf(name string) string {
	for _, m := range p.members {
		if m.Instance == name {
			return m.Region
		}
	}
	return ""
}
