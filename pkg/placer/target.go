package placer

import (
	"math"
	"time"
)

// TargetConfig configures how a Target is computed from the demand.
type TargetConfig struct {
	// RequestsPerReplica is the number of requests that a replica runs concurrently.
	RequestsPerReplica int
	// Utilization is the planned fraction of RequestsPerReplica. The rest absorbs
	// bursts until more replicas serve.
	Utilization float64
	// MaxReplicas is the record's limit; 0 for none. Demand beyond it counts as much as
	// fills it, as it would delay the removal of replicas otherwise.
	MaxReplicas int
	// ScaleDownDelay is how long fewer replicas must suffice before one is removed.
	ScaleDownDelay time.Duration
	// Smoothing is the weight of a new count in the moving average of the demand.
	Smoothing float64
}

// Target is the number of replicas that the demand requires. It is immutable. The
// zero value has no demand.
type Target struct {
	demand   float64
	replicas int
	// scaleDownSince is the time since which fewer replicas suffice, or of the last
	// removal if that is later.
	scaleDownSince time.Time
}

// Replicas returns the number of replicas, clamped to the record's limits. It is
// at least 1 unless upper is less.
func (t Target) Replicas(lower, upper int) int { return min(max(t.replicas, lower, 1), upper) }

// WithInProgress returns the target updated with the number of requests in
// progress. It increases at once. It decreases by one replica per ScaleDownDelay,
// so that a short drop in demand removes no replica.
func (t Target) WithInProgress(cfg TargetConfig, now time.Time, inProgress float64) Target {
	perReplica := cfg.Utilization * float64(max(cfg.RequestsPerReplica, 1))
	limit := math.MaxInt
	if cfg.MaxReplicas > 0 {
		limit = cfg.MaxReplicas
	}
	t.replicas = min(t.replicas, limit)
	t.demand = min(t.demand, float64(limit)*perReplica)
	t.demand += cfg.Smoothing * (min(inProgress, float64(limit)*perReplica) - t.demand)
	wanted := min(int(math.Ceil(t.demand/perReplica)), limit)
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
