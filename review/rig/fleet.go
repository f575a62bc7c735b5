package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"flamingoledge.org/flamingoledge/internal/configurator"
	"flamingoledge.org/flamingoledge/pkg/resolver"
	"flamingoledge.org/flamingoledge/platform/standin"
)

// The deployment: figures of the sheet of the flake ice fleet, with fewer instances.
const (
	model       = "m"
	service     = "llm"
	key         = "k"
	zone        = "z"
	region      = "r"
	chunks      = 96
	chunkBytes  = 24576
	slots       = 16
	sideMbps    = 7.3
	entryMbps   = 1000
	entryMemory = 284
	sideMemory  = 152
	// recoverTime is recover_s, seedLag seed_lag_s.
	recoverTime = 12 * time.Second
	seedLag     = 3 * time.Second
	// expiry is the time after which the store drops an endpoint that is silent: three times
	// heartbeat_ms.
	expiry = 3600 * time.Millisecond
	// downTime is how long machines are without power at the end of a day (down_s).
	downTime = 1200 * time.Millisecond
	program  = "target/flamingoledge-node"
)

// engineSpec is the profile of the engines. A step takes 9.27 ms and more by the sheet; it takes
// longer while prompts are read, which these engines do faster.
var engineSpec = resolver.Engine{
	Slots: slots, Stride: 5, StepTime: 15 * time.Millisecond, PrefillTokensPerSecond: 20700, MeanPromptTokens: 900, MeanAnswerTokens: 90, Layers: 2,
}

// fleet is a small deployment.
type fleet struct {
	log     *eventLog
	dir     string
	network int
	port    int
	store   *standin.Store
	origin  *origin
	weights *standin.Weights
	engines []*standin.Engine
	// starts counts the starts of engines, which get new IDs.
	starts    int
	processes map[string]*process
	callers   *callers
}

// process is a running process of the system.
type process struct {
	cmd      *exec.Cmd
	settings string
	node     *configurator.Node
}

func newFleet(record io.Writer) (f *fleet, err error) {
	f = &fleet{
		log: newLog(record), network: 64 + os.Getpid()%128, store: standin.NewStore(),
		weights: standin.NewWeights(model, chunks, chunkBytes, 1, 2), processes: map[string]*process{},
	}
	if f.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	if f.origin, err = newOrigin(f.weights, f.log); err != nil {
		return nil, err
	}
	if f.port, err = freePort(); err != nil {
		return nil, err
	}
	f.callers = newCallers(f.log)
	return f, nil
}

// close ends all processes and removes their files.
func (f *fleet) close() {
	f.callers.stop()
	for name := range f.processes {
		f.kill(name)
	}
	for _, e := range f.engines {
		e.Close()
	}
	f.origin.close()
	f.store.Close()
	_ = os.RemoveAll(f.dir) //nolint:gosec // It is a folder that the rig made.
}

// freePort returns the first of three ports that were free a moment ago.
func freePort() (int, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = lis.Close() }()
	addr, ok := lis.Addr().(*net.TCPAddr)
	if !ok {
		return 0, fmt.Errorf("%v is no TCP address", lis.Addr())
	}
	return min(addr.Port, 65000), nil
}

func (f *fleet) entryIP(i int) string { return fmt.Sprintf("127.%d.1.%d", f.network, i+1) }
func (f *fleet) sideIP(i int) string  { return fmt.Sprintf("127.%d.2.%d", f.network, i+1) }

// seeds returns the addresses of entries as the settings name them.
func (f *fleet) seeds(entries ...int) (seeds []string) {
	for _, i := range entries {
		seeds = append(seeds, fmt.Sprintf("%s:%d", f.entryIP(i), f.port))
	}
	return seeds
}

// configure writes the operators' configuration.
func (f *fleet) configure(version int) {
	f.store.PutConfiguration(map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r", "host": "h.example", "path_prefix": "/r/", "route_kind": "streaming", "timeout_ms": 6000, "slo_ms": 500, "priority": 1,
			"service": service, "max_attempts": 2, "anonymous": false, "sticky": true, "resumable": true, "gap_target_ms": 400,
		}},
		"services": []any{
			map[string]any{"name": service, "health_path": "/healthz", "max_conns": 364, "engine": map[string]any{
				"slots": slots, "kv_capacity": 317000, "stride": engineSpec.Stride, "step_ms": 15, "read_per_s": engineSpec.PrefillTokensPerSecond,
				"usual":  map[string]any{"prompt": engineSpec.MeanPromptTokens, "answer": engineSpec.MeanAnswerTokens},
				"layers": engineSpec.Layers, "chunks": chunks, "chunk_bytes": chunkBytes, "models": []any{map[string]any{"name": model}},
			}},
			map[string]any{"name": "weights", "origin": f.origin.address(), "zone": zone, "link_mbps": sideMbps, "max_conns": 48},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "w", "api_keys": []string{key}, "priority": 1}},
	})
}

