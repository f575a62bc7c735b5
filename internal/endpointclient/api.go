// Package endpointclient implements the client side of the HTTP API of an endpoint,
// which is a model engine or a plain service. Only a sidecar uses it, for the one
// endpoint that it serves.
package endpointclient

// Headers of the endpoints' protocol.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderAttemptID      = "X-Attempt-Id"
	HeaderVersionDigest  = "X-Version-Digest"
	HeaderAdapter        = "X-Adapter"
	HeaderPriority       = "X-Priority"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderResumeFrom is the number of frames that the caller already has.
	HeaderResumeFrom = "X-Resume-From"
	// HeaderRunState is "not_run" if the endpoint refused a request before running
	// it. The refusal has to contain HeaderAttemptID unless it is the first response
	// on its connection.
	HeaderRunState = "X-Run-State"
)

// RunStateNotRun is the value of HeaderRunState on a refusal.
const RunStateNotRun = "not_run"

// Paths of the endpoints' protocol.
const (
	PathGenerate = "/v1/generate"
	PathCall     = "/v1/call"
	PathCancel   = "/v1/cancel"
	PathState    = "/v1/state"
	PathOrders   = "/v1/orders"
	PathWeights  = "/v1/weights/"
)

// OrderKind is the kind of change that an order requests.
type OrderKind string

// Kinds of orders.
const (
	OrderLoad    OrderKind = "load"
	OrderUnload  OrderKind = "unload"
	OrderRole    OrderKind = "role"
	OrderAdapter OrderKind = "adapter"
)

// Order requests a change of an endpoint's loaded versions, adapters or role. Orders
// are idempotent.
type Order struct {
	OrderID       string    `json:"order_id"`
	Fencing       uint64    `json:"fencing"`
	Kind          OrderKind `json:"kind"`
	Model         string    `json:"model,omitempty"`
	VersionDigest string    `json:"version_digest,omitempty"`
	WeightsDigest string    `json:"weights_digest,omitempty"`
	Adapter       string    `json:"adapter,omitempty"`
	Role          string    `json:"role,omitempty"`
}

// LoadedVersion is a version that an endpoint reports as loaded.
type LoadedVersion struct {
	Model         string `json:"model"`
	VersionDigest string `json:"version_digest"`
	// WeightsDigest is the SHA-256 that the endpoint computed over the loaded weights.
	WeightsDigest string   `json:"weights_digest"`
	Adapters      []string `json:"adapters,omitempty"`
}

// State is the state that an endpoint reports.
type State struct {
	// Epoch changes when the endpoint restarts, which loses its loaded versions.
	Epoch   uint64          `json:"epoch"`
	Fencing uint64          `json:"fencing"`
	Role    string          `json:"role,omitempty"`
	Loaded  []LoadedVersion `json:"loaded"`
	// Slots is how many versions fit in the endpoint's memory.
	Slots    int `json:"slots"`
	Running  int `json:"running"`
	Queued   int `json:"queued"`
	Capacity int `json:"capacity"`
}

// FindVersion returns the loaded version with a digest, if the endpoint reports it.
func (s State) FindVersion(versionDigest string) (LoadedVersion, bool) {
	for _, l := range s.Loaded {
		if l.VersionDigest == versionDigest {
			return l, true
		}
	}
	return LoadedVersion{}, false
}

// Frame is one line of a streamed response.
type Frame struct {
	AttemptID string `json:"attempt_id"`
	Index     int    `json:"index"`
	Text      string `json:"text,omitempty"`
	// End marks the last line; Index is then the number of frames before it.
	End bool `json:"end,omitempty"`
}
