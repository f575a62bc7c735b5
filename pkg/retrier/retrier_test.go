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
