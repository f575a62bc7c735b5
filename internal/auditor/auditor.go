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
	// maxPending bounds the entries that wait for an append; further ones are dropped
	// and counted.
	maxPending = 20_000
	// maxBatch bounds the entries of one append.
	maxBatch = 5_000
	// appendTimeout bounds one append.
	appendTimeout = 2 * time.Second
	// finalTimeout bounds the last append, on shutdown.
	finalTimeout = time.Second
)

// Config configures an Auditor.
type Config struct {
	Log      provider.Log
	Logger   *zap.Logger
	Instance string
	// Interval returns the time between appends. It should grow with the number of
	// writers, so that all of them together stay within their share of the log's
	// capacity.
	Interval func() time.Duration
}

// Auditor buffers audit entries for batched appends. It is safe for concurrent use.
type Auditor struct {
	cfg Config

	mu      sync.Mutex
	pending []provider.AuditEntry
	dropped int
}

// New returns an auditor. Call Run to start it.
func New(cfg Config) *Auditor { return &Auditor{cfg: cfg} }

// Add queues an entry with its time and the instance's name. It never waits for the
// log.
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

// Run appends pending entries at each interval until ctx ends, and then one last
// batch.
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

// flush appends one batch. After an error the batch is requeued: a duplicate entry
// does no harm, while a missing one might mislead a reader.
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

// takeBatch removes up to maxBatch pending entries, and resets the drop count.
func (a *Auditor) takeBatch() (batch []provider.AuditEntry, dropped int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := min(len(a.pending), maxBatch)
	batch = append(batch, a.pending[:n]...)
	a.pending = append(a.pending[:0], a.pending[n:]...)
	dropped, a.dropped = a.dropped, 0
	return batch, dropped
}

// requeue adds a batch to the pending entries again. Entries beyond maxPending are
// dropped and counted.
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
