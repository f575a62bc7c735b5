// Package shedder decides which requests of one service are admitted while more are
// offered than its endpoints can serve. Each entry has its own shedder per service.
//
// The load that determines the design is a burst of twice the usual rate that lasts for
// many seconds, at entries that each see a small part of it. A queue alone can't tell
// how much of it can be served, and favors requests that may wait for long. A shedder
// therefore compares the demand of all entries, in slots, with the slots of the ready
// endpoints, and derives the share of each priority that is admitted:
//
//   - More urgent priorities are admitted first, and no share is below about half of
//     the share of all requests, so that no priority starves.
//   - Within a priority, workspaces get weighted max-min shares of what this entry
//     admits. What a workspace does not use is lent to the others.
//   - A request that is not admitted is not refused for that: it comes after those that are,
//     and gets what they leave. Slots are never idle because the model is wrong.
//   - A request is admitted by its rank, which derives from the request itself. All
//     entries decide alike about it, and its size does not matter.
//   - Demand and slots are estimates. Idle slots and refusals of admitted requests
//     correct them.
package shedder

import (
	"cmp"
	"slices"
	"time"
)

// Class is a set of requests that are admitted with the same share.
type Class struct {
	// Priority orders the classes; 0 is the most urgent one.
	Priority  int
	Workspace string
}

// Demand is what the requests of a priority need.
type Demand struct {
	Priority int
	// Rate is the number of first attempts per second. Slots is the number of slots
	// that they would occupy if all were served.
	Rate, Slots float64
}

// Config configures a Shedder. The zero value is valid.
type Config struct {
	// Weights are the relative shares of workspaces; 1 for a workspace without one.
	Weights map[string]float64
	// Reserved are the shares of all slots that priorities get before more urgent
	// ones get theirs. A reserved share that is not used is lent.
	Reserved map[int]float64
	// Smoothing is the time over which demand is averaged; 0 for the default.
	Smoothing time.Duration
}

// Fleet is what the other entries need and what the endpoints offer.
type Fleet struct {
	// Demands is the demand of all other entries. It is empty if nothing is known of
	// them; this entry then assumes that they need as much as it does.
	Demands []Demand
	// Entries is the number of known entries, including this one.
	Entries int
	// Slots is the number of slots of the ready endpoints, each divided by its pace.
	Slots float64
}

// Arrival is a request that has arrived.
type Arrival struct {
	Class
	// SlotTime is how long the request is expected to occupy a slot.
	SlotTime time.Duration
	// Rank is the request's rank in [0,1), see Rank. It is the same at all entries.
	Rank float64
	// Repeat is set if the caller was refused before.
	Repeat bool
	// Kept is set for a repeat for which capacity was promised at this time.
	Kept bool
	// Resumed is set if the request has been admitted before, for example because
	// its answer was broken off.
	Resumed bool
}

// Cause is the reason of a verdict.
type Cause string

// Causes of a verdict.
const (
	// CauseNone means that all requests of the class are admitted.
	CauseNone Cause = ""
	// CauseShare means that the request is within the share of its priority.
	CauseShare Cause = "share"
	// CauseKept means that capacity was promised to the request.
	CauseKept Cause = "kept"
	// CausePriority means that the slots are needed for other priorities.
	CausePriority Cause = "priority"
	// CauseWorkspace means that the workspace has used its share of the priority.
	CauseWorkspace Cause = "workspace"
	// CauseRepeat means that the request is repeated without a promise, and that its
	// priority is not admitted as a whole.
	CauseRepeat Cause = "repeat"
	// CauseWait means that the request was admitted, but that no slot is expected to
	// become free in time. The balancer decides it.
	CauseWait Cause = "wait"
)

// Verdict is the decision about a request.
type Verdict struct {
	Admitted bool
	// Assured is set if the request is within the share that its priority gets even if
	// more urgent ones need all slots, and the priority has got less in the last seconds.
	// In a queue, such a request counts as one of the most urgent ones.
	Assured bool
	Cause   Cause
	// Share is the share of the request's class that is admitted.
	Share float64
}

const (
	// defaultSmoothing is the time over which demand is averaged. Unused shares have to
	// come back within a second.
	defaultSmoothing = time.Second
	// updateInterval is the time between two computations of the shares; the demand of
	// other entries changes a few times a second.
	updateInterval = 50 * time.Millisecond
	// fleetMaxAge is the age from which the demand of the other entries is not used.
	fleetMaxAge = 2 * time.Second
	// minShare is the least share of a priority, as a part of the share of all
	// requests. Half is required; the rest is a margin for chance.
	minShare = 0.58
	// minWorkspaceShare is the least share of a workspace, as a part of the share of
	// its priority.
	minWorkspaceShare = 0.7
)

// Shedder decides about the requests of one service at one entry. It is not safe for
// concurrent use.
type Shedder struct {
	cfg     Config
	classes map[Class]*average
	// offered and starts count first attempts and all starts by priority. starved are the
	// priorities with too few.
	offered, starts map[int]*average
	starved         map[int]bool
	// kept is the demand of repeats that capacity was promised to.
	kept     average
	fleet    Fleet
	fleetAt  time.Time
	feedback feedback
	// own is the demand of this entry at the last computation.
	own []Demand
	// shares holds the result of the last computation.
	shares    []PriorityShare
	byClass   map[Class]float64
	updatedAt time.Time
	// assured is the least share of a priority; 0 while all requests are admitted.
	assured float64
}

