package interpreter

import (
	"flamingoledge.org/flamingoledge/pkg/acceptor"
)

// Record is a decoded record body and the record's offset.
type Record[T any] struct {
	Offset uint64
	Body   T
}

// Unreadable is an accepted record whose body this binary can't decode.
type Unreadable struct {
	Subject string
	Offset  uint64
	Reason  error
}

// Config is the typed configuration up to and including LastOffset. It is
// immutable.
type Config struct {
	LastOffset uint64
	Services   map[string]Record[Service]
	Models     map[string]Record[Model]
	Workspaces map[string]Record[Workspace]
	// Evacuations are the evacuated availability zones.
	Evacuations map[string]Record[Evacuation]
	// Unreadable is keyed by subject.
	Unreadable map[string]Unreadable
}

// Interpret decodes all records in force with schema versions up to maxSchema.
func Interpret(s acceptor.State, maxSchema int) Config {
	cfg := Config{
		LastOffset:  s.LastOffset(),
		Services:    map[string]Record[Service]{},
		Models:      map[string]Record[Model]{},
		Workspaces:  map[string]Record[Workspace]{},
		Evacuations: map[string]Record[Evacuation]{},
		Unreadable:  map[string]Unreadable{},
	}
	for _, a := range s.RecordsAfter(0) {
		if a.Envelope.Deleted {
			continue
		}
		if err := cfg.decodeRecord(a, maxSchema); err != nil {
			cfg.Unreadable[a.Envelope.Subject] = Unreadable{Subject: a.Envelope.Subject, Offset: a.Offset, Reason: err}
		}
	}
	return cfg
}

func (c Config) decodeRecord(a acceptor.AcceptedRecord, maxSchema int) error {
	e := a.Envelope
	if e.SchemaVersion > maxSchema {
		return &SchemaError{SchemaVersion: e.SchemaVersion, MaxSupported: maxSchema}
	}
	kind, name := splitSubject(e.Subject)
	switch kind {
	case KindService:
		return decodeInto(c.Services, name, a, func(s Service) error { return s.validate(e.Subject) })
	case KindModel:
		return decodeInto(c.Models, name, a, func(m Model) error { return m.validate(e.Subject) })
	case KindWorkspace:
		return decodeInto(c.Workspaces, name, a, func(w Workspace) error { return w.validate(e.Subject, e.SchemaVersion) })
	case KindEvacuation:
		return decodeInto(c.Evacuations, name, a, func(Evacuation) error { return nil })
	default:
		return &BodyError{Subject: e.Subject, Field: "subject", Problem: "kind must be service, model, workspace or evacuation"}
	}
}

func decodeInto[T any](bodies map[string]Record[T], name string, a acceptor.AcceptedRecord, validate func(T) error) error {
	body, err := decodeStrict[T](a.Envelope)
	if err != nil {
		return err
	}
	if err = validate(body); err != nil {
		return err
	}
	if bodies != nil {
		bodies[name] = Record[T]{Offset: a.Offset, Body: body}
	}
	return nil
}

// Target is the resolved configuration for running a request.
type Target struct {
	Service       Service
	Workspace     Workspace
	Model         string
	VersionDigest string
	// PreviousVersionDigest may be served while too few endpoints serve
	// VersionDigest.
	PreviousVersionDigest string
	MinReplicas           int
	Adapter               string
	// RecordOffset is the highest offset of the records that the target was resolved
	// from.
	RecordOffset uint64
}

// IsEvacuated reports whether an availability zone is evacuated, also by a record that this
// binary can't read: its subject names the zone.
func (c Config) IsEvacuated(zone string) bool {
	_, ok := c.Evacuations[zone]
	_, isUnreadable := c.Unreadable[KindEvacuation+":"+zone]
	return ok || isUnreadable
}

// Resolve returns the target of a workspace's calls to a service.
func (c Config) Resolve(workspace, service string) (t Target, err error) {
	w, ok := c.Workspaces[workspace]
	if !ok {
		return Target{}, c.lookupError(KindWorkspace, workspace)
	}
	s, ok := c.Services[service]
	if !ok {
		return Target{}, c.lookupError(KindService, service)
	}
	r, ok := w.Body.Route(service)
	if !ok {
		return Target{}, &UnknownSubjectError{Subject: KindWorkspace + ":" + workspace, Service: service}
	}
	t = Target{Service: s.Body, Workspace: w.Body, RecordOffset: max(w.Offset, s.Offset), Adapter: r.Adapter}
	if s.Body.Kind == ServiceKindPlain {
		return t, nil
	}
	m, ok := c.Models[r.Model]
	if !ok {
		return Target{}, c.lookupError(KindModel, r.Model)
	}
	t.Model = r.Model
	t.VersionDigest = m.Body.VersionDigest
	t.PreviousVersionDigest = m.Body.PreviousVersionDigest
	t.MinReplicas = m.Body.MinReplicas
	t.RecordOffset = max(t.RecordOffset, m.Offset)
	return t, nil
}

func (c Config) lookupError(kind, name string) error {
	subject := kind + ":" + name
	if u, ok := c.Unreadable[subject]; ok {
		return &UnreadableSubjectError{Unreadable: u}
	}
	return &UnknownSubjectError{Subject: subject}
}
