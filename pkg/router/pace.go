package router

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// latencySmoothing is the share of a new time in the mean.
	latencySmoothing = 0.1
	// slowdownExpiry is how long after its last answer an endpoint counts as usual
	// again, so that one that has recovered is tried.
	slowdownExpiry = 15 * time.Second
	// slowThreshold is how many times the usual pace makes an endpoint slow.
	slowThreshold = 2
	// maxSlowdown bounds how much dearer slowness makes an endpoint.
	maxSlowdown = 8
)

// latency is a smoothed time between the pieces of answers, or of whole answers that
// come in one piece. It does not depend on what an endpoint has cached. It is safe
// for concurrent use; a lost update does no harm.
type latency struct {
	meanBits  atomic.Uint64
	updatedAt atomic.Int64
}

func (p *latency) observe(now time.Time, elapsed time.Duration) {
	mean := p.mean()
	if mean == 0 {
		mean = elapsed.Seconds()
	}
	mean += latencySmoothing * (elapsed.Seconds() - mean)
	p.meanBits.Store(math.Float64bits(mean))
	p.updatedAt.Store(now.UnixNano())
}

func (p *latency) mean() float64 { return math.Float64frombits(p.meanBits.Load()) }

// slowdown returns how many times the usual pace this one is, 1 when not known.
func (p *latency) slowdown(now time.Time, baseline *latency) float64 {
	mean, baselineMean := p.mean(), baseline.mean()
	if mean == 0 || baselineMean == 0 {
		return 1
	}
	age := time.Duration(now.UnixNano() - p.updatedAt.Load())
	weight := max(0, 1-float64(age)/float64(slowdownExpiry))
	return min(1+(mean/baselineMean-1)*weight, maxSlowdown)
}

// RecordLatency notes how long a piece of an answer took.
func (t *Table) RecordLatency(now time.Time, key GroupKey, e *Endpoint, elapsed time.Duration) {
	e.stats.latency.observe(now, elapsed)
	if g := t.group(key); g != nil {
		g.latency.observe(now, elapsed)
	}
}

// isSlow tells whether an endpoint answers much slower than its group.
func (g *group) isSlow(now time.Time, e *Endpoint) bool {
	return e.stats.latency.slowdown(now, g.latency) > slowThreshold
}

// cost is the load after one more attempt, made dearer by slowness.
func (g *group) cost(cfg Config, now time.Time, e *Endpoint) float64 {
	return e.cost(cfg, now) * max(e.stats.latency.slowdown(now, g.latency), 1)
}
