// Package forecaster estimates how many requests an endpoint has when a request arrives there.
//
// Two loads determine the design:
//
//   - Many entries that see the same reports, up to a second old. A request that ended since
//     the measurement would count as one of another entry, and a report that shows a free slot
//     is read several times before one shows that the slot has been taken. An entry's own
//     requests are therefore counted exactly, as of the measurement and as of now (History).
//   - An endpoint that claims to be idle and isn't. Its answers show it: first outputs that are
//     later than the claimed load explains, and refusals (Correction). Its reports contradict
//     what the entry has sent, or stay the same while others are full (Credibility).
//
// The requests of others are taken from the last report. Extrapolating them from the differences
// of reports does not reduce the error (docs/design/load-balancing.md).
package forecaster

import (
	"math"
	"slices"
	"time"
)

const (
	// maxAge is the age of the oldest starts and ends that are kept, more than that of the
	// oldest report in use.
	maxAge = 2 * time.Second
	// maxEvents bounds the starts and ends that are kept for one endpoint.
	maxEvents = 256
)

// History holds when an entry's requests to an endpoint started and ended. The zero value is
// one without requests.
type History struct {
	starts, ends []time.Time
}

// RecordStart records the start of a request.
func (h *History) RecordStart(now time.Time) { h.starts = add(h.starts, now) }

// RecordEnd records the end of a request.
func (h *History) RecordEnd(now time.Time) { h.ends = add(h.ends, now) }

// At returns the number of the entry's requests at an earlier time. now is the present number.
func (h *History) At(at time.Time, now int) int {
	return max(now-countAfter(h.starts, at)+countAfter(h.ends, at), 0)
}

// add appends a time and removes those that are too old or too many.
func add(times []time.Time, now time.Time) []time.Time {
	expired := 0
	for expired < len(times) && (now.Sub(times[expired]) > maxAge || len(times)-expired >= maxEvents) {
		expired++
	}
	return append(slices.Delete(times, 0, expired), now)
}

func countAfter(times []time.Time, at time.Time) (n int) {
	for i := len(times) - 1; i >= 0 && times[i].After(at); i-- {
		n++
	}
	return n
}

const (
	// answerWeight is the weight of one answer in a correction: an output may be late for
	// other reasons, two in a row are not.
	answerWeight = 0.5
	// correctionTime is the time in which a correction falls to a third without answers. It
	// is a few times that of a request, so that an endpoint is tried again.
	correctionTime = 2 * time.Second
	// outputTolerance is how late a first output may be without a correction. With all slots in
	// use, first outputs arrive within 300 ms of the expected time.
	outputTolerance = 300 * time.Millisecond
)

// Correction is the number of requests at an endpoint that its reports don't show. It is
// immutable; the zero value is none.
type Correction struct {
	requests float64
	at       time.Time
}

// Claim is what is known of an endpoint besides its answers.
type Claim struct {
	// Requests is the estimated number of requests without a correction, and Capacity the
	// number that run at full speed.
	Requests, Capacity float64
	// Duration is the time that a request takes.
	Duration time.Duration
}

// WithFirstOutput returns the correction after a first output, which took delay instead of
// expected. An output that waited for a slot shows that all were in use, and its delay how many
// requests were ahead of it.
func (c Correction) WithFirstOutput(now time.Time, delay, expected time.Duration, claim Claim) Correction {
	observed := 0.0
	if excess := delay - expected; excess > outputTolerance {
		ahead := excess.Seconds() / max(claim.Duration, outputTolerance).Seconds() * claim.Capacity
		observed = max(claim.Capacity+min(ahead, claim.Capacity)-claim.Requests, 0)
	}
	return Correction{requests: c.Requests(now) + answerWeight*(observed-c.Requests(now)), at: now}
}

// WithRefusal returns the correction after the endpoint has refused a request for want of a
// slot.
func (c Correction) WithRefusal(now time.Time, claim Claim) Correction {
	return Correction{requests: max(c.Requests(now), claim.Capacity-claim.Requests), at: now}
}

// Requests returns the number of requests that reports don't show.
func (c Correction) Requests(now time.Time) float64 {
	if c.requests == 0 {
		return 0
	}
	return c.requests * math.Exp(-now.Sub(c.at).Seconds()/correctionTime.Seconds())
}
