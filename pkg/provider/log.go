package provider

import (
	"context"
	"encoding/json"
	"fmt"
	"time"
)

// Names of the streams that the system uses in the platform's log.
const (
	// StreamConfiguration carries the operators' versioned records.
	StreamConfiguration = "configuration"
	// StreamSnapshots carries folded copies of the configuration stream.
	StreamSnapshots = "snapshots"
	// StreamClaims is the beginning of the names of the streams with claims on
	// idempotency keys; see ClaimsStream.
	StreamClaims = "claims"
	// StreamFences carries the incarnations of sidecars.
	StreamFences = "fences"
	// StreamDeaths carries deaths of endpoints and what was in progress there.
	StreamDeaths = "deaths"
	// StreamAudit carries what became of requests and orders.
	StreamAudit = "audit"
)

// ClaimsStream returns the name of a service's stream of claims. Each service has
// its own, so that its sidecars read no others' claims.
func ClaimsStream(service string) string { return StreamClaims + "-" + service }

// Record is one entry of a log stream. Offsets start at 1 and have no holes
// when they are written; retention removes the oldest ones.
type Record struct {
	Offset uint64 `json:"offset"`
	// AppendedAt is the platform's clock when the record was appended.
	AppendedAt time.Time       `json:"appended_at"`
	Data       json.RawMessage `json:"data"`
}

// Page is a contiguous run of records of one stream.
type Page struct {
	// FirstRetained is the lowest offset that the stream still keeps.
	FirstRetained uint64 `json:"first_retained"`
	// Next is the offset that the next appended record will get.
	Next    uint64   `json:"next"`
	Records []Record `json:"records"`
}

// Log is the platform's append-only log.
type Log interface {
	// Append adds records in order and returns the offset of the first one.
	// After an error the records may or may not have been appended.
	Append(ctx context.Context, stream string, data ...json.RawMessage) (first uint64, err error)
	// Read returns records from an offset on. With nothing to return it waits
	// up to wait for a record. A from below FirstRetained is not an error: the
	// page starts later, and the caller must notice the gap.
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Page, error)
}

// GapError tells that retention removed records before they were read.
type GapError struct {
	Stream        string
	Wanted        uint64
	FirstRetained uint64
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("stream %s: offset %d is gone, the first retained offset is %d", e.Stream, e.Wanted, e.FirstRetained)
}

// CheckContiguous returns a *GapError if page does not start at from.
func (p Page) CheckContiguous(stream string, from uint64) error {
	if from == 0 {
		from = 1
	}
	if len(p.Records) > 0 && p.Records[0].Offset != from {
		return &GapError{Stream: stream, Wanted: from, FirstRetained: p.FirstRetained}
	}
	if len(p.Records) == 0 && p.FirstRetained > from {
		return &GapError{Stream: stream, Wanted: from, FirstRetained: p.FirstRetained}
	}
	return nil
}

// ForEachFrom passes the records of a page from offset next on to see, and returns the
// offset that follows them.
func (p Page) ForEachFrom(next uint64, visit func(Record)) uint64 {
	next = max(next, p.FirstRetained)
	for _, r := range p.Records {
		if r.Offset < next {
			continue
		}
		next = r.Offset + 1
		visit(r)
	}
	return next
}
