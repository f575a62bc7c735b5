// Package scheduler decides when a caller that was refused should come back.
//
// The load that determines the design is a burst of twice the usual rate whose end nobody
// knows. Each refused caller comes back once, honors a delay of at most a third of the time
// that it has left, and may come back to another entry. Delays of about a second bring all
// of them back into the same burst, or as a second burst after its end. Times are therefore
// spread over what the endpoints are expected to free. Where nothing will be free, the
// caller is told the longest useful time, so that a burst that ends is over by then.
//
// While an overload lasts, some callers are refused twice whatever the order: a return that
// is served takes its slot from a first attempt, whose caller then comes back instead. First
// attempts therefore come first, as only they can be answered in time. A return takes what
// they leave, and may wait longer for it than a first attempt: it is late already, and is its
// caller's last one.
//
// A time with a kept place is one of the grid of its request: times that differ from the
// deadline by a phase, which is a hash of the request, and a multiple of gridStep. All
// entries derive the grid from the request itself, so that a punctual caller is recognized
// at each of them without shared state.
package scheduler

import (
	"maps"
	"math"
	"time"
)

const (
	// honoredShare is the share of the time left that callers wait at most, less a
	// fiftieth for the way of the answer.
	honoredShare = 0.98 / 3
	// spreadFrom is the part of the honored time from which times without a kept place are
	// spread, up to all of it.
	spreadFrom = 0.5
	// minDelay is the least delay: the requests that wait at a moment have started or
	// were refused after it.
	minDelay = 250 * time.Millisecond
	// gridStep is the distance of the times of one request's grid. Callers with 6 s left
	// honor 2 s, in which there are three.
	gridStep = 600 * time.Millisecond
	// earlyTolerance and lateTolerance are how much a punctual request may arrive before
	// and after its time: the way of the refusal and of both requests, with one between
	// regions and a busy instance.
	earlyTolerance = 30 * time.Millisecond
	lateTolerance  = 120 * time.Millisecond
	// maxReturnWait and returnWaitShare bound the queueing time of a return, the latter as a
	// share of the time left. The returns of a short burst come within a second more than
	// the endpoints can serve beside the usual load.
	maxReturnWait   = time.Second
	returnWaitShare = 0.25
	// cellWidth is the resolution at which returns are counted, and so that of the spread.
	cellWidth = 50 * time.Millisecond
	// maxHonored bounds the time for which returns are counted.
	maxHonored = 10 * time.Second
	// keptShare is the share of the expected free slots that places are kept in; the rest
	// covers first attempts that come unevenly.
	keptShare = 0.8
	// cellsPerBlock is the number of cells whose free slots are given out together: what
	// comes back within such a block can wait for all of it. blocksPerSecond of them are also
	// counted together, since a small entry has less than one free slot in a block.
	cellsPerBlock   = 4
	blocksPerSecond = 5
)

// Refusal describes a refused request.
type Refusal struct {
	// Fingerprint is equal for all sends of a request by one caller.
	Fingerprint uint64
	// Left is the time until the caller's deadline; 0 if unknown.
	Left time.Duration
	// Waiting is the number of queued requests, which start first.
	Waiting int
	// Freed is how many slots per second the endpoints free for requests of this entry.
	Freed float64
	// Demand is how many slots per second first attempts take that are as urgent or more.
	Demand float64
}

// Return describes a request that may be a repeat.
type Return struct {
	Fingerprint uint64
	Left        time.Duration
	// SinceFirst is the time since the caller first sent the request, as estimated; 0 for
	// a first attempt.
	SinceFirst time.Duration
}

// Scheduler gives the callers of one entry times to come back. It is not safe for
// concurrent use.
type Scheduler struct {
	// told counts the times given by cell, and kept those with a kept place by block.
	told, kept map[int64]int
	prunedTo   int64
}

// New returns a scheduler that has given no times.
func New() *Scheduler { return &Scheduler{told: map[int64]int{}, kept: map[int64]int{}} }

// ReturnAfter returns how long the caller of a refused request should wait, and whether its
// place is kept. It returns 0 if the caller's deadline is unknown or too near.
func (s *Scheduler) ReturnAfter(now time.Time, r Refusal) (delay time.Duration, kept bool) {
	s.prune(now)
	latest := now.Add(min(time.Duration(honoredShare*float64(r.Left)), maxHonored))
	if latest.Before(now.Add(minDelay)) {
		return 0, false
	}
	at, kept := s.keptTime(now, latest, r)
	if !kept {
		at = s.spreadTime(now, latest, r)
	}
	s.told[cell(at)]++
	return at.Sub(now), kept
}

