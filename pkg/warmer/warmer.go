// Package warmer limits the requests of one entry to an endpoint that is cold: that has just
// started, comes back from an evacuation or says so, and tolerates few requests per second.
//
// The load that it answers: an endpoint that is empty looks best to every entry at once, so
// all of them fill it in the same moment. Entries agree on nothing: any number of them may
// consider themselves the home of an endpoint, groups may be cut off from each other, and
// requests that were sent one after the other arrive together when they have queued on a link.
// Each entry therefore has the same fixed share of the limit, so that no grouping of entries
// adds up to more than the limit. Shares of entries that have vanished are not redistributed,
// since an entry that is gone can't be told from one that is only unreachable. Where an
// entry's share is less than one request, it has its turn at times of its own, which are
// spread evenly; a turn that is not used lapses.
package warmer

import (
	"math"
	"slices"
	"time"
)

const (
	// second is the time for which the limit holds.
	second = time.Second
	// assumedTransit is the time after which a request is expected to have arrived that has
	// no answer yet.
	assumedTransit = 500 * time.Millisecond
	// maxPending is how long a request without an answer counts as on its way. It exceeds
	// the deadlines of callers.
	maxPending = 20 * time.Second
	// pendingStep is the time after which a request without an answer is looked at again.
	pendingStep = 50 * time.Millisecond
	// turnLength is how long the turn of an entry lasts that has less than one request per
	// window: several passes over the waiting requests. turnShare is the part of the limit
	// that is used in turnWindow. The number of turns is random: at a limit of 59, requests of 30
	// turns arrive in one second on average if all have queued for assumedTransit, and
	// more than 59 once in some millions of such cases.
	turnLength = 250 * time.Millisecond
	turnShare  = 0.6
	// turnWindow is the time of the turns whose requests may arrive in one second.
	turnWindow = second + assumedTransit + turnLength
	// After the end of the cold time the share doubles every doubling until rampTime has
	// passed; it is far above what a warm endpoint can run then.
	doubling = 250 * time.Millisecond
	rampTime = time.Second
)

// Limit returns how many requests a cold endpoint tolerates in any second: perSecond times
// excess, and margin. It is 0, for no limit, if perSecond is 0. An excess below 1 counts as 1.
func Limit(perSecond, excess, margin float64) float64 {
	if perSecond <= 0 {
		return 0
	}
	return perSecond*max(excess, 1) + max(margin, 0)
}

// Share is the part of an endpoint's limit that one entry has.
type Share struct {
	// Limit is the number of requests in any second that all entries together may send; 0 for
	// no limit.
	Limit float64
	// Entries is the number of entries that may send, of which there has been a time with as
	// many: it must not fall when some can't be reached.
	Entries int
	// Reserve is the part of Limit that is left to an entry that has started and that the
	// others don't know yet. It is not needed where entries have turns, which leave more.
	Reserve float64
}

// requests returns how many requests of the entry may arrive in any second; less than 1 for an
// entry that waits for its turn.
func (s Share) requests() float64 {
	entries := float64(max(s.Entries, 1))
	if share := (s.Limit - s.Reserve) / entries; share >= 1 {
		return math.Floor(share)
	}
	return min(s.Limit/entries, 1) * turnShare
}

// Ramp is how cold an endpoint is, with the latest requests of this entry. It is immutable.
// The zero value stands for a warm endpoint.
type Ramp struct {
	coldUntil time.Time
	// starts are this entry's requests that may arrive within a second of another one, oldest
	// first.
	starts []request
}

// request is a request that was sent to the endpoint. countsUntil is a second after it was
// known to have arrived; the zero time while it may still be on its way.
type request struct {
	id          uint64
	sentAt      time.Time
	countsUntil time.Time
}

// counts reports whether another request may arrive within a second of this one.
func (r request) counts(now time.Time) bool {
	if r.countsUntil.IsZero() {
		return now.Sub(r.sentAt) < maxPending
	}
	return now.Before(r.countsUntil)
}

