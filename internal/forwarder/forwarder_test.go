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
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"flamingoledge.org/flamingoledge/internal/exchanger"
	"flamingoledge.org/flamingoledge/internal/forwarder"
	"flamingoledge.org/flamingoledge/pkg/advisor"
	"flamingoledge.org/flamingoledge/pkg/balancer"
	"flamingoledge.org/flamingoledge/pkg/quarantiner"
	"flamingoledge.org/flamingoledge/pkg/quiescer"
	"flamingoledge.org/flamingoledge/pkg/resolver"
)

// testTimeout bounds each wait of a test.
const testTimeout = 5 * time.Second

// testTranslator is a forwarder.Translator with simple header names.
type testTranslator struct{}

func (testTranslator) RequestInfo(h http.Header) forwarder.RequestInfo {
	deadline, _ := time.ParseDuration(h.Get("Deadline"))
	info := forwarder.RequestInfo{RequestID: h.Get("Id"), Key: h.Get("Key"), Deadline: deadline, LastEventID: h.Get("Last-Event")}
	if parts := h.Get("Parts"); parts != "" {
		info.PromptParts = strings.Split(parts, ",")
	}
	return info
}

func (testTranslator) Headers(h http.Header, a forwarder.Attempt) http.Header {
	out := exchanger.EndToEndHeaders(h)
	out.Del("Key")
	out.Set("Workspace", a.Workspace)
	out.Set("Endpoint", a.Endpoint)
	out.Set("Deadline", a.Deadline.String())
	if a.LastEventID != "" {
		out.Set("Last-Event", a.LastEventID)
	}
	return out
}

func (testTranslator) ResponseInfo(_ int, h http.Header) forwarder.ResponseInfo {
	backoff, _ := time.ParseDuration(h.Get("Backoff"))
	limit, _ := strconv.ParseFloat(h.Get("Limit"), 64)
	id := h.Get("Id")
	if len(h.Values("Id")) > 1 {
		id = ""
	}
	return forwarder.ResponseInfo{
		RequestID: id, Signed: h.Get("Stamp") != "", NotRun: h.Get("Not-Run") != "",
		Advice: advisor.Answer{Leaving: h.Get("Leaving") != "", Backoff: backoff, Limit: limit}, AdviceProblem: h.Get("Unreadable"),
	}
}

// endpoint is a simulated endpoint that counts the requests it ran.
type endpoint struct {
	server       *httptest.Server
	runs         atomic.Int32
	disconnected chan struct{}
}

type handler func(e *endpoint, w http.ResponseWriter, r *http.Request)

func newEndpoint(t *testing.T, h handler) *endpoint {
	t.Helper()
	e := &endpoint{disconnected: make(chan struct{}, 10)}
	e.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Content-Type", "text/event-stream")
		h(e, w, r)
	}))
	t.Cleanup(e.server.Close)
	return e
}

func respondWith(body string) handler {
	return func(e *endpoint, w http.ResponseWriter, _ *http.Request) {
		e.runs.Add(1)
		w.Header().Set("Stamp", "s")
		_, _ = io.WriteString(w, body)
	}
}

// status responds with a status code. If notRun is set, the response states that the
// request was not run.
func status(code int, notRun bool) handler {
	return func(e *endpoint, w http.ResponseWriter, _ *http.Request) {
		if notRun {
			w.Header().Set("Not-Run", "1")
		} else {
			e.runs.Add(1)
		}
		w.WriteHeader(code)
	}
}

// abortAfter closes the connection after sending the first bytes of a stream.
func abortAfter(prefix string) handler {
	return func(e *endpoint, w http.ResponseWriter, _ *http.Request) {
		e.runs.Add(1)
		if prefix != "" {
			w.Header().Set("Stamp", "s")
			_, _ = io.WriteString(w, prefix)
			_ = http.NewResponseController(w).Flush()
		}
		panic(http.ErrAbortHandler)
	}
}

