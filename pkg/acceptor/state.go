package acceptor

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
)

// maxRecentRecordIDs limits how many record IDs a state retains to report late
// copies as duplicates. Acceptance does not depend on it: a copy of an accepted
// record is rejected in any case because its base is no longer current.
const maxRecentRecordIDs = 8192

// AcceptedRecord is an accepted record. Data is its unmodified encoding.
type AcceptedRecord struct {
	Offset   uint64
	Envelope Envelope
	Data     []byte
}

// Verdict is the result of applying one record of the log.
type Verdict int

// Verdicts on a record.
const (
	// VerdictAccepted means that the record became the one in force for its
	// subject.
	VerdictAccepted Verdict = iota + 1
	// VerdictDuplicate means that a copy of the record was accepted earlier.
	VerdictDuplicate
	// VerdictConflict means that the record's base was not current.
	VerdictConflict
	// VerdictMalformed means that the envelope is invalid.
	VerdictMalformed
)

// String returns the verdict's name in snake case.
func (v Verdict) String() string {
	switch v {
	case VerdictAccepted:
		return "accepted"
	case VerdictDuplicate:
		return "duplicate"
	case VerdictConflict:
		return "conflict"
	case VerdictMalformed:
		return "malformed"
	default:
		return "unknown"
	}
}

// Outcome is the verdict on one record with its details.
type Outcome struct {
	Offset   uint64
	Verdict  Verdict
	RecordID string
	Subject  string
	// WinnerOffset is the offset of this record if it was accepted, of its accepted
	// copy if it is a duplicate, and otherwise of the subject's record in force; 0 if
	// there is none.
	WinnerOffset uint64
	Problem      string
}

// LogRecord is one record of the configuration stream.
type LogRecord struct {
	Offset uint64
	Data   []byte
}

// Digest identifies the accepted records of a state. Equal states have equal
// digests.
type Digest [sha256.Size]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// State is the accepted configuration up to and including an offset. It is
// immutable. The zero value is the state before the first record.
type State struct {
	lastOffset  uint64
	records     map[string]AcceptedRecord
	offsetsByID map[string]uint64
	recentIDs   []string
	digest      Digest
}

// RegressionError reports an update that is older than the current state.
type RegressionError struct {
	Current uint64
	Offered uint64
}

// Error implements error.
func (e *RegressionError) Error() string {
	return fmt.Sprintf("configuration through offset %d is older than the current one through offset %d", e.Offered, e.Current)
}

// DigestError reports an update whose result differs from the sender's state.
type DigestError struct {
	LastOffset uint64
	Got        Digest
	Want       Digest
}

// Error implements error.
func (e *DigestError) Error() string {
	return fmt.Sprintf("configuration through offset %d has digest %s, the sender has %s", e.LastOffset, e.Got, e.Want)
}

// LastOffset returns the offset of the last applied record of the log.
func (s State) LastOffset() uint64 { return s.lastOffset }

// Digest returns the digest of the accepted records.
func (s State) Digest() Digest { return s.digest }

// RecordFor returns the record in force for a subject, which may be a tombstone.
func (s State) RecordFor(subject string) (AcceptedRecord, bool) {
	a, ok := s.records[subject]
	return a, ok
}

// RecordsAfter returns the records in force with offsets above the given one, in
// order of their offsets, including tombstones. With 0 it returns all of them.
func (s State) RecordsAfter(offset uint64) []AcceptedRecord {
	var as []AcceptedRecord
	for _, a := range s.records {
		if a.Offset > offset {
			as = append(as, a)
		}
	}
	slices.SortFunc(as, func(a, b AcceptedRecord) int { return int(int64(a.Offset) - int64(b.Offset)) })
	return as
}

// WithRecords applies the next records of the log. Records at or below LastOffset
// are skipped. The caller must ensure that there is no gap.
func (s State) WithRecords(records []LogRecord) (State, []Outcome) {
	next := s.clone()
	outcomes := make([]Outcome, 0, len(records))
	for _, r := range records {
		if r.Offset <= next.lastOffset {
			continue
		}
		outcomes = append(outcomes, next.apply(r))
		next.lastOffset = r.Offset
	}
	return next, outcomes
}

// WithAcceptedRecords merges the records in force of a peer or a snapshot, as of
// lastOffset. It returns a *RegressionError if lastOffset is older than the
// state's, and a *DigestError if the result differs from the sender's state.
func (s State) WithAcceptedRecords(lastOffset uint64, digest Digest, accepted []LogRecord) (State, error) {
	if lastOffset < s.lastOffset {
		return s, &RegressionError{Current: s.lastOffset, Offered: lastOffset}
	}
	next := s.clone()
	for _, r := range accepted {
		e, err := ParseEnvelope(r.Data)
		if err != nil {
			return s, err
		}
		if r.Offset > next.records[e.Subject].Offset {
			next.setRecord(AcceptedRecord{Offset: r.Offset, Envelope: e, Data: r.Data})
		}
	}
	next.lastOffset = lastOffset
	if next.digest != digest {
		return s, &DigestError{LastOffset: lastOffset, Got: next.digest, Want: digest}
	}
	return next, nil
}

func (s State) clone() State {
	c := State{lastOffset: s.lastOffset, digest: s.digest, recentIDs: slices.Clone(s.recentIDs)}
	c.records = maps.Clone(s.records)
	c.offsetsByID = maps.Clone(s.offsetsByID)
	if c.records == nil {
		c.records = map[string]AcceptedRecord{}
		c.offsetsByID = map[string]uint64{}
	}
	return c
}

func (s *State) apply(r LogRecord) Outcome {
	e, err := ParseEnvelope(r.Data)
	if err != nil {
		return Outcome{Offset: r.Offset, Verdict: VerdictMalformed, Problem: err.Error()}
	}
	o := Outcome{Offset: r.Offset, RecordID: e.RecordID, Subject: e.Subject}
	current := s.records[e.Subject]
	o.WinnerOffset = current.Offset
	if e.Base != current.Offset {
		o.Verdict = VerdictConflict
		o.Problem = fmt.Sprintf("base %d is not current, offset %d is", e.Base, current.Offset)
		if first, ok := s.offsetsByID[e.RecordID]; ok {
			o.Verdict = VerdictDuplicate
			o.WinnerOffset = first
		}
		return o
	}
	s.setRecord(AcceptedRecord{Offset: r.Offset, Envelope: e, Data: r.Data})
	o.Verdict = VerdictAccepted
	o.WinnerOffset = r.Offset
	return o
}

func (s *State) setRecord(a AcceptedRecord) {
	if old, ok := s.records[a.Envelope.Subject]; ok {
		s.digest = s.digest.toggle(old)
	}
	s.records[a.Envelope.Subject] = a
	s.digest = s.digest.toggle(a)
	s.offsetsByID[a.Envelope.RecordID] = a.Offset
	s.recentIDs = append(s.recentIDs, a.Envelope.RecordID)
	if len(s.recentIDs) > maxRecentRecordIDs {
		delete(s.offsetsByID, s.recentIDs[0])
		s.recentIDs = s.recentIDs[1:]
	}
}

// toggle adds or removes a record. The digest of a state is the XOR of its
// records' digests, so updating it doesn't require hashing all records.
func (d Digest) toggle(a AcceptedRecord) Digest {
	h := sha256.New()
	var offset [8]byte
	binary.BigEndian.PutUint64(offset[:], a.Offset)
	_, _ = h.Write(offset[:])
	_, _ = h.Write(a.Data)
	for i, b := range h.Sum(nil) {
		d[i] ^= b
	}
	return d
}
