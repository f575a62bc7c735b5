// Package advisor keeps what an endpoint has said in its answers about the requests that it
// accepts: that it is leaving, that it wants none for a while, and how many it accepts from
// all entries together.
//
// The load that determines the design is an endpoint that is overloaded, or about to stop,
// while the list of endpoints still names it as ready: the list lags, can't be read during an
// outage, or is restored from an older copy. Only what the endpoint itself says is certain, so
// no list undoes it, and it holds until the endpoint starts anew. In a burst it asks all entries
// to stay away until the same moment, so each returns at a random time after it.
package advisor

import (
	"time"

	"flamingoledge.org/flamingoledge/pkg/limiter"
)

// Answer is what one answer of an endpoint says. The zero value says nothing.
type Answer struct {
	// Leaving is set if the endpoint accepts no new requests any more.
	Leaving bool
	// Backoff is how long the endpoint wants no requests of this entry; 0 if it says nothing
	// about that.
	Backoff time.Duration
	// Limit is the number of requests per second that the endpoint accepts from all entries
	// together; 0 for no limit.
	Limit float64
}

// Advice is what an endpoint has said so far. It is immutable. The zero value stands for an
// endpoint that has said nothing.
type Advice struct {
	leaving      bool
	backoffUntil time.Time
	// backoffSpread delays the return of this entry after backoffUntil.
	backoffSpread time.Duration
	limit         limiter.Limit
}

const (
	// backoffSpreadShare and maxBackoffSpread bound the time over which the entries return to
	// an endpoint that has asked all of them for the same time.
	backoffSpreadShare = 0.2
	maxBackoffSpread   = 500 * time.Millisecond
)

// Leaving returns the advice of an endpoint that has said that it is leaving.
func Leaving() Advice { return Advice{leaving: true} }

// IsLeaving reports whether the endpoint has said that it is leaving.
func (a Advice) IsLeaving() bool { return a.leaving }

// Limit returns the endpoint's limit in requests per second; 0 for none.
func (a Advice) Limit() float64 { return a.limit.PerSecond() }

// NextAt returns the earliest time at which the endpoint accepts another request of this
// entry, unless it is leaving.
func (a Advice) NextAt() time.Time {
	if next := a.limit.NextAt(); next.After(a.BackoffEnd()) {
		return next
	}
	return a.BackoffEnd()
}

// InBackoff reports whether the endpoint wants no requests of this entry for a while.
func (a Advice) InBackoff(now time.Time) bool { return now.Before(a.BackoffEnd()) }

// BackoffEnd returns when this entry returns to the endpoint after the last time for which it
// wanted no requests. It is the zero time if there was none.
func (a Advice) BackoffEnd() time.Time {
	if a.backoffUntil.IsZero() {
		return time.Time{}
	}
	return a.backoffUntil.Add(a.backoffSpread)
}

// WithAnswer returns the advice after an answer of the endpoint. share is this entry's share
// of the endpoint's limit. random, between 0 and 1, spreads the first requests of the
// entries, to a limited endpoint and after a backoff.
func (a Advice) WithAnswer(now time.Time, answer Answer, share, random float64) Advice {
	// Answers may overtake each other, so a later one that does not say it changes nothing.
	a.leaving = a.leaving || answer.Leaving
	if until := now.Add(answer.Backoff); answer.Backoff > 0 && until.After(a.backoffUntil) {
		// The latest of several random times would be nearly the same at all entries.
		if !a.InBackoff(now) {
			a.backoffSpread = time.Duration(random * float64(min(time.Duration(backoffSpreadShare*float64(answer.Backoff)), maxBackoffSpread)))
		}
		a.backoffUntil = until
	}
	a.limit = a.limit.WithRate(now, answer.Limit, share, random)
	return a
}

// WithStart returns the advice after this entry started a request at the endpoint.
func (a Advice) WithStart(now time.Time, share float64) Advice {
	a.limit = a.limit.WithStart(now, share)
	return a
}