// settings returns the settings of an instance.
func (f *fleet) settings(name, ip string, seeds []string) *configurator.Node {
	n := configurator.DefaultNode()
	n.Instance = configurator.Instance{Name: name, AvailabilityZone: zone, Region: region}
	n.Regions = map[string]string{zone: region}
	n.Address, n.NodePort, n.Store, n.Seeds = ip, f.port, f.store.Address(), seeds
	n.Bounds = configurator.Bounds{
		DrainMillis: 2000, GraceSeconds: 8, ConfigurationMillis: 2000, RevocationMillis: 5000, RevocationStrict: true,
		VersionMillis: 8000, RetryRatio: 0.2, RetryWindowSeconds: 10, RetryExtra: 104,
	}
	return n
}

func entryName(i int) string { return fmt.Sprint("entry-", i) }
func sideName(i int) string  { return fmt.Sprint("side-", i) }

// startEntry starts the entry on instance i. Callers may connect to it from then on.
func (f *fleet) startEntry(i int, seeds []string) error {
	n := f.settings(entryName(i), f.entryIP(i), seeds)
	n.CallersAddress, n.ReadyAddress = fmt.Sprintf("%s:%d", n.Address, f.port+1), fmt.Sprintf("%s:%d", n.Address, f.port+2)
	n.LinkMbps, n.MemoryMB = entryMbps, entryMemory
	if err := f.start(entryName(i), "entry", n); err != nil {
		return err
	}
	f.callers.add(n.CallersAddress)
	return nil
}

// startSide starts instance i of the endpoints: its engine, with a version loaded or none, and
// its sidecar.
func (f *fleet) startSide(i int, version uint64, seeds []string) error {
	f.starts++
	address := fmt.Sprintf("%s:%d", f.sideIP(i), f.port+1)
	e, err := standin.NewEngine(standin.EngineConfig{
		ID: fmt.Sprint("i-", f.starts), Service: service, Zone: zone, Address: address,
		Store: f.store, Weights: f.weights, Spec: engineSpec, Version: version,
	})
	if err != nil {
		return err
	}
	f.engines = append(f.engines, e)
	n := f.settings(sideName(i), f.sideIP(i), seeds)
	n.EndpointAddress, n.Service, n.LinkMbps, n.MemoryMB = address, service, sideMbps, sideMemory
	return f.start(sideName(i), "sidecar", n)
}

// start starts a process by the command of the deploy file.
func (f *fleet) start(name, role string, n *configurator.Node) error {
	p := &process{settings: filepath.Join(f.dir, name+".json"), node: n}
	if err := p.writeSettings(); err != nil {
		return err
	}
	//nolint:gosec // It is a folder that the rig made.
	output, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	//nolint:gosec // The program and the role are constants.
	p.cmd = exec.Command(program, role)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "FLAMINGOLEDGE_NODE_FILE=" + p.settings}
	p.cmd.Stdout, p.cmd.Stderr = output, output
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	f.processes[name] = p
	f.log.recordf("%s starts", name)
	return p.cmd.Start()
}

func (p *process) writeSettings() error {
	data, err := json.Marshal(p.node)
	if err != nil {
		return err
	}
	return os.WriteFile(p.settings, data, 0o600)
}

// kill ends a process without warning.
func (f *fleet) kill(name string) {
	p := f.processes[name]
	delete(f.processes, name)
	f.callers.remove(p.node.CallersAddress)
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// losePower ends all processes and engines at the same moment. The store drops the engines'
// entries once they have been silent for long enough.
func (f *fleet) losePower() {
	f.log.printf("all machines lose power")
	for _, p := range f.processes {
		f.callers.remove(p.node.CallersAddress)
		_ = p.cmd.Process.Kill()
	}
	for _, e := range f.engines {
		e.Close()
		time.AfterFunc(expiry, func() { f.store.ExpireEndpoint(e.ID()) })
	}
	for name := range f.processes {
		f.kill(name)
	}
	f.engines = nil
}

// loaded returns how many engines have loaded a version.
func (f *fleet) loaded(version uint64) (n int) {
	for _, e := range f.engines {
		if e.Version() == version {
			n++
		}
	}
	return n
}

// await waits until a condition holds. It returns an error if that takes too long.
func await(what string, timeout time.Duration, holds func() bool) error {
	for end := time.Now().Add(timeout); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("%s: not within %v", what, timeout)
		}
	}
	return nil
}
