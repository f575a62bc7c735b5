package provider

import (
	"context"
	"encoding/json"
	"fmt"
	"time"
)

// Names of the log streams that the system uses.
const (
	// StreamConfiguration carries the operators' versioned records.
	StreamConfiguration = "configuration"
	// StreamSnapshots carries snapshots of the state that results from the
	// configuration stream.
	StreamSnapshots = "snapshots"
	// StreamClaims is the name prefix of the streams of claims on idempotency
	// keys; see ClaimsStream.
	StreamClaims = "claims"
	// StreamFences carries the incarnations of sidecars, whose offsets are fencing
	// numbers.
	StreamFences = "fences"
	// StreamDeaths carries crashes of endpoints with the requests that were in
	// progress there.
	StreamDeaths = "deaths"
	// StreamAudit carries the outcomes of requests and orders.
	StreamAudit = "audit"
)

// ClaimsStream returns the name of the claims stream of a service. Each service has its
// own, so that its sidecars do not read the claims of other services.
func ClaimsStream(service string) string { return StreamClaims + "-" + service }

// Record is a record of a log stream. Offsets start at 1 and are contiguous; retention
// removes the oldest records.
type Record struct {
	Offset uint64 `json:"offset"`
	// AppendedAt is when the record was appended, by the platform's clock.
	AppendedAt time.Time       `json:"appended_at"`
	Data       json.RawMessage `json:"data"`
}

// Page is a contiguous range of records of one stream.
type Page struct {
	// FirstRetained is the lowest offset that is still retained.
	FirstRetained uint64 `json:"first_retained"`
	// Next is the offset of the next record to be appended.
	Next    uint64   `json:"next"`
	Records []Record `json:"records"`
}

// Log is the platform's append-only log.
type Log interface {
	// Append appends records in order and returns the offset of the first one.
	// After an error, the records may or may not have been appended.
	Append(ctx context.Context, stream string, data ...json.RawMessage) (first uint64, err error)
	// Read returns up to limit records, starting at offset from. If there are none,
	// it waits up to wait for one. An offset below FirstRetained is not an error:
	// the page starts later, and the caller must detect the gap; see
	// Page.CheckContiguous.
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Page, error)
}

// GapError reports that retention removed records before they were read.
type GapError struct {
	Stream        string
	Wanted        uint64
	FirstRetained uint64
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("stream %s: offset %d is no longer retained, the first retained offset is %d", e.Stream, e.Wanted, e.FirstRetained)
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

// ForEachFrom calls visit for the records of a page at offset next and above, and
// returns the offset that follows the last of them.
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
