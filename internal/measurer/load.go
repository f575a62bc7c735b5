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
	histogramMax     = int64(5 * time.Minute)
	histogramFigures = 3
	loadGoroutines   = 20_000
)

// latencies collects durations; it is safe for concurrent use.
type latencies struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

func newLatencies() *latencies {
	return &latencies{h: hdrhistogram.New(1, histogramMax, histogramFigures)}
}

func (l *latencies) record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.h.RecordValue(min(int64(d), histogramMax))
}

// at returns the duration that the given percentage does not exceed.
func (l *latencies) at(percent float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.h.ValueAtPercentile(percent))
}

func (l *latencies) count() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.h.TotalCount()
}

// openLoop calls do at random times with the given mean rate until ctx ends, and
// waits for the calls. Each call gets the time at which it was due, from which
// its latency counts: a call that starts late because of others is late.
func openLoop(ctx context.Context, perSecond float64, seed uint64, do func(i int, due time.Time)) error {
	pool, err := ants.NewPool(loadGoroutines)
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
		at, n := due, i
		err = pool.Submit(func() {
			defer wg.Done()
			do(n, at)
		})
		if err != nil {
			wg.Done()
			return err
		}
	}
}
