package forwarder

import (
	"context"
	"errors"
	"time"

	"flamingoledge.org/flamingoledge/pkg/balancer"
)

const (
	// newRequestMargin is how long before the version bound endpoints with older
	// versions stop getting new requests. It covers the time that a request may wait
	// in the endpoint, which is about as long as another one runs, and the delay until
	// all processes have received the version.
	newRequestMargin = 1200 * time.Millisecond
	// cancelMargin is how long before the version bound a request without output is
	// canceled on an endpoint with an older version. The endpoint needs this time to
	// detect the cancellation.
	cancelMargin = 300 * time.Millisecond
)

// errNotBegun is the cause of canceling a request that was still waiting in an endpoint
// when the endpoint's version became too old to begin it.
var errNotBegun = errors.New("the endpoint has not begun, and its version is too old to begin now")

// minVersion returns the oldest version of the call's model that the call may still be
// sent to; 0 if there is no limit.
func (f *Forwarder) minVersion(c *call, now time.Time) (oldest uint64) {
	for _, v := range f.namedVersions(c) {
		if now.Sub(v.KnownSince) >= f.cfg.Bounds.Version-newRequestMargin {
			oldest = max(oldest, v.Version)
		}
	}
	return oldest
}

// namedVersions returns the named versions of the call's model, or nil if older
// versions may begin without a time limit.
func (f *Forwarder) namedVersions(c *call) []Version {
	if f.cfg.Bounds.Version <= 0 || c.engine == nil {
		return nil
	}
	return f.cfg.RoutingState().Versions[c.Model]
}

// contextUntilBegun returns a context that is canceled when the endpoint's version may
// no longer begin the call, unless markBegun is called before. This is needed since an
// endpoint under load may queue a request for longer than newRequestMargin. It applies
// to streams only: another answer arrives at the end of the run, so the forwarder
// cannot tell whether the run has begun.
func (f *Forwarder) contextUntilBegun(c *call, e balancer.Endpoint, now time.Time) (ctx context.Context, markBegun func()) {
	var cancelAt time.Time
	for _, v := range f.namedVersions(c) {
		candidate := v.KnownSince.Add(f.cfg.Bounds.Version - cancelMargin)
		if v.Version > e.Version && (cancelAt.IsZero() || candidate.Before(cancelAt)) {
			cancelAt = candidate
		}
	}
	if cancelAt.IsZero() || !c.isStream() {
		return c.ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(c.ctx)
	timer := time.AfterFunc(cancelAt.Sub(now), func() { cancel(errNotBegun) })
	return ctx, func() { timer.Stop() }
}

// notBegunFailure returns the failure of an attempt that was canceled with errNotBegun,
// and fail for any other attempt.
func notBegunFailure(ctx context.Context, fail *failure) *failure {
	if !errors.Is(context.Cause(ctx), errNotBegun) {
		return fail
	}
	// The cancellation says nothing about the endpoint's health, and the request may
	// have begun just before it.
	return &failure{result: balancer.ResultCanceled, mayHaveRun: true, sent: true, cause: errNotBegun}
}
