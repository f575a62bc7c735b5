package forwarder_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"flamingoledge.org/flamingoledge/internal/logger"
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

// TestAdviceIsCountedAndLogged checks that what an endpoint says about the requests that it
// accepts can be found in the metrics and the log, from its begin to its end.
func TestAdviceIsCountedAndLogged(t *testing.T) {
	tests := map[string]struct {
		answers []handler
		metric  string
		count   string
		// events are the names and the numbers of the log lines.
		events map[string]int
		// kept is the number of further requests that are kept from the endpoint.
		kept string
	}{
		"leaving": {
			answers: []handler{saying("Leaving", "1", respondWith("yes"))},
			metric:  "endpoints_leaving", count: "1", events: map[string]int{logger.EndpointLeaving.Name: 1}, kept: "1",
		},
		"backoff": {
			answers: []handler{saying("Backoff", "300ms", status(http.StatusServiceUnavailable, true))},
			metric:  "endpoint_backoffs", count: "1", events: map[string]int{logger.EndpointBackoff.Name: 1, logger.EndpointBackoffEnded.Name: 1}, kept: "1",
		},
		"limit": {
			answers: []handler{saying("Limit", "0.1", respondWith("yes")), respondWith("yes")},
			metric:  "endpoint_limits_changed", count: "1", events: map[string]int{logger.EndpointLimited.Name: 1}, kept: "1",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newTestForwarder(t, newEndpoint(t, inOrder(tt.answers...)))
			f.forwarder.DispatchWaiting(time.Now())
			f.call(t.Context(), t, "unsafe")
			is.Equal(f.call(t.Context(), t, "unsafe").status, http.StatusServiceUnavailable)
			is.Equal(metric(f, tt.metric), tt.count)
			is.Equal(metric(f, "requests_kept_from_endpoints"), tt.kept)
			for range 2 {
				f.forwarder.DispatchWaiting(time.Now().Add(2 * backoffLogDelay))
			}
			for event, n := range tt.events {
				is.Equal(f.logs.FilterMessage(event).Len(), n)
			}
		})
	}
}

// backoffLogDelay is longer than the end of a backoff takes to be logged.
const backoffLogDelay = time.Second
