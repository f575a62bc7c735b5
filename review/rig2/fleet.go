package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"flamingoledge.org/flamingoledge/pkg/resolver"
	"flamingoledge.org/flamingoledge/platform/standin"
)

// The bounds of the smaller deployments (SYSTEM.md).
const (
	contactTime = 3 * time.Second
	recoverTime = 12 * time.Second
	versionTime = 8 * time.Second
)

const (
	program    = "target/flamingoledge-node"
	zone       = "z"
	host       = "h.example"
	key        = "key-1"
	revokedKey = "key-2"
	model      = "m"
	engineName = "llm"
	chunks     = 96
	chunkBytes = 24_576
	// chunkTime is how long the origin's link of 7.3 Mbit/s takes for a chunk.
	chunkTime = 27 * time.Millisecond
	// readyTimeout bounds the start of the deployment.
	readyTimeout = 20 * time.Second
)

// engineSpec is the profile of the engines of the smaller deployments.
var engineSpec = resolver.Engine{
	Slots: 16, KVCapacity: 317_000, Stride: 5, StepTime: 9270 * time.Microsecond, StepTimePerRequest: 23 * time.Microsecond,
	StepTimePerKContext: 32 * time.Microsecond, PrefillTokensPerSecond: 20_700, PrefillPerMillionPairs: 1180 * time.Microsecond,
	MeanPromptTokens: 979, MeanAnswerTokens: 92, Layers: 2, Chunks: chunks, ChunkBytes: chunkBytes, Models: []string{model},
}

// process is a running process of the project.
type process struct {
	name      string
	cmd       *exec.Cmd
	startedAt time.Time
	done      chan struct{}
}

// fleet is a deployment: the project's processes, and stand-ins of the platform.
type fleet struct {
	dir   string
	rec   *recorder
	port  int
	net   int
	store *standin.Store
	// weights and origin serve two versions.
	weights *standin.Weights
	origin  *origin
	// storeAddress is where processes reach the store; empty for the store itself.
	storeAddress string
	// keys are the API keys in the configuration.
	keys []string

	mu        sync.Mutex
	processes map[string]*process
}

func newFleet(dir string, rec *recorder) (*fleet, error) {
	f := &fleet{
		dir: dir, rec: rec, net: 16 + os.Getpid()%200, store: standin.NewStore(),
		weights: standin.NewWeights(model, chunks, chunkBytes, 1, 2), processes: map[string]*process{}, keys: []string{key},
	}
	var err error
	if f.port, err = freePorts(); err != nil {
		return nil, err
	}
	if f.origin, err = newOrigin(f.weights); err != nil {
		return nil, err
	}
	f.configure(1, true)
	return f, nil
}

// freePorts returns the first of five ports that are likely to be free.
func freePorts() (int, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = lis.Close() }()
	addr, ok := lis.Addr().(*net.TCPAddr)
	if !ok {
		return 0, errors.New("no TCP address")
	}
	return min(addr.Port, 60_000), nil
}

func (f *fleet) ip(class, i int) string { return fmt.Sprintf("127.%d.%d.%d", f.net, class, i+1) }

func (f *fleet) callersAddress(i int) string { return fmt.Sprintf("%s:%d", f.ip(1, i), f.port+1) }

func (f *fleet) engineAddress(i int) string { return fmt.Sprintf("%s:%d", f.ip(2, i), f.port+1) }

// configure writes a version of the operator's configuration, whose streams may be resumed or not.
func (f *fleet) configure(version int, isResumable bool) {
	f.store.PutConfiguration(map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "draft", "host": host, "path_prefix": "/draft/", "route_kind": "streaming", "timeout_ms": 6000, "slo_ms": 500, "priority": 1,
			"service": engineName, "max_attempts": 2, "anonymous": false, "sticky": true, "resumable": isResumable, "gap_target_ms": 400,
		}},
		"services": []any{
			map[string]any{"name": engineName, "health_path": "/healthz", "max_conns": 364, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": engineSpec.Slots, "kv_capacity": engineSpec.KVCapacity, "stride": engineSpec.Stride, "step_ms": 9.27, "per_seq_ms": 0.0232,
				"context_per_k": 0.0322, "read_per_s": engineSpec.PrefillTokensPerSecond, "pairs_per_m": 1.18, "layers": engineSpec.Layers,
				"usual":  map[string]any{"prompt": engineSpec.MeanPromptTokens, "answer": engineSpec.MeanAnswerTokens},
				"chunks": chunks, "chunk_bytes": chunkBytes, "models": []any{map[string]any{"name": model}},
			}},
			map[string]any{"name": "weights", "origin": f.origin.address(), "zone": zone, "link_mbps": 7.3, "max_conns": 48},
		},
		"limits":  map[string]any{"max_header_bytes": 16_384, "max_body_bytes": 4_194_304, "header_timeout_ms": 3000, "idle_timeout_ms": 15_000},
		"tenants": []any{map[string]any{"name": "w", "api_keys": f.keys, "priority": 1}},
	})
}

