package forwarder_test

import (
	"bufio"
	"context"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/exchanger"
	"flamingoledge.org/flamingoledge/internal/forwarder"
	"flamingoledge.org/flamingoledge/pkg/balancer"
	"flamingoledge.org/flamingoledge/pkg/resolver"
)

// testTimeout ends a test that hangs.
const testTimeout = 5 * time.Second

// plainHeaders is a translator with names of its own.
type plainHeaders struct{}

func (plainHeaders) Call(h http.Header) forwarder.Call {
	deadline, _ := time.ParseDuration(h.Get("Deadline"))
	return forwarder.Call{RequestID: h.Get("Id"), Key: h.Get("Key"), Deadline: deadline, LastEvent: h.Get("Last-Event")}
}

func (plainHeaders) Headers(h http.Header, a forwarder.Attempt) http.Header {
	out := exchanger.EndToEndHeaders(h)
	out.Del("Key")
	out.Set("Workspace", a.Workspace)
	out.Set("Endpoint", a.Endpoint)
	out.Set("Deadline", a.Deadline.String())
	if a.LastEvent != "" {
		out.Set("Last-Event", a.LastEvent)
	}
	return out
}

func (plainHeaders) Head(_ int, h http.Header) forwarder.Head {
	return forwarder.Head{RequestID: h.Get("Id"), Signed: h.Get("Stamp") != "", NotRun: h.Get("Not-Run") != ""}
}

// endpoint is a stand-in whose runs are counted.
type endpoint struct {
	server *httptest.Server
	runs   atomic.Int32
	left   chan struct{}
}

type script func(e *endpoint, w http.ResponseWriter, r *http.Request)

func newEndpoint(t *testing.T, s script) *endpoint {
	t.Helper()
	e := &endpoint{left: make(chan struct{}, 10)}
	e.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		s(e, w, r)
	}))
	t.Cleanup(e.server.Close)
	return e
}

func answers(body string) script {
	return func(e *endpoint, w http.ResponseWriter, _ *http.Request) {
		e.runs.Add(1)
		w.Header().Set("Stamp", "s")
		_, _ = io.WriteString(w, body)
	}
}

// status answers with a status; notRun says that nothing was run.
func status(code int, notRun bool) script {
	return func(e *endpoint, w http.ResponseWriter, _ *http.Request) {
		if notRun {
			w.Header().Set("Not-Run", "1")
		} else {
			e.runs.Add(1)
		}
		w.WriteHeader(code)
	}
}

// breaksOff closes the connection after some bytes of a stream.
func breaksOff(part string) script {
	return func(e *endpoint, w http.ResponseWriter, _ *http.Request) {
		e.runs.Add(1)
		if part != "" {
			w.Header().Set("Stamp", "s")
			_, _ = io.WriteString(w, part)
			_ = http.NewResponseController(w).Flush()
		}
		panic(http.ErrAbortHandler)
	}
}

// streams gives events up to last after the one that the request has.
func streams(last int) script {
	return func(e *endpoint, w http.ResponseWriter, r *http.Request) {
		e.runs.Add(1)
		w.Header().Set("Stamp", "s")
		from := 0
		_, _ = fmt.Sscan(r.Header.Get("Last-Event"), &from)
		for i := from + 1; i <= last; i++ {
			_, _ = io.WriteString(w, event(i))
			_ = http.NewResponseController(w).Flush()
		}
	}
}

func event(i int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i) }

func events(from, to int) (s string) {
	for i := from; i <= to; i++ {
		s += event(i)
	}
	return s
}

// hangs runs a request until its caller leaves.
func hangs(e *endpoint, _ http.ResponseWriter, r *http.Request) {
	// A server of net/http sees that its caller left only once the body is read.
	_, _ = io.Copy(io.Discard, r.Body)
	e.runs.Add(1)
	select {
	case <-r.Context().Done():
		e.left <- struct{}{}
	case <-time.After(testTimeout):
	}
}

type noCrashes struct{}