// streamUpTo streams the events after the request's last event up to event last.
func streamUpTo(last int) handler {
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

// hangUntilDisconnect runs a request until its caller disconnects.
func hangUntilDisconnect(e *endpoint, _ http.ResponseWriter, r *http.Request) {
	// net/http detects a disconnect only after the body has been read.
	_, _ = io.Copy(io.Discard, r.Body)
	e.runs.Add(1)
	select {
	case <-r.Context().Done():
		e.disconnected <- struct{}{}
	case <-time.After(testTimeout):
	}
}

type noCrashes struct{}

func (noCrashes) Judge([]quarantiner.Key) (v quarantiner.Verdict)      { return v }
func (noCrashes) MayRepeat([]quarantiner.Key) bool                     { return true }
func (noCrashes) AwaitProbes(context.Context, []quarantiner.Key) error { return nil }
func (noCrashes) RecordSoundRun([]quarantiner.Key)                     {}
func (noCrashes) StartProbe(string, []quarantiner.Key) func([]quarantiner.Key) {
	return func([]quarantiner.Key) {}
}

// testForwarder is a forwarder behind an HTTP server, with its routing state.
type testForwarder struct {
	url       string
	forwarder *forwarder.Forwarder
	mu        sync.Mutex
	state     forwarder.RoutingState
	// stateReads counts how often the forwarder has read the state.
	stateReads atomic.Int64
	// onStateRead is called before each of these; nil for nothing.
	onStateRead func()
	logs        *observer.ObservedLogs
	metrics     *expvar.Map
}

var testStart = time.Now()

func (f *testForwarder) updateState(change func(*forwarder.RoutingState)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.state)
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
	steady := route("steady", resolver.KindStreaming, 2, true)
	steady.Timeout, steady.IdleTimeout = 6*time.Second, callerIdleTimeout
	patient := route("patient", resolver.KindUnsafe, 2, false)
	patient.Timeout = 3 * time.Second
	whole := route("whole", resolver.KindSafe, 2, false)
	whole.Timeout = 3 * time.Second
	brief := route("brief", resolver.KindSafe, 2, false)
	brief.Timeout = 300 * time.Millisecond
	return resolver.Configuration{
		Version: 1,
		Routes: []resolver.Route{
			route("safe", resolver.KindSafe, 2, false), route("unsafe", resolver.KindUnsafe, 2, false),
			route("stream", resolver.KindStreaming, 2, true), route("once", resolver.KindStreaming, 2, false), keyed, short, brief, long, whole, patient, steady,
		},
		Services:   []resolver.Service{{Name: "s"}},
		Workspaces: []resolver.Workspace{{Name: "w", Keys: []string{"k"}}},
	}
}

func newTestForwarder(t *testing.T, es ...*endpoint) *testForwarder {
	t.Helper()
	return newTestForwarderWithCrashes(t, noCrashes{}, es...)
}

func newTestForwarderWithCrashes(t *testing.T, crashes forwarder.CrashRegistry, es ...*endpoint) *testForwarder {
	t.Helper()
	core, logs := observer.New(zap.InfoLevel)
	f := &testForwarder{
		state: forwarder.RoutingState{Table: resolver.New(configuration()), ConfirmedAt: testStart.Add(time.Hour), EntryCount: 1},
		logs:  logs, metrics: new(expvar.Map).Init(),
	}
	f.forwarder = forwarder.New(forwarder.Config{
		Translator: testTranslator{},
		Pool:       exchanger.New(exchanger.Config{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdleConnsPerAddress: 4, TCPUserTimeout: 4 * time.Second}),
		RoutingState: func() *forwarder.RoutingState {
			if f.onStateRead != nil {
				f.onStateRead()
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			s := f.state
			f.stateReads.Add(1)
			return &s
		},
		Clock: time.Now,
		Bounds: forwarder.Bounds{
			Revocation: 2 * time.Second, Configuration: time.Second, Version: time.Minute, Evacuation: evacuationBound,
			RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryExtra: 1000,
		},
		MaxBodyBytes: 1 << 20,
		Crashes:      crashes,
		Logger:       zap.New(core),
		Metrics:      f.metrics,
	})
	var balancerEndpoints []balancer.Endpoint
	for i, e := range es {
		balancerEndpoints = append(balancerEndpoints, balancer.Endpoint{ID: fmt.Sprintf("e%d", i), Address: e.server.Listener.Addr().String(), Slots: 4, Ready: true})
	}
	f.forwarder.SetEndpoints("s", balancerEndpoints)
	server := httptest.NewServer(f.forwarder)
	t.Cleanup(server.Close)
	f.url = server.URL
	return f
}

type reply struct {
	status int
	header http.Header
	body   string
	// aborted is set if there was no answer or its body was incomplete.
	aborted bool
	elapsed time.Duration
}

func (f *testForwarder) call(ctx context.Context, t *testing.T, route string, headers ...string) reply {
	t.Helper()
	return f.callWithBody(ctx, t, route, "body", headers...)
}

func (f *testForwarder) callWithBody(ctx context.Context, t *testing.T, route, body string, headers ...string) reply {
	t.Helper()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+"/"+route+"/1", strings.NewReader(body))
	if err != nil {
		t.Error(err)
		return reply{aborted: true}
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
		return reply{aborted: true, elapsed: time.Since(began)}
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(answer), aborted: err != nil, elapsed: time.Since(began)}
}

