package forwarder_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"flamingoledge.org/flamingoledge/internal/logger"
)

// TestHandlerPanicIsAnswered guards against connections that close with neither an answer nor
// a line in the log.
func TestHandlerPanicIsAnswered(t *testing.T) {
	tests := map[string]struct {
		route   string
		handler handler
		// panics is set if the first read of the routing state panics.
		panics  bool
		status  int
		aborted bool
		logged  int
		counted string
	}{
		"fault of the program":   {route: "safe", handler: respondWith("yes"), panics: true, status: http.StatusBadGateway, logged: 1, counted: "1"},
		"stream that is cut off": {route: "once", handler: abortAfter(events(1, 2)), status: http.StatusOK, aborted: true, counted: "0"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newTestForwarder(t, newEndpoint(t, tt.handler))
			if tt.panics {
				f.onStateRead = func() {
					f.onStateRead = nil
					panic("test")
				}
			}
			got := f.call(t.Context(), t, tt.route)
			is.Equal(got.status, tt.status)
			is.Equal(got.aborted, tt.aborted)
			is.Equal(f.logs.FilterMessage(logger.HandlerPanicked.Name).Len(), tt.logged)
			is.Equal(metric(f, "handler_panics"), tt.counted)
		})
	}
}
