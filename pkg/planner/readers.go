package planner

import (
	"slices"

	"flamingoledge.org/flamingoledge/pkg/ranker"
)

// ranks returns the instances of a region that may fetch chunk i from outside, in
// their order. Where readers are bounded, all of the origin's region are readers,
// and elsewhere those after the first.
func (p *Planner) rankedFetchers(i int, region string) []string {
	members := p.instancesByRegion[region]
	if p.cfg.OriginReaders == 0 {
		return ranker.TopIndexed(p.cfg.VersionDigest, i, members, p.cfg.OriginRanks)
	}
	readers := ranker.TopIndexed(p.cfg.VersionDigest, i, p.originReaders(region), p.cfg.OriginRanks)
	if region == p.cfg.OriginRegion {
		return readers
	}
	first := ranker.TopIndexed(p.cfg.VersionDigest, i, members, 1)
	readers = slices.DeleteFunc(readers, func(r string) bool { return slices.Contains(first, r) })
	return append(first, readers...)[:min(len(first)+len(readers), p.cfg.OriginRanks)]
}

// rankOf returns the own place in ranks; notRanked if self is not among them. order
// is the own place among all members.
func (p *Planner) ownRank(i int, region string, position int) int {
	switch {
	case p.cfg.OriginReaders > 0:
		return slices.Index(p.rankedFetchers(i, region), p.cfg.Self.Instance)
	case position < p.cfg.OriginRanks:
		return position
	default:
		return notRanked
	}
}

// remoteReaders is how many instances of a region that is not the origin's may read
// from it when their upstream instances deliver nothing: one, and one more that may
// be down.
const otherRegionReaders = 2

// readersOf returns the instances of a region that may read from the origin.
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
