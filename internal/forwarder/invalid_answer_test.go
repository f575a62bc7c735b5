package forwarder_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"flamingoledge.org/flamingoledge/internal/forwarder"
	"flamingoledge.org/flamingoledge/pkg/balancer"
	"flamingoledge.org/flamingoledge/pkg/quarantiner"
	"flamingoledge.org/flamingoledge/pkg/resolver"
)

// respondRaw writes bytes to the connection as they are and lets end close it. ID stands
// for the request's ID.
func respondRaw(data string, end func(net.Conn)) handler {
	return func(e *endpoint, w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		e.runs.Add(1)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer func() { _ = conn.Close() }()
		if _, err = io.WriteString(conn, strings.ReplaceAll(data, "ID", r.Header.Get("Id"))); err == nil {
			end(conn)
		}
	}
}

// signedHead is the head of a success without the empty line that ends it.
const signedHead = "HTTP/1.1 200 OK\r\nId: ID\r\nStamp: s\r\n"

// endlessly writes a block again and again until the connection fails.
func endlessly(block string) func(net.Conn) {
	return func(conn net.Conn) {
		block := []byte(strings.Repeat(block, 1+(16<<10)/len(block)))
		_ = conn.SetDeadline(time.Now().Add(testTimeout))
		for {
			if _, err := conn.Write(block); err != nil {
				return
			}
		}
	}
}

// patientTimeout is a timeout that nothing but an answer without end reaches, also on a busy
// machine.
const patientTimeout = 30 * time.Second

// callPatiently calls a route with patientTimeout.
func (f *testForwarder) callPatiently(t *testing.T, route string, headers ...string) reply {
	t.Helper()
	cfg := configuration()
	for i := range cfg.Routes {
		cfg.Routes[i].Timeout = patientTimeout
	}
	f.updateState(func(s *forwarder.RoutingState) { s.Table = resolver.New(cfg) })
	return f.call(t.Context(), t, route, append(headers, "Deadline", patientTimeout.String())...)
}

// countingCrashes is a forwarder.CrashRegistry that counts probes.
type countingCrashes struct {
	noCrashes
	probes atomic.Int32
}

func (c *countingCrashes) StartProbe(string, []quarantiner.Key) func([]quarantiner.Key) {
	c.probes.Add(1)
	return func([]quarantiner.Key) {}
}

// firstThen returns a handler that serves its first request with first and others with then.
func firstThen(first, then handler) handler {
	var begun atomic.Bool
	return func(e *endpoint, w http.ResponseWriter, r *http.Request) {
		if begun.CompareAndSwap(false, true) {
			first(e, w, r)
			return
		}
		then(e, w, r)
	}
}

// TestInvalidAnswer checks that bytes which are no answer fail the attempt, that only requests
// that may be repeated go on elsewhere, and that they are no sign of a crash.
func TestInvalidAnswer(t *testing.T) {
	tests := map[string]handler{
		"endless status line":  respondRaw("HTTP/1.1 200 ", endlessly("x")),
		"endless header lines": respondRaw(signedHead, endlessly("A: x\r\n")),
		"endless garbage":      respondRaw("", endlessly("x\x00")),
		"garbage in chunks":    respondRaw(signedHead+"Transfer-Encoding: chunked\r\n\r\n", endlessly("x\r\n")),
	}
	routes := map[string]struct {
		then   handler
		status int
		body   string
		runs   int32
	}{
		"safe":   {then: respondWith("yes"), status: http.StatusOK, body: "yes", runs: 2},
		"stream": {then: streamUpTo(4), status: http.StatusOK, body: events(1, 4), runs: 2},
		"unsafe": {then: respondWith("yes"), status: http.StatusBadGateway, runs: 1},
		"once":   {then: streamUpTo(4), status: http.StatusBadGateway, runs: 1},
	}
	for name, h := range tests {
		for route, tc := range routes {
			t.Run(name+"/"+route, func(t *testing.T) {
				is := is.New(t)
				crashes := &countingCrashes{}
				h := firstThen(h, tc.then)
				a, b := newEndpoint(t, h), newEndpoint(t, h)
				f := newTestForwarderWithCrashes(t, crashes, a, b)
				got := f.callPatiently(t, route)
				is.Equal(got.status, tc.status)
				is.Equal(got.aborted, false)
				if tc.body != "" {
					is.Equal(got.body, tc.body)
				}
				is.Equal(a.runs.Load()+b.runs.Load(), tc.runs)
				is.Equal(crashes.probes.Load(), int32(0))
				is.True(got.elapsed < patientTimeout)
			})
		}
	}
}

const chunkedHead, unframedHead = signedHead + "Transfer-Encoding: chunked\r\n\r\n", signedHead + "\r\n"

