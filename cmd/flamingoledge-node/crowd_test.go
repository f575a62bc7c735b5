package main_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"flamingoledge.org/flamingoledge/internal/flooder"
	"flamingoledge.org/flamingoledge/pkg/resolver"
	"flamingoledge.org/flamingoledge/platform/standin"
)

var withCrowd = flag.Bool("crowd", false, "run the tests of crowds of callers, which must be alone on the machine")

// Limits of the entry under test and the sizes of the crowds that exceed them.
const (
	memoryMB       = 96
	maxDescriptors = 600
	maxBodyBytes   = 1 << 20
	maxHeadBytes   = 16 << 10
	// fullMemoryMB, fullDescriptors and fullBodyBytes are the limits of an entry of a small deployment, and
	// fullCallers a crowd that exceeds them.
	fullMemoryMB    = 284
	fullDescriptors = 4200
	fullBodyBytes   = 4 << 20
	fullCallers     = 6000
	// bodyCallers send bodies of maxBodyBytes, which take more than the memory of the entry together.
	bodyCallers = 200
	// connCallers open more connections than the entry may have.
	connCallers = 900
	crowdSeed   = 57
	testTimeout = 30 * time.Second
	// hangTimeout is longer than any crowd takes to send its requests, on any machine. A process that
	// hangs keeps it waiting.
	hangTimeout = 5 * time.Minute
	// crowdTime is how long a crowd goes on after all callers have sent their requests once.
	crowdTime = 2 * time.Second
	// maxRequests is how often the caller of an ordinary request sends it until it is served.
	maxRequests = 30
)

const crowdHead = "POST /open/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: crowd\r\nX-Deadline-Ms: 20000\r\nX-Model: m\r\nX-Token-Counts: 100,20\r\n"

// usualRequest is a complete request, after which the connection stays open.
const usualRequest = crowdHead + "Content-Length: 5\r\n\r\nhello"

// TestCrowd guards against processes that end, or serve nobody else, because callers send large
// bodies at the same time, stop before the end of a request or keep connections open.
func TestCrowd(t *testing.T) {
	if !*withCrowd {
		t.Skip("needs the machine for itself, see -crowd")
	}
	program := build(t)
	lowered := limits{memoryMB: memoryMB, descriptors: maxDescriptors, bodyBytes: maxBodyBytes}
	tests := map[string]flooder.Config{
		"whole bodies":                  {Callers: bodyCallers, Attempts: 4, Request: flooder.Whole(crowdHead, maxBodyBytes)},
		"bodies short of the end":       {Callers: bodyCallers, Attempts: 2, Request: flooder.Announced(crowdHead, maxBodyBytes, 1)},
		"bodies in pieces":              {Callers: bodyCallers, Attempts: 2, Request: flooder.Pieces(crowdHead, maxBodyBytes, 64<<10)},
		"large chunks":                  {Callers: bodyCallers, Attempts: 2, Request: flooder.Chunked(crowdHead, maxBodyBytes, 256<<10, false)},
		"small chunks":                  {Callers: bodyCallers, Attempts: 2, Request: flooder.Chunked(crowdHead, maxBodyBytes, 64, false)},
		"whole bodies in chunks":        {Callers: bodyCallers, Attempts: 4, Request: flooder.Chunked(crowdHead, maxBodyBytes, 64<<10, true)},
		"announced far over the limit":  {Callers: bodyCallers, Attempts: 4, Request: flooder.Announced(crowdHead, 64*maxBodyBytes, 60*maxBodyBytes)},
		"sent far over the limit":       {Callers: bodyCallers, Attempts: 4, Request: flooder.Chunked(crowdHead, 4*maxBodyBytes, 64<<10, false)},
		"half-sent heads":               {Callers: connCallers, Attempts: 1, Request: flooder.HalfHead(crowdHead, maxHeadBytes-1)},
		"silent connections":            {Callers: connCallers, Attempts: 1, Request: flooder.Silent()},
		"idle connections":              {Callers: connCallers, Attempts: 1, Request: flooder.Text(usualRequest)},
		"small bodies short of the end": {Callers: connCallers, Attempts: 1, Request: flooder.Announced(crowdHead, 2000, 1)},
		"mixed": {Callers: connCallers, Attempts: 4, Request: flooder.AnyOf(
			flooder.Whole(crowdHead, maxBodyBytes), flooder.Pieces(crowdHead, maxBodyBytes, 64<<10), flooder.Chunked(crowdHead, maxBodyBytes, 64, false),
			flooder.Chunked(crowdHead, 4*maxBodyBytes, 64<<10, false), flooder.HalfHead(crowdHead, maxHeadBytes-1), flooder.Text(usualRequest))},
	}
	for name, cfg := range tests {
		t.Run(name, func(t *testing.T) { testCrowd(t, program, lowered, cfg) })
	}
}

