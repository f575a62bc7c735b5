package forwarder_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// callerIdleTimeout is how long the callers of the test routes wait for an event.
const callerIdleTimeout = 2 * time.Second

// silentAfter sends the first bytes of a stream and then nothing, like an endpoint whose
// instance is suspended. It returns when its caller disconnects.
func silentAfter(prefix string) handler {
	return func(e *endpoint, w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		e.runs.Add(1)
		if prefix != "" {
			w.Header().Set("Stamp", "s")
			_, _ = io.WriteString(w, prefix)
			_ = http.NewResponseController(w).Flush()
		}
		select {
		case <-r.Context().Done():
			e.disconnected <- struct{}{}
		case <-time.After(testTimeout):
		}
	}
}

// TestCallersLeaveSuspendedEndpoint guards against callers that give up, and whose runs go
// on, because their requests stay with an endpoint that has fallen silent.
func TestCallersLeaveSuspendedEndpoint(t *testing.T) {
	tests := map[string]struct {
		route  string
		prefix string
		then   handler
		body   string
		// stays is set if the request may not run a second time.
		stays bool
	}{
		"before the first event":             {route: "steady", then: streamUpTo(6), body: events(1, 6)},
		"between events":                     {route: "steady", prefix: events(1, 2), then: streamUpTo(6), body: events(1, 6)},
		"within an event":                    {route: "steady", prefix: events(1, 2) + "id: 3\nda", then: streamUpTo(6), body: events(1, 6)},
		"safe request":                       {route: "whole", then: respondWith("yes"), body: "yes"},
		"stream that may not be resumed":     {route: "long", then: streamUpTo(6), stays: true},
		"answer that may not be asked again": {route: "unsafe", then: respondWith("yes"), stays: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var attempts atomic.Int32
			first := func(e *endpoint, w http.ResponseWriter, r *http.Request) {
				if attempts.Add(1) == 1 {
					silentAfter(tt.prefix)(e, w, r)
					return
				}
				tt.then(e, w, r)
			}
			a, b := newEndpoint(t, first), newEndpoint(t, first)
			f := newTestForwarder(t, a, b)
			dispatchWhileRunning(t, f)
			got := f.call(t.Context(), t, tt.route)
			if tt.stays {
				is.Equal(attempts.Load(), int32(1)) // not sent again
				return
			}
			is.Equal(got.status, http.StatusOK)
			is.Equal(got.aborted, false)
			is.Equal(got.body, tt.body)
			is.Equal(attempts.Load(), int32(2))
			is.True(got.elapsed < callerIdleTimeout) // before the caller gives up
			select {
			case <-a.disconnected:
			case <-b.disconnected:
			case <-time.After(testTimeout):
				t.Fatal("the silent endpoint was not told")
			}
		})
	}
}

// dispatchWhileRunning calls DispatchWaiting regularly until the test ends, as servers do.
func dispatchWhileRunning(t *testing.T, f *testForwarder) {
	t.Helper()
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(25 * time.Millisecond):
				f.forwarder.DispatchWaiting(time.Now())
			}
		}
	}()
}
