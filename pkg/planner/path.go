package planner

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"flamingoledge.org/flamingoledge/pkg/chunker"
	"flamingoledge.org/flamingoledge/pkg/ranker"
)

// notRanked is the rank of an instance that never fetches a chunk from outside.
const notRanked = -1

// path says how a chunk enters the own region.
type path struct {
	// rank is the own place among the region's instances for the chunk.
	rank int
	// order is the own place among all of them.
	position int
	// upstreams are the instances of other regions to fetch it from, in order
	// of preference; empty in the origin's region.
	upstreams []string
}

// SetMembers takes the present list of members, which may lag. Self is always
// counted as a member.
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
	p.readersByRegion = map[string][]string{}
	p.otherRegions = p.listOtherRegions()
	p.paths = make([]path, p.cfg.Chunks)
	p.externalChunks = p.externalChunks[:0]
	for i := range p.paths {
		p.paths[i] = p.newPath(i)
		if p.paths[i].rank != notRanked {
			p.externalChunks = append(p.externalChunks, i)
		}
	}
	// Chunks that are waited for go before those that others failed to bring.
	slices.SortStableFunc(p.externalChunks, func(a, b int) int { return cmp.Compare(p.paths[a].rank, p.paths[b].rank) })
}

// Peer is an instance to be connected to.
type Peer struct {
	Instance string
	// Wanted are the chunks that it is asked to tell of; nil for all.
	Wanted chunker.IndexSet
}

// Peers returns the instances to be connected to: neighbours of the own region
// and the upstream instances of the chunks that self fetches from outside. Over
// thin links they are asked to tell of those chunks only.
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

// usableUpstreams returns whom chunk i may be asked from now: the first one of
// the planned path, and the others when there is no progress.
func (p *Planner) availableUpstreams(now time.Time, i int) []string {
	us := p.paths[i].upstreams
	if len(us) > 1 && now.Sub(p.lastProgress) < p.cfg.TakeoverAfter {
		return us[:1]
	}
	return us
}

// neighbors returns the successors of self at the same pseudo-random distances
// on a ring for every member, so that each is asked by as many as it asks.
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

// distances returns distinct distances from 1 to n. The distance 1 is always
// among them, which keeps the graph connected.
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

func (p *Planner) newPath(i int) path {
	region := p.cfg.Self.Region
	pt := path{position: p.positionOf(i, region, p.cfg.Self.Instance)}
	pt.rank = p.ownRank(i, region, pt.position)
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

// firstRemoteRegion spreads the chunks evenly over the remote regions. The named
// region fetches the chunk from the origin's region and the other remote regions
// fetch it from there, so that the links between remote regions carry a share.
func (p *Planner) transitRegion(i int) string {
	if len(p.otherRegions) == 0 {
		return ""
	}
	return p.otherRegions[i%len(p.otherRegions)]
}

// remoteRegions returns the regions with members that are not the origin's, by
// name.
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

// orderOf returns the place of an instance among the region's members for chunk i.
func (p *Planner) positionOf(i int, region, instance string) int {
	ownWeight := ranker.WeightIndexed(p.cfg.VersionDigest, i, instance)
	position := 0
	for _, m := range p.instancesByRegion[region] {
		if ranker.WeightIndexed(p.cfg.VersionDigest, i, m) > ownWeight {
			position++
		}
	}
	return position
}

// isTurn tells whether chunk i may be asked for in the own region: those that
// rank first for it go first, and each copy lets a few more follow, so that a
// fresh chunk spreads as a tree and not from one queue. Nobody waits for long,
// because a neighbour's copies are only a sample.
func (p *Planner) canFetchLocally(now time.Time, i int) bool {
	if i >= len(p.paths) {
		return true
	}
	copies := int(p.copies[i])
	if n := len(p.neighbors); n > 0 {
		copies = copies * (len(p.instancesByRegion[p.cfg.Self.Region]) - 1) / n
	}
	if p.paths[i].position <= fanout*copies {
		return true
	}
	if p.firstSeenAt[i].IsZero() {
		p.firstSeenAt[i] = now
	}
	return now.Sub(p.firstSeenAt[i]) >= p.cfg.ChunkTimeout/localWaitDivisor
}

const (
	// fanout is how many instances each copy of a chunk serves at first.
	fanout = 3
	// turnShare divides the chunk timeout into the longest wait for a turn.
	localWaitDivisor = 4
)

// mayFetchOutside tells whether it is the own turn to fetch chunk i from outside
// the region.
func (p *Planner) canFetchExternally(now time.Time, i int) bool {
	if len(p.paths) <= i || p.paths[i].rank == notRanked {
		return false
	}
	wait := time.Duration(max(p.paths[i].rank-p.cfg.EagerRanks+1, 0)) * p.cfg.TakeoverAfter
	return now.Sub(p.lastProgress) >= wait
}

// mayUseOrigin tells whether chunk i may now be read from the origin: at once in
// the origin's region; elsewhere, when the upstream instances had their time.
func (p *Planner) canUseOrigin(now time.Time, i int) bool {
	if now.Before(p.originPausedUntil) || !p.canFetchExternally(now, i) || !slices.Contains(p.originReaders(p.cfg.Self.Region), p.cfg.Self.Instance) {
		return false
	}
	if len(p.paths[i].upstreams) == 0 {
		return true
	}
	delay := time.Duration(p.paths[i].rank+upstreamTakeoverPeriods) * p.cfg.TakeoverAfter
	return now.Sub(p.lastProgress) >= delay
}

// upstreamPatience is how many takeover periods a remote region waits for its
// upstream instances before it reads from the origin itself.
const upstreamTakeoverPeriods = 3

func (p *Planner) regionOf(name string) string {
	for _, m := range p.members {
		if m.Instance == name {
			return m.Region
		}
	}
	return ""
}
