package forwarder

import (
	"expvar"
	"sync"
	"time"

	"flamingoledge.org/flamingoledge/pkg/predictor"
)

const (
	// smoothingFactor is the weight of a new sample in the moving averages.
	smoothingFactor = 0.05
	// defaultTimeToFirstByte is the predicted time to the first byte for services
	// without an engine, before any correction by measurements.
	defaultTimeToFirstByte = 20 * time.Millisecond
	// deviationMargin times the mean deviation is added to an estimate. A larger margin
	// shortens the time that requests may wait, which costs little at full load: all
	// slots are in use anyway, and requests that start have more time left. A margin of
	// about twice the deviation served the most requests in replayed loads.
	deviationMargin = 2.0
)

// firstByteEstimator estimates the time from sending a request to the first byte or
// event of its answer. It corrects the prediction by the errors observed for each
// service.
type firstByteEstimator struct {
	mu        sync.Mutex
	byService map[string]*errorStats
}

// errorStats holds the statistics of the prediction errors of one service.
type errorStats struct {
	// meanError is the moving average of the prediction error, meanDeviation that of
	// the absolute deviation from it.
	meanError     time.Duration
	meanDeviation time.Duration
}

// estimate returns the time from sending a call to the first byte of its answer, with a
// margin for variation.
func (fe *firstByteEstimator) estimate(c *call) time.Duration {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	base := predictedFirstByte(c)
	stats := fe.byService[c.service]
	if stats == nil {
		return base
	}
	return max(base+stats.meanError+time.Duration(deviationMargin*float64(stats.meanDeviation)), 0)
}

// observe updates the error statistics with the measured time to the first byte of a
// call.
func (fe *firstByteEstimator) observe(c *call, elapsed time.Duration) {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	if fe.byService == nil {
		fe.byService = map[string]*errorStats{}
	}
	stats := fe.byService[c.service]
	if stats == nil {
		stats = &errorStats{}
		fe.byService[c.service] = stats
	}
	predictionError := min(elapsed, maxSample) - predictedFirstByte(c)
	stats.meanError += time.Duration(smoothingFactor * float64(predictionError-stats.meanError))
	stats.meanDeviation += time.Duration(smoothingFactor * float64((predictionError-stats.meanError).Abs()-stats.meanDeviation))
}

// maxSample caps measured times, which limits the effect of outliers on the averages.
const maxSample = 2 * time.Second

// predictedFirstByte returns the time to the first byte predicted for a call, without
// correction.
func predictedFirstByte(c *call) time.Duration {
	if c.engine == nil {
		return defaultTimeToFirstByte
	}
	return predictor.TimeToFirstToken(c.engine, c.engine.Slots, 0, c.prompt())
}

// latencyHistogram counts requests by route kind and by the time until their answer was
// complete.
type latencyHistogram struct {
	metrics *expvar.Map
}

func newLatencyHistogram(m *expvar.Map) *latencyHistogram { return &latencyHistogram{metrics: m} }

// latencyBounds holds the upper bounds and metric names of the histogram's buckets.
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

func (l *latencyHistogram) observe(c *call, elapsed time.Duration) {
	name := "more"
	for _, b := range latencyBounds {
		if elapsed <= b.bound {
			name = b.name
			break
		}
	}
	l.metrics.Add("latency_"+string(c.route.Kind)+"_"+name, 1)
}
