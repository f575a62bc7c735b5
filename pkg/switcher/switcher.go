// Package switcher decides when an endpoint loads another version of its model.
//
// An endpoint that switches finishes its running requests, loads the version and starts
// with empty queues, which costs about the duration of a request. If all endpoints
// switched at once, nothing would be served. The switches are therefore spread over the
// time that operators allow, in an order that all instances compute identically.
package switcher

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"flamingoledge.org/flamingoledge/pkg/ranker"
)

// NamedVersion is a version that operators named as the one to serve.
type NamedVersion struct {
	Version uint64
	// At is when this instance was informed that the version was named.
	At time.Time
}

// Member is an endpoint of the service, identified by the address of its instance.
type Member struct {
	Address string
	Region  string
}

// State is the input of NextVersion for one endpoint.
type State struct {
	// Self is the address of the endpoint's instance.
	Self    string
	Members []Member
	// Orders, if set, retains the orders between calls.
	Orders *Orders
	// NamedVersions are the named versions, oldest first.
	NamedVersions []NamedVersion
	// Loaded is the version that the endpoint serves; 0 for none.
	Loaded uint64
	// Loading reports whether an order to load a version is in progress.
	Loading bool
	// CompletedAt maps each version whose chunks are all held to the time at which
	// the last chunk arrived.
	CompletedAt map[uint64]time.Time
	// Peers is what is known of the progress of the peers with each version.
	Peers map[uint64]PeerProgress
	// NewestExpectedAt is when the last chunk of the newest named version is expected, by
	// what has arrived of it; the zero time if that is unknown.
	NewestExpectedAt time.Time
	// Running is the number of running requests, and UsualRunning its mean over the last
	// seconds.
	Running      int
	UsualRunning float64
	// Evacuated is set if the endpoint's availability zone serves nothing now.
	Evacuated bool
	// MaxSwitchDelay is the time after the naming of a version from which older
	// versions may not start requests.
	MaxSwitchDelay time.Duration
	// CopyTime is how long the transfer of a whole version takes over the
	// endpoint's link.
	CopyTime time.Duration
}

// PeerProgress is what an instance knows of its peers that fetch, or have fetched, the
// same version.
type PeerProgress struct {
	// Known is the number of these peers, and Complete the number of those that hold all
	// chunks.
	Known, Complete int
	// FirstCompleteAt is when the first of them held all chunks; the zero time if none does.
	FirstCompleteAt time.Time
}

// completeShare returns the share of the instances that hold all chunks, this instance
// included.
func (p PeerProgress) completeShare() float64 {
	return float64(p.Complete+1) / float64(p.Known+1)
}

const (
	// settleTime is how long after its own completion an instance assumes that all others
	// are complete, too. Most complete within half a second of each other, and learn of each
	// other's completion afterwards; without it, each would switch as one of the first.
	settleTime = 600 * time.Millisecond
	// loadShare is the share of all turns by which an endpoint without running requests
	// goes ahead of its own: it loses only the time that loading takes. An endpoint with
	// twice the usual number goes as much later. More than this makes the turns uneven in
	// a busy fleet.
	loadShare = 0.2
	// firstSwitchShare and lastSwitchShare of MaxSwitchDelay are the times of the
	// first and the last switch. At the first, the fastest instances hold every
	// chunk; the last leaves time to repeat a lost order and to report the result.
	firstSwitchShare = 0.35
	lastSwitchShare  = 0.83
	// switchTime is what the last switch leaves if that is more: 1.8 s until the longest
	// requests have ended, 0.3 s to load, and two reports. With a bound of 8 s, a share of
	// 0.83 leaves 1.36 s, so that a fifth of the endpoints switched after the bound.
	switchTime = 2200 * time.Millisecond
	// minLastSwitchShare bounds how early that makes the last switch. Where bounds are short,
	// so are requests, and the switches would bunch.
	minLastSwitchShare = 0.6
	// copyTimeFactor times the copy time is how long a version takes to arrive
	// while other instances fetch it too.
	copyTimeFactor = 1.6
)

// NextVersion returns the version to load now, or false if there is none yet.
func NextVersion(now time.Time, s State) (uint64, bool) {
	newestComplete, ok := s.newestComplete()
	if !ok {
		return 0, false
	}
	newest := s.NamedVersions[len(s.NamedVersions)-1]
	if s.Loaded == 0 {
		// Any version that may still start requests is better than none.
		if newestComplete < newest.Version && !now.Before(newest.At.Add(s.MaxSwitchDelay)) {
			return 0, false
		}
		return newestComplete, true
	}
	// The first version newer than the loaded one determines the time: once its
	// MaxSwitchDelay has passed, the loaded one may not start requests.
	first := s.firstNewerThanLoaded(newest)
	if now.Before(s.turn(now, first, newestComplete)) {
		return 0, false
	}
	if newestComplete < newest.Version && s.isWorthWaiting(now, first) {
		// The newest version will arrive in time, so that one switch is enough.
		return 0, false
	}
	return newestComplete, true
}

// newestComplete returns the newest version whose chunks are all held. It returns false if
// none may be loaded that is newer than the loaded one.
func (s State) newestComplete() (uint64, bool) {
	if s.Loading || len(s.NamedVersions) == 0 || len(s.CompletedAt) == 0 {
		return 0, false
	}
	version := slices.Max(slices.Collect(maps.Keys(s.CompletedAt)))
	return version, version > s.Loaded
}

