// Package fencer tells whether an incarnation of a sidecar may give orders to
// its endpoint. Each incarnation appends itself to the fences stream; its offset
// is its fencing number and the highest one for an endpoint holds the lease.
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

// Encode returns the entry as a record.
func (e Entry) Encode() (json.RawMessage, error) { return json.Marshal(e) }

// Config configures a Lease.
type Config struct {
	Endpoint    string
	Incarnation string
	// Duration is how long the lease holds after the stream was last read.
	Duration time.Duration
}

// Lease is what an incarnation knows about its right to give orders. It is
// immutable.
type Lease struct {
	cfg          Config
	next         uint64
	number       uint64
	newestNumber uint64
	renewedAt    time.Time
}

// New returns a lease that holds nothing yet.
func New(cfg Config) Lease { return Lease{cfg: cfg, next: 1} }

// Next returns the offset to be read next.
func (l Lease) Next() uint64 { return l.next }

// FencingNumber returns the fencing number, 0 before there is one.
func (l Lease) FencingNumber() uint64 { return l.number }

// WithPage returns the lease after a page that was asked for at askedAt. The
// time of asking counts, because the page may have been on its way for long.
func (l Lease) WithPage(askedAt time.Time, page provider.Page) Lease {
	if l.number > 0 && page.FirstRetained > l.next {
		// Entries were removed unread, so a newer incarnation may be among them.
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
		l.renewedAt = askedAt
	}
	return l
}

// LeaseError tells why no order may be given.
type LeaseError struct {
	Endpoint string
	Problem  string
	// Superseded is true when a newer incarnation exists, which is final.
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