func TestResponses(t *testing.T) {
	tests := map[string]struct {
		route    string
		handlers []handler
		change   func(*forwarder.RoutingState)
		headers  []string
		status   int
		body     string
		// runs is the total number of runs of the request on all endpoints.
		runs       int32
		retryAfter bool
		aborted    bool
	}{
		"buffered answer":           {route: "unsafe", handlers: []handler{respondWith("yes")}, status: 200, body: "yes", runs: 1},
		"no configuration":          {route: "safe", handlers: []handler{respondWith("x")}, change: func(s *forwarder.RoutingState) { s.Table = nil }, status: 503, retryAfter: true},
		"unknown route":             {route: "none", handlers: []handler{respondWith("x")}, status: 404},
		"unknown route, stale":      {route: "none", handlers: []handler{respondWith("x")}, change: stale(1500 * time.Millisecond), status: 503, retryAfter: true},
		"unknown key":               {route: "keyed", handlers: []handler{respondWith("x")}, headers: []string{"Key", "other"}, status: 401},
		"no key":                    {route: "keyed", handlers: []handler{respondWith("x")}, status: 401},
		"unknown key, stale":        {route: "keyed", handlers: []handler{respondWith("x")}, headers: []string{"Key", "other"}, change: stale(1500 * time.Millisecond), status: 503, retryAfter: true},
		"key, confirmation in time": {route: "keyed", handlers: []handler{respondWith("x")}, headers: []string{"Key", "k"}, change: stale(1500 * time.Millisecond), status: 200, body: "x", runs: 1},
		"key, confirmation too old": {route: "keyed", handlers: []handler{respondWith("x")}, headers: []string{"Key", "k"}, change: stale(2500 * time.Millisecond), status: 503, retryAfter: true},
		"no key needed, stale":      {route: "safe", handlers: []handler{respondWith("x")}, change: stale(time.Hour), status: 200, body: "x", runs: 1},
		"no endpoint":               {route: "safe", status: 503, retryAfter: true},
		"refused, then retried":     {route: "unsafe", handlers: []handler{status(503, true), respondWith("yes")}, status: 200, body: "yes", runs: 1},
		"refused by all":            {route: "unsafe", handlers: []handler{status(503, true), status(421, true)}, status: 503, retryAfter: true},
		"unsafe, answer lost":       {route: "unsafe", handlers: []handler{abortAfter(""), abortAfter("")}, status: 502, runs: 1},
		"safe, answer lost":         {route: "safe", handlers: []handler{abortAfter(""), abortAfter("")}, status: 502, runs: 2},
		"safe, failed once":         {route: "safe", handlers: []handler{status(500, false), status(500, false)}, status: 500, runs: 2},
		"unsafe, failed":            {route: "unsafe", handlers: []handler{status(500, false), status(500, false)}, status: 500, runs: 1},
		"503 that may have run":     {route: "unsafe", handlers: []handler{status(503, false)}, status: 502, runs: 1},
		"429 that may have run":     {route: "unsafe", handlers: []handler{status(429, false)}, status: 502, runs: 1},
		"success not signed":        {route: "unsafe", handlers: []handler{status(200, false)}, status: 502, runs: 1},
		"stream":                    {route: "stream", handlers: []handler{streamUpTo(4)}, status: 200, body: events(1, 4), runs: 1},
		"stream resumed by the caller": {
			route: "stream", handlers: []handler{streamUpTo(4)}, headers: []string{"Last-Event", "2"}, status: 200, body: events(3, 4), runs: 1,
		},
		"stream that can't be resumed": {
			route: "once", handlers: []handler{abortAfter(events(1, 2)), abortAfter(events(1, 2))}, status: 200, body: events(1, 2), aborted: true, runs: 1,
		},
		"stream aborted before its first event, not resumable": {
			route: "once", handlers: []handler{abortAfter("id: 1\nda"), abortAfter("id: 1\nda")}, status: 502, runs: 1,
		},
		"route's timeout": {route: "short", handlers: []handler{hangUntilDisconnect}, status: 504, runs: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var es []*endpoint
			for _, h := range tc.handlers {
				es = append(es, newEndpoint(t, h))
			}
			f := newTestForwarder(t, es...)
			if tc.change != nil {
				f.updateState(tc.change)
			}
			got := f.call(context.Background(), t, tc.route, tc.headers...)
			is.Equal(got.status, tc.status)
			is.Equal(got.aborted, tc.aborted)
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

func stale(by time.Duration) func(*forwarder.RoutingState) {
	return func(s *forwarder.RoutingState) { s.ConfirmedAt = time.Now().Add(-by) }
}

func TestStreamIsResumedOnAnotherEndpoint(t *testing.T) {
	tests := map[string]string{
		"between events":    events(1, 2),
		"inside an event":   events(1, 2) + "id: 3\nda",
		"before the first":  "",
		"inside the first":  "id: 1\ndata: pi",
		"after the last id": events(1, 5) + "id: 6\n",
	}
	for name, prefix := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var first atomic.Bool
			h := func(e *endpoint, w http.ResponseWriter, r *http.Request) {
				if first.CompareAndSwap(false, true) {
					abortAfter(prefix)(e, w, r)
				}
				streamUpTo(6)(e, w, r)
			}
			f := newTestForwarder(t, newEndpoint(t, h), newEndpoint(t, h))
			got := f.call(context.Background(), t, "stream")
			is.Equal(got.status, 200)
			is.Equal(got.aborted, false)
			is.Equal(got.body, events(1, 6)) // no event is lost, duplicated or merged
		})
	}
}