// firstNewerThanLoaded returns the oldest named version that is newer than the loaded
// one, or newest if there is none.
func (s State) firstNewerThanLoaded(newest NamedVersion) NamedVersion {
	for _, n := range s.NamedVersions {
		if n.Version > s.Loaded {
			return n
		}
	}
	return newest
}

// isWorthWaiting reports whether an endpoint whose turn it is waits for the newest version,
// so that one switch is enough. n is the version that determines the time.
//
// The endpoints that wait switch between the arrival of the newest version and the last
// switch. They may at most double the switches of that time, so none waits for longer than
// that time.
func (s State) isWorthWaiting(now time.Time, n NamedVersion) bool {
	expected, last := s.NewestExpectedAt, s.lastSwitchAt(n)
	if expected.IsZero() {
		// Its fetch is about to start.
		return now.Add(time.Duration(copyTimeFactor * float64(s.CopyTime))).Before(last)
	}
	return expected.Sub(now) < last.Sub(expected)
}

// turn returns when it is the endpoint's turn to load a version that is complete, by what is
// known now. n is the version that determines the time.
//
// The share of the endpoints that have switched is to grow evenly from the completion of
// the first instance until the last switch. The endpoint's position in the order is scaled
// by the share of the instances that are complete: those that complete early have the
// turns of those that complete late as well. An instance that knows nothing of its peers
// assumes that all are complete at the same time as itself. Regions alternate in the order.
// An endpoint with few running requests goes ahead of its turn.
func (s State) turn(now time.Time, n NamedVersion, version uint64) time.Time {
	if s.Evacuated {
		// Nothing is lost if it switches at once.
		return now
	}
	order := s.Orders.of(s.Members, n.Version)
	slot := slices.Index(order, s.Self)
	if slot < 0 || len(order) < 2 {
		return now
	}
	last := s.lastSwitchAt(n)
	complete, peers := s.CompletedAt[version], s.Peers[version]
	first := s.firstTurn(n, version)
	interval := max(last.Sub(first), 0)
	position := float64(slot) / float64(len(order)-1)
	if done := s.doneBefore(n, version); done < 1 {
		// The turns are those of the endpoints that have waited for the version.
		position = max(position-done, 0) / (1 - done)
	}
	settled := min(float64(now.Sub(complete))/float64(settleTime), 1)
	position *= 1 - settled*(1-peers.completeShare())
	position -= loadShare * s.relief()
	return first.Add(time.Duration(min(position, 1) * float64(interval)))
}

// firstTurn returns the time of the first turn for a version that is complete.
func (s State) firstTurn(n NamedVersion, version uint64) time.Time {
	first := s.CompletedAt[version]
	if at := s.Peers[version].FirstCompleteAt; !at.IsZero() {
		first = earlier(first, at)
	}
	if earliest := n.At.Add(time.Duration(firstSwitchShare * float64(s.MaxSwitchDelay))); first.Before(earliest) {
		return earliest
	}
	return first
}

// doneBefore returns the share of the endpoints that have not waited for a version that is
// complete, but switched to n before it, as isWorthWaiting decides.
func (s State) doneBefore(n NamedVersion, version uint64) float64 {
	if _, ok := s.CompletedAt[n.Version]; !ok || version <= n.Version {
		return 0
	}
	first, last, complete := s.firstTurn(n, n.Version), s.lastSwitchAt(n), s.CompletedAt[version]
	if !last.After(first) {
		return 0
	}
	waitedFrom := complete.Add(-last.Sub(complete))
	return min(max(float64(waitedFrom.Sub(first))/float64(last.Sub(first)), 0), 1)
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// relief returns how many fewer requests than usual are running, as a share of the usual
// number; it is negative if more are running.
func (s State) relief() float64 {
	if s.UsualRunning <= 0 {
		return 0
	}
	return max(1-float64(s.Running)/s.UsualRunning, -1)
}

// lastSwitchAt returns the time of the last switch.
func (s State) lastSwitchAt(n NamedVersion) time.Time {
	delay := func(share float64) time.Duration { return time.Duration(share * float64(s.MaxSwitchDelay)) }
	return n.At.Add(min(delay(lastSwitchShare), max(s.MaxSwitchDelay-switchTime, delay(minLastSwitchShare))))
}

// Orders retains the latest order of the members for each version, since an endpoint asks
// for it many times a second while it waits for its turn. It is not safe for concurrent use.
type Orders struct {
	members   []Member
	byVersion map[uint64][]string
}

// of returns the order for a version, and computes it only if the members have changed.
func (o *Orders) of(members []Member, version uint64) []string {
	if o == nil {
		return SwitchOrder(members, version)
	}
	if !slices.Equal(members, o.members) {
		o.members, o.byVersion = slices.Clone(members), map[uint64][]string{}
	}
	order, ok := o.byVersion[version]
	if !ok {
		order = SwitchOrder(members, version)
		if o.byVersion == nil {
			o.byVersion = map[uint64][]string{}
		}
		o.byVersion[version] = order
	}
	return order
}

// SwitchOrder returns the addresses of the members in the order in which they switch to
// a version. Regions alternate; within a region, the order is the rendezvous rank.
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
