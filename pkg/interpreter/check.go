package interpreter

import "encoding/hex"

const (
	maxEndpointConcurrency = 4096
	maxDeadlineMillis      = 3_600_000
	maxReplicas            = 10_000
	maxWeight              = 1000
	maxPriority            = 9
	digestBytes            = 32
	maxModelsPerEndpoint   = 64
)

func (s Service) validate(subject string) error {
	switch {
	case s.Kind != ServiceKindModel && s.Kind != ServiceKindPlain:
		return &BodyError{Subject: subject, Field: "kind", Problem: `must be "model" or "plain"`}
	case s.EndpointConcurrency < 1 || s.EndpointConcurrency > maxEndpointConcurrency:
		return &BodyError{Subject: subject, Field: "endpoint_concurrency", Problem: "must be 1 to 4096"}
	case s.Kind == ServiceKindModel && (s.ModelsPerEndpoint < 1 || s.ModelsPerEndpoint > maxModelsPerEndpoint):
		return &BodyError{Subject: subject, Field: "models_per_endpoint", Problem: "must be 1 to 64"}
	case s.Kind == ServiceKindPlain && s.ModelsPerEndpoint != 0:
		return &BodyError{Subject: subject, Field: "models_per_endpoint", Problem: "is for model services only"}
	case s.DefaultDeadlineMillis < 1 || s.DefaultDeadlineMillis > maxDeadlineMillis:
		return &BodyError{Subject: subject, Field: "default_deadline_ms", Problem: "must be 1 to 3600000"}
	}
	return nil
}

func (m Model) validate(subject string) error {
	switch {
	case m.Service == "":
		return &BodyError{Subject: subject, Field: "service", Problem: "must be present"}
	case !isDigest(m.VersionDigest):
		return &BodyError{Subject: subject, Field: "version_digest", Problem: "must be a SHA-256 in hexadecimal"}
	case m.PreviousVersionDigest != "" && !isDigest(m.PreviousVersionDigest):
		return &BodyError{Subject: subject, Field: "previous_version_digest", Problem: "must be a SHA-256 in hexadecimal"}
	case m.Prefer != PreferTime && m.Prefer != PreferOriginBytes:
		return &BodyError{Subject: subject, Field: "prefer", Problem: `must be "time" or "origin_bytes"`}
	case m.MinReplicas < 0 || m.MaxReplicas < 1 || m.MaxReplicas > maxReplicas || m.MinReplicas > m.MaxReplicas:
		return &BodyError{Subject: subject, Field: "min_replicas", Problem: "must be at most max_replicas, and that 1 to 10000"}
	case m.OriginCopies < 1:
		return &BodyError{Subject: subject, Field: "origin_copies", Problem: "must be 1 or more"}
	}
	return nil
}

func isDigest(s string) bool {
	d, err := hex.DecodeString(s)
	return err == nil && len(d) == digestBytes
}

func (w Workspace) validate(subject string, schemaVersion int) error {
	switch {
	case len(w.Routes) == 0:
		return &BodyError{Subject: subject, Field: "routes", Problem: "must have at least one route"}
	case w.Weight < 1 || w.Weight > maxWeight:
		return &BodyError{Subject: subject, Field: "weight", Problem: "must be 1 to 1000"}
	case w.Priority < 0 || w.Priority > maxPriority:
		return &BodyError{Subject: subject, Field: "priority", Problem: "must be 0 to 9"}
	case w.Burst != nil && schemaVersion < SchemaV2:
		return &BodyError{Subject: subject, Field: "burst", Problem: "needs schema_version 2"}
	case w.Burst != nil && (w.Burst.RequestsPerSecond <= 0 || w.Burst.Requests < 1):
		return &BodyError{Subject: subject, Field: "burst", Problem: "must have positive limits"}
	}
	seen := make(map[string]struct{}, len(w.Routes))
	for _, r := range w.Routes {
		if r.Service == "" {
			return &BodyError{Subject: subject, Field: "routes", Problem: "each route names a service"}
		}
		if _, ok := seen[r.Service]; ok {
			return &BodyError{Subject: subject, Field: "routes", Problem: "service " + r.Service + " has two routes"}
		}
		seen[r.Service] = struct{}{}
	}
	return nil
}