func (noCrashes) IsConvicted(uint64) bool { return false }
func (noCrashes) Crashed(uint64, string)  {}

// front is a forwarder with its beliefs.
type front struct {
	url       string
	forwarder *forwarder.Forwarder
	mu        sync.Mutex
	beliefs   forwarder.Beliefs
}

var start = time.Now()

func (f *front) set(change func(*forwarder.Beliefs)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.beliefs)
}

func configuration() resolver.Configuration {
	route := func(name string, kind resolver.Kind, attempts int, resumable bool) resolver.Route {
		return resolver.Route{
			Name: name, Host: "h", PathPrefix: "/" + name + "/", Kind: kind, MaxAttempts: attempts, Resumable: resumable, Anonymous: true,
			Timeout: time.Second, Objective: 400 * time.Millisecond, Targets: []resolver.Target{{Service: "s", Weight: 1}},
		}
	}
	keyed := route("keyed", resolver.KindSafe, 2, false)
	keyed.Anonymous = false
	short := route("short", resolver.KindUnsafe, 1, false)
	short.Timeout = 150 * time.Millisecond
	long := route("long", resolver.KindStreaming, 2, false)
	long.Timeout = 3 * time.Second
	whole := route("whole", resolver.KindSafe, 2, false)
	whole.Timeout = 3 * time.Second
	return resolver.Configuration{
		Version: 1,
		Routes: []resolver.Route{
			route("safe", resolver.KindSafe, 2, false), route("unsafe", resolver.KindUnsafe, 2, false),
			route("stream", resolver.KindStreaming, 2, true), route("once", resolver.KindStreaming, 2, false), keyed, short, long, whole,
		},
		Services:   []resolver.Service{{Name: "s"}},
		Workspaces: []resolver.Workspace{{Name: "w", Keys: []string{"k"}}},
	}
}

func newFront(t *testing.T, es ...*endpoint) *front {
	t.Helper()
	f := &front{beliefs: forwarder.Beliefs{Table: resolver.New(configuration()), ProvenAt: start.Add(time.Hour), Entries: 1}}
	f.forwarder = forwarder.New(forwarder.Config{
		Translator: plainHeaders{},
		Pool:       exchanger.New(exchanger.Config{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdleConnsPerAddress: 4, TCPUserTimeout: time.Second}),
		Beliefs: func() *forwarder.Beliefs {
			f.mu.Lock()
			defer f.mu.Unlock()
			b := f.beliefs
			return &b
		},
		Clock: time.Now,
		Bounds: forwarder.Bounds{
			Revocation: 2 * time.Second, Configuration: time.Second, Version: time.Minute,
			RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryExtra: 1000,
		},
		MaxBodyBytes: 1 << 20,
		Crashes:      noCrashes{},
		Logger:       zap.NewNop(),
		Metrics:      new(expvar.Map).Init(),
	})
	var bes []balancer.Endpoint
	for i, e := range es {
		bes = append(bes, balancer.Endpoint{ID: fmt.Sprintf("e%d", i), Address: e.server.Listener.Addr().String(), Slots: 4, Ready: true})
	}
	f.forwarder.SetEndpoints("s", bes)
	server := httptest.NewServer(f.forwarder)
	t.Cleanup(server.Close)
	f.url = server.URL
	return f
}

type reply struct {
	status int
	header http.Header
	body   string
	// broken is set when the answer did not end as a whole one.
	broken bool
	taken  time.Duration
}

func (f *front) call(ctx context.Context, t *testing.T, route string, headers ...string) reply {
	t.Helper()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+"/"+route+"/1", strings.NewReader("body"))
	if err != nil {
		t.Error(err)
		return reply{broken: true}
	}
	r.Host = "h"
	r.Header.Set("Id", "r1")
	r.Header.Set("Deadline", "3s")
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	began := time.Now()
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return reply{broken: true, taken: time.Since(began)}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(body), broken: err != nil, taken: time.Since(began)}
}

