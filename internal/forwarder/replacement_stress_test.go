package forwarder_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestReplacementsFreeWhatTheyHold checks that many requests at endpoints that pause, fail and
// close at random times get events in order, are not sent too often and leave nothing behind.
func TestReplacementsFreeWhatTheyHold(t *testing.T) {
	const calls, maxAttempts = 120, 3
	is := is.New(t)
	around := func() time.Duration { return 700*time.Millisecond + rand.N(600*time.Millisecond) }
	var mu sync.Mutex
	sends := map[string]int{}
	h := func(e *endpoint, w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		sends[r.Header.Get("Id")]++
		mu.Unlock()
		if strings.HasPrefix(r.URL.Path, "/whole/") {
			time.Sleep(around() + 300*time.Millisecond)
			switch rand.IntN(4) {
			case 0:
				status(http.StatusInternalServerError, false)(e, w, r)
			case 1:
				abortAfter("")(e, w, r)
			case 2:
				status(http.StatusServiceUnavailable, true)(e, w, r)
			default:
				respondWith(strings.Repeat("y", 100<<10))(e, w, r)
			}
			return
		}
		from := 0
		_, _ = fmt.Sscan(r.Header.Get("Last-Event"), &from)
		stop := from + rand.IntN(7-from)
		w.Header().Set("Stamp", "s")
		for i := from + 1; i <= 6; i++ {
			if i == stop {
				time.Sleep(around())
			}
			if r.Context().Err() != nil {
				return
			}
			if i == stop && rand.IntN(3) == 0 {
				panic(http.ErrAbortHandler)
			}
			_, _ = w.Write([]byte(event(i)))
			_ = http.NewResponseController(w).Flush()
		}
	}
	f := newTestForwarder(t, newEndpoint(t, h), newEndpoint(t, h), newEndpoint(t, h), newEndpoint(t, h), newEndpoint(t, h), newEndpoint(t, h), newEndpoint(t, h), newEndpoint(t, h))
	setMaxAttempts(f, maxAttempts)
	dispatchWhileRunning(t, f)
	var whole, cut, refused, failed atomic.Int32
	var wg sync.WaitGroup
	for i := range calls {
		route := "steady"
		if i%2 == 0 {
			route = "whole"
		}
		wg.Go(func() {
			got := f.call(t.Context(), t, route, "Id", fmt.Sprint("r", i), "Deadline", "5s")
			switch {
			case got.status == http.StatusServiceUnavailable:
				refused.Add(1)
			case got.status != http.StatusOK:
				failed.Add(1)
			case got.aborted:
				cut.Add(1)
			default:
				whole.Add(1)
			}
			if route == "steady" && got.status == http.StatusOK {
				if !strings.HasPrefix(events(1, 6), got.body) || !got.aborted && got.body != events(1, 6) {
					t.Errorf("r%d: %q, aborted %v", i, got.body, got.aborted)
				}
			}
		})
		time.Sleep(25 * time.Millisecond)
	}
	wg.Wait()
	waitFor(t, func() bool { return f.forwarder.InFlight() == 0 })
	t.Logf("%d whole, %d cut, %d refused, %d failed; %s replacements, %s moved", whole.Load(), cut.Load(), refused.Load(), failed.Load(), metric(f, "replacements_sent"), metric(f, "attempts_moved"))
	mu.Lock()
	defer mu.Unlock()
	for id, n := range sends {
		if n > maxAttempts {
			t.Errorf("%s was sent %d times", id, n)
		}
	}
	is.Equal(f.forwarder.LargeAnswerBytes(), int64(0))
	is.Equal(f.forwarder.StartedRequests(), 0)
	is.Equal(f.forwarder.WatchedAttempts(), 0)
}
