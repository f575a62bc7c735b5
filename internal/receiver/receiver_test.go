package receiver_test

import (
	"bufio"
	"context"
	"errors"
	"expvar"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"flamingoledge.org/flamingoledge/internal/configurator"
	"flamingoledge.org/flamingoledge/internal/receiver"
)

const testTimeout = 10 * time.Second

// server is an HTTP server that reads the bodies of requests.
type server struct {
	address  string
	metrics  *expvar.Map
	logs     *observer.ObservedLogs
	handled  atomic.Int32
	receiver *receiver.Receiver
}

func startServer(t *testing.T, limits receiver.Limits, idleTime time.Duration) *server {
	t.Helper()
	core, logs := observer.New(zap.InfoLevel)
	s := &server{metrics: new(expvar.Map).Init(), logs: logs}
	s.receiver = receiver.New(receiver.Config{
		Limits: limits, Copies: 1, IdleTime: func() time.Duration { return idleTime }, Logger: zap.New(core), Metrics: s.metrics,
	})
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = lis.Addr().String()
	hs := &http.Server{ReadHeaderTimeout: testTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, err := receiver.FromContext(r.Context()).ReadBody(r.Body, r.ContentLength, 1<<20)
		if err != nil {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer b.Release()
		s.handled.Add(1)
		_, _ = io.WriteString(w, "yes")
	})}
	s.receiver.Attach(hs)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = hs.Serve(s.receiver.Listener(lis)) })
	wg.Go(func() { s.receiver.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		_ = hs.Close()
		wg.Wait()
	})
	return s
}

func (s *server) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	return conn
}

func (s *server) gauge(name string) string { return s.metrics.Get(name).String() }

const request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"

// isServed sends a request and reports whether it is answered with success.
func isServed(conn net.Conn, br *bufio.Reader) bool {
	if _, err := io.WriteString(conn, request); err != nil {
		return false
	}
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
}

