// Package rig3 runs the programs of the deploy file as separate processes on loopback addresses,
// against the project's stand-ins of the platform, for the scripts of the third review.
package rig3

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"flamingoledge.org/flamingoledge/pkg/resolver"
	"flamingoledge.org/flamingoledge/platform/standin"
)

// Program is the program of the deploy file, relative to the repository.
const Program = "target/flamingoledge-node"

// Exit codes of a script.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Bounds of the users' page on the small deployment.
const (
	RecoverTime   = 12 * time.Second
	ContactTime   = 3 * time.Second
	VersionBound  = 8 * time.Second
	DeadlineTime  = 6 * time.Second
	Chunks        = 96
	ChunkBytes    = 24_576
	LinkMbps      = 7.3
	originRunTime = 27 * time.Millisecond // of a piece on a link of 7.3 Mbit/s
)

// Spec is that of the engines.
var Spec = resolver.Engine{
	Slots: 16, Stride: 5, StepTime: 9 * time.Millisecond, PrefillTokensPerSecond: 20_700, MeanPromptTokens: 600, MeanAnswerTokens: 20, Layers: 2,
}

// Record writes what happens to record.txt and standard output.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the record of a script in its folder.
func NewRecord(folder string) (*Record, error) {
	//nolint:gosec // The folder is the one of the script.
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	return &Record{file: f, start: time.Now()}, err
}

// Printf writes a line with the time since the start.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(io.MultiWriter(r.file, os.Stdout), "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// System is a small deployment.
type System struct {
	Record  *Record
	Store   *standin.Store
	Origin  *standin.Origin
	Weights *standin.Weights
	Engines []*standin.Engine
	// OriginAddress is where the configuration says that the origin is.
	OriginAddress string
	// Service is that of the sidecars and engines that are started; "llm" if empty.
	Service string
	// Pools are services beside "llm" that have the same engines and the same share of its route.
	Pools []string
	// Prompt returns the parts of a prompt with a number for its own one; nil for two parts.
	Prompt func(number string) string

	dir     string
	network int
	port    int
	starts  int

	mu    sync.Mutex
	procs map[string]*Process
}

// Process is a process of the system.
type Process struct {
	Name string
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
}

// NewSystem returns a deployment without processes.
func NewSystem(record *Record, versions ...uint64) (s *System, err error) {
	s = &System{Record: record, Store: standin.NewStore(), Weights: standin.NewWeights("m0", Chunks, ChunkBytes, versions...), procs: map[string]*Process{}, network: 64 + rand.IntN(128)}
	if s.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	if s.Origin, err = standin.NewOrigin(s.Weights); err != nil {
		return nil, err
	}
	s.Origin.SetChunkTime(originRunTime)
	s.OriginAddress = s.Origin.Address()
	lis, err := net.Listen("tcp", s.EntryIP(0)+":0")
	if err != nil {
		return nil, err
	}
	s.port = lis.Addr().(*net.TCPAddr).Port
	return s, lis.Close()
}

// Close ends all processes and stand-ins.
func (s *System) Close() {
	s.KillAll()
	for _, e := range s.Engines {
		e.Close()
	}
	s.Origin.Close()
	s.Store.Close()
	_ = os.RemoveAll(s.dir)
}

// EntryIP is the address of the i-th entry.
func (s *System) EntryIP(i int) string { return fmt.Sprintf("127.%d.1.%d", s.network, i+1) }

// SidecarIP is the address of the i-th sidecar and its engine.
func (s *System) SidecarIP(i int) string { return fmt.Sprintf("127.%d.2.%d", s.network, i+1) }

// Port is the first port that the system uses.
func (s *System) Port() int { return s.port }

// EntryAddress is where callers reach an entry.
func (s *System) EntryAddress(i int) string { return fmt.Sprintf("%s:%d", s.EntryIP(i), s.port+1) }

func (s *System) service() string { return cmp.Or(s.Service, "llm") }

// Configure writes the operators' configuration.
func (s *System) Configure(version int, extraServices ...map[string]any) {
	route := func(name, kind, service string, timeout, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": "h.example", "path_prefix": "/" + name + "/", "route_kind": kind, "timeout_ms": timeout, "slo_ms": 500,
			"priority": 1, "service": service, "max_attempts": attempts, "anonymous": false, "resumable": kind == "streaming", "gap_target_ms": 400,
		}
	}
	services := []any{map[string]any{"name": "weights", "origin": s.OriginAddress, "zone": "z", "link_mbps": LinkMbps, "max_conns": 48}}
	draft := route("draft", "streaming", "llm", 6000, 2)
	if len(s.Pools) > 0 {
		delete(draft, "service")
	}
	var split []any
	for _, name := range append([]string{"llm"}, s.Pools...) {
		services = append(services, map[string]any{"name": name, "max_conns": 364, "engine": map[string]any{
			"slots": Spec.Slots, "stride": Spec.Stride, "step_ms": 9, "read_per_s": Spec.PrefillTokensPerSecond,
			"usual": map[string]any{"prompt": Spec.MeanPromptTokens, "answer": Spec.MeanAnswerTokens}, "layers": 2, "chunks": Chunks, "chunk_bytes": ChunkBytes,
			"models": []any{map[string]any{"name": "m0"}},
		}})
		split = append(split, map[string]any{"service": name, "weight": 1})
	}
	if len(s.Pools) > 0 {
		draft["split"] = split
	}
	for _, e := range extraServices {
		services = append(services, e)
	}
	s.Store.PutConfiguration(map[string]any{
		"version": version, "services": services,
		"routes":  []any{draft, route("order", "unsafe", "plain", 0, 1), route("look", "safe", "plain", 0, 2)},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 5000, "idle_timeout_ms": 10000},
		"tenants": []any{map[string]any{"name": "w", "api_keys": []string{"k"}}},
	})
}