func TestFinalWords(t *testing.T) {
	tests := map[string]struct {
		route   string
		scripts []script
		change  func(*forwarder.Beliefs)
		headers []string
		status  int
		body    string
		// runs is how often the request was run in all; -1 for any number.
		runs       int32
		retryAfter bool
		broken     bool
	}{
		"whole answer":          {route: "unsafe", scripts: []script{answers("yes")}, status: 200, body: "yes", runs: 1},
		"no configuration":      {route: "safe", scripts: []script{answers("x")}, change: func(b *forwarder.Beliefs) { b.Table = nil }, status: 503, retryAfter: true},
		"unknown route":         {route: "none", scripts: []script{answers("x")}, status: 404},
		"unknown route, stale":  {route: "none", scripts: []script{answers("x")}, change: stale(1500 * time.Millisecond), status: 503, retryAfter: true},
		"unknown key":           {route: "keyed", scripts: []script{answers("x")}, headers: []string{"Key", "other"}, status: 401},
		"no key":                {route: "keyed", scripts: []script{answers("x")}, status: 401},
		"unknown key, stale":    {route: "keyed", scripts: []script{answers("x")}, headers: []string{"Key", "other"}, change: stale(1500 * time.Millisecond), status: 503, retryAfter: true},
		"key, proof in time":    {route: "keyed", scripts: []script{answers("x")}, headers: []string{"Key", "k"}, change: stale(1500 * time.Millisecond), status: 200, body: "x", runs: 1},
		"key, proof too old":    {route: "keyed", scripts: []script{answers("x")}, headers: []string{"Key", "k"}, change: stale(2500 * time.Millisecond), status: 503, retryAfter: true},
		"no key needed, stale":  {route: "safe", scripts: []script{answers("x")}, change: stale(time.Hour), status: 200, body: "x", runs: 1},
		"no endpoint":           {route: "safe", status: 503, retryAfter: true},
		"refused, then another": {route: "unsafe", scripts: []script{status(503, true), answers("yes")}, status: 200, body: "yes", runs: 1},
		"refused by all":        {route: "unsafe", scripts: []script{status(503, true), status(421, true)}, status: 503, retryAfter: true},
		"unsafe, answer lost":   {route: "unsafe", scripts: []script{breaksOff(""), breaksOff("")}, status: 502, runs: 1},
		"safe, answer lost":     {route: "safe", scripts: []script{breaksOff(""), breaksOff("")}, status: 502, runs: 2},
		"safe, failed once":     {route: "safe", scripts: []script{status(500, false), status(500, false)}, status: 500, runs: 2},
		"unsafe, failed":        {route: "unsafe", scripts: []script{status(500, false), status(500, false)}, status: 500, runs: 1},
		"503 that may have run": {route: "unsafe", scripts: []script{status(503, false)}, status: 502, runs: 1},
		"429 that may have run": {route: "unsafe", scripts: []script{status(429, false)}, status: 502, runs: 1},
		"success not signed":    {route: "unsafe", scripts: []script{status(200, false)}, status: 502, runs: 1},
		"stream":                {route: "stream", scripts: []script{streams(4)}, status: 200, body: events(1, 4), runs: 1},
		"stream resumed by the caller": {
			route: "stream", scripts: []script{streams(4)}, headers: []string{"Last-Event", "2"}, status: 200, body: events(3, 4), runs: 1,
		},
		"stream that can't be resumed": {
			route: "once", scripts: []script{breaksOff(events(1, 2)), breaksOff(events(1, 2))}, status: 200, body: events(1, 2), broken: true, runs: 1,
		},
		"stream broken before its first event, not resumable": {
			route: "once", scripts: []script{breaksOff("id: 1\nda"), breaksOff("id: 1\nda")}, status: 502, runs: 1,
		},
		"route's timeout": {route: "short", scripts: []script{hangs}, status: 504, runs: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var es []*endpoint
			for _, s := range tc.scripts {
				es = append(es, newEndpoint(t, s))
			}
			f := newFront(t, es...)
			if tc.change != nil {
				f.set(tc.change)
			}
			got := f.call(context.Background(), t, tc.route, tc.headers...)
			is.Equal(got.status, tc.status)
			is.Equal(got.broken, tc.broken)
			if got.status < 300 {
				is.Equal(got.body, tc.body)
			}
			is.Equal(got.header.Get("Retry-After") != "", tc.retryAfter)
			var runs int32
			for _, e := range es {
				runs += e.runs.Load()
			}
			is.Equal(runs, tc.runs)
		})
	}
}

