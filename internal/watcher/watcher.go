// Package watcher tails the deaths stream of the log, which records endpoints that died
// while running a request, and appends to it.
package watcher

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/keeper"
	"flamingoledge.org/flamingoledge/pkg/provider"
	"flamingoledge.org/flamingoledge/pkg/quarantiner"
)

// suspicionLifetime is how long a suspicion or conviction remains valid.
const suspicionLifetime = time.Hour

// Watcher maintains the suspicions and convictions of requests. It is safe for
// concurrent use.
type Watcher struct {
	log    provider.Log
	logger *zap.Logger

	mu     sync.RWMutex
	ledger *quarantiner.Ledger
}

// New returns a watcher. Call Run to start it.
func New(log provider.Log, l *zap.Logger) *Watcher {
	return &Watcher{log: log, logger: l, ledger: quarantiner.New(quarantiner.Config{Retention: suspicionLifetime})}
}

// Run tails the deaths stream until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	nextOffset := func() uint64 {
		w.mu.RLock()
		defer w.mu.RUnlock()
		return w.ledger.NextOffset()
	}
	keeper.Tail(ctx, w.log, provider.StreamDeaths, w.logger, nextOffset, func(p provider.Page) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.ledger.Apply(time.Now(), p)
	})
}

// Standing returns the quarantine status of a request, and the offset of the related
// death. The body is not hashed if the ledger is empty.
func (w *Watcher) Standing(workspace, service string, body []byte) (quarantiner.Standing, uint64) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.ledger.Len() == 0 {
		return quarantiner.StandingClear, 0
	}
	return w.ledger.Standing(quarantiner.NewFingerprint(workspace, service, body))
}

// AppendEvent appends an event to the deaths stream. After an error the event may have
// been appended or not.
func (w *Watcher) AppendEvent(ctx context.Context, e quarantiner.Event) error {
	data, err := e.Encode()
	if err != nil {
		return err
	}
	_, err = w.log.Append(ctx, provider.StreamDeaths, data)
	return err
}
