// Package retrier decides whether a failed attempt is retried. Retries are limited to
// a share of recent traffic in addition to a maximum per request, so that they do not
// multiply the load when all requests fail.
package retrier

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Config configures a Budget.
type Config struct {
	// Ratio is the number of retries added to the budget per request.
	Ratio float64
	// MinPerSecond is the number of retries added to the budget per second,
	// regardless of traffic.
	MinPerSecond float64
	// ResumeReserve is the share of the largest unused budget that AllowRetry leaves to
	// AllowResume.
	ResumeReserve float64
	// Window limits the unused budget to what the requests of this period have added.
	Window time.Duration
	// MaxAttempts is the maximum number of attempts per request.
	MaxAttempts int
	// BackoffBase is the maximum of the first pause; it doubles with each attempt.
	BackoffBase time.Duration
	// BackoffCap is the upper limit of all pauses.
	BackoffCap time.Duration
}

// Refusal is the reason why a request is not retried.
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

// New returns a budget that initially holds MinPerSecond retries.
func New(cfg Config, now time.Time, rng *rand.Rand) *Budget {
	return &Budget{cfg: cfg, tokens: cfg.MinPerSecond, updatedAt: now, rng: rng}
}

// RecordRequest records a new request, which adds Ratio retries to the budget.
func (b *Budget) RecordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.recentRequests++
	b.tokens = min(b.tokens+b.cfg.Ratio, b.maxTokens())
}

// AllowRetry decides whether a request may be retried after the given number of
// attempts. It returns the pause before the retry or the reason for the refusal. An
// allowed retry is deducted from the budget.
func (b *Budget) AllowRetry(now, deadline time.Time, attempts int) (pause time.Duration, refusal Refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	reserve := b.cfg.ResumeReserve * max(b.maxTokens()-1, 0)
	return b.allow(now, deadline, attempts, reserve)
}

// AllowResume is like AllowRetry for a request whose answer was broken off, and may use
// the whole budget.
func (b *Budget) AllowResume(now, deadline time.Time, attempts int) (pause time.Duration, refusal Refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	return b.allow(now, deadline, attempts, 0)
}

// allow deducts a retry from the budget unless that would leave less than reserve. The
// caller must hold mu.
func (b *Budget) allow(now, deadline time.Time, attempts int, reserve float64) (pause time.Duration, refusal Refusal) {
	if pause, refusal = b.nextBackoff(now, deadline, attempts); refusal != RefusalNone {
		return 0, refusal
	}
	if b.tokens < 1+reserve {
		return 0, RefusalBudget
	}
	b.tokens--
	return pause, RefusalNone
}

// AllowFreeRetry decides whether to retry an attempt that was refused without being
// run, and so added no load. The retry is not deducted from the budget. The first
// retries have no pause, because another endpoint may have a free slot. Only the
// deadline limits the number of retries.
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

// nextBackoff returns the next pause, exponential with full jitter. The caller must
// hold mu.
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

// advance adds MinPerSecond retries per elapsed second and decays the count of recent
// requests. The caller must hold mu.
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

// maxTokens returns the maximum number of unused retries.
func (b *Budget) maxTokens() float64 {
	return b.cfg.MinPerSecond + b.cfg.Ratio*b.recentRequests
}