// TestAnswerWithoutEnd checks that an answer which does not end is cut off and does not look
// complete.
func TestAnswerWithoutEnd(t *testing.T) {
	chunk := "1000\r\n" + strings.Repeat("x", 4<<10) + "\r\n"
	tests := map[string]firstAnswerTest{
		"chunks":                 {route: "unsafe", first: respondRaw(chunkedHead, endlessly(chunk)), want: reply{status: http.StatusBadGateway}, runs: 1},
		"until close":            {route: "unsafe", first: respondRaw(unframedHead, endlessly("x")), want: reply{status: http.StatusBadGateway}, runs: 1},
		"announced":              {route: "unsafe", first: respondRaw(signedHead+"Content-Length: 1099511627776\r\n\r\n", endlessly("x")), want: reply{status: http.StatusBadGateway}, runs: 1},
		"announced and not sent": {route: "unsafe", first: respondRaw(signedHead+"Content-Length: 1099511627776\r\n\r\n", untilClosed), want: reply{status: http.StatusBadGateway}, runs: 1},
		"failure":                {route: "unsafe", first: respondRaw("HTTP/1.1 500 Internal Server Error\r\nId: ID\r\n\r\n", endlessly("x")), want: reply{status: http.StatusBadGateway}, runs: 1},
		"may be repeated":        {route: "safe", first: respondRaw(chunkedHead, endlessly(chunk)), then: respondWith("yes"), want: reply{status: http.StatusOK, body: "yes"}, runs: 2},
	}
	for name, tc := range tests {
		t.Run(name, tc.run)
	}
}

// firstAnswerTest is a request whose first answer may be none.
type firstAnswerTest struct {
	route string
	first handler
	then  handler
	// want is the reply; its body is checked if it is not empty.
	want reply
	runs int32
	// probes is the number of probes for a crash.
	probes int32
}

func (tc firstAnswerTest) run(t *testing.T) {
	is := is.New(t)
	crashes := &countingCrashes{}
	h := firstThen(tc.first, tc.then)
	a, b := newEndpoint(t, h), newEndpoint(t, h)
	f := newTestForwarderWithCrashes(t, crashes, a, b)
	got := f.callPatiently(t, tc.route)
	is.Equal(got.status, tc.want.status)
	is.Equal(got.aborted, tc.want.aborted)
	if tc.want.body != "" {
		is.Equal(got.body, tc.want.body)
	}
	is.Equal(a.runs.Load()+b.runs.Load(), tc.runs)
	is.Equal(crashes.probes.Load(), tc.probes)
	is.True(got.elapsed < patientTimeout)
}

// untilClosed sends nothing more until the connection is closed.
func untilClosed(conn net.Conn) {
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	_, _ = io.Copy(io.Discard, conn)
}

// TestLargeAnswers checks that large answers which are held at the same time leave memory for
// each other's entry, that others are served meanwhile, and that they are served again
// afterwards.
func TestLargeAnswers(t *testing.T) {
	const largeBytes, largeAnswers = 2 << 20, 12
	is := is.New(t)
	release := make(chan struct{})
	large := strings.Repeat("x", largeBytes)
	h := func(e *endpoint, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Stamp", "s")
		if r.Header.Get("Size") == "" {
			respondWith("small")(e, w, r)
			return
		}
		_, _ = io.WriteString(w, large)
		_ = http.NewResponseController(w).Flush()
		if r.Header.Get("Size") == "held" {
			select {
			case <-release:
			case <-r.Context().Done():
			}
		}
		_, _ = io.WriteString(w, "end")
	}
	a, b := newEndpoint(t, h), newEndpoint(t, h)
	f := newTestForwarder(t, a, b)
	setEndpoints := func(bReady bool) {
		f.forwarder.SetEndpoints("s", []balancer.Endpoint{
			{ID: "e0", Address: a.server.Listener.Addr().String(), Slots: 4 * largeAnswers, Ready: !bReady},
			{ID: "e1", Address: b.server.Listener.Addr().String(), Slots: 4, Ready: bReady},
		})
	}
	setEndpoints(false)
	// No time may run out, also on a busy machine.
	cfg := configuration()
	for i := range cfg.Routes {
		cfg.Routes[i].Timeout, cfg.Routes[i].Objective = patientTimeout, patientTimeout
	}
	call := func(route, size string) reply {
		return f.call(t.Context(), t, route, "Size", size, "Deadline", patientTimeout.String())
	}
	f.updateState(func(s *forwarder.RoutingState) { s.Table = resolver.New(cfg) })
	replies := make(chan reply, largeAnswers)
	for range largeAnswers {
		go func() { replies <- call("whole", "held") }()
	}
	// Each answer that is not refused is held with its full buffer in the end.
	const heldBytes = forwarder.MaxAnswerBytes - forwarder.FreeAnswerBytes
	refused := 0
	deadline := time.After(patientTimeout)
	for f.forwarder.LargeAnswerBytes() != int64(largeAnswers-refused)*heldBytes {
		select {
		case got := <-replies:
			is.Equal(got.status, http.StatusBadGateway)
			refused++
		case <-time.After(10 * time.Millisecond):
		case <-deadline:
			t.Fatalf("the answers hold %d bytes, %d of them refused", f.forwarder.LargeAnswerBytes(), refused)
		}
	}
	is.True(refused > 0)
	is.True(refused < largeAnswers)
	setEndpoints(true) // the other one counts as late
	got := call("unsafe", "")
	is.Equal(got.status, http.StatusOK)
	is.Equal(got.body, "small")
	close(release)
	for range largeAnswers - refused {
		got = <-replies
		is.Equal(got.status, http.StatusOK)
		is.Equal(len(got.body), largeBytes+len("end"))
	}
	got = call("whole", "large")
	is.Equal(got.status, http.StatusOK)
	is.Equal(got.body, large+"end")
}