// PriorityShare is the share of the requests of a priority that is admitted.
type PriorityShare struct {
	Priority int
	Share    float64
}

// New returns a shedder that admits all requests until the fleet is set.
func New(cfg Config) *Shedder {
	if cfg.Smoothing <= 0 {
		cfg.Smoothing = defaultSmoothing
	}
	return &Shedder{cfg: cfg, classes: map[Class]*average{}, byClass: map[Class]float64{}, offered: map[int]*average{}, starts: map[int]*average{}, starved: map[int]bool{}, feedback: newFeedback()}
}

// SetConfig replaces the configuration without losing the measured demand.
func (s *Shedder) SetConfig(cfg Config) {
	if cfg.Smoothing <= 0 {
		cfg.Smoothing = defaultSmoothing
	}
	s.cfg, s.updatedAt = cfg, time.Time{}
}

// RecordArrival records a request that is offered for the first time at this entry.
// Repeats and resumed requests are not demand of their own.
func (s *Shedder) RecordArrival(now time.Time, a Arrival) {
	switch {
	case a.Resumed:
	case a.Kept:
		s.kept.add(now, s.cfg.Smoothing, a.SlotTime)
	case !a.Repeat:
		c := s.classes[a.Class]
		if c == nil {
			c = &average{}
			s.classes[a.Class] = c
		}
		c.add(now, s.cfg.Smoothing, a.SlotTime)
		o := s.offered[a.Priority]
		if o == nil {
			o = &average{}
			s.offered[a.Priority] = o
		}
		o.add(now, servedSmoothing, 0)
	}
}

// Demands returns the demand of this entry, sorted by priority.
func (s *Shedder) Demands(now time.Time) (ds []Demand) {
	for class, c := range ordered(s.classes, compareClasses) {
		rate, slots := c.get(now, s.cfg.Smoothing)
		i := slices.IndexFunc(ds, func(d Demand) bool { return d.Priority == class.Priority })
		if i < 0 {
			i = len(ds)
			ds = append(ds, Demand{Priority: class.Priority})
		}
		ds[i].Rate += rate
		ds[i].Slots += slots
	}
	slices.SortFunc(ds, func(a, b Demand) int { return cmp.Compare(a.Priority, b.Priority) })
	return ds
}

// SetFleet sets what the other entries need and what the endpoints offer. What has been
// set counts for fleetMaxAge.
func (s *Shedder) SetFleet(now time.Time, f Fleet) { s.fleet, s.fleetAt = f, now }

// Admit decides about a request.
func (s *Shedder) Admit(now time.Time, a Arrival) Verdict {
	s.update(now)
	share, ok := s.byClass[a.Class]
	if !ok {
		share = s.priorityShare(a.Priority)
	}
	switch {
	case a.Resumed || share >= 1:
		return Verdict{Admitted: true, Assured: !a.Repeat && s.starved[a.Priority] && a.Rank < s.assured, Share: share}
	case a.Kept:
		return Verdict{Admitted: true, Cause: CauseKept, Share: share}
	case a.Repeat:
		return Verdict{Cause: CauseRepeat, Share: share}
	case a.Rank < share:
		return Verdict{Admitted: true, Assured: s.starved[a.Priority] && a.Rank < s.assured, Cause: CauseShare, Share: share}
	case a.Rank < s.priorityShare(a.Priority):
		return Verdict{Cause: CauseWorkspace, Share: share}
	default:
		return Verdict{Cause: CausePriority, Share: share}
	}
}

// Shares returns the admitted share of each priority with demand.
func (s *Shedder) Shares(now time.Time) []PriorityShare {
	s.update(now)
	return slices.Clone(s.shares)
}

// TopPriority returns the most urgent priority in demand; 0 if there is none.
func (s *Shedder) TopPriority(now time.Time) int {
	s.update(now)
	if len(s.shares) == 0 {
		return 0
	}
	return s.shares[0].Priority
}

// IsShedding reports whether any priority is not admitted as a whole.
func (s *Shedder) IsShedding(now time.Time) bool {
	s.update(now)
	return slices.ContainsFunc(s.shares, func(p PriorityShare) bool { return p.Share < 1 })
}

// Lack returns how much of the least admitted priority is not admitted, in [0,1].
func (s *Shedder) Lack(now time.Time) (lack float64) {
	s.update(now)
	for _, p := range s.shares {
		lack = max(lack, 1-p.Share)
	}
	return lack
}

// UrgentRate returns the first attempts per second of this entry with a more urgent
// priority than the given one.
func (s *Shedder) UrgentRate(now time.Time, priority int) (rate float64) {
	s.update(now)
	for _, d := range s.own {
		if d.Priority < priority {
			rate += d.Rate
		}
	}
	return rate
}

// Rank returns the rank of a request. identity differs between requests with the same
// content, so that those of one prompt are not all refused or all admitted.
func Rank(fingerprint, identity uint64) float64 {
	// The finalizer of splitmix64 spreads inputs that differ in a few bits only.
	x := fingerprint ^ (identity * 0x9e3779b97f4a7c15)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31
	return float64(x>>11) / (1 << 53)
}
