// Package quiescer decides which requests a process may still pass on while it stops: those whose
// answers end before the process does. The load that it answers is that of callers who connect
// shortly before the load balancer leaves the process out and send their requests, or the rest of
// them, seconds later. Such a request that is refused runs elsewhere; one that is cut off may have
// run, so that nobody can repeat it.
package quiescer

import "time"

// Config describes how a process stops.
type Config struct {
	// Grace is the time from the start of the stop until all connections are closed.
	Grace time.Duration
	// RegularTime is how long after the start of the stop requests still come regularly, since the
	// load balancer has not noticed it. Later ones only come from callers that send late.
	RegularTime time.Duration
	// DeliveryTime is the time that is left at the end for the last part of an answer to reach its
	// caller.
	DeliveryTime time.Duration
}

// Request is what is known of a request that is to be passed on.
type Request struct {
	// ReceivedAt is when the request had been read completely.
	ReceivedAt time.Time
	// Deadline is when the caller gets an answer in any case.
	Deadline time.Time
	// ExpectedTime is how long the answer is expected to take from the start on; 0 if unknown.
	ExpectedTime time.Duration
}

// expectedTimeMargin is the ratio to the expected time within which answers have to end. Endpoints
// of one service differ in speed.
const expectedTimeMargin = 1.5

// Stop is the stop of a process. It is immutable; the zero value is that of a process that goes on.
type Stop struct {
	cfg       Config
	startedAt time.Time
}

// New returns a stop that starts now.
func New(cfg Config, now time.Time) Stop { return Stop{cfg: cfg, startedAt: now} }

// EndsAt returns when all connections are closed, or the zero time if the process goes on.
func (s Stop) EndsAt() time.Time {
	if s.startedAt.IsZero() {
		return time.Time{}
	}
	return s.startedAt.Add(s.cfg.Grace)
}

// LatestStart returns the time until which a request may be passed on, and false if that is not
// limited by the stop. The answers to requests that came regularly have to be expected before the
// end. Those to requests that came later have to be certain: however long the endpoint takes, the
// caller's deadline ends the request before.
func (s Stop) LatestStart(r Request) (at time.Time, limited bool) {
	if s.startedAt.IsZero() {
		return time.Time{}, false
	}
	lastOutputAt := s.EndsAt().Add(-s.cfg.DeliveryTime)
	switch {
	case !r.Deadline.After(lastOutputAt):
		return time.Time{}, false
	case r.ExpectedTime <= 0 || r.ReceivedAt.Sub(s.startedAt) > s.cfg.RegularTime:
		return s.startedAt, true
	default:
		return lastOutputAt.Add(-time.Duration(expectedTimeMargin * float64(r.ExpectedTime))), true
	}
}

// MayStart reports whether a request may be passed on now.
func (s Stop) MayStart(now time.Time, r Request) bool {
	at, limited := s.LatestStart(r)
	return !limited || now.Before(at)
}
