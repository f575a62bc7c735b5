// Package repeater repeats attempts of tests during which the process did not run, since what they
// expect in a given time can't be met then. An attempt in a process that runs is never repeated.
package repeater

import (
	"testing"
	"time"
)

const (
	// stallCheckInterval is the time between checks whether the process runs.
	stallCheckInterval = 20 * time.Millisecond
	// maxStall is less than the margin in which an endpoint has to notice a cancellation.
	maxStall = 250 * time.Millisecond
	// maxAttempts bounds how often an attempt is repeated on a machine that is too busy.
	maxAttempts = 6
)

// IfStalled returns the outcome of attempt. It repeats one that was not as expected
// during which the process, and the endpoints in it, did not run for maxStall or more.
func IfStalled[T any](t testing.TB, attempt func() T, isExpected func(T) bool) T {
	t.Helper()
	for n := 1; ; n++ {
		stopWatch := watchStalls()
		outcome := attempt()
		longest := stopWatch()
		if isExpected(outcome) || longest < maxStall || n == maxAttempts {
			return outcome
		}
		t.Logf("attempt %d is repeated: the process did not run for %v", n, longest)
	}
}

// watchStalls watches whether the process runs, until the returned function is called, which
// returns the longest time in which it did not.
func watchStalls() (stop func() time.Duration) {
	done, longest := make(chan struct{}), make(chan time.Duration)
	go func() {
		var most time.Duration
		last := time.Now()
		for ended := false; !ended; {
			select {
			case <-done:
				ended = true
			case <-time.After(stallCheckInterval):
			}
			most = max(most, time.Since(last)-stallCheckInterval)
			last = time.Now()
		}
		longest <- most
	}()
	return func() time.Duration {
		close(done)
		return <-longest
	}
}