// expectedEnd returns when the request is expected not to count anymore.
func (r request) expectedEnd(now time.Time) time.Time {
	if !r.countsUntil.IsZero() {
		return r.countsUntil
	}
	end := r.sentAt.Add(assumedTransit + second)
	if end.After(now) {
		return end
	}
	return now.Add(pendingStep)
}

// maxStarts bounds the requests that are remembered. It is above the share of any entry.
const maxStarts = 128

// ColdUntil returns when the endpoint is warm; the zero time if it was never cold.
func (r Ramp) ColdUntil() time.Time { return r.coldUntil }

// IsLimited reports whether requests to the endpoint are limited: while it is cold, and for a
// short time in which the limit is raised.
func (r Ramp) IsLimited(now time.Time) bool { return now.Before(r.coldUntil.Add(rampTime)) }

// WithCold returns r for an endpoint that is cold until a time, or r if it is cold for longer.
func (r Ramp) WithCold(until time.Time) Ramp {
	if until.After(r.coldUntil) {
		r.coldUntil = until
	}
	return r
}

// WithStart returns r after a request was sent.
func (r Ramp) WithStart(now time.Time, id uint64) Ramp {
	starts := make([]request, 0, len(r.starts)+1)
	for _, s := range r.starts {
		if s.counts(now) {
			starts = append(starts, s)
		}
	}
	if len(starts) >= maxStarts {
		starts = starts[len(starts)-maxStarts+1:]
	}
	starts = append(starts, request{id: id, sentAt: now})
	r.starts = starts
	return r
}

// WithArrival returns r after something of the endpoint's answer to a request has come back,
// or the request has ended: it arrives no later than now.
func (r Ramp) WithArrival(now time.Time, id uint64) Ramp {
	return r.withCountsUntil(id, now.Add(second))
}

// WithCanceled returns r after this entry has canceled a request, which may still be on its
// way.
func (r Ramp) WithCanceled(now time.Time, id uint64) Ramp {
	return r.withCountsUntil(id, now.Add(assumedTransit+second))
}

func (r Ramp) withCountsUntil(id uint64, until time.Time) Ramp {
	i := slices.IndexFunc(r.starts, func(s request) bool { return s.id == id && s.countsUntil.IsZero() })
	if i < 0 {
		return r
	}
	r.starts = slices.Clone(r.starts)
	r.starts[i].countsUntil = until
	return r
}

// NextAt returns the earliest time from now on at which the entry may send another request; the
// zero time if that is now. phase, in [0, 1), spreads the turns of the entries; it has to
// remain the same for an entry and an endpoint.
func (r Ramp) NextAt(now time.Time, s Share, phase float64) time.Time {
	if s.Limit <= 0 || !r.IsLimited(now) {
		return time.Time{}
	}
	n := s.requests()
	if after := now.Sub(r.coldUntil); after > 0 {
		n *= math.Pow(2, float64(after)/float64(doubling))
	}
	var next time.Time
	if n < 1 {
		next = nextTurn(now, n, phase)
		n = 1
	}
	if free := r.freeAt(now, min(int(n), maxStarts)); free.After(next) {
		next = free
	}
	return earliest(next, r.coldUntil.Add(rampTime))
}

// freeAt returns when fewer than n requests are expected to count; the zero time if that is now.
func (r Ramp) freeAt(now time.Time, n int) time.Time {
	var ends []time.Time
	for _, s := range r.starts {
		if s.counts(now) {
			ends = append(ends, s.expectedEnd(now))
		}
	}
	if len(ends) < n {
		return time.Time{}
	}
	slices.SortFunc(ends, time.Time.Compare)
	return ends[len(ends)-n]
}

// nextTurn returns the start of the next turn of an entry that has n requests per turnWindow, less
// than 1; the zero time during a turn.
func nextTurn(now time.Time, n, phase float64) time.Time {
	period := time.Duration(float64(turnWindow) / n)
	since := (time.Duration(now.UnixNano()%int64(period)) - time.Duration(phase*float64(period)) + period) % period
	if since < turnLength {
		return time.Time{}
	}
	return now.Add(period - since)
}

// earliest returns t unless limit is before it.
func earliest(t, limit time.Time) time.Time {
	if t.After(limit) {
		return limit
	}
	return t
}
