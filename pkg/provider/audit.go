package provider

import "time"

// AuditKind says what an audit entry is about.
type AuditKind string

// Kinds of audit entries.
const (
	AuditRequest AuditKind = "request"
	AuditOrder   AuditKind = "order"
	AuditServing AuditKind = "serving"
	// AuditLost tells how many entries the writer had to drop before.
	AuditLost AuditKind = "lost"
)

// AuditEntry is one outcome with the thread back to the record that made it.
type AuditEntry struct {
	Kind     AuditKind `json:"kind"`
	At       time.Time `json:"at"`
	Instance string    `json:"instance"`

	RequestID      string `json:"request_id,omitempty"`
	Workspace      string `json:"workspace,omitempty"`
	Service        string `json:"service,omitempty"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	Outcome        string `json:"outcome,omitempty"`
	Code           string `json:"code,omitempty"`
	Attempts       int    `json:"attempts,omitempty"`
	AttemptID      string `json:"attempt_id,omitempty"`
	Endpoint       string `json:"endpoint,omitempty"`
	// Reason is why the router chose the endpoint.
	Reason        string `json:"reason,omitempty"`
	Model         string `json:"model,omitempty"`
	VersionDigest string `json:"version_digest,omitempty"`
	RecordOffset  uint64 `json:"record_offset,omitempty"`

	OrderID   string `json:"order_id,omitempty"`
	OrderKind string `json:"order_kind,omitempty"`
	Fencing   uint64 `json:"fencing,omitempty"`
	Problem   string `json:"problem,omitempty"`
	// Lost counts dropped entries.
	Lost int `json:"lost,omitempty"`
}
