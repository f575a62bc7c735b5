// Package resolver looks up the route, the service and the workspace of a request
// in the operators' configuration.
package resolver

import "time"

// Kind determines whether requests of a route may be retried.
type Kind string

// Kinds of routes.
const (
	KindSafe      Kind = "safe"
	KindUnsafe    Kind = "unsafe"
	KindStreaming Kind = "streaming"
)

// Configuration is one version of the operators' configuration. It is immutable.
type Configuration struct {
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Route maps the paths below a prefix of a host to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout is the maximum duration of a request.
	Timeout time.Duration
	// Objective is the time within which the first byte or event of an answer must
	// arrive to be useful.
	Objective time.Duration
	// GapObjective is the maximum acceptable pause between events.
	GapObjective time.Duration
	// Priority orders queued requests; 0 is the highest priority.
	Priority    int
	Targets     []Target
	MaxAttempts int
	// Anonymous routes don't require an API key.
	Anonymous bool
	// Resumable streams may continue at another endpoint.
	Resumable bool
	// IdleTimeout is the time without output after which callers of a stream give up; 0 if
	// only their deadline counts.
	IdleTimeout time.Duration
	// Regions are those whose endpoints may run requests; nil for all.
	Regions []string
}

// IsRetryable reports whether requests of the route may run more than once.
func (r *Route) IsRetryable() bool {
	return r.Kind == KindSafe || (r.Kind == KindStreaming && r.Resumable)
}

// Target is a service with its weight in a route.
type Target struct {
	Service string
	Weight  int
}

// Service is a group of endpoints.
type Service struct {
	Name     string
	MaxConns int
	// Engine is set for model engines.
	Engine *Engine
	// Origin is set for the service from which model weights are downloaded.
	Origin *Origin
	// ColdStart is how long an endpoint is cold after a start, and ColdPerSecond the requests
	// per second that it tolerates while it is cold; 0 for no limit.
	ColdStart     time.Duration
	ColdPerSecond float64
}

// Origin is the server from which model weights are downloaded.
type Origin struct {
	Address          string
	AvailabilityZone string
	// BytesPerSecond is the bandwidth of its link.
	BytesPerSecond float64
	MaxConns       int
}

// Engine is the published performance profile of a service's engines.
type Engine struct {
	Slots int
	// KVCapacity is the size of the KV cache, in tokens.
	KVCapacity int
	// Stride is the number of token steps in a pass with generating requests.
	Stride int
	// StepTime is the base duration of a token step. Each generating request adds
	// StepTimePerRequest, and each 1,000 tokens of its context StepTimePerKContext.
	StepTime            time.Duration
	StepTimePerRequest  time.Duration
	StepTimePerKContext time.Duration
	// PrefillTokensPerSecond is the rate at which prompts are prefilled.
	PrefillTokensPerSecond float64
	// PrefillPerMillionPairs is the additional prefill time per million pairs of
	// tokens, for the quadratic part of attention.
	PrefillPerMillionPairs time.Duration
	// MeanPromptTokens and MeanAnswerTokens are the mean lengths of prompts and
	// answers.
	MeanPromptTokens int
	MeanAnswerTokens int
	// Layers, Chunks and ChunkBytes describe the weights.
	Layers     int
	Chunks     int
	ChunkBytes int
	Models     []string
}

// Workspace is a customer with its API keys.
type Workspace struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Regions are those whose endpoints may run requests of the workspace; nil for all.
	Regions []string
}

// Limits bounds the size and timing of callers' requests.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}
