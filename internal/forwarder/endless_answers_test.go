package forwarder_test

import (
	"net/http"
	"runtime"
	"runtime/metrics"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"flamingoledge.org/flamingoledge/internal/forwarder"
	"flamingoledge.org/flamingoledge/pkg/balancer"
	"flamingoledge.org/flamingoledge/pkg/resolver"
)

// TestManyEndlessAnswers guards against an entry that runs out of memory, and ends the requests of its
// other callers, while many endpoints send without end what is no answer, or only begins like one.
func TestManyEndlessAnswers(t *testing.T) {
	const (
		// requests is how many are at such endpoints at a time; an entry of the largest deployment has
		// 110 slots of engines.
		requests = 240
		// maxHeapBytes is the limit that an entry with 284 MB sets itself, six tenths of them. The heap
		// of the test has that of the endpoints and callers, too.
		maxHeapBytes = 170 << 20
	)
	kinds := map[string]handler{
		"status line":     respondRaw("HTTP/1.1 200 ", endlessly("x")),
		"headers":         respondRaw(signedHead, endlessly("A: x\r\n")),
		"interim answers": respondRaw("", endlessly("HTTP/1.1 103 Early Hints\r\n\r\n")),
		"no answer":       respondRaw("", endlessly("x\x00")),
		"chunk extension": respondRaw(signedHead+"Transfer-Encoding: chunked\r\n\r\n5;a=", endlessly("x")),
		"chunks":          respondRaw(signedHead+"Transfer-Encoding: chunked\r\n\r\n", endlessly("1000\r\n"+strings.Repeat("x", 4096)+"\r\n")),
		"trailers":        respondRaw(signedHead+"Transfer-Encoding: chunked\r\n\r\n0\r\n", endlessly("A: x\r\n")),
		"body":            respondRaw(signedHead+"\r\n", endlessly("x")),
		"one event":       respondRaw(signedHead+"Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", endlessly("x")),
		"comments":        respondRaw(signedHead+"Content-Type: text/event-stream\r\n\r\n", endlessly(": x\n\n")),
	}
	for name, h := range kinds {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var es []*endpoint
			for range 8 {
				es = append(es, newEndpoint(t, h))
			}
			f := newTestForwarder(t, es...)
			sound := newEndpoint(t, respondWith("sound"))
			cfg := configuration()
			cfg.Services = append(cfg.Services, resolver.Service{Name: "sound"})
			cfg.Routes = append(cfg.Routes, resolver.Route{
				Name: "sound", Host: "h", PathPrefix: "/sound/", Kind: resolver.KindUnsafe, MaxAttempts: 1, Anonymous: true,
				Timeout: testTimeout, Objective: testTimeout, Targets: []resolver.Target{{Service: "sound", Weight: 1}},
			})
			f.updateState(func(s *forwarder.RoutingState) { s.Table = resolver.New(cfg) })
			var faulty []balancer.Endpoint
			for i, e := range es {
				faulty = append(faulty, balancer.Endpoint{ID: string(rune('a' + i)), Address: e.server.Listener.Addr().String(), Slots: requests / len(es), Ready: true})
			}
			f.forwarder.SetEndpoints("s", faulty)
			f.forwarder.SetEndpoints("sound", []balancer.Endpoint{{ID: "sound", Address: sound.server.Listener.Addr().String(), Slots: 4, Ready: true}})
			before := heapBytes()
			var callers sync.WaitGroup
			for i := range requests {
				callers.Go(func() { f.call(t.Context(), t, []string{"once", "unsafe", "stream", "safe"}[i%4]) })
			}
			var highest uint64
			for done, until := false, time.Now().Add(testTimeout); !done; done = f.forwarder.InFlight() == 0 || time.Now().After(until) {
				is.Equal(f.call(t.Context(), t, "sound", "Deadline", testTimeout.String()).status, http.StatusOK)
				highest = max(highest, heapBytes())
				time.Sleep(20 * time.Millisecond)
			}
			callers.Wait()
			t.Logf("%d MB more at most", (max(highest, before)-before)>>20)
			is.True(highest < before+maxHeapBytes)
			is.Equal(f.forwarder.LargeAnswerBytes(), int64(0))
		})
	}
}

// heapBytes returns the memory that the last garbage collection found in use. What is allocated since
// is not counted, as most of it is garbage again before the next one.
func heapBytes() uint64 {
	runtime.GC()
	live := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(live)
	return live[0].Value.Uint64()
}
