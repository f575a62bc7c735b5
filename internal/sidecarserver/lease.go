package sidecarserver

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/internal/pauser"
	"flamingoledge.org/flamingoledge/pkg/fencer"
	"flamingoledge.org/flamingoledge/pkg/provider"
)

const (
	leasePollWait  = 2 * time.Second
	leaseRetryWait = 200 * time.Millisecond
	leaseReadLimit = 10_000
)

// leaseHolder renews the lease on the endpoint from the fences stream.
type leaseHolder struct {
	cfg    fencer.Config
	log    provider.Log
	logger *zap.Logger
	// lost is called once when a newer incarnation has taken over.
	lost func()

	mu    sync.Mutex
	lease fencer.Lease
}

func newLeaseHolder(cfg fencer.Config, log provider.Log, l *zap.Logger, lost func()) *leaseHolder {
	return &leaseHolder{cfg: cfg, log: log, logger: l, lost: lost, lease: fencer.New(cfg)}
}

// check returns the fencing number if orders may be given at now.
func (h *leaseHolder) check(now time.Time) (number uint64, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err = h.lease.Check(now); err != nil {
		return 0, err
	}
	return h.lease.FencingNumber(), nil
}

// run appends this incarnation and then follows the stream until ctx ends.
func (h *leaseHolder) run(ctx context.Context) {
	h.acquire(ctx)
	for ctx.Err() == nil {
		if err := h.renew(ctx); err != nil {
			pauser.Pause(ctx, leaseRetryWait)
			continue
		}
		if h.isSuperseded() {
			logger.Log(h.logger, logger.LeaseLost, zap.String("endpoint", h.cfg.Endpoint))
			h.lost()
			return
		}
	}
}

// acquire appends until an answer comes. A copy whose answer was lost only
// raises the number of the same incarnation.
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
		pauser.Pause(ctx, leaseRetryWait)
	}
}

func (h *leaseHolder) renew(ctx context.Context) error {
	askedAt := time.Now()
	h.mu.Lock()
	next := h.lease.Next()
	h.mu.Unlock()
	page, err := h.log.Read(ctx, provider.StreamFences, next, leaseReadLimit, leasePollWait)
	if err != nil {
		return err
	}
	// A read that waited for records saw the stream's end when it was answered,
	// but only the time of asking is certain.
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lease = h.lease.WithPage(askedAt, page)
	return nil
}

func (h *leaseHolder) isSuperseded() bool {
	_, err := h.check(time.Now())
	var le *fencer.LeaseError
	return errors.As(err, &le) && le.Superseded
}
