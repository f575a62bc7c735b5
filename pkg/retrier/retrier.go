// Package retrier decides whether a failed attempt is followed by another one.
// Retries are a share of recent traffic, not a count for each call, so that they
// stop by themselves when everything fails.
package retrier

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Config configures a Budget.
type Config struct {
	// Ratio is how many retries each request earns.
	Ratio float64
	// MinPerSecond is how many retries a second are earned without traffic.
	MinPerSecond float64
	// Window bounds the saved retries to what this time earns.
	Window time.Duration
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// BackoffBase is the ceiling of the first pause; it doubles each time.
	BackoffBase time.Duration
	// BackoffCap bounds the ceiling.
	BackoffCap time.Duration
}

// Refusal says why no retry follows.
type Refusal string

// Refusals of a retry.
const (
	RefusalNone     Refusal = ""
	RefusalAttempts Refusal = "attempts"
	RefusalBudget   Refusal = "budget"
	RefusalDeadline Refusal = "deadline"
)

// Budget is the retry budget of one service. It is safe for concurrent use.
type Budget struct {
	cfg Config

	mu             sync.Mutex
	tokens         float64
	recentRequests float64
	updatedAt      time.Time
	rng            *rand.Rand
}

// New returns a budget that starts with what the floor earns in a window.
func New(cfg Config, now time.Time, rng *rand.Rand) *Budget {
	return &Budget{cfg: cfg, tokens: cfg.MinPerSecond, updatedAt: now, rng: rng}
}

// RecordRequest records a new request, which earns a share of a retry.
func (b *Budget) RecordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.recentRequests++
	b.tokens = min(b.tokens+b.cfg.Ratio, b.maxTokens())
}

// AllowRetry decides about a retry after the given number of attempts. It returns
// how long to pause first, or why there is none. A granted retry is spent.
func (b *Budget) AllowRetry(now, deadline time.Time, attempts int) (pause time.Duration, refusal Refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if pause, refusal = b.nextBackoff(now, deadline, attempts); refusal != RefusalNone {
		return 0, refusal
	}
	if b.tokens < 1 {
		return 0, RefusalBudget
	}
	b.tokens--
	return pause, RefusalNone
}

// AllowFreeRetry decides about an attempt that added nothing to the load of what
// refused it. The retry costs nothing from the budget, and the first ones follow
// at once, because another place may be free. Only the deadline ends them.
func (b *Budget) AllowFreeRetry(now, deadline time.Time, attempts int) (pause time.Duration, refusal Refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if attempts >= b.cfg.MaxAttempts {
		pause = time.Duration(b.rng.Int64N(int64(b.cfg.BackoffBase) + 1))
	}
	if !now.Add(pause).Before(deadline) {
		return 0, RefusalDeadline
	}
	return pause, RefusalNone
}

// backOff returns a pause with full jitter; the caller holds mu.
func (b *Budget) nextBackoff(now, deadline time.Time, attempts int) (pause time.Duration, refusal Refusal) {
	if attempts >= b.cfg.MaxAttempts {
		return 0, RefusalAttempts
	}
	maxPause := min(b.cfg.BackoffBase<<(attempts-1), b.cfg.BackoffCap)
	pause = time.Duration(b.rng.Int64N(int64(maxPause) + 1))
	if !now.Add(pause).Before(deadline) {
		return 0, RefusalDeadline
	}
	return pause, RefusalNone
}

// advance earns the floor and lets the count of recent requests decay.
func (b *Budget) advance(now time.Time) {
	elapsed := now.Sub(b.updatedAt)
	if elapsed <= 0 {
		return
	}
	b.updatedAt = now
	retained := max(0, 1-elapsed.Seconds()/b.cfg.Window.Seconds())
	b.recentRequests *= retained
	b.tokens = min(b.tokens+b.cfg.MinPerSecond*elapsed.Seconds(), b.maxTokens())
}

func (b *Budget) maxTokens() float64 {
	return b.cfg.MinPerSecond + b.cfg.Ratio*b.recentRequests
}
