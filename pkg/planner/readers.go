package planner

import (
	"slices"

	"flamingoledge.org/flamingoledge/pkg/ranker"
)

// rankedFetchers returns the instances of a region that may fetch chunk i from
// outside the region, in rank order. If the number of origin readers is limited,
// all of them are origin readers in the origin's region; in other regions, all but
// the first are.
func (p *Planner) rankedFetchers(i int, region string) []string {
	members := p.instancesByRegion[region]
	if p.cfg.OriginReaders == 0 {
		return ranker.TopIndexed(p.cfg.VersionDigest, i, members, p.cfg.OriginRanks)
	}
	if region == p.cfg.OriginRegion {
		return p.rankedReaders(i)
	}
	readers := ranker.TopIndexed(p.cfg.VersionDigest, i, p.originReaders(region), p.cfg.OriginRanks)
	first := ranker.TopIndexed(p.cfg.VersionDigest, i, members, 1)
	readers = slices.DeleteFunc(readers, func(r string) bool { return slices.Contains(first, r) })
	return append(first, readers...)[:min(len(first)+len(readers), p.cfg.OriginRanks)]
}

// rankedReaders returns the origin readers of the origin's region that may fetch chunk i, in
// rank order: rendezvous order, except that the first one is the first for at most an equal
// share of the chunks. The last chunks of a reader with more of them would leave its link
// more slowly than they arrive.
func (p *Planner) rankedReaders(i int) []string {
	if p.readersByChunk == nil {
		all := p.originReaders(p.cfg.OriginRegion)
		p.readersByChunk = make([][]string, p.cfg.Chunks)
		chunksByReader := map[string]int{}
		for k := range p.readersByChunk {
			ranked := ranker.TopIndexed(p.cfg.VersionDigest, k, all, len(all))
			first := slices.IndexFunc(ranked, func(r string) bool { return chunksByReader[r]*len(all) < p.cfg.Chunks })
			if first < 0 {
				continue
			}
			r := ranked[first]
			chunksByReader[r]++
			ranked = slices.Insert(slices.Delete(ranked, first, first+1), 0, r)
			p.readersByChunk[k] = ranked[:min(len(ranked), p.cfg.OriginRanks)]
		}
	}
	return p.readersByChunk[i]
}

// selfRank returns the index of this instance in rankedFetchers, or notRanked if it
// is not among them. position is its index among all members of the region.
func (p *Planner) selfRank(i int, region string, position int) int {
	switch {
	case p.cfg.OriginReaders > 0:
		return slices.Index(p.rankedFetchers(i, region), p.cfg.Self.Instance)
	case position < p.cfg.OriginRanks:
		return position
	default:
		return notRanked
	}
}

// otherRegionReaders is how many instances of a region other than the origin's may
// read from the origin when their upstream instances deliver nothing: one, and a
// spare in case the first is down.
const otherRegionReaders = 2

// originReaders returns the instances of a region that may read from the origin.
func (p *Planner) originReaders(region string) []string {
	if rs, ok := p.readersByRegion[region]; ok {
		return rs
	}
	n := p.cfg.OriginReaders
	switch {
	case n == 0:
		n = len(p.instancesByRegion[region])
	case region != p.cfg.OriginRegion:
		n = otherRegionReaders
	}
	rs := ranker.Top(p.cfg.VersionDigest+"/reader", p.instancesByRegion[region], n)
	p.readersByRegion[region] = rs
	return rs
}
