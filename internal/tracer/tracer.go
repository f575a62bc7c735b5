// Package tracer traces an outcome through the platform's log back to the record,
// decision, version, endpoint and claim that caused it.
package tracer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"flamingoledge.org/flamingoledge/internal/publisher"
	"flamingoledge.org/flamingoledge/internal/synchronizer"
	"flamingoledge.org/flamingoledge/pkg/acceptor"
	"flamingoledge.org/flamingoledge/pkg/claimer"
	"flamingoledge.org/flamingoledge/pkg/interpreter"
	"flamingoledge.org/flamingoledge/pkg/provider"
)

// Trace contains what the log recorded about a request, an order or a record.
type Trace struct {
	ID      string                `json:"id"`
	Entries []provider.AuditEntry `json:"entries"`
	Claims  []ClaimStep           `json:"claims,omitempty"`
	Records []RecordStep          `json:"records,omitempty"`
	// Gaps describes the data that is missing because of retention or an outage.
	Gaps []string `json:"unknowable,omitempty"`
}

// ClaimStep is an entry of a service's claims stream, with its offset in that stream.
type ClaimStep struct {
	Offset uint64        `json:"offset"`
	At     time.Time     `json:"at"`
	Entry  claimer.Entry `json:"entry"`
}

// RecordStep is a configuration record and whether it was accepted.
type RecordStep struct {
	Offset   uint64    `json:"offset"`
	At       time.Time `json:"at"`
	Verdict  string    `json:"verdict"`
	Subject  string    `json:"subject"`
	RecordID string    `json:"record_id"`
	Author   string    `json:"author,omitempty"`
	Problem  string    `json:"problem,omitempty"`
}

// NotFoundError reports that the log contains nothing about an id.
type NotFoundError struct {
	ID   string
	Gaps []string
}

// Error implements error.
func (e *NotFoundError) Error() string {
	text := fmt.Sprintf("the log contains nothing about %q", e.ID)
	for _, gap := range e.Gaps {
		text += "; " + gap
	}
	return text
}

// Find collects what the log recorded about id: a request id, an idempotency key, an
// order id, a record id or a record offset.
func Find(ctx context.Context, log provider.Log, id string) (t Trace, err error) {
	t = Trace{ID: id}
	f := finder{ctx: ctx, log: log, trace: &t, id: id, attempts: map[string]struct{}{}, offsets: map[uint64]struct{}{}, services: map[string]struct{}{}}
	if n, err := strconv.ParseUint(id, 10, 64); err == nil {
		f.offsets[n] = struct{}{}
		f.byRecord = true
	}
	for _, find := range []func() error{f.resolveRecordID, f.findAuditEntries, f.findClaims, f.findRecords} {
		if err = find(); err != nil {
			return t, err
		}
	}
	if len(t.Entries)+len(t.Claims)+len(t.Records) == 0 {
		return t, &NotFoundError{ID: id, Gaps: t.Gaps}
	}
	return t, nil
}

// finder collects the Trace of an id in several steps.
type finder struct {
	ctx   context.Context
	log   provider.Log
	trace *Trace
	id    string
	// byRecord is true if id is a record id or a record offset.
	byRecord bool
	// attempts and offsets are the attempt ids and record offsets to search for.
	attempts map[string]struct{}
	offsets  map[uint64]struct{}
	// services are the services whose claims streams are searched.
	services map[string]struct{}
}

// read calls visit for every retained record of a stream. It adds a gap if retention
// has removed older ones.
func (f *finder) read(stream string, visit func(provider.Record)) error {
	for next := uint64(1); ; {
		page, err := f.log.Read(f.ctx, stream, next, synchronizer.PageLimit, 0)
		if err != nil {
			return err
		}
		if next == 1 && page.FirstRetained > 1 {
			f.trace.Gaps = append(f.trace.Gaps,
				fmt.Sprintf("records of stream %s before offset %d were removed by retention", stream, page.FirstRetained))
		}
		for _, r := range page.Records {
			visit(r)
			next = r.Offset + 1
		}
		if len(page.Records) == 0 {
			return nil
		}
	}
}

// resolveRecordID checks whether the id is a record id, and collects the names of all
// services.
func (f *finder) resolveRecordID() error {
	return publisher.WalkHistory(f.ctx, f.log, func(o acceptor.Outcome, _ time.Time, _ string) {
		if name, ok := strings.CutPrefix(o.Subject, interpreter.KindService+":"); ok {
			f.services[name] = struct{}{}
		}
		if o.RecordID == f.id {
			f.byRecord = true
			f.offsets[o.Offset] = struct{}{}
		}
	})
}