func stale(by time.Duration) func(*forwarder.Beliefs) {
	return func(b *forwarder.Beliefs) { b.ProvenAt = time.Now().Add(-by) }
}

func TestStreamGoesOnElsewhere(t *testing.T) {
	tests := map[string]string{
		"between events":    events(1, 2),
		"inside an event":   events(1, 2) + "id: 3\nda",
		"before the first":  "",
		"inside the first":  "id: 1\ndata: pi",
		"after the last id": events(1, 5) + "id: 6\n",
	}
	for name, part := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var first atomic.Bool
			s := func(e *endpoint, w http.ResponseWriter, r *http.Request) {
				if first.CompareAndSwap(false, true) {
					breaksOff(part)(e, w, r)
				}
				streams(6)(e, w, r)
			}
			f := newFront(t, newEndpoint(t, s), newEndpoint(t, s))
			got := f.call(context.Background(), t, "stream")
			is.Equal(got.status, 200)
			is.Equal(got.broken, false)
			is.Equal(got.body, events(1, 6)) // no event lost, twice or joined
		})
	}
}

func TestTimeoutIsAnsweredOnTime(t *testing.T) {
	is := is.New(t)
	f := newFront(t, newEndpoint(t, hangs))
	got := f.call(context.Background(), t, "short")
	is.Equal(got.status, 504)
	is.True(got.taken >= 140*time.Millisecond)
	is.True(got.taken < 450*time.Millisecond)
}

func TestEndpointLearnsThatTheCallerLeft(t *testing.T) {
	for _, route := range []string{"stream", "unsafe"} {
		t.Run(route, func(t *testing.T) {
			e := newEndpoint(t, hangs)
			f := newFront(t, e)
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(100*time.Millisecond, cancel)
			f.call(ctx, t, route)
			select {
			case <-e.left:
			case <-time.After(400 * time.Millisecond):
				t.Fatal("the endpoint still works for a caller that left")
			}
		})
	}
}

func TestWaitingRequestOfACallerThatLeftIsNotSent(t *testing.T) {
	is := is.New(t)
	e := newEndpoint(t, hangs)
	f := newFront(t, e)
	f.forwarder.SetEndpoints("s", []balancer.Endpoint{{ID: "e0", Address: e.server.Listener.Addr().String(), Slots: 1, Ready: true}})
	first, cancelFirst := context.WithCancel(context.Background())
	go f.call(first, t, "stream")
	waitFor(t, func() bool { return e.runs.Load() == 1 })
	second, cancelSecond := context.WithCancel(context.Background())
	time.AfterFunc(30*time.Millisecond, cancelSecond)
	f.call(second, t, "stream")
	// Until the forwarder has learned that the caller left, it may still send.
	waitFor(t, func() bool { return f.forwarder.InFlight() == 1 })
	cancelFirst()
	waitFor(t, func() bool { return len(e.left) > 0 })
	time.Sleep(100 * time.Millisecond)
	is.Equal(e.runs.Load(), int32(1))
}

func waitFor(t *testing.T, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("it did not happen")
		}
	}
}

