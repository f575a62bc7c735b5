// Package interpreter decodes the bodies of accepted records into a typed
// configuration. If a binary can't decode an accepted body, it marks the subject
// as unreadable; it neither reverts to an older record nor applies part of the
// body.
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
	// SchemaV1 defines services, models and workspaces.
	SchemaV1 = 1
	// SchemaV2 adds burst limits to workspaces.
	SchemaV2 = 2
	// SchemaLatest is the latest schema that this binary supports.
	SchemaLatest = SchemaV2
)

// Kinds of subjects. The kind is the part of a subject before the colon.
const (
	KindService   = "service"
	KindModel     = "model"
	KindWorkspace = "workspace"
	// KindEvacuation is that of records that evacuate the availability zone in their name.
	KindEvacuation = "evacuation"
)

// Preference selects what a rollout optimizes for.
type Preference string

// Optimization goals of a rollout.
const (
	PreferTime        Preference = "time"
	PreferOriginBytes Preference = "origin_bytes"
)

// ServiceKind is the kind of a service's endpoints.
type ServiceKind string

// Kinds of services: endpoints serve models or run plain calls.
const (
	ServiceKindModel ServiceKind = "model"
	ServiceKindPlain ServiceKind = "plain"
)

// Service is the body of a service record.
type Service struct {
	Kind ServiceKind `json:"kind"`
	// Idempotent is true if calls can be safely repeated. Calls to other services
	// need an idempotency key.
	Idempotent bool `json:"idempotent"`
	// EndpointConcurrency is the number of requests that an endpoint runs
	// concurrently.
	EndpointConcurrency int `json:"endpoint_concurrency"`
	// ModelsPerEndpoint is the number of models assigned to one endpoint.
	ModelsPerEndpoint int `json:"models_per_endpoint,omitempty"`
	// DefaultDeadlineMillis is the deadline of calls that don't set one, in
	// milliseconds.
	DefaultDeadlineMillis int `json:"default_deadline_ms"`
}

// Model is the body of a model record.
type Model struct {
	Service string `json:"service"`
	// VersionDigest is the digest of the version's manifest.
	VersionDigest string `json:"version_digest"`
	// PreviousVersionDigest, if set, is served until enough endpoints serve
	// VersionDigest.
	PreviousVersionDigest string     `json:"previous_version_digest,omitempty"`
	Prefer                Preference `json:"prefer"`
	MinReplicas           int        `json:"min_replicas"`
	MaxReplicas           int        `json:"max_replicas"`
	// OriginCopies limits how many copies of the version a region may download
	// from the origin when faults occur.
	OriginCopies float64  `json:"origin_copies"`
	Adapters     []string `json:"adapters,omitempty"`
	// Role, if set, is the role that endpoints of the model are ordered to assume.
	Role string `json:"role,omitempty"`
}

// Route selects the model and adapter that serve a workspace's calls to a
// service.
type Route struct {
	Service string `json:"service"`
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
}

// Burst limits by how much a workspace may exceed its share. It requires
// schema 2.
type Burst struct {
	RequestsPerSecond float64 `json:"requests_per_second"`
	Requests          int     `json:"requests"`
}

// Evacuation is the body of a record that evacuates an availability zone: its endpoints get
// no new requests while the record is in force. Deleting the record takes the zone back.
type Evacuation struct {
	// Reason is printed only.
	Reason string `json:"reason,omitempty"`
}

// EvacuatedZone returns the zone that the record of a subject evacuates. It returns false for
// other subjects.
func EvacuatedZone(subject string) (zone string, ok bool) {
	kind, name := splitSubject(subject)
	return name, kind == KindEvacuation
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

// SchemaError reports a body whose schema version this binary does not support.
type SchemaError struct {
	SchemaVersion int
	MaxSupported  int
}

// Error implements error.
func (e *SchemaError) Error() string {
	return fmt.Sprintf("schema version %d, this binary reads up to %d", e.SchemaVersion, e.MaxSupported)
}

// BodyError reports an invalid field of a body.
type BodyError struct {
	Subject string
	Field   string
	Problem string
}

// Error implements error.
func (e *BodyError) Error() string {
	return fmt.Sprintf("record for %s: %s: %s", e.Subject, e.Field, e.Problem)
}

// Validate checks the body of a record. Publishers call it before they append the
// record.
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