// TestLargeCrowd guards against limits that only hold for small processes. Its callers send all kinds of
// requests of TestCrowd at the same time.
func TestLargeCrowd(t *testing.T) {
	if !*withCrowd {
		t.Skip("needs the machine for itself, see -crowd")
	}
	full := limits{memoryMB: fullMemoryMB, descriptors: fullDescriptors, bodyBytes: fullBodyBytes}
	testCrowd(t, build(t), full, flooder.Config{Callers: fullCallers, Attempts: 4, Request: flooder.AnyOf(
		flooder.Whole(crowdHead, fullBodyBytes), flooder.Pieces(crowdHead, fullBodyBytes, 64<<10), flooder.Chunked(crowdHead, fullBodyBytes, 64, false),
		flooder.Chunked(crowdHead, 4*fullBodyBytes, 64<<10, false), flooder.HalfHead(crowdHead, maxHeadBytes-1), flooder.Text(usualRequest))})
}

// limits are those of an entry.
type limits struct {
	memoryMB, descriptors, bodyBytes int
}

func testCrowd(t *testing.T, program string, l limits, cfg flooder.Config) {
	t.Helper()
	is := is.New(t)
	e := startEntry(t, program, l)
	cfg.Address, cfg.Seed = e.address, crowdSeed
	// A body of the largest size is served while there is no crowd.
	is.Equal(e.send(strings.Repeat("0", l.bodyBytes)), http.StatusOK)
	meter := flooder.StartMeter(e.cmd.Process.Pid, e.port)
	crowd := flooder.Start(cfg)
	defer crowd.Close()
	allSent := crowd.AwaitSent(hangTimeout)
	time.Sleep(crowdTime)
	served := e.isServed()
	peak := meter.Stop()
	t.Logf("peak: %.1f MB, %d descriptors", float64(peak.MemoryBytes)/(1<<20), peak.Descriptors)
	is.True(allSent)
	is.True(served) // an ordinary request beside the crowd
	is.True(!e.hasEnded())
	is.True(peak.MemoryBytes <= int64(l.memoryMB)<<20)
	is.True(peak.Descriptors <= l.descriptors)
}

// build builds the program and returns its path.
func build(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "flamingoledge-node")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return program
}

// entry is a process of an entry with an engine that runs its requests.
type entry struct {
	cmd     *exec.Cmd
	address string
	port    int
	client  http.Client
	ended   chan struct{}
}

const (
	entryIP, engineIP = "127.57.1.1", "127.57.2.1"
	chunkCount        = 4
	chunkBytes        = 1024
)