// TestUnusedConnectionsGiveWay guards against callers that can't connect because others keep
// connections open, and against an account that is wrong after the connections have ended.
func TestUnusedConnectionsGiveWay(t *testing.T) {
	const maxConns = 16
	tests := map[string]struct {
		use    func(t *testing.T, conn net.Conn)
		metric string
	}{
		"silent": {use: func(*testing.T, net.Conn) {}, metric: "callers_evicted_stalled"},
		"half head": {use: func(_ *testing.T, conn net.Conn) {
			_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nA: "+strings.Repeat("x", 5000))
		}, metric: "callers_evicted_stalled"},
		"half body": {use: func(_ *testing.T, conn net.Conn) { _, _ = io.WriteString(conn, strings.TrimSuffix(request, "i")) }, metric: "callers_evicted_stalled"},
		"idle": {use: func(t *testing.T, conn net.Conn) {
			t.Helper()
			if !isServed(conn, bufio.NewReader(conn)) {
				t.Error("not served")
			}
		}, metric: "callers_evicted_idle"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := startServer(t, receiver.Limits{MemoryBytes: 1 << 20, MaxConns: maxConns, StallTime: 50 * time.Millisecond}, 0)
			for range 2 * maxConns {
				conn := s.dial(t)
				tc.use(t, conn)
				time.Sleep(10 * time.Millisecond)
			}
			conn := s.dial(t)
			is.True(isServed(conn, bufio.NewReader(conn)))
			is.True(s.metrics.Get(tc.metric) != nil)
			for s.logs.FilterMessage("callers_evicted").Len() == 0 {
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
}

// TestAccountIsEmptyAtTheEnd guards against memory or connections that stay in the account.
func TestAccountIsEmptyAtTheEnd(t *testing.T) {
	is := is.New(t)
	s := startServer(t, receiver.Limits{MemoryBytes: 1 << 20, MaxConns: 50, StallTime: 20 * time.Millisecond}, 0)
	var wg sync.WaitGroup
	for i := range 100 {
		wg.Go(func() {
			conn, err := net.Dial("tcp", s.address)
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(200 * time.Millisecond))
			size := 1000 * i
			_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"+strings.Repeat("a\r\n0123456789\r\n", size/10))
			if i%2 == 0 {
				_, _ = io.WriteString(conn, "0\r\n\r\n")
			}
			_, _ = io.Copy(io.Discard, conn)
		})
	}
	wg.Wait()
	deadline := time.Now().Add(testTimeout)
	for s.gauge("callers_connections") != "0" && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(s.gauge("callers_connections"), "0")
	is.Equal(s.gauge("callers_memory_bytes"), "0")
}

// TestHandledRequestsAreAnswered guards against requests that are handled and not answered because
// their idle connection was closed for another one meanwhile.
func TestHandledRequestsAreAnswered(t *testing.T) {
	is := is.New(t)
	s := startServer(t, receiver.Limits{MemoryBytes: 1 << 20, MaxConns: 8, StallTime: time.Second}, 0)
	var answered atomic.Int32
	end := time.Now().Add(time.Second)
	var wg sync.WaitGroup
	for range 24 {
		wg.Go(func() {
			for time.Now().Before(end) {
				conn, err := net.Dial("tcp", s.address)
				if err != nil {
					continue
				}
				_ = conn.SetDeadline(time.Now().Add(testTimeout))
				for br := bufio.NewReader(conn); time.Now().Before(end) && isServed(conn, br); {
					answered.Add(1)
					time.Sleep(time.Millisecond)
				}
				_ = conn.Close()
			}
		})
	}
	wg.Wait()
	t.Logf("%d requests handled, %v connections evicted", s.handled.Load(), s.metrics.Get("callers_evicted_idle"))
	is.True(s.metrics.Get("callers_evicted_idle") != nil)
	is.Equal(s.handled.Load(), answered.Load())
}

// TestIdleConnectionsAreClosed guards against connections that are kept for longer than callers use
// them, and against those that are closed before.
func TestIdleConnectionsAreClosed(t *testing.T) {
	is := is.New(t)
	const idleTime = 1500 * time.Millisecond
	s := startServer(t, receiver.Limits{MemoryBytes: 1 << 20, MaxConns: 8, StallTime: time.Second}, idleTime)
	conn := s.dial(t)
	br := bufio.NewReader(conn)
	began := time.Now()
	is.True(isServed(conn, br))
	time.Sleep(idleTime * 4 / 5)
	if !isServed(conn, br) {
		// A test process that stood still meanwhile sends too late.
		is.True(time.Since(began) >= idleTime)
		return
	}
	began = time.Now()
	_, err := br.ReadByte()
	is.True(errors.Is(err, io.EOF))
	is.True(time.Since(began) >= idleTime)
	is.Equal(s.logs.FilterMessage("callers_evicted").Len(), 0)
}

// TestUsedConnectionsAreKept guards against a connection that is closed because it was idle for too long
// in all.
func TestUsedConnectionsAreKept(t *testing.T) {
	is := is.New(t)
	const idleTime = time.Minute
	s := startServer(t, receiver.Limits{MemoryBytes: 1 << 20, MaxConns: 8, StallTime: time.Millisecond}, idleTime)
	conn := s.dial(t)
	br := bufio.NewReader(conn)
	for range 20 {
		is.True(isServed(conn, br))
		time.Sleep(100 * time.Millisecond)
	}
	is.Equal(s.metrics.Get("callers_evicted_expired"), nil)
}

// TestUnreadAnswersAreCutOff guards against connections that stay open because their callers don't read,
// and against answers that are cut off although they are read slowly.
func TestUnreadAnswersAreCutOff(t *testing.T) {
	const answerBytes, readBytes = 20 << 20, 400 << 10
	tests := map[string]struct {
		// pause is the time between two reads of readBytes; 0 if nothing is read. All take longer than a
		// caller may read nothing.
		pause time.Duration
		whole bool
	}{
		"not read":    {},
		"read slowly": {pause: 300 * time.Millisecond, whole: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			r := receiver.New(receiver.Config{
				Limits: receiver.Limits{MemoryBytes: 1 << 20, MaxConns: 8, StallTime: time.Second}, Copies: 1, Logger: zap.NewNop(), Metrics: new(expvar.Map).Init(),
			})
			accepting := r.Listener(lis)
			defer func() { _ = accepting.Close() }()
			written := make(chan int, 1)
			go func() {
				conn, acceptErr := accepting.Accept()
				if acceptErr != nil {
					written <- 0
					return
				}
				n, _ := conn.Write(make([]byte, answerBytes))
				_ = conn.Close()
				written <- n
			}()
			conn, err := net.Dial("tcp", lis.Addr().String())
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_ = conn.(*net.TCPConn).SetReadBuffer(64 << 10)
			if tc.pause > 0 {
				go func() {
					for buf := make([]byte, readBytes); ; time.Sleep(tc.pause) {
						if _, readErr := io.ReadFull(conn, buf); readErr != nil {
							return
						}
					}
				}()
			}
			select {
			case n := <-written:
				is.Equal(n == answerBytes, tc.whole)
			case <-time.After(3 * testTimeout):
				t.Fatal("the write did not end")
			}
		})
	}
}

func TestNewLimits(t *testing.T) {
	const largest = 8 << 20
	tests := map[string]struct {
		cfg       configurator.Callers
		resources receiver.Resources
		memory    int64
		conns     int
		stallTime time.Duration
	}{
		"small entry":      {resources: receiver.Resources{MemoryMB: 284, MaxDescriptors: 4200, MaxBodyBytes: largest, Copies: 1}, memory: 44_669_337, conns: 2800, stallTime: 500 * time.Millisecond},
		"few descriptors":  {resources: receiver.Resources{MemoryMB: 284, MaxDescriptors: 1200, MaxBodyBytes: largest, Copies: 1}, memory: 44_669_337, conns: 700, stallTime: 500 * time.Millisecond},
		"little memory":    {resources: receiver.Resources{MemoryMB: 32, MaxDescriptors: 4200, MaxBodyBytes: largest, Copies: 1}, memory: 11_272_192, conns: 341, stallTime: 500 * time.Millisecond},
		"large bodies":     {resources: receiver.Resources{MemoryMB: 32, MaxDescriptors: 4200, MaxBodyBytes: largest, Copies: 3}, memory: 33_641_813, conns: 341, stallTime: 500 * time.Millisecond},
		"by settings":      {cfg: configurator.Callers{MemoryMB: 64, MaxConnections: 100, StallMillis: 200}, resources: receiver.Resources{MemoryMB: 284, MaxDescriptors: 4200, MaxBodyBytes: largest, Copies: 1}, memory: 64 << 20, conns: 100, stallTime: 200 * time.Millisecond},
		"hardly any files": {resources: receiver.Resources{MemoryMB: 284, MaxDescriptors: 100, MaxBodyBytes: largest, Copies: 1}, memory: 44_669_337, conns: 16, stallTime: 500 * time.Millisecond},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(receiver.NewLimits(tc.cfg, tc.resources), receiver.Limits{MemoryBytes: tc.memory, MaxConns: tc.conns, StallTime: tc.stallTime})
		})
	}
}
