package forwarder_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"flamingoledge.org/flamingoledge/internal/forwarder"
	"flamingoledge.org/flamingoledge/pkg/resolver"
)

// pauseLength is a silence after which a sound endpoint goes on.
const pauseLength = 1100 * time.Millisecond

// pauseOnce sends the first bytes of an answer, and the rest after a pause.
func pauseOnce(before, after string, pause time.Duration) handler {
	return func(e *endpoint, w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		e.runs.Add(1)
		w.Header().Set("Stamp", "s")
		if before != "" {
			_, _ = io.WriteString(w, before)
			_ = http.NewResponseController(w).Flush()
		}
		select {
		case <-time.After(pause):
			_, _ = io.WriteString(w, after)
		case <-r.Context().Done():
			e.disconnected <- struct{}{}
		}
	}
}

// inOrder runs the n-th request with the n-th handler, and further ones with the last.
func inOrder(handlers ...handler) handler {
	var n atomic.Int32
	return func(e *endpoint, w http.ResponseWriter, r *http.Request) {
		handlers[min(int(n.Add(1)), len(handlers))-1](e, w, r)
	}
}

// TestMoveLosesRunningAnswer guards against callers that lose an answer whose endpoint
// pauses, because it is given up before another endpoint can go on with it.
func TestMoveLosesRunningAnswer(t *testing.T) {
	seconds := map[string]handler{
		"refuses":       status(http.StatusServiceUnavailable, true),
		"fails":         status(http.StatusInternalServerError, false),
		"closes":        abortAfter(""),
		"breaks off":    abortAfter("id: 3\nda"),
		"stays silent":  hangUntilDisconnect,
		"is not signed": func(_ *endpoint, w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, event(3)) },
		"denies":        status(http.StatusNotFound, false),
	}
	tests := map[string]struct {
		route string
		first handler
		body  string
	}{
		"stream between events":         {route: "steady", first: pauseOnce(events(1, 2), events(3, 6), pauseLength), body: events(1, 6)},
		"stream within an event":        {route: "steady", first: pauseOnce(events(1, 2)+"id: 3\nda", "ta: piece 3\n\n"+events(4, 6), pauseLength), body: events(1, 6)},
		"stream before its first event": {route: "steady", first: pauseOnce("", events(1, 6), pauseLength), body: events(1, 6)},
		"whole answer":                  {route: "whole", first: pauseOnce("", "yes", pauseLength+300*time.Millisecond), body: "yes"},
	}
	for name, tt := range tests {
		for second, h := range seconds {
			t.Run(name+", second endpoint "+second, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				h := inOrder(tt.first, h)
				a, b := newEndpoint(t, h), newEndpoint(t, h)
				f := newTestForwarder(t, a, b)
				dispatchWhileRunning(t, f)
				got := f.call(t.Context(), t, tt.route)
				is.Equal(got.status, http.StatusOK)
				is.Equal(got.aborted, false)
				is.Equal(got.body, tt.body)
			})
		}
	}
}

// TestReplacementEndsWhenEndpointGoesOn guards against runs that go on for nobody.
func TestReplacementEndsWhenEndpointGoesOn(t *testing.T) {
	is := is.New(t)
	h := inOrder(pauseOnce(events(1, 2), events(3, 6), pauseLength), hangUntilDisconnect)
	a, b := newEndpoint(t, h), newEndpoint(t, h)
	f := newTestForwarder(t, a, b)
	dispatchWhileRunning(t, f)
	got := f.call(t.Context(), t, "steady")
	is.Equal(got.body, events(1, 6))
	is.Equal(a.runs.Load()+b.runs.Load(), int32(2))
	is.Equal(metric(f, "replacements_sent"), "1")
	is.Equal(metric(f, "attempts_moved"), "0")
	select {
	case <-a.disconnected:
	case <-b.disconnected:
	case <-time.After(testTimeout):
		t.Fatal("the replacement was not told")
	}
	is.Equal(f.forwarder.InFlight(), int64(0))
}