// findAuditEntries collects the audit entries, and from them the attempts, services
// and record offsets that the later steps search for.
func (f *finder) findAuditEntries() error {
	return f.read(provider.StreamAudit, func(r provider.Record) {
		var e provider.AuditEntry
		if json.Unmarshal(r.Data, &e) != nil {
			return
		}
		if e.Kind == provider.AuditLost {
			f.trace.Gaps = append(f.trace.Gaps,
				fmt.Sprintf("%s dropped %d audit entries before %s", e.Instance, e.Lost, e.At.UTC().Format(time.RFC3339)))
			return
		}
		if !f.matches(e) {
			return
		}
		f.trace.Entries = append(f.trace.Entries, e)
		if e.Service != "" {
			f.services[e.Service] = struct{}{}
		}
		f.attempts[e.AttemptID] = struct{}{}
		if e.RecordOffset > 0 {
			f.offsets[e.RecordOffset] = struct{}{}
		}
	})
}

// matches reports whether an audit entry is about the id, or refers to the record if id
// identifies one.
func (f *finder) matches(e provider.AuditEntry) bool {
	if _, ok := f.offsets[e.RecordOffset]; ok && f.byRecord && e.RecordOffset > 0 {
		return true
	}
	return f.id == e.RequestID || f.id == e.IdempotencyKey || f.id == e.OrderID || f.id == e.AttemptID
}

func (f *finder) findClaims() error {
	for service := range f.services {
		if err := f.findServiceClaims(service); err != nil {
			return err
		}
	}
	return nil
}

func (f *finder) findServiceClaims(service string) error {
	return f.read(provider.ClaimsStream(service), func(r provider.Record) {
		var e claimer.Entry
		if json.Unmarshal(r.Data, &e) != nil {
			return
		}
		_, attempt := f.attempts[e.AttemptID]
		if attempt || e.RequestID == f.id || e.IdempotencyKey == f.id {
			f.trace.Claims = append(f.trace.Claims, ClaimStep{Offset: r.Offset, At: r.AppendedAt, Entry: e})
		}
	})
}

func (f *finder) findRecords() error {
	return publisher.WalkHistory(f.ctx, f.log, func(o acceptor.Outcome, at time.Time, author string) {
		if _, ok := f.offsets[o.Offset]; !ok {
			return
		}
		f.trace.Records = append(f.trace.Records, RecordStep{
			Offset: o.Offset, At: at, Verdict: o.Verdict.String(), Subject: o.Subject, RecordID: o.RecordID, Author: author, Problem: o.Problem,
		})
	})
}

// Write writes a trace in a human-readable form.
func Write(w io.Writer, t Trace) {
	for _, r := range t.Records {
		_, _ = fmt.Fprintf(w, "record %d  %s  %s  %s  %s  by %q  %s\n", r.Offset, formatTime(r.At), r.Verdict, r.Subject, r.RecordID, r.Author, r.Problem)
	}
	for _, c := range t.Claims {
		_, _ = fmt.Fprintf(w, "claim %d  %s  %s  key %s  attempt %s  on %s\n", c.Offset, formatTime(c.At), c.Entry.Kind, c.Entry.IdempotencyKey, c.Entry.AttemptID, c.Entry.Instance)
	}
	for _, e := range t.Entries {
		_, _ = fmt.Fprintln(w, formatEntry(e))
	}
	for _, gap := range t.Gaps {
		_, _ = fmt.Fprintln(w, "unknowable:", gap)
	}
}

func formatEntry(e provider.AuditEntry) string {
	switch e.Kind {
	case provider.AuditRequest:
		return fmt.Sprintf("request %s  %s  %s %s  workspace %s  service %s  %d attempts, last %s on %s (%s)  version %s  under record %d  at %s",
			e.RequestID, formatTime(e.At), e.Outcome, e.Code, e.Workspace, e.Service, e.Attempts, e.AttemptID, e.Endpoint, e.Reason, e.VersionDigest, e.RecordOffset, e.Instance)
	case provider.AuditOrder:
		return fmt.Sprintf("order %s  %s  %s version %s  fencing %d  under record %d  to %s  %s",
			e.OrderID, formatTime(e.At), e.OrderKind, e.VersionDigest, e.Fencing, e.RecordOffset, e.Instance, e.Problem)
	default:
		return fmt.Sprintf("%s  %s  model %s version %s  under record %d  on %s", e.Kind, formatTime(e.At), e.Model, e.VersionDigest, e.RecordOffset, e.Instance)
	}
}

func formatTime(t time.Time) string { return t.UTC().Format(time.RFC3339Nano) }
