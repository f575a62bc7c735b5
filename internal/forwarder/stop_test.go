package forwarder_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"flamingoledge.org/flamingoledge/internal/forwarder"
	"flamingoledge.org/flamingoledge/pkg/balancer"
	"flamingoledge.org/flamingoledge/pkg/quiescer"
	"flamingoledge.org/flamingoledge/pkg/resolver"
)

// TestStopLimitsFurtherAttempts guards against attempts that begin during a stop, after a wait or
// another attempt, and are cut off at its end.
func TestStopLimitsFurtherAttempts(t *testing.T) {
	// stop is too short for any answer that is not certain.
	stop := func(f *testForwarder) {
		f.forwarder.StartDraining(quiescer.New(quiescer.Config{Grace: 10 * time.Millisecond}, time.Now()))
	}
	tests := map[string]struct {
		route string
		// first answers at the first endpoint, after the stop has begun.
		first      handler
		wantStatus int
		wantCut    bool
	}{
		"retry":                    {route: "safe", first: status(http.StatusServiceUnavailable, true), wantStatus: http.StatusServiceUnavailable},
		"retry of what may repeat": {route: "safe", first: abortAfter(""), wantStatus: http.StatusBadGateway},
		"runs once only":           {route: "unsafe", first: status(http.StatusTooManyRequests, true), wantStatus: http.StatusServiceUnavailable},
		"resumed stream":           {route: "stream", first: abortAfter(event(1)), wantCut: true},
		"an answer that is ready":  {route: "unsafe", first: respondWith("answer"), wantStatus: http.StatusOK},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var f *testForwarder
			other := newEndpoint(t, streamUpTo(3))
			e := newEndpoint(t, func(e *endpoint, w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				f.forwarder.SetEndpoints("s", []balancer.Endpoint{{ID: "e1", Address: other.server.Listener.Addr().String(), Slots: 4, Ready: true}})
				stop(f)
				tc.first(e, w, r)
			})
			f = newTestForwarder(t, e)
			got := f.call(t.Context(), t, tc.route)
			is.Equal(got.aborted, tc.wantCut)
			if !tc.wantCut {
				is.Equal(got.status, tc.wantStatus)
			}
			is.Equal(other.runs.Load(), int32(0))
			waitFor(t, func() bool { return f.forwarder.InFlight() == 0 })
			is.Equal(f.forwarder.StartedRequests(), 0)
		})
	}
}

// TestStopRefusesQueuedRequests guards against queued requests that wait for a slot during a stop
// although they can't be answered before its end, and are closed without an answer then.
func TestStopRefusesQueuedRequests(t *testing.T) {
	is := is.New(t)
	received := make(chan struct{}, 2)
	e := newEndpoint(t, func(e *endpoint, w http.ResponseWriter, r *http.Request) {
		received <- struct{}{}
		hangUntilDisconnect(e, w, r)
	})
	f := newTestForwarder(t, e)
	cfg := configuration()
	for i := range cfg.Routes {
		cfg.Routes[i].Timeout, cfg.Routes[i].Objective = testTimeout, testTimeout
	}
	f.updateState(func(s *forwarder.RoutingState) { s.Table = resolver.New(cfg) })
	f.forwarder.SetEndpoints("s", []balancer.Endpoint{{ID: "e0", Address: e.server.Listener.Addr().String(), Slots: 1, Ready: true}})
	go f.call(t.Context(), t, "unsafe", "Deadline", testTimeout.String())
	<-received
	replies := make(chan reply, 1)
	go func() { replies <- f.call(t.Context(), t, "unsafe", "Deadline", testTimeout.String()) }()
	waitFor(t, func() bool { return f.forwarder.InFlight() == 2 })
	time.Sleep(50 * time.Millisecond) // until it is queued
	stoppedAt := time.Now()
	f.forwarder.StartDraining(quiescer.New(quiescer.Config{Grace: time.Second}, stoppedAt))
	got := <-replies
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(got.header.Get("Retry-After") != "")
	is.True(time.Since(stoppedAt) < testTimeout/4) // refused at once
	is.Equal(len(received), 0)
}
