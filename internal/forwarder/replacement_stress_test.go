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

// sendCounter counts the sends of each request.
type sendCounter struct {
	mu   sync.Mutex
	byID map[string]int
}

func (s *sendCounter) add(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID == nil {
		s.byID = map[string]int{}
	}
	s.byID[id]++
}

// max returns the largest number of sends of one request.
func (s *sendCounter) max() (largest int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.byID {
		largest = max(largest, n)
	}
	return largest
}

// randomPause returns a pause that is about as long as an endpoint may be silent.
func randomPause() time.Duration { return 700*time.Millisecond + rand.N(600*time.Millisecond) }

// answerAtRandom answers, fails, refuses or closes the connection after a pause.
func answerAtRandom(e *endpoint, w http.ResponseWriter, r *http.Request) {
	time.Sleep(randomPause() + 300*time.Millisecond)
	hs := []handler{
		status(http.StatusInternalServerError, false), abortAfter(""),
		status(http.StatusServiceUnavailable, true), respondWith(strings.Repeat("y", 100<<10)),
	}
	hs[rand.IntN(len(hs))](e, w, r)
}

// streamAtRandom sends six events with a pause somewhere, after which it may close the
// connection.
func streamAtRandom(_ *endpoint, w http.ResponseWriter, r *http.Request) {
	from := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event"), &from)
	stop := from + rand.IntN(7-from)
	w.Header().Set("Stamp", "s")
	for i := from + 1; i <= 6; i++ {
		if i == stop {
			time.Sleep(randomPause())
		}
		if i == stop && rand.IntN(3) == 0 {
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write([]byte(event(i)))
		_ = http.NewResponseController(w).Flush()
	}
}

// TestReplacementsFreeWhatTheyHold checks that many requests at endpoints that pause, fail and
// close at random times get events in order, are not sent too often and leave nothing behind.
func TestReplacementsFreeWhatTheyHold(t *testing.T) {
	const calls, maxAttempts = 120, 3
	is := is.New(t)
	var sends sendCounter
	h := func(e *endpoint, w http.ResponseWriter, r *http.Request) {
		sends.add(r.Header.Get("Id"))
		if strings.HasPrefix(r.URL.Path, "/whole/") {
			answerAtRandom(e, w, r)
		} else {
			streamAtRandom(e, w, r)
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
			isPart := strings.HasPrefix(events(1, 6), got.body)
			if route == "steady" && got.status == http.StatusOK && (!isPart || !got.aborted && got.body != events(1, 6)) {
				t.Errorf("r%d: %q, aborted %v", i, got.body, got.aborted)
			}
		})
		time.Sleep(25 * time.Millisecond)
	}
	wg.Wait()
	waitFor(t, func() bool { return f.forwarder.InFlight() == 0 })
	t.Logf("%d whole, %d cut, %d refused, %d failed; %s replacements, %s moved", whole.Load(), cut.Load(), refused.Load(), failed.Load(), metric(f, "replacements_sent"), metric(f, "attempts_moved"))
	is.True(sends.max() <= maxAttempts)
	is.Equal(f.forwarder.LargeAnswerBytes(), int64(0))
	is.Equal(f.forwarder.StartedRequests(), 0)
	is.Equal(f.forwarder.WatchedAttempts(), 0)
}
