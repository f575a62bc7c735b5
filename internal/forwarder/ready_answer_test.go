package forwarder_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// failWith answers with a failure that has a body.
func failWith(body string) handler {
	return func(e *endpoint, w http.ResponseWriter, _ *http.Request) {
		e.runs.Add(1)
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = w.Write([]byte(body))
	}
}

// TestReadyAnswerIsDelivered guards against an endpoint's failure that is dropped for a retry
// which gets no answer.
func TestReadyAnswerIsDelivered(t *testing.T) {
	large := strings.Repeat("y", 100<<10)
	tests := map[string]struct {
		route    string
		handlers []handler
		status   int
		body     string
	}{
		"no other endpoint":           {route: "safe", handlers: []handler{failWith("no")}, status: 500, body: "no"},
		"large":                       {route: "safe", handlers: []handler{failWith(large)}, status: 500, body: large},
		"the other one closes":        {route: "safe", handlers: []handler{failWith("no"), abortAfter("")}, status: 500, body: "no"},
		"the other one refuses":       {route: "safe", handlers: []handler{failWith("no"), status(503, true)}, status: 500, body: "no"},
		"the other one hangs":         {route: "safe", handlers: []handler{failWith("no"), hangUntilDisconnect}, status: 500, body: "no"},
		"the other one fails, too":    {route: "safe", handlers: []handler{failWith(large), failWith("second")}, status: 500, body: "second"},
		"the other one answers":       {route: "safe", handlers: []handler{failWith(large), respondWith("yes")}, status: 200, body: "yes"},
		"replaced, which then closes": {route: "whole", handlers: []handler{afterPause(pauseLength+300*time.Millisecond, failWith("no")), afterPause(600*time.Millisecond, abortAfter(""))}, status: 500, body: "no"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := inOrder(tt.handlers...)
			var es []*endpoint
			for range tt.handlers {
				es = append(es, newEndpoint(t, h))
			}
			f := newTestForwarder(t, es...)
			dispatchWhileRunning(t, f)
			got := f.call(t.Context(), t, tt.route)
			is.Equal(got.status, tt.status)
			is.Equal(got.aborted, false)
			is.True(got.body == tt.body)
			waitFor(t, func() bool { return f.forwarder.InFlight() == 0 })
			is.Equal(f.forwarder.LargeAnswerBytes(), int64(0))
			is.Equal(f.forwarder.StartedRequests(), 0)
		})
	}
}
