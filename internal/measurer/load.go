package measurer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/panjf2000/ants/v2"
)

const (
	histogramMaxNanos          = int64(5 * time.Minute)
	histogramSignificantDigits = 3
	maxLoadGoroutines          = 20_000
)

// latencyRecorder collects durations in a histogram. It is safe for concurrent use.
type latencyRecorder struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

func newLatencyRecorder() *latencyRecorder {
	return &latencyRecorder{histogram: hdrhistogram.New(1, histogramMaxNanos, histogramSignificantDigits)}
}

func (l *latencyRecorder) record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.histogram.RecordValue(min(int64(d), histogramMaxNanos))
}

// percentile returns the duration that the given percentage of the values do not exceed.
func (l *latencyRecorder) percentile(percent float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.histogram.ValueAtPercentile(percent))
}

func (l *latencyRecorder) count() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.histogram.TotalCount()
}

// runOpenLoop makes calls with exponentially distributed intervals at the given mean
// rate until ctx ends, and waits for them to return. Each call receives the time at
// which it was due. Its latency counts from then, so that it includes the delay of a
// call that starts late because of earlier ones.
func runOpenLoop(ctx context.Context, perSecond float64, seed uint64, call func(i int, due time.Time)) error {
	pool, err := ants.NewPool(maxLoadGoroutines)
	if err != nil {
		return err
	}
	defer pool.Release()
	rng := rand.New(rand.NewPCG(seed, 4))
	var wg sync.WaitGroup
	due := time.Now()
	for i := 0; ; i++ {
		due = due.Add(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
		select {
		case <-ctx.Done():
			wg.Wait()
			return nil
		case <-time.After(time.Until(due)):
		}
		wg.Add(1)
		dueTime, index := due, i
		err = pool.Submit(func() {
			defer wg.Done()
			call(index, dueTime)
		})
		if err != nil {
			wg.Done()
			return err
		}
	}
}
