package forwarder

import (
	"context"
	"errors"
	"time"

	"flamingoledge.org/flamingoledge/pkg/balancer"
)

const (
	// versionMargin is how long before the bound older versions get no new requests:
	// a request may wait in the endpoint for about as long as another one takes, and
	// processes learn of a version one after the other.
	versionMargin = 1200 * time.Millisecond
	// beginMargin is how long before the bound a request without a first piece is
	// taken back from an endpoint with an older version, which has to notice it.
	beginMargin = 300 * time.Millisecond
)

// errNotBegun is a request that still waited in an endpoint with an older version
// when that might not begin it any more.
var errNotBegun = errors.New("the endpoint has not begun, and its version is too old to begin now")

// leastVersion is the version of the call's model before which none may begin any
// more; 0 if all may.
func (f *Forwarder) leastVersion(c *call, now time.Time) (least uint64) {
	for _, v := range f.boundVersions(c) {
		if now.Sub(v.KnownSince) >= f.cfg.Bounds.Version-versionMargin {
			least = max(least, v.Version)
		}
	}
	return least
}

// boundVersions are the named versions of the call's model, where older ones have
// a bound.
func (f *Forwarder) boundVersions(c *call) []Version {
	if f.cfg.Bounds.Version <= 0 || c.engine == nil {
		return nil
	}
	return f.cfg.RoutingState().Versions[c.Model]
}

// untilBegun returns a context that ends when the endpoint's version may not begin
// the call any more, unless begun is called before: an endpoint under load may keep
// a request waiting for longer than versionMargin. A whole answer comes at the end of
// a run, so that nothing tells whether it has begun.
func (f *Forwarder) untilBegun(c *call, e balancer.Endpoint, now time.Time) (ctx context.Context, begun func()) {
	var by time.Time
	for _, v := range f.boundVersions(c) {
		at := v.KnownSince.Add(f.cfg.Bounds.Version - beginMargin)
		if v.Version > e.Version && (by.IsZero() || at.Before(by)) {
			by = at
		}
	}
	if by.IsZero() || !c.isStream() {
		return c.ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(c.ctx)
	t := time.AfterFunc(by.Sub(now), func() { cancel(errNotBegun) })
	return ctx, func() { t.Stop() }
}

// notBegunOr returns the failure of an attempt that was taken back, or fail for any
// other one.
func notBegunOr(ctx context.Context, fail *failure) *failure {
	if !errors.Is(context.Cause(ctx), errNotBegun) {
		return fail
	}
	// It says nothing of the endpoint, and nobody knows whether it began just now.
	return &failure{result: balancer.ResultLeft, mayHaveRun: true, sent: true, cause: errNotBegun}
}