func startEntry(t *testing.T, program string, l limits) *entry {
	t.Helper()
	port := freePort(t)
	store, weights := standin.NewStore(), standin.NewWeights("m", chunkCount, chunkBytes, 1)
	t.Cleanup(store.Close)
	configure(store, l.bodyBytes)
	engine, err := standin.NewEngine(standin.EngineConfig{
		ID: "i-0", Service: "llm", Zone: "z", Address: fmt.Sprintf("%s:%d", engineIP, port+1), Store: store, Weights: weights, Version: 1,
		Spec: resolver.Engine{Slots: 8, Stride: 5, StepTime: time.Millisecond, PrefillTokensPerSecond: 50_000, MeanPromptTokens: 100, MeanAnswerTokens: 20, Layers: 2},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(engine.Close)
	e := &entry{port: port + 1, address: fmt.Sprintf("%s:%d", entryIP, port+1), ended: make(chan struct{})}
	e.client = http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	settings, err := json.Marshal(map[string]any{
		"instance": map[string]any{"name": "entry-0", "availability_zone": "z", "region": "r"}, "regions": map[string]string{"z": "r"},
		"address": entryIP, "node_port": port, "callers_address": e.address, "ready_address": fmt.Sprintf("%s:%d", entryIP, port+2),
		"seeds": []string{entryIP + ":1"}, "store": store.AddressOf(entryIP), "link_mbps": 1000, "memory_mb": l.memoryMB, "max_descriptors": l.descriptors,
		"bounds": map[string]any{"drain_ms": 2000, "grace_s": 2, "revocation_ms": 5000, "retry_ratio": 0.2, "retry_extra": 100},
	})
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "entry.jsonc")
	if err = os.WriteFile(file, settings, 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(t.TempDir(), "entry.log"))
	if err != nil {
		t.Fatal(err)
	}
	e.cmd = exec.Command(program, "entry", "--settings", file)
	e.cmd.Stdout, e.cmd.Stderr = log, log
	if err = e.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = e.cmd.Wait()
		close(e.ended)
	}()
	t.Cleanup(func() {
		_ = e.cmd.Process.Kill()
		<-e.ended
		_ = log.Close()
		if t.Failed() {
			logTail(t, log.Name())
		}
	})
	if !e.isServed() {
		t.Fatal("the entry does not serve a first request")
	}
	return e
}

// configure writes the configuration and the engine's service to the store.
func configure(store *standin.Store, maxBodyBytes int) {
	store.PutConfiguration(map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "open", "host": "h.example", "path_prefix": "/open/", "route_kind": "streaming", "timeout_ms": 20_000, "slo_ms": 500,
			"service": "llm", "max_attempts": 2, "anonymous": true, "resumable": true, "gap_target_ms": 400,
		}},
		"services": []any{map[string]any{"name": "llm", "max_conns": 100, "engine": map[string]any{
			"slots": 8, "stride": 5, "step_ms": 1, "read_per_s": 50_000, "usual": map[string]any{"prompt": 100, "answer": 20}, "layers": 2,
			"chunks": chunkCount, "chunk_bytes": chunkBytes, "models": []any{map[string]any{"name": "m"}},
		}}},
		"limits": map[string]any{"max_header_bytes": maxHeadBytes, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15_000},
	})
}

// send sends a request on a new connection and returns the status of the answer; 0 if there is none.
func (e *entry) send(body string) int {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+e.address+"/open/1", strings.NewReader(body))
	if err != nil {
		return 0
	}
	r.Host = "h.example"
	for k, v := range map[string]string{"X-Request-Id": "ordinary", "X-Deadline-Ms": "5000", "X-Model": "m", "X-Token-Counts": "100,20"} {
		r.Header.Set(k, v)
	}
	resp, err := e.client.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode
}

// isServed reports whether an ordinary request is answered, which its caller repeats some times.
func (e *entry) isServed() bool {
	for range maxRequests {
		if e.send("hello") == http.StatusOK {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

func (e *entry) hasEnded() bool {
	select {
	case <-e.ended:
		return true
	default:
		return false
	}
}

func freePort(t *testing.T) int {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	return min(lis.Addr().(*net.TCPAddr).Port, 60_000)
}

// logTail logs the end of a log file.
func logTail(t *testing.T, file string) {
	t.Helper()
	const tailBytes = 4 << 10
	b, err := os.ReadFile(file)
	if err != nil {
		t.Log(err)
		return
	}
	t.Logf("%s", b[max(len(b)-tailBytes, 0):])
}