func (s *System) settings(name, ip string) map[string]any {
	return map[string]any{
		"instance": map[string]any{"name": name, "availability_zone": "z", "region": "r"}, "regions": map[string]any{"z": "r"},
		"address": ip, "node_port": s.port, "metrics_port": s.port + 3, "seeds": []string{s.EntryIP(0) + ":1", s.EntryIP(1) + ":1"},
		"store": s.Store.Address(), "log_level": "info",
		"weights": map[string]any{"partitions": 24, "record_bytes": 262144, "call_bytes": 2097152, "max_kept_mb": 64},
		"bounds": map[string]any{
			"drain_ms": 2000, "grace_s": 8, "configuration_ms": 2000, "revocation_ms": 5000, "revocation_strict": true, "version_ms": VersionBound.Milliseconds(),
			"retry_ratio": 0.2, "retry_window_s": 10, "retry_extra": 104,
		},
	}
}

// StartEntry starts the i-th entry.
func (s *System) StartEntry(i int) error {
	n := s.settings(fmt.Sprintf("entry-%d", i), s.EntryIP(i))
	n["callers_address"], n["ready_address"] = s.EntryAddress(i), fmt.Sprintf("%s:%d", s.EntryIP(i), s.port+2)
	n["link_mbps"], n["memory_mb"], n["max_descriptors"] = 1000, 284, 4200
	return s.start(fmt.Sprintf("entry-%d", i), "entry", n)
}

// StartEntries starts n entries.
func (s *System) StartEntries(n int) error {
	for i := range n {
		if err := s.StartEntry(i); err != nil {
			return err
		}
	}
	return nil
}

// StartEngines starts n engines, which hold a version or nothing, with their sidecars.
func (s *System) StartEngines(n int, version uint64) error {
	for i := range n {
		if err := s.StartEngine(i, version); err != nil {
			return err
		}
		if err := s.StartSidecar(i); err != nil {
			return err
		}
	}
	return nil
}

// StartSidecar starts the sidecar of the i-th engine.
func (s *System) StartSidecar(i int) error {
	n := s.settings(fmt.Sprintf("sidecar-%d", i), s.SidecarIP(i))
	n["endpoint_address"], n["service"] = s.EngineAddress(i), s.service()
	n["link_mbps"], n["memory_mb"], n["max_descriptors"] = LinkMbps, 152, 2048
	return s.start(fmt.Sprintf("sidecar-%d", i), "sidecar", n)
}

// EngineAddress is the address of the i-th engine.
func (s *System) EngineAddress(i int) string { return fmt.Sprintf("%s:%d", s.SidecarIP(i), s.port+1) }

// StartEngine starts the i-th engine; version is what it holds at its start, 0 for nothing.
func (s *System) StartEngine(i int, version uint64) error {
	s.starts++
	e, err := standin.NewEngine(standin.EngineConfig{
		ID: fmt.Sprintf("i-%d-%d", i, s.starts), Service: s.service(), Zone: "z", Address: s.EngineAddress(i), Store: s.Store, Weights: s.Weights, Spec: Spec, Version: version,
	})
	if err == nil {
		s.Engines = append(s.Engines, e)
	}
	return err
}

// StopEngines ends all engines as a loss of power does, and lets their records expire.
func (s *System) StopEngines() {
	for _, e := range s.Engines {
		e.Close()
		s.Store.ExpireEndpoint(e.ID())
	}
	s.Engines = nil
}

func (s *System) start(name, role string, settings map[string]any) error {
	b, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	file := filepath.Join(s.dir, name+".jsonc")
	if err = os.WriteFile(file, b, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(s.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	//nolint:gosec // The program is a constant, and the role one of its own.
	p := &Process{Name: name, cmd: exec.Command(Program, role), log: log, done: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), "FLAMINGOLEDGE_NODE_FILE="+file)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err = p.cmd.Start(); err != nil {
		return err
	}
	s.mu.Lock()
	s.procs[name] = p
	s.mu.Unlock()
	go func() {
		_ = p.cmd.Wait()
		_ = log.Close()
		close(p.done)
	}()
	return nil
}

// Process returns a process by its name.
func (s *System) Process(name string) *Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.procs[name]
}

