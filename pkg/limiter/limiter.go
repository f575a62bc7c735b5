// Package limiter spaces the requests of one entry to an endpoint that limits those of all
// entries together.
//
// The load that determines the design is an overloaded endpoint that accepts a few requests
// per second, while each of up to some hundred entries could send it that many. The entries
// don't coordinate, so each has a fixed share, and the shares add up to less than the limit.
// Unused requests don't accumulate: the bursts of all entries together would exceed the limit
// for seconds. Each entry begins at a random time, so that their requests are spread evenly.
package limiter

import "time"

const (
	// homeShare is the share of a limit of the endpoint's home. While entries disagree about
	// their membership, two may both consider themselves the home; their shares then exceed
	// the limit by less than a half.
	homeShare = 0.6
	// remoteShare is the share of all other entries together.
	remoteShare = 0.2
)

// HomeShare returns the share of a limit of the endpoint's home.
func HomeShare() float64 { return homeShare }

// RemoteShare returns the share of each entry that is not the endpoint's home. entries
// includes the home.
func RemoteShare(entries int) float64 { return remoteShare / float64(max(entries-1, 1)) }

// EvenShare returns the share of each entry if the endpoint has no home.
func EvenShare(entries int) float64 { return (homeShare + remoteShare) / float64(max(entries, 1)) }

// Limit is the limit of an endpoint and the time of this entry's next request to it. It is
// immutable. The zero value limits nothing.
type Limit struct {
	perSecond float64
	nextAt    time.Time
}

// PerSecond returns the requests per second that the endpoint allows all entries together; 0
// for no limit.
func (l Limit) PerSecond() float64 { return l.perSecond }

// NextAt returns the earliest time of the next request of this entry. It is the zero time
// without a limit.
func (l Limit) NextAt() time.Time { return l.nextAt }

// WithRate returns the limit after the endpoint named a rate in requests per second; 0 for
// none. share is the share of this entry. random, between 0 and 1, spreads the first requests
// of the entries.
func (l Limit) WithRate(now time.Time, perSecond, share, random float64) Limit {
	if perSecond <= 0 {
		return Limit{}
	}
	interval := interval(perSecond, share)
	if l.perSecond == 0 {
		return Limit{perSecond: perSecond, nextAt: now.Add(time.Duration(random * float64(interval)))}
	}
	if latest := now.Add(interval); l.nextAt.After(latest) {
		l.nextAt = latest
	}
	l.perSecond = perSecond
	return l
}

// WithStart returns the limit after this entry started a request at the endpoint.
func (l Limit) WithStart(now time.Time, share float64) Limit {
	if l.perSecond > 0 {
		l.nextAt = now.Add(interval(l.perSecond, share))
	}
	return l
}

// interval returns the time between two requests of an entry.
func interval(perSecond, share float64) time.Duration {
	return time.Duration(float64(time.Second) / (perSecond * share))
}
