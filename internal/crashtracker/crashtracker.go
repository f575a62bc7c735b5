// Package crashtracker tails the deaths stream of the log, which records endpoints that
// died while running a request, and appends to it.
package crashtracker

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/synchronizer"
	"flamingoledge.org/flamingoledge/pkg/provider"
	"flamingoledge.org/flamingoledge/pkg/quarantiner"
)

// suspicionLifetime is how long a suspicion or conviction remains valid.
const suspicionLifetime = time.Hour

// Tracker maintains the suspicions and convictions of requests. It is safe for
// concurrent use.
type Tracker struct {
	log    provider.Log
	logger *zap.Logger

	mu     sync.RWMutex
	ledger *quarantiner.Ledger
}

// New returns a tracker. Call Run to start it.
func New(log provider.Log, l *zap.Logger) *Tracker {
	return &Tracker{log: log, logger: l, ledger: quarantiner.New(quarantiner.Config{Retention: suspicionLifetime})}
}

// Run tails the deaths stream until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	nextOffset := func() uint64 {
		t.mu.RLock()
		defer t.mu.RUnlock()
		return t.ledger.NextOffset()
	}
	synchronizer.Tail(ctx, t.log, provider.StreamDeaths, t.logger, nextOffset, func(p provider.Page) {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.ledger.Apply(time.Now(), p)
	})
}

// Standing returns the quarantine status of a request, and the offset of the related
// death. The body is not hashed if the ledger is empty.
func (t *Tracker) Standing(workspace, service string, body []byte) (quarantiner.Standing, uint64) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if t.ledger.Len() == 0 {
		return quarantiner.StandingClear, 0
	}
	return t.ledger.Standing(quarantiner.NewFingerprint(workspace, service, body))
}

// AppendEvent appends an event to the deaths stream. After an error the event may have
// been appended or not.
func (t *Tracker) AppendEvent(ctx context.Context, e quarantiner.Event) error {
	data, err := e.Encode()
	if err != nil {
		return err
	}
	_, err = t.log.Append(ctx, provider.StreamDeaths, data)
	return err
}
