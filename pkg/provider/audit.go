package provider

import "time"

// AuditKind is the kind of an audit entry.
type AuditKind string

// Kinds of audit entries.
const (
	AuditRequest AuditKind = "request"
	AuditOrder   AuditKind = "order"
	AuditServing AuditKind = "serving"
	// AuditLost reports how many entries the writer dropped before this one.
	AuditLost AuditKind = "lost"
)

// AuditEntry records an outcome together with the configuration record and the
// decisions that led to it. Fields that do not apply to its kind are empty.
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
	// Lost is the number of dropped entries.
	Lost int `json:"lost,omitempty"`
}