func TestKeyIsCheckedAgainAfterTheWait(t *testing.T) {
	is := is.New(t)
	slow := newEndpoint(t, func(e *endpoint, w http.ResponseWriter, r *http.Request) {
		time.Sleep(150 * time.Millisecond)
		answers("x")(e, w, r)
	})
	f := newFront(t, slow)
	f.forwarder.SetEndpoints("s", []balancer.Endpoint{{ID: "e0", Address: slow.server.Listener.Addr().String(), Slots: 1, Ready: true}})
	go f.call(context.Background(), t, "safe")
	time.Sleep(50 * time.Millisecond)
	time.AfterFunc(50*time.Millisecond, func() {
		f.set(func(b *forwarder.Beliefs) {
			cfg := configuration()
			cfg.Workspaces[0].Keys = nil
			cfg.Version = 2
			b.Table = resolver.New(cfg)
		})
	})
	got := f.call(context.Background(), t, "keyed", "Key", "k")
	is.Equal(got.status, 401)
	waitFor(t, func() bool { return f.forwarder.InFlight() == 0 })
	is.Equal(slow.runs.Load(), int32(1))
}

func TestLeavingClosesKeptConnections(t *testing.T) {
	is := is.New(t)
	f := newFront(t, newEndpoint(t, answers("x")))
	f.forwarder.Leave()
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	_, err = io.WriteString(conn, "GET /safe/1 HTTP/1.1\r\nHost: h\r\nId: r1\r\n\r\n")
	is.NoErr(err)
	br := bufio.NewReader(conn)
	resp, err := http.ReadResponse(br, nil)
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(body), "x")
	is.True(resp.Close)
	_, err = br.ReadByte()
	is.True(errors.Is(err, io.EOF))
}

// TestNotBegunBeforeTheBound checks that a request that waits in an endpoint with an
// older version is taken back before that may not begin any more.
func TestNotBegunBeforeTheBound(t *testing.T) {
	const versionBound = time.Minute
	tests := map[string]struct {
		// left is the time until the bound.
		left   time.Duration
		route  string
		script script
		status int
		taken  time.Duration
	}{
		"it waits":        {left: 1300 * time.Millisecond, route: "long", script: hangs, status: http.StatusBadGateway, taken: time.Second},
		"it has begun":    {left: 1300 * time.Millisecond, route: "long", script: beginsAndTakes(1500 * time.Millisecond), status: http.StatusOK, taken: 1500 * time.Millisecond},
		"a whole answer":  {left: 1300 * time.Millisecond, route: "whole", script: answersAfter(1500 * time.Millisecond), status: http.StatusOK, taken: 1500 * time.Millisecond},
		"it may not come": {left: 1100 * time.Millisecond, route: "long", script: answers("x"), status: http.StatusServiceUnavailable},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newEndpoint(t, tc.script)
			f := newFront(t, e)
			cfg := configuration()
			cfg.Services[0].Engine = &resolver.Engine{Slots: 4, Stride: 1}
			f.set(func(b *forwarder.Beliefs) {
				b.Table = resolver.New(cfg)
				b.Versions = map[string][]forwarder.Version{"": {{Version: 2, LearnedAt: time.Now().Add(tc.left - versionBound)}}}
			})
			f.forwarder.SetEndpoints("s", []balancer.Endpoint{{ID: "e0", Address: e.server.Listener.Addr().String(), Slots: 4, Ready: true, Version: 1}})
			r := f.call(t.Context(), t, tc.route)
			is.Equal(r.status, tc.status)
			is.True(r.taken >= tc.taken)
			is.True(r.taken < tc.taken+800*time.Millisecond)
		})
	}
}

// beginsAndTakes gives a first event at once and the second after a while.
func beginsAndTakes(d time.Duration) script {
	return func(e *endpoint, w http.ResponseWriter, _ *http.Request) {
		e.runs.Add(1)
		w.Header().Set("Stamp", "s")
		_, _ = io.WriteString(w, event(1))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(d)
		_, _ = io.WriteString(w, event(2))
	}
}

// answersAfter gives a whole answer at the end of a run.
func answersAfter(d time.Duration) script {
	return func(e *endpoint, w http.ResponseWriter, r *http.Request) {
		time.Sleep(d)
		answers("x")(e, w, r)
	}
}