// TestStreamIsResumedUnderLoad checks that a stream which an endpoint breaks off goes on
// elsewhere although no slot is free at that moment and its objective has passed.
func TestStreamIsResumedUnderLoad(t *testing.T) {
	// The stream breaks off after its objective, and the slot is free some time later.
	const brokenAfter, slotHeldFor = 430 * time.Millisecond, 600 * time.Millisecond
	is := is.New(t)
	broken := newEndpoint(t, func(e *endpoint, w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Id") == "interrupted" {
			w.Header().Set("Stamp", "s")
			_, _ = io.WriteString(w, events(1, 2))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(brokenAfter)
			panic(http.ErrAbortHandler)
		}
		status(503, true)(e, w, r)
	})
	busy := newEndpoint(t, func(e *endpoint, w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Id") == "holder" {
			time.Sleep(slotHeldFor)
		}
		streamUpTo(6)(e, w, r)
	})
	f := newTestForwarder(t, broken, busy)
	setEndpoints := func(brokenReady bool) {
		f.forwarder.SetEndpoints("s", []balancer.Endpoint{
			{ID: "e0", Address: broken.server.Listener.Addr().String(), Slots: 1, Ready: brokenReady},
			{ID: "e1", Address: busy.server.Listener.Addr().String(), Slots: 1, Ready: true},
		})
	}
	setEndpoints(false)
	var calls sync.WaitGroup
	var interrupted reply
	calls.Go(func() { f.call(t.Context(), t, "stream", "Id", "holder") })
	waitFor(t, func() bool { return f.forwarder.InFlight() == 1 })
	time.Sleep(50 * time.Millisecond)
	setEndpoints(true)
	calls.Go(func() { interrupted = f.call(t.Context(), t, "stream", "Id", "interrupted") })
	calls.Wait()
	is.Equal(interrupted.status, 200)
	is.Equal(interrupted.aborted, false)
	is.Equal(interrupted.body, events(1, 6))
}

// heldProbes is a forwarder.CrashRegistry that convicts after one crash. Its probes end
// when release is closed.
type heldProbes struct {
	started atomic.Bool
	release chan struct{}
	ended   chan struct{}
	crashed atomic.Bool
}

func (p *heldProbes) Judge([]quarantiner.Key) quarantiner.Verdict {
	return quarantiner.Verdict{Convicted: p.crashed.Load()}
}

func (p *heldProbes) MayRepeat([]quarantiner.Key) bool { return true }

func (p *heldProbes) RecordSoundRun([]quarantiner.Key) {}

