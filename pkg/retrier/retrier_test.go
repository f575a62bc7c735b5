package retrier_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"flamingoledge.org/flamingoledge/pkg/retrier"
)

var start = time.Unix(1000, 0)

func budget() *retrier.Budget {
	return retrier.New(retrier.Config{
		Ratio: 0.2, MinPerSecond: 2, Window: 10 * time.Second, MaxAttempts: 4,
		BackoffBase: 20 * time.Millisecond, BackoffCap: time.Second,
	}, start, rand.New(rand.NewPCG(1, 1)))
}

func TestRetriesAreAShareOfTraffic(t *testing.T) {
	is := is.New(t)
	b := budget()
	allowed := 0
	now := start
	for range 2000 {
		now = now.Add(5 * time.Millisecond)
		b.RecordRequest(now)
		for attempts := 1; ; attempts++ {
			if _, refusal := b.AllowRetry(now, now.Add(time.Minute), attempts); refusal != "" {
				break
			}
			allowed++
		}
	}
	is.True(allowed <= 2000*25/100) // Ratio and MinPerSecond limit retries when all attempts fail
	is.True(allowed >= 2000*15/100)
}

// TestResumeReserve checks that retries of failed requests leave a part of the budget to
// requests whose answer was broken off, and that both together stay within the budget.
func TestResumeReserve(t *testing.T) {
	is := is.New(t)
	b := retrier.New(retrier.Config{
		Ratio: 0.25, MinPerSecond: 1, ResumeReserve: 0.25, Window: 10 * time.Second, MaxAttempts: 4,
		BackoffBase: time.Millisecond, BackoffCap: time.Millisecond,
	}, start, rand.New(rand.NewPCG(1, 1)))
	for range 100 {
		b.RecordRequest(start)
	}
	use := func(allow func(now, deadline time.Time, attempts int) (time.Duration, retrier.Refusal)) (n int) {
		for {
			if _, refusal := allow(start, start.Add(time.Minute), 1); refusal != retrier.RefusalNone {
				is.Equal(refusal, retrier.RefusalBudget)
				return n
			}
			n++
		}
	}
	is.Equal(use(b.AllowRetry), 19)
	is.Equal(use(b.AllowResume), 7)
	is.Equal(use(b.AllowRetry), 0)
}

func TestRefusals(t *testing.T) {
	for name, tc := range map[string]struct {
		attempts int
		deadline time.Duration
		refusal  retrier.Refusal
	}{
		"one failure":     {1, time.Minute, retrier.RefusalNone},
		"many failures":   {4, time.Minute, retrier.RefusalAttempts},
		"deadline passed": {1, 0, retrier.RefusalDeadline},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			pause, refusal := budget().AllowRetry(start, start.Add(tc.deadline), tc.attempts)
			is.Equal(refusal, tc.refusal)
			is.True(pause <= 20*time.Millisecond)
		})
	}
}
