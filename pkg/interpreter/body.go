// Package interpreter reads the bodies of accepted records into a typed
// configuration. A binary that can't read an accepted body marks the subject
// unreadable; it neither reverts to an older record nor guesses.
package interpreter

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"flamingoledge.org/flamingoledge/pkg/acceptor"
)

// Schema versions of record bodies.
const (
	// SchemaV1 has services, models and workspaces.
	SchemaV1 = 1
	// SchemaV2 adds burst limits to workspaces.
	SchemaV2 = 2
	// SchemaLatest is the newest schema that this binary reads.
	SchemaLatest = SchemaV2
)

// Kinds of subjects, the part before the colon.
const (
	KindService   = "service"
	KindModel     = "model"
	KindWorkspace = "workspace"
)

// Preference says which measure a rollout weighs more.
type Preference string

// Preferences of a rollout.
const (
	PreferTime        Preference = "time"
	PreferOriginBytes Preference = "origin_bytes"
)

// ServiceKind says what endpoints of a service are.
type ServiceKind string

// Kinds of services.
const (
	ServiceKindModel ServiceKind = "model"
	ServiceKindPlain ServiceKind = "plain"
)

// Service is the body of a service record.
type Service struct {
	Kind ServiceKind `json:"kind"`
	// Idempotent is true when a call may be repeated without harm. Calls to
	// other services need an idempotency key.
	Idempotent bool `json:"idempotent"`
	// EndpointConcurrency is how many requests one endpoint runs at a time.
	EndpointConcurrency int `json:"endpoint_concurrency"`
	// ModelsPerEndpoint is how many models one endpoint is given to serve.
	ModelsPerEndpoint int `json:"models_per_endpoint,omitempty"`
	// DefaultDeadlineMillis applies where a caller states none, in ms.
	DefaultDeadlineMillis int `json:"default_deadline_ms"`
}

// Model is the body of a model record.
type Model struct {
	Service string `json:"service"`
	// VersionDigest is the digest of the version's manifest.
	VersionDigest string `json:"version_digest"`
	// PreviousVersionDigest, if present, serves until enough endpoints serve
	// VersionDigest.
	PreviousVersionDigest string     `json:"previous_version_digest,omitempty"`
	Prefer                Preference `json:"prefer"`
	MinReplicas           int        `json:"min_replicas"`
	MaxReplicas           int        `json:"max_replicas"`
	// OriginCopies limits how many copies of the version a region may draw
	// from the origin under faults.
	OriginCopies float64  `json:"origin_copies"`
	Adapters     []string `json:"adapters,omitempty"`
	// Role is the role order given to endpoints of the model, if any.
	Role string `json:"role,omitempty"`
}

// Route says which model or adapter serves a workspace's calls to a service.
type Route struct {
	Service string `json:"service"`
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
}

// Burst limits how far a workspace may exceed its share (schema 2).
type Burst struct {
	RequestsPerSecond float64 `json:"requests_per_second"`
	Requests          int     `json:"requests"`
}

// Workspace is the body of a workspace record.
type Workspace struct {
	Routes   []Route `json:"routes"`
	Weight   int     `json:"weight"`
	Priority int     `json:"priority"`
	Burst    *Burst  `json:"burst,omitempty"`
}

// DefaultDeadline returns the service's default deadline.
func (s Service) DefaultDeadline() time.Duration {
	return time.Duration(s.DefaultDeadlineMillis) * time.Millisecond
}

// Route returns the workspace's route to a service.
func (w Workspace) Route(service string) (Route, bool) {
	for _, r := range w.Routes {
		if r.Service == service {
			return r, true
		}
	}
	return Route{}, false
}

// SchemaError tells that a body needs a newer binary.
type SchemaError struct {
	SchemaVersion int
	MaxSupported  int
}

// Error implements error.
func (e *SchemaError) Error() string {
	return fmt.Sprintf("schema version %d, this binary reads up to %d", e.SchemaVersion, e.MaxSupported)
}

// BodyError tells which field of a body is wrong.
type BodyError struct {
	Subject string
	Field   string
	Problem string
}

// Error implements error.
func (e *BodyError) Error() string {
	return fmt.Sprintf("record for %s: %s: %s", e.Subject, e.Field, e.Problem)
}

// Validate reads the body of a record as a publisher must before appending it.
func Validate(e acceptor.Envelope) error {
	if e.Deleted {
		return nil
	}
	var cfg Config
	return cfg.decodeRecord(acceptor.AcceptedRecord{Envelope: e}, SchemaLatest)
}

func decodeStrict[T any](e acceptor.Envelope) (body T, err error) {
	d := json.NewDecoder(bytes.NewReader(e.Body))
	d.DisallowUnknownFields()
	if err = d.Decode(&body); err != nil {
		return body, &BodyError{Subject: e.Subject, Field: "body", Problem: err.Error()}
	}
	return body, nil
}

func splitSubject(subject string) (kind, name string) {
	kind, name, _ = strings.Cut(subject, ":")
	return kind, name
}