func (p *heldProbes) AwaitProbes(ctx context.Context, _ []quarantiner.Key) error {
	if !p.started.Load() {
		return nil
	}
	select {
	case <-p.ended:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *heldProbes) StartProbe(string, []quarantiner.Key) func([]quarantiner.Key) {
	p.started.Store(true)
	return func(suspects []quarantiner.Key) {
		<-p.release
		p.crashed.Store(len(suspects) > 0)
		close(p.ended)
	}
}

// TestRetryAwaitsCrashProbe checks that a request is not sent again while the probe that
// may convict it is in progress.
func TestRetryAwaitsCrashProbe(t *testing.T) {
	crash := func(e *endpoint, w http.ResponseWriter, r *http.Request) {
		_ = e.server.Listener.Close()
		abortAfter("")(e, w, r)
	}
	tests := map[string]struct {
		route string
		first handler
		// hold is how long the probe takes; longer than any backoff.
		hold   time.Duration
		status int
		runs   int32
	}{
		"endpoint crashed":               {route: "whole", first: crash, hold: 150 * time.Millisecond, status: http.StatusBadGateway, runs: 1},
		"endpoint runs":                  {route: "whole", first: abortAfter(""), hold: 150 * time.Millisecond, status: http.StatusOK, runs: 2},
		"deadline ends before the probe": {route: "brief", first: crash, hold: testTimeout, status: http.StatusBadGateway, runs: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var first atomic.Bool
			h := func(e *endpoint, w http.ResponseWriter, r *http.Request) {
				if first.CompareAndSwap(false, true) {
					tc.first(e, w, r)
				}
				respondWith("x")(e, w, r)
			}
			es := []*endpoint{newEndpoint(t, h), newEndpoint(t, h)}
			probes := &heldProbes{release: make(chan struct{}), ended: make(chan struct{})}
			f := newTestForwarderWithCrashes(t, probes, es...)
			release := sync.OnceFunc(func() { close(probes.release) })
			defer release()
			time.AfterFunc(tc.hold, release)
			got := f.call(t.Context(), t, tc.route)
			is.Equal(got.status, tc.status)
			is.True(got.elapsed < testTimeout) // the route's timeout ends the wait
			is.Equal(es[0].runs.Load()+es[1].runs.Load(), tc.runs)
		})
	}
}

func TestTimeoutResponseIsOnTime(t *testing.T) {
	is := is.New(t)
	f := newTestForwarder(t, newEndpoint(t, hangUntilDisconnect))
	got := f.call(context.Background(), t, "short")
	is.Equal(got.status, 504)
	is.True(got.elapsed >= 140*time.Millisecond)
	is.True(got.elapsed < 450*time.Millisecond)
}

func TestCallerDisconnectReachesEndpoint(t *testing.T) {
	for _, route := range []string{"stream", "unsafe"} {
		t.Run(route, func(t *testing.T) {
			e := newEndpoint(t, hangUntilDisconnect)
			f := newTestForwarder(t, e)
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(100*time.Millisecond, cancel)
			f.call(ctx, t, route)
			select {
			case <-e.disconnected:
			case <-time.After(400 * time.Millisecond):
				t.Fatal("the endpoint still runs the request of a disconnected caller")
			}
		})
	}
}

func TestQueuedRequestIsDroppedOnCallerDisconnect(t *testing.T) {
	is := is.New(t)
	e := newEndpoint(t, hangUntilDisconnect)
	f := newTestForwarder(t, e)
	f.forwarder.SetEndpoints("s", []balancer.Endpoint{{ID: "e0", Address: e.server.Listener.Addr().String(), Slots: 1, Ready: true}})
	first, cancelFirst := context.WithCancel(context.Background())
	go f.call(first, t, "stream")
	waitFor(t, func() bool { return e.runs.Load() == 1 })
	second, cancelSecond := context.WithCancel(context.Background())
	time.AfterFunc(30*time.Millisecond, cancelSecond)
	f.call(second, t, "stream")
	// The forwarder may still send the request until it has detected the disconnect.
	waitFor(t, func() bool { return f.forwarder.InFlight() == 1 })
	cancelFirst()
	waitFor(t, func() bool { return len(e.disconnected) > 0 })
	time.Sleep(100 * time.Millisecond)
	is.Equal(e.runs.Load(), int32(1))
}

func waitFor(t *testing.T, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("condition not met in time")
		}
	}
}

