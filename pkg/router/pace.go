package router

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// paceSmoothing is the share of a new time in the mean.
	paceSmoothing = 0.1
	// paceFades is how long after its last answer an endpoint counts as usual
	// again, so that one that has recovered is tried.
	paceFades = 15 * time.Second
	// slowFrom is how many times the usual pace makes an endpoint slow.
	slowFrom = 2
	// slowest bounds how much dearer slowness makes an endpoint.
	slowest = 8
)

// pace is a smoothed time between the pieces of answers, or of whole answers that
// come in one piece. It does not depend on what an endpoint has cached. It is safe
// for concurrent use; a lost update does no harm.
type pace struct {
	seconds atomic.Uint64
	notedAt atomic.Int64
}

func (p *pace) note(now time.Time, taken time.Duration) {
	mean := p.mean()
	if mean == 0 {
		mean = taken.Seconds()
	}
	mean += paceSmoothing * (taken.Seconds() - mean)
	p.seconds.Store(math.Float64bits(mean))
	p.notedAt.Store(now.UnixNano())
}

func (p *pace) mean() float64 { return math.Float64frombits(p.seconds.Load()) }

// over returns how many times the usual pace this one is, 1 when not known.
func (p *pace) over(now time.Time, usual *pace) float64 {
	mean, reference := p.mean(), usual.mean()
	if mean == 0 || reference == 0 {
		return 1
	}
	age := time.Duration(now.UnixNano() - p.notedAt.Load())
	fresh := max(0, 1-float64(age)/float64(paceFades))
	return min(1+(mean/reference-1)*fresh, slowest)
}

// RecordLatency notes how long a piece of an answer took.
func (t *Table) RecordLatency(now time.Time, key GroupKey, e *Endpoint, taken time.Duration) {
	e.stats.pace.note(now, taken)
	if g := t.group(key); g != nil {
		g.pace.note(now, taken)
	}
}

// isSlow tells whether an endpoint answers much slower than its group.
func (g *group) isSlow(now time.Time, e *Endpoint) bool {
	return e.stats.pace.over(now, g.pace) > slowFrom
}

// cost is the load after one more attempt, made dearer by slowness.
func (g *group) cost(cfg Config, now time.Time, e *Endpoint) float64 {
	return e.cost(cfg, now) * max(e.stats.pace.over(now, g.pace), 1)
}
