package emulator

import (
	"math/rand/v2"
	"sync"
	"time"
)

// PlatformFaults configures fault injection in the emulated platform. The zero value
// injects none. Rates are probabilities from 0 to 1.
type PlatformFaults struct {
	// LogDown makes the log respond with status 503.
	LogDown bool `json:"log_down,omitempty"`
	// LogLatencyMillis delays each log call.
	LogLatencyMillis int `json:"log_latency_ms,omitempty"`
	// AppendReplyLossRate is the share of appends that are applied but whose response
	// is lost.
	AppendReplyLossRate float64 `json:"log_lose_answers,omitempty"`
	// StoreDown makes the store and the origin respond with status 503.
	StoreDown bool `json:"store_down,omitempty"`
	// StoreLatencyMillis delays each store and origin call.
	StoreLatencyMillis int `json:"store_latency_ms,omitempty"`
	// OriginCorruptionRate is the share of origin reads in which one byte is inverted.
	OriginCorruptionRate float64 `json:"origin_corrupt,omitempty"`
	// OriginRefusalRate is the share of origin calls refused with status 503, as by a
	// rate limit.
	OriginRefusalRate float64 `json:"origin_refuse,omitempty"`
	// ListLagMillis is added to the lag of the list of instances.
	ListLagMillis int `json:"list_lag_ms,omitempty"`
	// ListDown makes the list of instances respond with status 503.
	ListDown bool `json:"list_down,omitempty"`
}

// EndpointFaults configures fault injection in an emulated endpoint. The zero value
// injects none. Rates are probabilities from 0 to 1.
type EndpointFaults struct {
	// Crashed makes the endpoint drop every connection until Crashed is cleared,
	// which restarts the endpoint.
	Crashed bool `json:"crashed,omitempty"`
	// TruncationRate is the share of responses that end prematurely.
	TruncationRate float64 `json:"truncate,omitempty"`
	// WrongIDRate is the share of responses that carry a different attempt ID in their
	// header.
	WrongIDRate float64 `json:"cross,omitempty"`
	// OrderReplyLossRate is the share of orders that are applied but whose response is
	// lost.
	OrderReplyLossRate float64 `json:"lose_orders,omitempty"`
	// OrderLatencyMillis delays each order before it is applied.
	OrderLatencyMillis int `json:"order_latency_ms,omitempty"`
	// Slowdown, if positive, multiplies the time to the first token and the time
	// between tokens.
	Slowdown float64 `json:"slowdown,omitempty"`
	// RefusalRate is the share of requests that are refused before they run.
	RefusalRate float64 `json:"fail_rate,omitempty"`
}

// sampler draws from a seeded random source whether a fault occurs. It is safe for
// concurrent use.
type sampler struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newSampler(seed uint64) *sampler {
	return &sampler{rng: rand.New(rand.NewPCG(seed, seed))}
}

// occurs returns true with the given probability.
func (s *sampler) occurs(probability float64) bool {
	if probability <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < probability
}

func sleepMillis(ms int) {
	if ms > 0 {
		time.Sleep(time.Duration(ms) * time.Millisecond)
	}
}