// TestSendsAreBoundedWithReplacements guards against more sends than a route allows, and against
// answers that are withheld, where endpoints pause and replacements fail.
func TestSendsAreBoundedWithReplacements(t *testing.T) {
	breakOff := func(e *endpoint, w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		e.runs.Add(1)
		w.Header().Set("Stamp", "s")
		_, _ = io.WriteString(w, events(1, 2))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(pauseLength)
		panic(http.ErrAbortHandler)
	}
	failLate := func(e *endpoint, w http.ResponseWriter, r *http.Request) {
		time.Sleep(pauseLength + 300*time.Millisecond)
		status(http.StatusInternalServerError, false)(e, w, r)
	}
	tests := map[string]struct {
		route    string
		attempts int
		handlers []handler
		status   int
		body     string
		aborted  bool
		sends    int32
	}{
		"the limit is reached":        {route: "steady", attempts: 2, handlers: []handler{breakOff, abortAfter(""), streamUpTo(6)}, status: 200, aborted: true, body: events(1, 2), sends: 2},
		"a third one is allowed":      {route: "steady", attempts: 3, handlers: []handler{breakOff, abortAfter(""), streamUpTo(6)}, status: 200, body: events(1, 6), sends: 3},
		"both fail":                   {route: "whole", attempts: 2, handlers: []handler{failLate, abortAfter(""), respondWith("yes")}, status: 500, sends: 2},
		"replaced twice":              {route: "steady", attempts: 3, handlers: []handler{silentAfter(events(1, 2)), silentAfter(events(3, 4)), streamUpTo(6)}, status: 200, body: events(1, 6), sends: 3},
		"replacement ends the answer": {route: "steady", attempts: 2, handlers: []handler{breakOff, pauseOnce("", events(3, 6), 500*time.Millisecond)}, status: 200, body: events(1, 6), sends: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var sends atomic.Int32
			next := inOrder(tt.handlers...)
			h := func(e *endpoint, w http.ResponseWriter, r *http.Request) {
				sends.Add(1)
				next(e, w, r)
			}
			f := newTestForwarder(t, newEndpoint(t, h), newEndpoint(t, h), newEndpoint(t, h))
			cfg := configuration()
			for i := range cfg.Routes {
				cfg.Routes[i].MaxAttempts = tt.attempts
			}
			f.updateState(func(s *forwarder.RoutingState) { s.Table = resolver.New(cfg) })
			dispatchWhileRunning(t, f)
			got := f.call(t.Context(), t, tt.route, "Deadline", "5s")
			is.Equal(got.status, tt.status)
			is.Equal(got.aborted, tt.aborted)
			is.Equal(got.body, tt.body)
			is.Equal(sends.Load(), tt.sends)
		})
	}
}

const (
	largeEventBytes  = 32 << 10
	largeEvents      = 40
	socketBufferSize = 64 << 10
)

// TestSlowCallerIsNoSilentEndpoint guards against moving a sound stream whose caller does not
// read for a while.
func TestSlowCallerIsNoSilentEndpoint(t *testing.T) {
	is := is.New(t)
	var want strings.Builder
	for i := range largeEvents {
		_, _ = fmt.Fprintf(&want, "id: %d\ndata: %s\n\n", i+1, strings.Repeat("x", largeEventBytes))
	}
	h := respondWith(want.String())
	a, b := newEndpoint(t, h), newEndpoint(t, h)
	f := newTestForwarder(t, a, b)
	dispatchWhileRunning(t, f)
	server := httptest.NewUnstartedServer(f.forwarder)
	server.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		_ = c.(*net.TCPConn).SetWriteBuffer(socketBufferSize)
		return ctx
	}
	server.Start()
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	is.NoErr(conn.(*net.TCPConn).SetReadBuffer(socketBufferSize))
	_, err = io.WriteString(conn, "POST /steady/1 HTTP/1.1\r\nHost: h\r\nId: r1\r\nDeadline: 5s\r\nContent-Length: 0\r\n\r\n")
	is.NoErr(err)
	time.Sleep(callerIdleTimeout)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.True(string(body) == want.String())
	is.Equal(a.runs.Load()+b.runs.Load(), int32(1))
}
