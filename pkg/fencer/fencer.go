// Package fencer decides whether an incarnation of a sidecar may send orders to its
// endpoint. Each incarnation appends an entry to the fences stream. The offset of
// the entry is its fencing number, and the incarnation with the highest number for
// an endpoint holds the lease.
package fencer

import (
	"encoding/json"
	"fmt"
	"time"

	"flamingoledge.org/flamingoledge/pkg/provider"
)

// Entry is one record of the fences stream.
type Entry struct {
	Endpoint    string `json:"endpoint"`
	Incarnation string `json:"incarnation"`
}

// Encode returns the entry in the encoding of the stream's records.
func (e Entry) Encode() (json.RawMessage, error) { return json.Marshal(e) }

// Config configures a Lease.
type Config struct {
	Endpoint    string
	Incarnation string
	// Duration is how long the lease is valid after the stream was last read to its
	// end.
	Duration time.Duration
}

// Lease is the state of an incarnation's lease on its endpoint. It is immutable.
type Lease struct {
	cfg          Config
	next         uint64
	number       uint64
	newestNumber uint64
	renewedAt    time.Time
}

// New returns a lease that has not been acquired yet.
func New(cfg Config) Lease { return Lease{cfg: cfg, next: 1} }

// Next returns the offset of the fences stream to read next.
func (l Lease) Next() uint64 { return l.next }

// FencingNumber returns the fencing number, 0 if there is none yet.
func (l Lease) FencingNumber() uint64 { return l.number }

// WithPage returns the lease updated with a page that was requested at
// requestedAt. The lease is renewed from that time, not from when the page was
// received, because the response may have been delayed.
func (l Lease) WithPage(requestedAt time.Time, page provider.Page) Lease {
	if l.number > 0 && page.FirstRetained > l.next {
		// Entries were removed before they were read, and one of them may be that of
		// a newer incarnation.
		l.newestNumber = max(l.newestNumber, page.FirstRetained)
	}
	for _, r := range page.Records {
		l.next = max(l.next, r.Offset+1)
		var e Entry
		if json.Unmarshal(r.Data, &e) != nil || e.Endpoint != l.cfg.Endpoint {
			continue
		}
		l.newestNumber = max(l.newestNumber, r.Offset)
		if e.Incarnation == l.cfg.Incarnation {
			l.number = max(l.number, r.Offset)
		}
	}
	l.next = max(l.next, page.FirstRetained)
	if l.next >= page.Next {
		l.renewedAt = requestedAt
	}
	return l
}

// LeaseError reports why no order may be sent.
type LeaseError struct {
	Endpoint string
	Problem  string
	// Superseded is true if a newer incarnation exists. This is permanent.
	Superseded bool
}

// Error implements error.
func (e *LeaseError) Error() string {
	return fmt.Sprintf("lease on endpoint %s: %s", e.Endpoint, e.Problem)
}

// Check returns a *LeaseError unless this incarnation holds the lease at now.
func (l Lease) Check(now time.Time) error {
	switch {
	case l.number == 0:
		return &LeaseError{Endpoint: l.cfg.Endpoint, Problem: "no fencing number yet"}
	case l.newestNumber > l.number:
		return &LeaseError{
			Endpoint: l.cfg.Endpoint, Superseded: true,
			Problem: fmt.Sprintf("superseded by fencing number %d, own is %d", l.newestNumber, l.number),
		}
	case now.Sub(l.renewedAt) > l.cfg.Duration:
		return &LeaseError{Endpoint: l.cfg.Endpoint, Problem: fmt.Sprintf("not renewed for %s", now.Sub(l.renewedAt))}
	}
	return nil
}