func TestKeyIsCheckedAgainAfterQueueing(t *testing.T) {
	is := is.New(t)
	received, release := make(chan struct{}, 2), make(chan struct{})
	held := newEndpoint(t, func(e *endpoint, w http.ResponseWriter, r *http.Request) {
		received <- struct{}{}
		select {
		case <-release:
		case <-time.After(testTimeout):
		}
		respondWith("x")(e, w, r)
	})
	f := newTestForwarder(t, held)
	f.forwarder.SetEndpoints("s", []balancer.Endpoint{{ID: "e0", Address: held.server.Listener.Addr().String(), Slots: 1, Ready: true}})
	cfg := configuration()
	for i := range cfg.Routes {
		// The queued request must not expire while the machine is busy.
		cfg.Routes[i].Timeout, cfg.Routes[i].Objective = testTimeout, testTimeout
	}
	f.updateState(func(s *forwarder.RoutingState) { s.Table = resolver.New(cfg) })
	go f.call(context.Background(), t, "safe", "Deadline", testTimeout.String())
	// The second request has to wait for the only slot, which the first one holds.
	select {
	case <-received:
	case <-time.After(testTimeout):
		t.Fatal("the first request did not reach the endpoint")
	}
	readsBefore := f.stateReads.Load()
	replies := make(chan reply, 1)
	go func() {
		replies <- f.call(context.Background(), t, "keyed", "Key", "k", "Deadline", testTimeout.String())
	}()
	// The first check of the key uses the state that is read on arrival.
	waitFor(t, func() bool { return f.stateReads.Load() > readsBefore })
	cfg.Workspaces = []resolver.Workspace{{Name: "w"}}
	cfg.Version = 2
	f.updateState(func(s *forwarder.RoutingState) { s.Table = resolver.New(cfg) })
	close(release)
	got := <-replies
	is.Equal(got.status, 401)
	waitFor(t, func() bool { return f.forwarder.InFlight() == 0 })
	is.Equal(held.runs.Load(), int32(1))
}

func TestDrainingClosesPersistentConnections(t *testing.T) {
	is := is.New(t)
	f := newTestForwarder(t, newEndpoint(t, respondWith("x")))
	f.forwarder.StartDraining(quiescer.New(quiescer.Config{Grace: time.Minute}, time.Now()))
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

// TestWaitingRequestIsCanceledBeforeVersionBound checks that a request that waits in an
// endpoint with an older version is canceled before that version may no longer begin
// requests.
func TestWaitingRequestIsCanceledBeforeVersionBound(t *testing.T) {
	const versionBound = time.Minute
	tests := map[string]struct {
		// left is the time left until the version bound.
		left    time.Duration
		route   string
		handler handler
		status  int
		elapsed time.Duration
	}{
		"waiting in the endpoint": {left: 1300 * time.Millisecond, route: "long", handler: hangUntilDisconnect, status: http.StatusBadGateway, elapsed: time.Second},
		"already begun":           {left: 1300 * time.Millisecond, route: "long", handler: streamWithPause(1500 * time.Millisecond), status: http.StatusOK, elapsed: 1500 * time.Millisecond},
		"buffered answer":         {left: 1300 * time.Millisecond, route: "whole", handler: respondAfter(1500 * time.Millisecond), status: http.StatusOK, elapsed: 1500 * time.Millisecond},
		"too late to send":        {left: 1100 * time.Millisecond, route: "long", handler: respondWith("x"), status: http.StatusServiceUnavailable},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newEndpoint(t, tc.handler)
			f := newTestForwarder(t, e)
			cfg := configuration()
			cfg.Services[0].Engine = &resolver.Engine{Slots: 4, Stride: 1}
			f.updateState(func(s *forwarder.RoutingState) {
				s.Table = resolver.New(cfg)
				s.Versions = map[string][]forwarder.Version{"": {{Version: 2, KnownSince: time.Now().Add(tc.left - versionBound)}}}
			})
			f.forwarder.SetEndpoints("s", []balancer.Endpoint{{ID: "e0", Address: e.server.Listener.Addr().String(), Slots: 4, Ready: true, Version: 1}})
			r := f.call(t.Context(), t, tc.route)
			is.Equal(r.status, tc.status)
			is.True(r.elapsed >= tc.elapsed)
			is.True(r.elapsed < tc.elapsed+800*time.Millisecond)
		})
	}
}

// streamWithPause streams one event immediately and a second one after d.
func streamWithPause(d time.Duration) handler {
	return func(e *endpoint, w http.ResponseWriter, _ *http.Request) {
		e.runs.Add(1)
		w.Header().Set("Stamp", "s")
		_, _ = io.WriteString(w, event(1))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(d)
		_, _ = io.WriteString(w, event(2))
	}
}

// respondAfter sends a complete answer after d.
func respondAfter(d time.Duration) handler {
	return func(e *endpoint, w http.ResponseWriter, r *http.Request) {
		time.Sleep(d)
		respondWith("x")(e, w, r)
	}
}
