// Package auditor appends audit entries to the platform's log in batches.
package auditor

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/pkg/provider"
)

const (
	// maxPending bounds the entries that wait; more are dropped and counted.
	maxPending = 20_000
	// maxBatch bounds the entries of one append.
	maxBatch = 5_000
	// appendTimeout bounds one append.
	appendTimeout = 2 * time.Second
	// finalTimeout bounds the last append at the end of a process.
	finalTimeout = time.Second
)

// Config configures an Auditor.
type Config struct {
	Log      provider.Log
	Logger   *zap.Logger
	Instance string
	// Interval returns the time between appends. It grows with the number of
	// writers, so that all of them together keep within their share of the log.
	Interval func() time.Duration
}

// Auditor gathers entries. It is safe for concurrent use.
type Auditor struct {
	cfg Config

	mu      sync.Mutex
	pending []provider.AuditEntry
	dropped int
}

// New returns an auditor that does not run yet.
func New(cfg Config) *Auditor { return &Auditor{cfg: cfg} }

// Add notes an outcome. It never waits for the log.
func (a *Auditor) Add(now time.Time, e provider.AuditEntry) {
	e.At = now
	e.Instance = a.cfg.Instance
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.pending) >= maxPending {
		a.dropped++
		return
	}
	a.pending = append(a.pending, e)
}

// Run appends what is held until ctx ends, and then once more.
func (a *Auditor) Run(ctx context.Context) {
	for {
		t := time.NewTimer(a.cfg.Interval())
		select {
		case <-ctx.Done():
			t.Stop()
			final, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalTimeout)
			defer cancel()
			a.flush(final)
			return
		case <-t.C:
			a.flush(ctx)
		}
	}
}

// flush appends one batch. After an error the batch is kept: a second copy of an
// entry misleads nobody, a missing one might.
func (a *Auditor) flush(ctx context.Context) {
	batch, dropped := a.takeBatch()
	if len(batch) == 0 && dropped == 0 {
		return
	}
	if dropped > 0 {
		logger.Log(a.cfg.Logger, logger.AuditLost, zap.Int("lost", dropped))
		batch = append(batch, provider.AuditEntry{Kind: provider.AuditLost, At: time.Now(), Instance: a.cfg.Instance, Lost: dropped})
	}
	records := make([]json.RawMessage, 0, len(batch))
	for _, e := range batch {
		if data, err := json.Marshal(e); err == nil {
			records = append(records, data)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := a.cfg.Log.Append(ctx, provider.StreamAudit, records...); err != nil {
		a.requeue(batch)
	}
}

func (a *Auditor) takeBatch() (batch []provider.AuditEntry, dropped int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := min(len(a.pending), maxBatch)
	batch = append(batch, a.pending[:n]...)
	a.pending = append(a.pending[:0], a.pending[n:]...)
	dropped, a.dropped = a.dropped, 0
	return batch, dropped
}

func (a *Auditor) requeue(batch []provider.AuditEntry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range batch {
		if e.Kind == provider.AuditLost {
			a.dropped += e.Lost
			continue
		}
		if len(a.pending) >= maxPending {
			a.dropped++
			continue
		}
		a.pending = append(a.pending, e)
	}
}