// IsPunctual reports whether a caller comes back at a time with a kept place.
func IsPunctual(now time.Time, r Return) bool {
	return r.Left > 0 && r.SinceFirst >= minDelay-earlyTolerance && isOnGrid(now, now.Add(r.Left), r.Fingerprint)
}

// ReturnWait returns how long a return without a kept place may be queued; 0 for one that comes
// back before any time that it may have been told.
func ReturnWait(r Return) time.Duration {
	honored := min(time.Duration(honoredShare*float64(r.Left+r.SinceFirst)), maxHonored)
	if r.SinceFirst < time.Duration(spreadFrom*float64(honored))-earlyTolerance {
		return 0
	}
	return max(min(maxReturnWait, time.Duration(returnWaitShare*float64(r.Left))), 0)
}

// keptTime returns the earliest time of the request's grid at which slots are expected to
// be free and not yet given to other callers.
func (s *Scheduler) keptTime(now, latest time.Time, r Refusal) (at time.Time, ok bool) {
	free := keptShare * (r.Freed - r.Demand)
	if free <= 0 {
		return at, false
	}
	// The queue takes what becomes free first.
	earliest := now.Add(max(minDelay, time.Duration(float64(r.Waiting)/free*float64(time.Second))))
	for at = nextOnGrid(earliest, now.Add(r.Left), r.Fingerprint); !at.After(latest); at = at.Add(gridStep) {
		if block := cell(at) / cellsPerBlock; s.hasFree(block, free) {
			s.kept[block]++
			return at, true
		}
	}
	return at, false
}

// hasFree reports whether a slot of a block of times is not given to another caller, if free
// slots are expected per second.
func (s *Scheduler) hasFree(block int64, free float64) bool {
	inSecond := 0
	for i := block - blocksPerSecond + 1; i <= block; i++ {
		inSecond += s.kept[i]
	}
	return float64(inSecond+1) <= free && float64(s.kept[block]) < max(free/blocksPerSecond, 1)
}

// spreadTime returns the time in the last part of the honored time at which the fewest
// callers come back, and which is not a kept one.
func (s *Scheduler) spreadTime(now, latest time.Time, r Refusal) (at time.Time) {
	from := now.Add(max(minDelay, time.Duration(spreadFrom*float64(latest.Sub(now)))))
	deadline := now.Add(r.Left)
	fewest := math.MaxInt
	// Each request starts at a place of its own, so that entries don't fill the same cells.
	cells := max(int64(latest.Sub(from)/cellWidth), 1)
	offset := int64(mix(r.Fingerprint+1) % uint64(cells))
	for i := range cells {
		t := from.Add(time.Duration((i+offset)%cells) * cellWidth)
		if n := s.told[cell(t)]; n < fewest && !isNearGrid(t, deadline, r.Fingerprint) {
			at, fewest = t, n
		}
	}
	if fewest == math.MaxInt {
		return latest
	}
	return at
}

// isOnGrid reports whether a caller that was told a time of the grid may arrive at t.
func isOnGrid(t, deadline time.Time, fingerprint uint64) bool {
	after := t.Add(earlyTolerance).Sub(nextOnGrid(t.Add(earlyTolerance-gridStep+1), deadline, fingerprint))
	return after <= earlyTolerance+lateTolerance
}

// isNearGrid reports whether a caller that was told t would arrive at a time of the grid.
func isNearGrid(t, deadline time.Time, fingerprint uint64) bool {
	return isOnGrid(t, deadline, fingerprint) || isOnGrid(t.Add(lateTolerance), deadline, fingerprint)
}

// nextOnGrid returns the first time of the grid that is not before t.
func nextOnGrid(t, deadline time.Time, fingerprint uint64) time.Time {
	phase := time.Duration(mix(fingerprint) % uint64(gridStep))
	left := deadline.Sub(t) - phase
	remainder := left % gridStep
	if remainder < 0 {
		remainder += gridStep
	}
	return t.Add(remainder)
}

// mix spreads the bits of a fingerprint.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func cell(t time.Time) int64 { return t.UnixNano() / int64(cellWidth) }

// prune removes the counts of the past.
func (s *Scheduler) prune(now time.Time) {
	c := cell(now)
	if c == s.prunedTo {
		return
	}
	s.prunedTo = c
	maps.DeleteFunc(s.told, func(i int64, _ int) bool { return i < c })
	maps.DeleteFunc(s.kept, func(i int64, _ int) bool { return i < c/cellsPerBlock-blocksPerSecond })
}
