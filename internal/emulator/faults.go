package emulator

import (
	"math/rand/v2"
	"sync"
	"time"
)

// PlatformFaults are the faults of the platform's stand-in. The zero value is
// the healthy platform.
type PlatformFaults struct {
	LogDown bool `json:"log_down,omitempty"`
	// LogLatencyMillis delays each log call, in ms.
	LogLatencyMillis int `json:"log_latency_ms,omitempty"`
	// AppendReplyLossRate is the share of appends that take effect unanswered.
	AppendReplyLossRate float64 `json:"log_lose_answers,omitempty"`
	StoreDown           bool    `json:"store_down,omitempty"`
	// StoreLatencyMillis delays each store and origin call, in ms.
	StoreLatencyMillis int `json:"store_latency_ms,omitempty"`
	// OriginCorruptionRate is the share of origin reads with a flipped byte.
	OriginCorruptionRate float64 `json:"origin_corrupt,omitempty"`
	// OriginRefusalRate is the share of origin reads refused for their rate.
	OriginRefusalRate float64 `json:"origin_refuse,omitempty"`
	// ListLagMillis is by how much the list of instances lags, in ms.
	ListLagMillis int `json:"list_lag_ms,omitempty"`
	// ListDown makes the list of instances unavailable.
	ListDown bool `json:"list_down,omitempty"`
}

// EndpointFaults are the faults of an endpoint's stand-in.
type EndpointFaults struct {
	// Crashed refuses everything until the endpoint is restarted.
	Crashed bool `json:"crashed,omitempty"`
	// TruncationRate is the share of answers cut off before their end.
	TruncationRate float64 `json:"truncate,omitempty"`
	// WrongIDRate is the share of answers that carry another request's identity.
	WrongIDRate float64 `json:"cross,omitempty"`
	// OrderReplyLossRate is the share of orders that take effect unanswered.
	OrderReplyLossRate float64 `json:"lose_orders,omitempty"`
	// OrderLatencyMillis delays orders before they take effect, in ms.
	OrderLatencyMillis int `json:"order_latency_ms,omitempty"`
	// Slowdown multiplies the time between tokens.
	Slowdown float64 `json:"slowdown,omitempty"`
	// RefusalRate is the share of requests that fail before they run.
	RefusalRate float64 `json:"fail_rate,omitempty"`
}

// dice throws seeded dice for faults; it is safe for concurrent use.
type dice struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newDice(seed uint64) *dice {
	return &dice{rng: rand.New(rand.NewPCG(seed, seed))}
}

func (d *dice) happens(share float64) bool {
	if share <= 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.Float64() < share
}

func sleepMillis(ms int) {
	if ms > 0 {
		time.Sleep(time.Duration(ms) * time.Millisecond)
	}
}