// settings returns what the template of the deploy file gives for a process.
func (f *fleet) settings(name, ip string) map[string]any {
	return map[string]any{
		"instance": map[string]any{"name": name, "availability_zone": zone, "region": "r"},
		"regions":  map[string]string{zone: "r"},
		"address":  ip, "node_port": f.port, "metrics_port": 0,
		"seeds": []string{f.ip(1, 0) + ":1", f.ip(1, 1) + ":1", f.ip(1, 2) + ":1"},
		"store": cmp.Or(f.storeAddress, f.store.AddressOf(ip)), "link_mbps": 1000.0, "memory_mb": 284, "log_level": "info",
		"weights": map[string]any{"partitions": 24, "record_bytes": 262_144, "call_bytes": 2_097_152, "max_kept_mb": 64},
		"bounds": map[string]any{
			"drain_ms": 2000, "grace_s": 8, "configuration_ms": 2000, "revocation_ms": 5000, "revocation_strict": true, "version_ms": versionTime.Milliseconds(),
			"retry_ratio": 0.2, "retry_window_s": 10, "retry_extra": 104,
		},
	}
}

func (f *fleet) startEntry(i int) error {
	s := f.settings(fmt.Sprintf("entry-%d", i), f.ip(1, i))
	s["callers_address"], s["ready_address"] = f.callersAddress(i), fmt.Sprintf("%s:%d", f.ip(1, i), f.port+2)
	return f.start("entry", fmt.Sprintf("entry-%d", i), s)
}

func (f *fleet) startSidecar(i int) error {
	s := f.settings(fmt.Sprintf("sidecar-%d", i), f.ip(2, i))
	s["endpoint_address"], s["service"], s["link_mbps"], s["memory_mb"] = f.engineAddress(i), engineName, 7.3, 152
	return f.start("sidecar", fmt.Sprintf("sidecar-%d", i), s)
}

// start starts a process by the command of the deploy file.
func (f *fleet) start(role, name string, settings map[string]any) error {
	file := filepath.Join(f.dir, name+".jsonc")
	b, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	//nolint:gosec // The folder is a temporary one, or one that the caller names.
	if err = os.WriteFile(file, b, 0o600); err != nil {
		return err
	}
	//nolint:gosec // As above.
	log, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	//nolint:gosec // The program is the one that the deploy file builds.
	cmd := exec.Command(program, role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FLAMINGOLEDGE_NODE_FILE=" + file}
	cmd.Stdout, cmd.Stderr = log, log
	if err = cmd.Start(); err != nil {
		return err
	}
	p := &process{name: name, cmd: cmd, startedAt: time.Now(), done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	f.mu.Lock()
	f.processes[name] = p
	f.mu.Unlock()
	f.rec.log("start", name)
	return nil
}

// kill ends processes of this fleet by SIGKILL, all at the same moment, and waits for their ends.
func (f *fleet) kill(names ...string) {
	f.mu.Lock()
	var killed []*process
	for _, name := range names {
		if p := f.processes[name]; p != nil {
			_ = p.cmd.Process.Signal(syscall.SIGKILL)
			killed = append(killed, p)
			delete(f.processes, name)
		}
	}
	f.mu.Unlock()
	for _, p := range killed {
		<-p.done
		f.rec.log("kill", p.name)
	}
}

// running returns the names of the processes with a prefix.
func (f *fleet) running(prefix string) (names []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name := range f.processes {
		if len(name) >= len(prefix) && name[:len(prefix)] == prefix {
			names = append(names, name)
		}
	}
	return names
}

// startedAt returns when a process was started last.
func (f *fleet) startedAt(name string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.processes[name]; p != nil {
		return p.startedAt
	}
	return time.Now()
}

// hasEnded returns a process that has ended by itself; empty if there is none.
func (f *fleet) hasEnded() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, p := range f.processes {
		select {
		case <-p.done:
			return name
		default:
		}
	}
	return ""
}

func (f *fleet) close() {
	f.kill(f.running("")...)
	f.origin.close()
	f.store.Close()
}

// awaitReady waits until each entry serves a sound request.
func (f *fleet) awaitReady(c *client) error {
	for end := time.Now().Add(readyTimeout); ; time.Sleep(200 * time.Millisecond) {
		served := 0
		for i := range machineEntries {
			if c.send(request{entry: i, what: "warmup", prompt: soundPrompt()}).isServed() {
				served++
			}
		}
		if served == machineEntries {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d entries serve after %v", served, machineEntries, readyTimeout)
		}
	}
}