// HasEnded reports whether the process has ended.
func (p *Process) HasEnded() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Exit describes how the process ended.
func (p *Process) Exit() string {
	<-p.done
	return p.cmd.ProcessState.String()
}

// Signal sends a signal to the process.
func (p *Process) Signal(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) }

// KillAll kills all processes and waits for their ends.
func (s *System) KillAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, p := range s.procs {
		_ = p.cmd.Process.Kill()
		<-p.done
		delete(s.procs, name)
	}
}

// LogLines returns the lines of a process's log that contain a text.
func (s *System) LogLines(name, text string) (lines []string) {
	b, _ := os.ReadFile(filepath.Join(s.dir, name+".log"))
	for line := range strings.SplitSeq(string(b), "\n") {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}

var lastRequest atomic.Int64

// Answer is what the client saw of a request.
type Answer struct {
	ID     string
	SentAt time.Time
	Status int
	Body   string
	Err    error
}

// whole is the answer to a request for 20 tokens.
const whole = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n"

// IsServed reports whether the whole stream arrived.
func (a Answer) IsServed() bool { return a.Err == nil && a.Status == http.StatusOK && a.Body == whole }

// String describes the answer.
func (a Answer) String() string {
	switch {
	case a.Err != nil:
		return "failed: " + a.Err.Error()
	case a.IsServed():
		return "served"
	default:
		return fmt.Sprintf("status %d %.120q", a.Status, a.Body)
	}
}

// Stream sends a request for a stream to an entry.
func (s *System) Stream(entry int) Answer {
	n := strconv.FormatInt(time.Now().UnixNano(), 16)
	if s.Prompt != nil {
		return s.StreamWithPrompt(entry, s.Prompt(n))
	}
	return s.StreamWithPrompt(entry, "5c1e07a2:40,"+n+":560")
}

// StreamWithPrompt sends a request with the parts of its prompt.
func (s *System) StreamWithPrompt(entry int, prompt string) (a Answer) {
	a = Answer{ID: fmt.Sprintf("r%d", lastRequest.Add(1)), SentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), DeadlineTime)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.EntryAddress(entry)+"/draft/1", strings.NewReader(a.ID))
	if err != nil {
		a.Err = err
		return a
	}
	r.Host, r.Close = "h.example", true
	for k, v := range map[string]string{"X-Request-Id": a.ID, "X-Deadline-Ms": "6000", "X-Model": "m0", "X-Token-Counts": "600,20", "X-Prompt-Prefix": prompt, "X-Api-Key": "k"} {
		r.Header.Set(k, v)
	}
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		a.Err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	a.Status, a.Body, a.Err = resp.StatusCode, string(b), err
	return a
}

// Look sends a safe request for the plain service to an entry.
func (s *System) Look(entry int) (a Answer) {
	a = Answer{ID: fmt.Sprintf("r%d", lastRequest.Add(1)), SentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.EntryAddress(entry)+"/look/1", nil)
	if err != nil {
		a.Err = err
		return a
	}
	r.Host, r.Close = "h.example", true
	for k, v := range map[string]string{"X-Request-Id": a.ID, "X-Deadline-Ms": "600", "X-Api-Key": "k"} {
		r.Header.Set(k, v)
	}
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		a.Err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	a.Status, a.Body, a.Err = resp.StatusCode, string(b), err
	return a
}

// Traffic sends streams to the entries in turn, at a rate, until ctx ends, and returns the answers. A
// client retries once, as the sheet says, after a refusal or a failed connection; each is an answer of
// its own.
func (s *System) Traffic(ctx context.Context, entries, perSecond int) (answers []Answer) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			wg.Wait()
			return answers
		case <-ticker.C:
		}
		wg.Go(func() {
			a := s.Stream(i % entries)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
	}
}

// Served counts the requests that were sent between two times, and those of them that were served.
func Served(answers []Answer, from, to time.Time) (served, sent int) {
	for _, a := range answers {
		if a.SentAt.Before(from) || a.SentAt.After(to) {
			continue
		}
		sent++
		if a.IsServed() {
			served++
		}
	}
	return served, sent
}

// ErrNotReady is returned if the system does not serve in time.
var ErrNotReady = errors.New("the system does not serve before the disruption")

// AwaitServing waits until the entries serve.
func (s *System) AwaitServing(entries int, timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		ok := true
		for i := range entries {
			ok = ok && s.Stream(i).IsServed()
		}
		if ok {
			return nil
		}
	}
	return ErrNotReady
}

// HasTrouble reports whether the script has to bring about its disruption.
func HasTrouble() bool { return os.Getenv("TROUBLE") != "0" }

// Main runs a script, whose folder is the first argument, and exits with its result.
func Main(run func(r *Record) (code int, err error)) {
	record, err := NewRecord(os.Args[1])
	if err != nil {
		fmt.Println(err)
		os.Exit(NotRun)
	}
	code, err := run(record)
	if err != nil {
		record.Printf("the case could not run: %v", err)
		code = NotRun
	}
	record.Printf("exit code %d", code)
	os.Exit(code)
}
