// Package watcher follows the deaths stream of the log for a process and appends
// to it.
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

// keepSuspicions is how long a suspicion or conviction lasts.
const suspicionLifetime = time.Hour

// Watcher holds what is held against requests. It is safe for concurrent use.
type Watcher struct {
	log    provider.Log
	logger *zap.Logger

	mu     sync.RWMutex
	ledger *quarantiner.Ledger
}

// New returns a watcher that does not run yet.
func New(log provider.Log, l *zap.Logger) *Watcher {
	return &Watcher{log: log, logger: l, ledger: quarantiner.New(quarantiner.Config{Keep: suspicionLifetime})}
}

// Run follows the stream until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	from := func() uint64 {
		w.mu.RLock()
		defer w.mu.RUnlock()
		return w.ledger.Next()
	}
	keeper.Tail(ctx, w.log, provider.StreamDeaths, w.logger, from, func(p provider.Page) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.ledger.Apply(time.Now(), p)
	})
}

// Standing returns what is held against a request. The body is not digested
// while nothing is held against any.
func (w *Watcher) Standing(workspace, service string, body []byte) (quarantiner.Standing, uint64) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.ledger.Len() == 0 {
		return quarantiner.StandingClear, 0
	}
	return w.ledger.Standing(quarantiner.NewFingerprint(workspace, service, body))
}

// AppendEntry appends an entry; the error leaves its effect unknown.
func (w *Watcher) AppendEntry(ctx context.Context, e quarantiner.Entry) error {
	data, err := e.Encode()
	if err != nil {
		return err
	}
	_, err = w.log.Append(ctx, provider.StreamDeaths, data)
	return err
}
