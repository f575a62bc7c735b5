// Package switcher decides when an endpoint loads another version of its model.
//
// The load it answers is a full one: an endpoint that switches finishes what it
// runs, loads and starts empty, which costs about a request's length of its work.
// When all endpoints do so at once nothing is served, so each takes its turn in
// the time that operators allow, by its place in an order that all compute alike.
package switcher

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"flamingoledge.org/flamingoledge/pkg/ranker"
)

// NamedVersion is a version that operators named, with the time at which that was
// learned.
type NamedVersion struct {
	Version uint64
	At      time.Time
}

// Member is an endpoint of the service by the address of its instance.
type Member struct {
	Address string
	Region  string
}

// State is what an endpoint's next load is decided by.
type State struct {
	Self    string
	Members []Member
	// NamedVersions are the versions in the order of their naming.
	NamedVersions []NamedVersion
	// Loaded is the version that the endpoint serves; 0 for none.
	Loaded uint64
	// Loading says that an order is under way.
	Loading bool
	// CompletedAt are the versions of which every chunk is at hand, with the time
	// since when.
	CompletedAt map[uint64]time.Time
	// MaxSwitchDelay is the time from a naming after which older versions may not begin.
	MaxSwitchDelay time.Duration
	// CopyTime is how long a whole version takes over the endpoint's link.
	CopyTime time.Duration
}

const (
	// firstShare and lastShare of the bound are the first and the last turn. The
	// first is after the fastest instances have every chunk; the last leaves time
	// for a lost order, its repeat and the news of it.
	firstSwitchShare = 0.35
	lastSwitchShare  = 0.83
	// copyMargin times the copy time is how long a version takes to arrive while
	// others fetch it too.
	copyTimeFactor = 1.6
)

// NextVersion returns the version to load now; false if there is nothing to load yet.
func NextVersion(now time.Time, s State) (uint64, bool) {
	if s.Loading || len(s.NamedVersions) == 0 || len(s.CompletedAt) == 0 {
		return 0, false
	}
	newest := s.NamedVersions[len(s.NamedVersions)-1]
	newestComplete := slices.Max(slices.Collect(maps.Keys(s.CompletedAt)))
	if newestComplete <= s.Loaded {
		return 0, false
	}
	if s.Loaded == 0 {
		// Any version that may still begin is better than none.
		if newestComplete < newest.Version && !now.Before(newest.At.Add(s.MaxSwitchDelay)) {
			return 0, false
		}
		return newestComplete, true
	}
	// The first version that replaces the loaded one sets the time: from its
	// bound on, the loaded one may not begin any request.
	first := s.firstNewerThanLoaded(newest)
	if now.Before(switchTime(s, first, s.CompletedAt[newestComplete])) {
		return 0, false
	}
	if newestComplete < newest.Version && now.Add(s.expectedFetchTime()).Before(first.At.Add(time.Duration(lastSwitchShare*float64(s.MaxSwitchDelay)))) {
		// The newest one will be here in time, so that one switch is enough.
		return 0, false
	}
	return newestComplete, true
}

func (s State) firstNewerThanLoaded(newest NamedVersion) NamedVersion {
	for _, n := range s.NamedVersions {
		if n.Version > s.Loaded {
			return n
		}
	}
	return newest
}

func (s State) expectedFetchTime() time.Duration {
	return time.Duration(copyTimeFactor * float64(s.CopyTime))
}

// turn is the moment from which the endpoint may load a version that is complete
// since a moment. The turns are spread evenly over the time that is left, and those
// of one region lie apart. Instances complete a version at about the same time.
func switchTime(s State, n NamedVersion, complete time.Time) time.Time {
	order := SwitchOrder(s.Members, n.Version)
	slot := slices.Index(order, s.Self)
	if slot < 0 || len(order) < 2 {
		return n.At
	}
	first := n.At.Add(time.Duration(firstSwitchShare * float64(s.MaxSwitchDelay)))
	if complete.After(first) {
		first = complete
	}
	interval := n.At.Add(time.Duration(lastSwitchShare * float64(s.MaxSwitchDelay))).Sub(first)
	return first.Add(time.Duration(float64(max(interval, 0)) * float64(slot) / float64(len(order)-1)))
}

// SwitchOrder returns the addresses of the members in the order of their turns for a
// version: round the regions, within a region by rendezvous rank.
func SwitchOrder(members []Member, version uint64) []string {
	byRegion := map[string][]string{}
	var regions []string
	for _, m := range members {
		if byRegion[m.Region] == nil {
			regions = append(regions, m.Region)
		}
		byRegion[m.Region] = append(byRegion[m.Region], m.Address)
	}
	type slot struct {
		address  string
		position float64
	}
	var slots []slot
	slices.Sort(regions)
	for k, r := range regions {
		ranked := ranker.Top(strconv.FormatUint(version, 10), byRegion[r], len(byRegion[r]))
		for i, address := range ranked {
			offset := float64(k) / float64(len(regions))
			slots = append(slots, slot{address: address, position: (float64(i) + offset) / float64(len(ranked))})
		}
	}
	slices.SortStableFunc(slots, func(a, b slot) int { return cmp.Compare(a.position, b.position) })
	order := make([]string, len(slots))
	for i, p := range slots {
		order[i] = p.address
	}
	return order
}
