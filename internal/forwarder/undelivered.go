package forwarder

import (
	"context"
	"errors"
	"sync"
	"time"

	"flamingoledge.org/flamingoledge/internal/exchanger"
	"flamingoledge.org/flamingoledge/pkg/balancer"
)

// evacuationLag is how long before the time from which an evacuation counts here, the operators
// may have been told that it is in force: the longest wait of a read of the store.
const evacuationLag = 1500 * time.Millisecond

// errZoneEvacuated is the cause of canceling a request that has not reached its endpoint when
// the endpoint's zone must get no more requests.
var errZoneEvacuated = errors.New("the request has not reached the endpoint, and its zone is evacuated")

// undelivered holds the attempts without an answer yet, which may be on their way over a
// congested link when their zone is evacuated. It is safe for concurrent use.
type undelivered struct {
	mu       sync.Mutex
	attempts map[uint64]undeliveredAttempt
}

type undeliveredAttempt struct {
	endpoint balancer.Endpoint
	delivery *exchanger.Delivery
	cancel   context.CancelCauseFunc
}

// add adds an attempt. end has to be called once it has an answer or has failed; it does not
// cancel the context.
func (u *undelivered) add(parent context.Context, id uint64, e balancer.Endpoint, d *exchanger.Delivery) (ctx context.Context, end func()) {
	ctx, cancel := context.WithCancelCause(parent)
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.attempts == nil {
		u.attempts = map[uint64]undeliveredAttempt{}
	}
	u.attempts[id] = undeliveredAttempt{endpoint: e, delivery: d, cancel: cancel}
	return ctx, func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		delete(u.attempts, id)
	}
}

// cancelEvacuated cancels the requests that have not reached their endpoint when its zone must
// get none any more. Those that have are finished.
func (f *Forwarder) cancelEvacuated(now time.Time) {
	zones := f.cfg.RoutingState().Evacuations
	if f.cfg.Bounds.Evacuation <= 0 || !zones.HasEvacuated() {
		return
	}
	f.undelivered.mu.Lock()
	defer f.undelivered.mu.Unlock()
	for _, a := range f.undelivered.attempts {
		r, _ := zones.Get(a.endpoint.AvailabilityZone)
		if !r.Evacuated {
			continue
		}
		cancelAt := r.KnownSince.Add(f.cfg.Bounds.Evacuation - evacuationLag - cancelMargin - f.deliveryDelays.delay(now, a.endpoint.ID))
		if !now.Before(cancelAt) && !a.delivery.IsDelivered() {
			a.delivery.DiscardUnsent()
			a.cancel(errZoneEvacuated)
			f.cfg.Metrics.Add("requests_canceled_by_evacuation", 1)
		}
	}
}
