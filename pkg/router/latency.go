package router

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// latencySmoothing is the weight of a new observation in the moving average.
	latencySmoothing = 0.1
	// slowdownExpiry is how long after its last answer an endpoint no longer counts
	// as slow, so that an endpoint that has recovered is tried again.
	slowdownExpiry = 15 * time.Second
	// slowThreshold is the slowdown above which an endpoint counts as slow.
	slowThreshold = 2
	// maxSlowdown limits the factor by which slowness increases an endpoint's cost.
	maxSlowdown = 8
)

// latency is an exponentially weighted moving average of the time between the
// pieces of streamed answers, or of the time of whole answers that are not
// streamed. It does not depend on what an endpoint has cached. It is safe for
// concurrent use; updates may be lost, which is acceptable for an average.
type latency struct {
	meanBits  atomic.Uint64
	updatedAt atomic.Int64
}

func (l *latency) observe(now time.Time, elapsed time.Duration) {
	mean := l.mean()
	if mean == 0 {
		mean = elapsed.Seconds()
	}
	mean += latencySmoothing * (elapsed.Seconds() - mean)
	l.meanBits.Store(math.Float64bits(mean))
	l.updatedAt.Store(now.UnixNano())
}

func (l *latency) mean() float64 { return math.Float64frombits(l.meanBits.Load()) }

// slowdown returns the ratio of this latency to the baseline, 1 if either is
// unknown. It approaches 1 as the last observation ages.
func (l *latency) slowdown(now time.Time, baseline *latency) float64 {
	mean, baselineMean := l.mean(), baseline.mean()
	if mean == 0 || baselineMean == 0 {
		return 1
	}
	age := time.Duration(now.UnixNano() - l.updatedAt.Load())
	weight := max(0, 1-float64(age)/float64(slowdownExpiry))
	return min(1+(mean/baselineMean-1)*weight, maxSlowdown)
}

// RecordLatency records how long a piece of an answer took.
func (t *Table) RecordLatency(now time.Time, key GroupKey, e *Endpoint, elapsed time.Duration) {
	e.stats.latency.observe(now, elapsed)
	if g := t.group(key); g != nil {
		g.latency.observe(now, elapsed)
	}
}

// isSlow reports whether an endpoint answers much slower than its group.
func (g *group) isSlow(now time.Time, e *Endpoint) bool {
	return e.stats.latency.slowdown(now, g.latency) > slowThreshold
}

// cost returns the endpoint's cost multiplied by its slowdown.
func (g *group) cost(cfg Config, now time.Time, e *Endpoint) float64 {
	return e.cost(cfg, now) * max(e.stats.latency.slowdown(now, g.latency), 1)
}
