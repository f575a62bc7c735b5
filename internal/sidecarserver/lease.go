package sidecarserver

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/internal/sleeper"
	"flamingoledge.org/flamingoledge/pkg/fencer"
	"flamingoledge.org/flamingoledge/pkg/provider"
)

const (
	leasePollWait  = 2 * time.Second
	leaseRetryWait = 200 * time.Millisecond
	leaseReadLimit = 10_000
)

// leaseHolder acquires the lease on the endpoint in the fences stream and renews
// it by reading that stream.
type leaseHolder struct {
	cfg    fencer.Config
	log    provider.Log
	logger *zap.Logger
	// onSuperseded is called once, when a newer incarnation has taken over.
	onSuperseded func()

	mu    sync.Mutex
	lease fencer.Lease
}

func newLeaseHolder(cfg fencer.Config, log provider.Log, l *zap.Logger, onSuperseded func()) *leaseHolder {
	return &leaseHolder{cfg: cfg, log: log, logger: l, onSuperseded: onSuperseded, lease: fencer.New(cfg)}
}

// check returns the fencing number if the lease is valid at now, or an error if
// no orders may be sent.
func (h *leaseHolder) check(now time.Time) (number uint64, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err = h.lease.Check(now); err != nil {
		return 0, err
	}
	return h.lease.FencingNumber(), nil
}

// run acquires the lease and then follows the stream until ctx ends or a newer
// incarnation supersedes this one.
func (h *leaseHolder) run(ctx context.Context) {
	h.acquire(ctx)
	for ctx.Err() == nil {
		if err := h.renew(ctx); err != nil {
			sleeper.Sleep(ctx, leaseRetryWait)
			continue
		}
		if h.isSuperseded() {
			logger.Log(h.logger, logger.LeaseLost, zap.String("endpoint", h.cfg.Endpoint))
			h.onSuperseded()
			return
		}
	}
}

// acquire retries the append until it succeeds. If the response to an append was
// lost, the repeated entry only raises the fencing number of the same incarnation.
func (h *leaseHolder) acquire(ctx context.Context) {
	entry, err := fencer.Entry{Endpoint: h.cfg.Endpoint, Incarnation: h.cfg.Incarnation}.Encode()
	if err != nil {
		return
	}
	for ctx.Err() == nil {
		var number uint64
		if number, err = h.log.Append(ctx, provider.StreamFences, entry); err == nil {
			logger.Log(h.logger, logger.LeaseAcquired, zap.Uint64("fencing", number))
			return
		}
		sleeper.Sleep(ctx, leaseRetryWait)
	}
}

func (h *leaseHolder) renew(ctx context.Context) error {
	requestedAt := time.Now()
	h.mu.Lock()
	next := h.lease.Next()
	h.mu.Unlock()
	page, err := h.log.Read(ctx, provider.StreamFences, next, leaseReadLimit, leasePollWait)
	if err != nil {
		return err
	}
	// A long-poll read reaches the end of the stream when it is answered, but only
	// the time of the request is a safe lower bound for that moment.
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lease = h.lease.WithPage(requestedAt, page)
	return nil
}

func (h *leaseHolder) isSuperseded() bool {
	_, err := h.check(time.Now())
	var le *fencer.LeaseError
	return errors.As(err, &le) && le.Superseded
}
