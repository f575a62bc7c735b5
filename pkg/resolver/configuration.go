// Package resolver finds the route, the service and the workspace of a request
// in the operators' configuration.
package resolver

import "time"

// Kind says what may be repeated.
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
	// Timeout is the longest time that a request is kept.
	Timeout time.Duration
	// Objective is the time to the first byte or event of a useful answer.
	Objective time.Duration
	// GapObjective is the longest useful pause between events.
	GapObjective time.Duration
	// Priority ranks requests; 0 is the most urgent.
	Priority    int
	Targets     []Target
	MaxAttempts int
	// Anonymous routes need no key.
	Anonymous bool
	// Resumable streams may go on at another endpoint.
	Resumable bool
}

// IsRetryable reports whether a request of the route may run more than once.
func (r *Route) IsRetryable() bool {
	return r.Kind == KindSafe || (r.Kind == KindStreaming && r.Resumable)
}

// Target is a service with its share of a route.
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
	// Origin is the address of the origin of weights, for the service that is one.
	Origin *Origin
}

// Origin is where weights come from.
type Origin struct {
	Address          string
	AvailabilityZone string
	// BytesPerSecond is the rate of its link.
	BytesPerSecond float64
	MaxConns       int
}

// Engine are the published figures of a service's engines.
type Engine struct {
	Slots int
	// KVCapacity is the memory for requests, in tokens.
	KVCapacity int
	// Stride is how many token steps a pass with writers executes.
	Stride int
	// StepTime is the time of a token step, StepTimePerRequest what each writing request
	// adds, StepTimePerKContext what each 1,000 tokens of context add.
	StepTime            time.Duration
	StepTimePerRequest  time.Duration
	StepTimePerKContext time.Duration
	// PrefillTokensPerSecond is the rate at which prompts are read, in tokens.
	PrefillTokensPerSecond float64
	// PrefillPerMillionPairs is what a million pairs of tokens add to reading.
	PrefillPerMillionPairs time.Duration
	// MeanPromptTokens and MeanAnswerTokens are mean token counts.
	MeanPromptTokens int
	MeanAnswerTokens int
	// Layers, Chunks and ChunkBytes describe the weights.
	Layers     int
	Chunks     int
	ChunkBytes int
	Models     []string
}

// Workspace is a customer with its keys.
type Workspace struct {
	Name string
	Keys []string
	// Priority goes before the route's if HasPriority.
	Priority    int
	HasPriority bool
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}
