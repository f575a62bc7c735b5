package forwarder

import (
	"context"
	"errors"
	"slices"
	"time"

	"flamingoledge.org/flamingoledge/internal/exchanger"
	"flamingoledge.org/flamingoledge/pkg/balancer"
)

const (
	// newRequestMargin is how long before the version bound endpoints with older
	// versions stop getting new requests. It covers the time that a request may wait
	// in the endpoint, which is about as long as another one runs, and the delay until
	// all processes have received the version.
	newRequestMargin = 1200 * time.Millisecond
	// silenceMargin is how long before that endpoints with older versions get only the
	// requests for which no other endpoint has a free slot. An endpoint may fall silent
	// for a second or so, and not every endpoint notices then that what it has received
	// was canceled. Sending nothing to them in this time would refuse many more callers.
	silenceMargin = 1500 * time.Millisecond
	// cancelMargin is how long before the version bound a request without output is
	// canceled on an endpoint with an older version. The endpoint needs this time to
	// detect the cancellation.
	cancelMargin = 300 * time.Millisecond
	// deliveryDelayFactor times the delivery delay of an endpoint is added to
	// newRequestMargin: the request and its cancellation each take that long. The
	// delay alone is added to cancelMargin.
	deliveryDelayFactor = 2
	// cancelCheckInterval is the time between checks of whether a delivered request
	// has to be canceled because the endpoint's delivery delay has grown.
	cancelCheckInterval = 100 * time.Millisecond
)

// errNotBegun is the cause of canceling a request that was still waiting in an endpoint
// when the endpoint's version became too old to begin it.
var errNotBegun = errors.New("the endpoint has not begun, and its version is too old to begin now")

// newestDue returns the newest version of the call's model whose bound is at most margin
// away; 0 if there is none.
func (f *Forwarder) newestDue(c *call, now time.Time, margin time.Duration) (newest uint64) {
	for _, v := range f.namedVersions(c) {
		if now.Sub(v.KnownSince) >= f.cfg.Bounds.Version-margin {
			newest = max(newest, v.Version)
		}
	}
	return newest
}

// slowEndpoints returns the endpoints with older versions at which a request that is
// sent now may arrive too late to begin before the version bound.
func (f *Forwarder) slowEndpoints(c *call, now time.Time) (ids []string) {
	for _, v := range f.namedVersions(c) {
		left := f.cfg.Bounds.Version - newRequestMargin - now.Sub(v.KnownSince)
		ids = append(ids, f.deliveryDelays.slowEndpoints(now, v.Version, left/deliveryDelayFactor)...)
	}
	return ids
}

// mayBegin reports whether a call that is sent to an endpoint now begins there before
// the version bound.
func (f *Forwarder) mayBegin(c *call, e balancer.Endpoint, now time.Time) bool {
	return e.Version >= f.newestDue(c, now, newRequestMargin) && !slices.Contains(f.slowEndpoints(c, now), e.ID)
}

// namedVersions returns the named versions of the call's model, or nil if older
// versions may begin without a time limit.
func (f *Forwarder) namedVersions(c *call) []Version {
	if f.cfg.Bounds.Version <= 0 || c.engine == nil {
		return nil
	}
	return f.cfg.RoutingState().Versions[c.Model]
}

// cancelTime returns when a call without output has to be canceled on an endpoint; the
// zero time if there is no limit.
func (f *Forwarder) cancelTime(c *call, e balancer.Endpoint, now time.Time) time.Time {
	bound := f.beginBound(c, e)
	if bound.IsZero() {
		return bound
	}
	return bound.Add(-cancelMargin - f.deliveryDelays.delay(now, e.ID))
}

// beginBound returns the time from which an endpoint may no longer begin a call because of
// its version; the zero time if there is no limit.
func (f *Forwarder) beginBound(c *call, e balancer.Endpoint) (bound time.Time) {
	for _, v := range f.namedVersions(c) {
		candidate := v.KnownSince.Add(f.cfg.Bounds.Version)
		if v.Version > e.Version && (bound.IsZero() || candidate.Before(bound)) {
			bound = candidate
		}
	}
	return bound
}

// contextUntilBegun returns a context that is canceled when the endpoint's version may
// no longer begin the call, unless markBegun is called before. This is needed since an
// endpoint under load may queue a request for longer than newRequestMargin. It applies
// to streams only: another answer arrives at the end of the run, so the forwarder
// cannot tell whether the run has begun. delivery tracks the attempt's arrival.
func (f *Forwarder) contextUntilBegun(parent context.Context, c *call, d balancer.Decision, delivery *exchanger.Delivery, now time.Time) (ctx context.Context, markBegun func()) {
	if delivery == nil {
		return parent, func() {}
	}
	ctx, cancel := context.WithCancelCause(parent)
	begun := make(chan struct{})
	go f.watchUntilBegun(c, d, delivery, now, begun, cancel)
	return ctx, func() { close(begun) }
}

// watchUntilBegun measures how long an attempt takes to arrive, and cancels it if its
// endpoint may no longer begin it. It returns when begun is closed.
func (f *Forwarder) watchUntilBegun(c *call, d balancer.Decision, delivery *exchanger.Delivery, sentAt time.Time, begun <-chan struct{}, cancel context.CancelCauseFunc) {
	timer := time.NewTimer(deliveryCheckInterval)
	defer timer.Stop()
	for {
		select {
		case <-begun:
			f.deliveryDelays.recordDelivery(f.cfg.Clock(), d.Endpoint.ID, d.ID)
			return
		case <-timer.C:
		}
		now, wait := f.cfg.Clock(), deliveryCheckInterval
		if delivery.IsDelivered() {
			f.deliveryDelays.recordDelivery(now, d.Endpoint.ID, d.ID)
			wait = cancelCheckInterval
		} else {
			f.deliveryDelays.recordUndelivered(d.Endpoint, d.ID, now.Sub(sentAt))
		}
		cancelAt := f.cancelTime(c, d.Endpoint, now)
		if c.isStream() && !cancelAt.After(now) {
			cancel(errNotBegun)
			wait = cancelCheckInterval
		} else if c.isStream() {
			wait = min(wait, cancelAt.Sub(now))
		}
		timer.Reset(wait)
	}
}
