// Package detector finds requests whose endpoint has fallen silent.
//
// The load that determines the design is an instance that is suspended for some seconds,
// or whose packets are lost, with a dozen requests at its endpoint. Their connections stay
// open, so nothing but the silence shows it. Their callers give up after some time without
// output, and the endpoint runs what it has received once it is back. A request that goes on
// at another endpoint before costs that one a second prefill. An engine at its limits is also
// silent for a moment, so a request counts as silent only after a share of its caller's idle
// timeout, which leaves the remaining time to the other endpoint.
package detector

import (
	"cmp"
	"slices"
	"time"
)

const (
	// idleTimeoutShare is the share of its caller's idle timeout after which a request counts
	// as silent.
	idleTimeoutShare = 0.4
	// maxCheckGap is the longest time between two checks after which silence counts. After
	// a longer one, this process itself has not run, and outputs may not have been read.
	maxCheckGap = 500 * time.Millisecond
)

// Detector tracks the output of running requests. It is not safe for concurrent use.
type Detector struct {
	requests  map[uint64]*request
	checkedAt time.Time
}

// request is a request at an endpoint.
type request struct {
	lastOutputAt time.Time
	// limit is the silence from which on the request counts as silent.
	limit time.Duration
}

// New returns a detector without requests.
func New() *Detector { return &Detector{requests: map[uint64]*request{}} }

// Start records that a request was sent to an endpoint. idleTimeout is how long its
// caller waits for an output.
func (d *Detector) Start(now time.Time, id uint64, idleTimeout time.Duration) {
	d.requests[id] = &request{lastOutputAt: now, limit: time.Duration(idleTimeoutShare * float64(idleTimeout))}
}

// RecordOutput records that a part of a request's answer has arrived.
func (d *Detector) RecordOutput(now time.Time, id uint64) {
	if r := d.requests[id]; r != nil {
		r.lastOutputAt = now
	}
}

// End removes a request.
func (d *Detector) End(id uint64) { delete(d.requests, id) }

// Silence is a request that has been silent for longer than its limit.
type Silence struct {
	ID       uint64
	Duration time.Duration
}

// Silence returns for how long a request has been silent. ok is false if that is below its
// limit, or if the request has ended.
func (d *Detector) Silence(now time.Time, id uint64) (silence time.Duration, ok bool) {
	r := d.requests[id]
	if r == nil {
		return 0, false
	}
	silence = now.Sub(r.lastOutputAt)
	return silence, silence >= r.limit
}

// Check returns the silent requests, longest silence first. It has to be called regularly.
func (d *Detector) Check(now time.Time) (silent []Silence) {
	hasPaused := now.Sub(d.checkedAt) > maxCheckGap
	d.checkedAt = now
	for id, r := range d.requests {
		if hasPaused {
			r.lastOutputAt = now
		}
		if silence, ok := d.Silence(now, id); ok {
			silent = append(silent, Silence{ID: id, Duration: silence})
		}
	}
	slices.SortFunc(silent, func(a, b Silence) int {
		return cmp.Or(cmp.Compare(b.Duration, a.Duration), cmp.Compare(a.ID, b.ID))
	})
	return silent
}
