// Package acceptor folds the configuration stream of the platform's log into
// the accepted state. Acceptance depends on envelopes and offsets only, so that
// binaries which read different body schemas still accept the same records.
package acceptor

import (
	"encoding/json"
	"fmt"
	"regexp"
)

// MaxRecordBytes is the maximum size of an encoded record.
const MaxRecordBytes = 256 << 10

const (
	maxSubjectBytes  = 200
	maxRecordIDBytes = 100
)

var subjectPattern = regexp.MustCompile(`^[a-z]+:[A-Za-z0-9._/-]+$`)

// Envelope is the part of a record that every schema version shares.
type Envelope struct {
	// SchemaVersion names the schema of Body, from 1.
	SchemaVersion int `json:"schema_version"`
	// RecordID is unique per publish; records with the same ID are copies of one
	// record.
	RecordID string `json:"record_id"`
	// Subject is the object that the record configures, such as "workspace:market".
	Subject string `json:"subject"`
	// Base is the offset of the subject's record that this record replaces, 0 if
	// there is none.
	Base uint64 `json:"base"`
	// Deleted marks a tombstone, which removes the subject.
	Deleted bool `json:"deleted,omitempty"`
	// Author is the operator's name for the audit log.
	Author string `json:"author,omitempty"`
	// Body is decoded by package interpreter.
	Body json.RawMessage `json:"body,omitempty"`
}

// EnvelopeError reports an invalid field of an envelope.
type EnvelopeError struct {
	Field   string
	Problem string
}

// Error implements error.
func (e *EnvelopeError) Error() string {
	return fmt.Sprintf("record envelope: %s: %s", e.Field, e.Problem)
}

// ParseEnvelope decodes and validates one record. Unknown fields are ignored,
// because a newer binary may have written them.
func ParseEnvelope(data []byte) (e Envelope, err error) {
	if len(data) > MaxRecordBytes {
		return Envelope{}, &EnvelopeError{Field: "record", Problem: fmt.Sprintf("%d bytes, at most %d are allowed", len(data), MaxRecordBytes)}
	}
	if err = json.Unmarshal(data, &e); err != nil {
		return Envelope{}, &EnvelopeError{Field: "record", Problem: err.Error()}
	}
	if err = e.validate(); err != nil {
		return Envelope{}, err
	}
	return e, nil
}

func (e Envelope) validate() error {
	switch {
	case e.SchemaVersion < 1:
		return &EnvelopeError{Field: "schema_version", Problem: "must be 1 or more"}
	case e.RecordID == "" || len(e.RecordID) > maxRecordIDBytes:
		return &EnvelopeError{Field: "record_id", Problem: fmt.Sprintf("must have 1 to %d bytes", maxRecordIDBytes)}
	case len(e.Subject) > maxSubjectBytes || !subjectPattern.MatchString(e.Subject):
		return &EnvelopeError{Field: "subject", Problem: "must be kind:name with letters, digits and . _ / -"}
	case e.Deleted && len(e.Body) > 0:
		return &EnvelopeError{Field: "body", Problem: "must be absent when deleted is true"}
	case !e.Deleted && len(e.Body) == 0:
		return &EnvelopeError{Field: "body", Problem: "must be present unless deleted is true"}
	}
	return nil
}
