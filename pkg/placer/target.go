package placer

import (
	"math"
	"time"
)

// TargetConfig configures how demand becomes a number of replicas.
type TargetConfig struct {
	// RequestsPerReplica is how many requests one replica has in progress at a time.
	RequestsPerReplica int
	// Utilization is the share of it that is planned with, so that a burst finds
	// room until more replicas serve.
	Utilization float64
	// ScaleDownDelay is how long fewer replicas must suffice before one is taken away.
	ScaleDownDelay time.Duration
	// Smoothing is the share of a new count in the demand.
	Smoothing float64
}

// Target is the number of replicas that the demand asks for. It is immutable; the
// zero value has seen no demand.
type Target struct {
	demand   float64
	replicas int
	// scaleDownSince is since when fewer replicas would have been enough.
	scaleDownSince time.Time
}

// Replicas returns the number of replicas within the record's limits.
func (t Target) Replicas(lower, upper int) int { return min(max(t.replicas, lower, 1), upper) }

// WithInProgress returns the target after a count of the requests in progress. More
// replicas are asked for at once; hysteresis keeps a lull from taking them away,
// which goes one by one.
func (t Target) WithInProgress(cfg TargetConfig, now time.Time, inProgress float64) Target {
	t.demand += cfg.Smoothing * (inProgress - t.demand)
	wanted := int(math.Ceil(t.demand / (cfg.Utilization * float64(max(cfg.RequestsPerReplica, 1)))))
	switch {
	case wanted >= t.replicas:
		t.replicas = wanted
		t.scaleDownSince = time.Time{}
	case t.scaleDownSince.IsZero():
		t.scaleDownSince = now
	case now.Sub(t.scaleDownSince) >= cfg.ScaleDownDelay:
		t.replicas--
		t.scaleDownSince = now
	}
	return t
}
