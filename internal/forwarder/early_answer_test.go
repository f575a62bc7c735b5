package forwarder_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"flamingoledge.org/flamingoledge/internal/forwarder"
	"flamingoledge.org/flamingoledge/pkg/resolver"
)

// respondEarly is respondRaw without reading the body.
func respondEarly(data string, end func(net.Conn)) handler {
	return func(e *endpoint, w http.ResponseWriter, r *http.Request) {
		e.runs.Add(1)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, strings.ReplaceAll(data, "ID", r.Header.Get("Id")))
		end(conn)
	}
}

// resetAfter waits and resets a connection.
func resetAfter(delay time.Duration) func(net.Conn) {
	return func(conn net.Conn) {
		time.Sleep(delay)
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// readOnAndReset reads a part of the upload and resets the connection.
func readOnAndReset(conn net.Conn) {
	_, _ = io.CopyN(io.Discard, conn, 300<<10)
	resetAfter(0)(conn)
}

// TestEarlyAnswerIsNotCutOff guards against answers that an endpoint sends while it is sent a long upload,
// and that look complete to callers though the endpoint reset the connection.
func TestEarlyAnswerIsNotCutOff(t *testing.T) {
	const uploadBytes, repetitions = 3 << 20, 12
	part := strings.Repeat("x", 10_000)
	ends := map[string]func(net.Conn){"at once": resetAfter(0), "80 ms later": resetAfter(80 * time.Millisecond), "after a part of the upload": readOnAndReset}
	routes := map[string]struct {
		data   string
		then   handler
		status int
		body   string
		// aborted is set if the answer may be broken off instead.
		aborted bool
	}{
		"safe":   {data: part, then: respondWith("yes"), status: http.StatusOK, body: "yes"},
		"unsafe": {data: part, status: http.StatusBadGateway},
		"stream": {data: events(1, 4), then: streamUpTo(6), status: http.StatusOK, body: events(1, 6)},
		"once":   {data: events(1, 4), status: http.StatusBadGateway, aborted: true},
	}
	for name, end := range ends {
		for route, tc := range routes {
			t.Run(name+"/"+route, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				var f *testForwarder
				for range repetitions {
					h := firstThen(respondEarly(unframedHead+tc.data, end), tc.then)
					f = newTestForwarder(t, newEndpoint(t, h), newEndpoint(t, h))
					cfg := configuration()
					cfg.Limits.MaxBodyBytes = uploadBytes
					for i := range cfg.Routes {
						cfg.Routes[i].Timeout = patientTimeout
					}
					f.updateState(func(s *forwarder.RoutingState) { s.Table = resolver.New(cfg) })
					got := f.callWithBody(t.Context(), t, route, strings.Repeat("x", uploadBytes), "Deadline", patientTimeout.String())
					if tc.aborted && got.aborted {
						continue
					}
					is.Equal(got.status, tc.status)
					is.Equal(got.aborted, false)
					if tc.body != "" {
						is.Equal(got.body, tc.body)
					}
				}
			})
		}
	}
}
