// Package acceptor folds the configuration stream of the platform's log into
// the accepted state. Acceptance depends on envelopes and offsets only, so that
// binaries which read different body schemas still accept the same records.
package acceptor

import (
	"encoding/json"
	"fmt"
	"regexp"
)

// MaxRecordBytes limits one encoded record.
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
	// RecordID is unique for each publish; copies with the same id are one record.
	RecordID string `json:"record_id"`
	// Subject is what the record configures, such as "workspace:market".
	Subject string `json:"subject"`
	// Base is the offset of the subject's record that this one replaces, 0 for none.
	Base uint64 `json:"base"`
	// Deleted removes the subject and leaves a tombstone.
	Deleted bool `json:"deleted,omitempty"`
	// Author names the operator for the audit.
	Author string `json:"author,omitempty"`
	// Body is read by package interpreter.
	Body json.RawMessage `json:"body,omitempty"`
}

// EnvelopeError tells which field of an envelope is wrong.
type EnvelopeError struct {
	Field   string
	Problem string
}

// Error implements error.
func (e *EnvelopeError) Error() string {
	return fmt.Sprintf("record envelope: %s: %s", e.Field, e.Problem)
}

// ParseEnvelope decodes and checks one record. Fields that it does not know are
// ignored, because a newer binary may have written them.
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
