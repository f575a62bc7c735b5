package forwarder

import (
	"expvar"
	"sync"
	"time"

	"flamingoledge.org/flamingoledge/pkg/predictor"
)

const (
	// smoothing is the share of a new measurement in a mean.
	smoothing = 0.05
	// plainFirst is what the first byte of a plain service is taken to need until
	// it was measured.
	plainFirst = 20 * time.Millisecond
	// errorMargin times the mean error is added to an expected time. Waiting less
	// loses little at full load, because places are taken all the same, and what
	// starts has more time left; about twice the error serves most in
	// the replayed loads.
	errorMargin = 2.0
)

// paces learns how long it takes from the send to the first byte or event, by
// service, as the error of what is predicted.
type paces struct {
	mu     sync.Mutex
	byName map[string]*pace
}

type pace struct {
	// bias is the mean error, spread the mean deviation from it.
	bias   time.Duration
	spread time.Duration
}

// expected returns when the first byte of a call's answer comes after its send,
// with a margin for what varies.
func (p *paces) expected(c *call) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	base := predicted(c)
	one := p.byName[c.service]
	if one == nil {
		return base
	}
	return max(base+one.bias+time.Duration(errorMargin*float64(one.spread)), 0)
}

// note takes a measured time.
func (p *paces) note(c *call, taken time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byName == nil {
		p.byName = map[string]*pace{}
	}
	one := p.byName[c.service]
	if one == nil {
		one = &pace{}
		p.byName[c.service] = one
	}
	e := min(taken, maxNoted) - predicted(c)
	one.bias += time.Duration(smoothing * float64(e-one.bias))
	one.spread += time.Duration(smoothing * float64((e-one.bias).Abs()-one.spread))
}

// maxNoted bounds what one outlier adds to the means.
const maxNoted = 2 * time.Second

func predicted(c *call) time.Duration {
	if c.engine == nil {
		return plainFirst
	}
	return predictor.TimeToFirstToken(c.engine, c.engine.Slots, 0, c.prompt())
}

// latencies are histograms of the time from a request to its whole answer, by
// kind of route.
type latencies struct {
	metrics *expvar.Map
}

func newLatencies(m *expvar.Map) *latencies { return &latencies{metrics: m} }

// latencyBounds are the upper ends of the histogram's buckets.
var latencyBounds = []struct {
	bound time.Duration
	name  string
}{
	{50 * time.Millisecond, "le_50ms"},
	{100 * time.Millisecond, "le_100ms"},
	{250 * time.Millisecond, "le_250ms"},
	{500 * time.Millisecond, "le_500ms"},
	{time.Second, "le_1s"},
	{2 * time.Second, "le_2s"},
	{5 * time.Second, "le_5s"},
}

func (l *latencies) note(c *call, taken time.Duration) {
	name := "more"
	for _, b := range latencyBounds {
		if taken <= b.bound {
			name = b.name
			break
		}
	}
	l.metrics.Add("latency_"+string(c.route.Kind)+"_"+name, 1)
}
