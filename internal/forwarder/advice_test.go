package forwarder_test

import (
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// saying answers like next, with a header by which the endpoint says something about itself.
func saying(header, value string, next handler) handler {
	return func(e *endpoint, w http.ResponseWriter, r *http.Request) {
		w.Header().Set(header, value)
		next(e, w, r)
	}
}

// TestAnswersThatKeepRequestsAway checks that an endpoint gets no more requests after an
// answer by which it accepts none, whatever the answer is otherwise.
func TestAnswersThatKeepRequestsAway(t *testing.T) {
	failing := func(e *endpoint, w http.ResponseWriter, _ *http.Request) {
		e.runs.Add(1)
		w.WriteHeader(http.StatusInternalServerError)
	}
	tests := map[string]handler{
		"leaving, in an answer":  saying("Leaving", "1", respondWith("yes")),
		"leaving, in a stream":   saying("Leaving", "1", streamUpTo(2)),
		"leaving, in a failure":  saying("Leaving", "1", failing),
		"leaving, in a refusal":  saying("Leaving", "1", status(http.StatusServiceUnavailable, true)),
		"backoff":                saying("Backoff", "10s", status(http.StatusServiceUnavailable, true)),
		"backoff, may have run":  saying("Backoff", "10s", status(http.StatusServiceUnavailable, false)),
		"leaving, in a redirect": saying("Leaving", "1", status(http.StatusFound, false)),
	}
	for name, first := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			asked := 0
			leaving := newEndpoint(t, func(e *endpoint, w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				asked++
				first(e, w, r)
			})
			f := newTestForwarder(t, leaving)
			f.call(t.Context(), t, "stream")
			is.Equal(asked, 1)
			for range 3 {
				got := f.call(t.Context(), t, "stream")
				is.Equal(got.status, http.StatusServiceUnavailable)
				is.True(got.header.Get("Retry-After") != "")
			}
			is.Equal(asked, 1)
		})
	}
}
