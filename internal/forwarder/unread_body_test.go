package forwarder_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"expvar"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/receiver"
)

// largeBodyBytes is the body limit of the test's forwarder.
const largeBodyBytes = 1 << 20

// serve serves a forwarder with limits for its callers and returns its address.
func (f *testForwarder) serve(t *testing.T, limits receiver.Limits) string {
	t.Helper()
	r := receiver.New(receiver.Config{Limits: limits, Copies: 1, Logger: zap.NewNop(), Metrics: new(expvar.Map).Init()})
	server := httptest.NewUnstartedServer(f.forwarder)
	server.Listener = r.Listener(server.Listener)
	r.Attach(server.Config)
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// TestUnreadBodies guards against requests whose body is not read to its end that get no answer, or one
// that does not promise that they have not run.
func TestUnreadBodies(t *testing.T) {
	const head = "Host: h\r\nId: r1\r\nDeadline: 500ms\r\n"
	tests := map[string]struct {
		request string
		// held is the size of the body of another request, which is running.
		held, status int
		code         string
		retryAfter   bool
	}{
		"announced over the limit":             {request: "Content-Length: 1048577\r\n\r\n", status: 413, code: "body_too_large"},
		"announced over the limit, and waited": {request: "Content-Length: 1048577\r\nExpect: 100-continue\r\n\r\n", status: 413, code: "body_too_large"},
		"sent over the limit":                  {request: "Transfer-Encoding: chunked\r\n\r\n100001\r\n" + string(bytes.Repeat([]byte("x"), largeBodyBytes+1)), status: 413, code: "body_too_large"},
		"stops before the end":                 {request: "Content-Length: 10\r\n\r\nhello", status: 408, code: "body_timeout"},
		"stops before the end of a chunk":      {request: "Transfer-Encoding: chunked\r\n\r\n6\r\nhello", status: 408, code: "body_timeout"},
		"stops between chunks":                 {request: "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", status: 408, code: "body_timeout"},
		"no memory":                            {request: "Content-Length: 600000\r\n\r\n" + string(bytes.Repeat([]byte("x"), 600_000)), held: largeBodyBytes, status: 503, code: "no_memory", retryAfter: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var runs atomic.Int32
			running, end := make(chan struct{}), make(chan struct{})
			f := newTestForwarder(t, newEndpoint(t, func(_ *endpoint, _ http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Id") == "r0" {
					close(running)
					<-end
					return
				}
				runs.Add(1)
			}))
			t.Cleanup(func() { close(end) })
			// The part that is not reserved for small requests is one and a half times the largest body.
			address := f.serve(t, receiver.Limits{MemoryBytes: 2 * largeBodyBytes, MaxConns: 10, StallTime: 100 * time.Millisecond})
			if tc.held > 0 {
				other := dial(t, address)
				_, err := io.WriteString(other, "POST /long/1 HTTP/1.1\r\nHost: h\r\nId: r0\r\nDeadline: 10s\r\nContent-Length: "+strconv.Itoa(tc.held)+"\r\n\r\n")
				is.NoErr(err)
				_, err = other.Write(bytes.Repeat([]byte("x"), tc.held))
				is.NoErr(err)
				<-running
			}
			conn := dial(t, address)
			go func() { _, _ = io.WriteString(conn, "POST /unsafe/1 HTTP/1.1\r\n"+head+tc.request) }()
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			defer func() { _ = resp.Body.Close() }()
			is.Equal(resp.StatusCode, tc.status)
			is.True(resp.Close) // the connection can't be used again
			var problem struct {
				Error struct {
					Code string `json:"code"`
				} `json:"error"`
			}
			is.NoErr(json.NewDecoder(resp.Body).Decode(&problem))
			is.Equal(problem.Error.Code, tc.code)
			is.Equal(resp.Header.Get("Retry-After") != "", tc.retryAfter)
			_, err = io.Copy(io.Discard, conn)
			is.True(err == nil || !isTimeout(err)) // the connection is closed
			is.Equal(runs.Load(), int32(0))
		})
	}
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	return conn
}

// TestRefusalReachesSender guards against a refusal that is lost because its connection is reset while the
// caller sends the rest of the request.
func TestRefusalReachesSender(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newTestForwarder(t, newEndpoint(t, respondWith("yes")))
	conn := dial(t, f.serve(t, receiver.Limits{MemoryBytes: 2 * largeBodyBytes, MaxConns: 10, StallTime: 100 * time.Millisecond}))
	// More than the buffers of both sides hold.
	const size = 12 << 20
	_, err := io.WriteString(conn, "POST /unsafe/1 HTTP/1.1\r\nHost: h\r\nId: r1\r\nDeadline: 3s\r\nContent-Length: "+strconv.Itoa(size)+"\r\n\r\n")
	is.NoErr(err)
	_, err = conn.Write(make([]byte, size))
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
}

// TestLargeBodyArrivesUnchanged guards against parts of a body that are lost, repeated or swapped.
func TestLargeBodyArrivesUnchanged(t *testing.T) {
	t.Parallel()
	want := make([]byte, largeBodyBytes)
	for i := range want {
		want[i] = byte(i * i >> 7)
	}
	for name, size := range map[string]int{"empty": 0, "one part": 1000, "edge of a part": 1024, "some parts": 30_000, "large": largeBodyBytes - 1, "largest": largeBodyBytes} {
		for framing, head := range map[string]string{"length": "Content-Length: " + strconv.Itoa(size) + "\r\n\r\n", "chunks": "Transfer-Encoding: chunked\r\n\r\n"} {
			t.Run(name+" with "+framing, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				f := newTestForwarder(t, newEndpoint(t, func(e *endpoint, w http.ResponseWriter, r *http.Request) {
					got, err := io.ReadAll(r.Body)
					is.NoErr(err)
					is.True(bytes.Equal(got, want[:size]))
					respondWith("yes")(e, w, r)
				}))
				conn := dial(t, f.serve(t, receiver.Limits{MemoryBytes: 2 << 20, MaxConns: 10, StallTime: time.Second}))
				var b bytes.Buffer
				b.WriteString("POST /unsafe/1 HTTP/1.1\r\nHost: h\r\nId: r1\r\nDeadline: 3s\r\n" + head)
				if framing == "length" {
					b.Write(want[:size])
				} else {
					for rest := want[:size]; len(rest) > 0; {
						n := min(len(rest), 70_001)
						b.WriteString(strconv.FormatInt(int64(n), 16) + "\r\n" + string(rest[:n]) + "\r\n")
						rest = rest[n:]
					}
					b.WriteString("0\r\n\r\n")
				}
				go func() { _, _ = conn.Write(b.Bytes()) }()
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				is.NoErr(err)
				defer func() { _ = resp.Body.Close() }()
				is.Equal(resp.StatusCode, http.StatusOK)
			})
		}
	}
}
