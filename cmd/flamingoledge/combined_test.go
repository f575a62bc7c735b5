package main_test

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"flamingoledge.org/flamingoledge/internal/caller"
	"flamingoledge.org/flamingoledge/internal/emulator"
	"flamingoledge.org/flamingoledge/internal/entryserver"
	"flamingoledge.org/flamingoledge/internal/publisher"
	"flamingoledge.org/flamingoledge/pkg/chunker"
)

var combinedSeeds = flag.Int("combined.seeds", 2, "number of seeded runs with real processes and combined faults")

const (
	faultAfter = 1500 * time.Millisecond
	faultFor   = 3 * time.Second
	// settleTime is the time after the last fault within which every live process
	// must have every accepted record in force.
	settleTime  = 6 * time.Second
	modelTokens = 20
	// modelRecordOffset is the offset of the first model record, which follows two
	// service records.
	modelRecordOffset = 3
)

// combinedRun is one run of a cluster under load, with concurrent operators and
// injected faults.
type combinedRun struct {
	*cluster
	rng    *rand.Rand
	caller *caller.Caller
	relays map[string]*relay
	admin  *fasthttp.Client
	stop   chan struct{}
	wg     sync.WaitGroup

	mu           sync.Mutex
	observations observations
	// incarnation counts the restarts of each process.
	incarnation map[string]int
	// firstDigest is the digest of the first version and modelOffset the offset of
	// its record.
	firstDigest string
	modelOffset uint64
}

func newCombinedRun(t *testing.T, seed uint64) *combinedRun {
	c := &combinedRun{
		cluster: newCluster(t), rng: rand.New(rand.NewPCG(seed, 7)), caller: caller.New(caller.Config{MaxConnections: 256}),
		relays: map[string]*relay{}, admin: &fasthttp.Client{}, stop: make(chan struct{}),
		incarnation: map[string]int{}, observations: observations{intendedWeights: map[string]string{}},
	}
	// The processes of the second region reach the platform through a relay.
	c.relays["platform"] = newRelay(t, c.platform)
	return c
}

func (c *combinedRun) setup() {
	c.entry("entry-1")
	c.entryAt("entry-2", c.relays["platform"].address())
	for _, name := range []string{"engine-1", "engine-2"} {
		c.endpoint(name, "engine")
	}
	c.endpointAt("engine-3", "engine", c.relays["platform"].address())
	c.endpoint("orders-1", "orders")
	c.endpointAt("orders-2", "orders", c.relays["platform"].address())
	c.publishServices()
	c.firstDigest = c.putVersion(1, 0, "")
	c.modelOffset = modelRecordOffset
	c.mustPublish(marketRecord)
	for _, entry := range c.entries {
		c.eventually("model answers over "+entry, func() bool { return isAnswered(sendPrompt(c.caller, entry, 5)) })
		c.eventually("orders answers over "+entry, func() bool {
			return isAnswered(sendOrder(c.caller, entry, uuid.Must(uuid.NewV7()).String()))
		})
	}
}

func versionWeights(v int) []byte { return bytes.Repeat(fmt.Appendf(nil, "weights of %d!", v), 16<<10) }

// putVersion stores a version and publishes a model record that selects it.
func (c *combinedRun) putVersion(v int, base uint64, previous string) string {
	w := versionWeights(v)
	file := filepath.Join(c.dir, fmt.Sprint("weights-", v))
	if err := os.WriteFile(file, w, 0o600); err != nil {
		c.t.Error(err)
		return ""
	}
	digest := ""
	c.eventually("weights are stored", func() bool {
		out, code := c.run("weights", "put", "--platform", c.platform, "--file", file, "--model", "notes", "--version", fmt.Sprint("v", v), "--chunk-bytes", "16384")
		digest = strings.TrimSpace(out)
		return code == 0
	})
	m, err := chunker.NewManifest("notes", fmt.Sprint("v", v), w, 16384)
	if err != nil {
		c.t.Error(err)
	}
	c.mu.Lock()
	c.observations.intendedWeights[digest] = m.WeightsDigest
	c.mu.Unlock()
	c.eventually("version is published", func() bool {
		_, code := c.publish(fmt.Sprintf(`{"schema_version": 1, "record_id": "version-%d", "subject": "model:notes", "base": %d, "body": {
			"service": "engine", "version_digest": %q, %s "prefer": "time", "min_replicas": 2, "max_replicas": 3, "origin_copies": 2}}`,
			v, base, digest, previous))
		return code == 0 || code == 3
	})
	return digest
}

// sendRequest sends one request and records the reply. matchesRequest reports whether
// the answer is the expected one for the request.
func (c *combinedRun) sendRequest(r caller.Request, matchesRequest func(caller.Reply) bool) {
	r.RequestID = uuid.Must(uuid.NewV7()).String()
	reply, err := c.caller.Do(context.Background(), r)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observations.replies = append(c.observations.replies, observedReply{
		requestID: r.RequestID, key: r.IdempotencyKey, outcome: reply.Outcome, isComplete: err == nil && reply.Complete, matchesRequest: err == nil && matchesRequest(reply),
	})
}

func (c *combinedRun) promptLoop(n int) {
	for i := 0; ; i++ {
		select {
		case <-c.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		body, err := json.Marshal(emulator.Prompt{Prompt: fmt.Sprint(n, "/", i), Tokens: modelTokens})
		if err != nil {
			return
		}
		c.sendRequest(caller.Request{EntryAddress: c.entries[(n+i)%2], Workspace: "market", Service: "engine", Deadline: 4 * time.Second, Body: body},
			func(reply caller.Reply) bool {
				frames, ended := reply.Frames()
				for k, f := range frames {
					ended = ended && f.Text == emulator.Token(body, reply.VersionDigest, k)
				}
				return ended && len(frames) == modelTokens
			})
	}
}

func (c *combinedRun) orderLoop(n int) {
	for i := 0; ; i++ {
		select {
		case <-c.stop:
			return
		case <-time.After(40 * time.Millisecond):
		}
		key := uuid.Must(uuid.NewV7()).String()
		body := fmt.Appendf(nil, `{"order":"%d/%d"}`, n, i)
		var wg sync.WaitGroup
		for copies := range 2 {
			wg.Go(func() {
				c.sendRequest(caller.Request{
					EntryAddress: c.entries[(n+i+copies)%2], Workspace: "market", Service: "orders", IdempotencyKey: key, Deadline: 3 * time.Second, Body: body,
				}, func(reply caller.Reply) bool {
					var a emulator.CallResponse
					return json.Unmarshal(reply.Body, &a) == nil && a.Echo == emulator.Echo(body) && a.Run == 1
				})
			})
		}
		wg.Wait()
	}
}

// publishLoop publishes records of a subject in competition with another publishLoop.
func (c *combinedRun) publishLoop(n int) {
	base := uint64(0)
	for i := 0; ; i++ {
		select {
		case <-c.stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		file := filepath.Join(c.dir, fmt.Sprintf("race-%d.jsonc", n))
		text := fmt.Sprintf(`{"schema_version": 1, "subject": "workspace:raced", "base": %d, "body": {"weight": %d, "priority": 0, "routes": [{"service": "orders"}]}}`, base, 1+i%9)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return
		}
		out, code := c.run("config", "publish", "--platform", c.platform, "--file", file, "--no-wait", "--timeout", "2s")
		var offset uint64
		if code == 0 {
			if _, err := fmt.Sscanf(out[strings.LastIndex(out, "offset"):], "offset %d", &offset); err == nil {
				base = offset
				c.noteAccepted(offset)
			}
			continue
		}
		if i := strings.Index(out, "with base "); i >= 0 {
			_, _ = fmt.Sscanf(out[i:], "with base %d", &base)
		}
	}
}

func (c *combinedRun) noteAccepted(offset uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observations.lastAccepted = max(c.observations.lastAccepted, offset)
}

// recordOffsets polls the through-offsets that the entries report.
func (c *combinedRun) recordOffsets() {
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		for i, address := range c.entries {
			name := fmt.Sprint("entry-", i+1)
			c.mu.Lock()
			incarnation := c.incarnation[name]
			c.mu.Unlock()
			st, err := publisher.FetchStatus(c.admin, address)
			if err != nil || !st.Ready {
				continue
			}
			c.mu.Lock()
			if c.incarnation[name] == incarnation {
				c.observations.offsets = append(c.observations.offsets, observedOffset{name, incarnation, st.ThroughOffset})
			}
			c.mu.Unlock()
		}
	}
}

func (c *combinedRun) setFaults(address string, faults any) {
	body, err := json.Marshal(faults)
	if err != nil {
		return
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + "/admin/faults")
	req.SetBody(body)
	_ = c.admin.DoTimeout(req, nil, time.Second)
}

// restart starts a process again with its previous settings.
func (c *combinedRun) restart(name string) {
	role := "sidecar"
	if strings.HasPrefix(name, "entry") {
		role = "entry"
	}
	c.mu.Lock()
	c.incarnation[name]++
	c.mu.Unlock()
	c.start(name, []string{role}, "")
}

// faults returns the functions that inject a temporary fault, by name.
func (c *combinedRun) faults() map[string]func() {
	pick := func(names ...string) string { return names[c.rng.IntN(len(names))] }
	entry, sidecar, engine := pick("entry-1", "entry-2"), pick("engine-1", "engine-2", "engine-3", "orders-1", "orders-2"), pick("engine-1", "engine-2", "engine-3")
	platform := func(f emulator.PlatformFaults) func() {
		return func() {
			c.setFaults(c.platform, f)
			time.Sleep(faultFor)
			c.setFaults(c.platform, emulator.PlatformFaults{})
		}
	}
	return map[string]func(){
		"kill entry":     func() { c.kill(entry) },
		"kill sidecar":   func() { c.kill(sidecar) },
		"pause entry":    func() { c.pauseProcess(entry) },
		"pause sidecar":  func() { c.pauseProcess(sidecar) },
		"drain sidecar":  func() { c.drain(sidecar) },
		"log down":       platform(emulator.PlatformFaults{LogDown: true}),
		"log loses":      platform(emulator.PlatformFaults{AppendReplyLossRate: 0.4, LogLatencyMillis: 20}),
		"store slow":     platform(emulator.PlatformFaults{StoreLatencyMillis: 300, OriginRefusalRate: 0.3}),
		"list lags":      platform(emulator.PlatformFaults{ListLagMillis: 4000}),
		"region cut":     c.cutRegion,
		"endpoint crash": func() { c.crashEndpoint(engine) },
	}
}

func (c *combinedRun) kill(name string) {
	p := c.procs[name]
	_ = p.Process.Kill()
	_ = p.Wait()
	time.Sleep(faultFor / 2)
	c.restart(name)
}

func (c *combinedRun) pauseProcess(name string) {
	p := c.procs[name]
	_ = p.Process.Signal(syscall.SIGSTOP)
	time.Sleep(faultFor)
	_ = p.Process.Signal(syscall.SIGCONT)
}

func (c *combinedRun) drain(name string) {
	p := c.procs[name]
	d := observedDrain{endpoint: name, at: time.Now()}
	_ = p.Process.Signal(syscall.SIGTERM)
	_ = p.Wait()
	d.exitCode = p.ProcessState.ExitCode()
	d.cutOff = c.loggedCutOff(name)
	time.Sleep(faultFor)
	d.until = time.Now()
	c.restart(name)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observations.drains = append(c.observations.drains, d)
}

// loggedCutOff returns the number of requests that a graceful shutdown interrupted,
// as logged by the process; -1 if its log has no such line.
func (c *combinedRun) loggedCutOff(name string) int {
	data, err := os.ReadFile(filepath.Join(c.dir, name+".log"))
	if err != nil {
		return -1
	}
	for l := range bytes.Lines(data) {
		var e struct {
			Name   string `json:"name"`
			CutOff int    `json:"cut_off"`
		}
		if json.Unmarshal(l, &e) == nil && e.Name == "process_stopped" {
			return e.CutOff
		}
	}
	return -1
}

func (c *combinedRun) cutRegion() {
	c.relays["platform"].setDisconnected(true)
	time.Sleep(faultFor)
	c.relays["platform"].setDisconnected(false)
}

func (c *combinedRun) crashEndpoint(name string) {
	c.setFaults(c.emulators[name], emulator.EndpointFaults{Crashed: true})
	time.Sleep(faultFor / 3)
	c.setFaults(c.emulators[name], emulator.EndpointFaults{})
}

// collect adds the run histories of the endpoints and the lagging processes to the
// observations and returns them.
func (c *combinedRun) collect() observations {
	deadline := time.Now().Add(settleTime)
	for {
		c.observations.lagging = c.laggingProcesses()
		if len(c.observations.lagging) == 0 || time.Now().After(deadline) {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	for name, address := range c.emulators {
		_, body, err := c.admin.Get(nil, "http://"+address+"/admin/history")
		var runs []emulator.Run
		if err != nil || json.Unmarshal(body, &runs) != nil {
			c.t.Errorf("read run history of %s: %v", name, err)
		}
		for _, r := range runs {
			c.observations.runs = append(c.observations.runs, observedRun{endpoint: name, Run: r})
		}
	}
	return c.observations
}

func (c *combinedRun) laggingProcesses() (names []string) {
	offsets := map[string]uint64{}
	for i, address := range c.entries {
		offsets[fmt.Sprint("entry-", i+1)] = 0
		st, err := publisher.FetchStatus(c.admin, address)
		if err != nil {
			continue
		}
		offsets[fmt.Sprint("entry-", i+1)] = st.ThroughOffset
		for _, sc := range st.Sidecars {
			offsets[sc.Instance] = max(offsets[sc.Instance], sc.ThroughOffset)
		}
	}
	for name := range c.emulators {
		offsets[name] = max(offsets[name], 0)
	}
	for name, through := range offsets {
		if through < c.observations.lastAccepted {
			names = append(names, name)
		}
	}
	return names
}

func runCombined(t *testing.T, seed uint64) {
	c := newCombinedRun(t, seed)
	c.setup()
	for n := range 3 {
		c.wg.Go(func() { c.promptLoop(n) })
		c.wg.Go(func() { c.orderLoop(n) })
	}
	for n := range 2 {
		c.wg.Go(func() { c.publishLoop(n) })
	}
	c.wg.Go(c.recordOffsets)
	time.Sleep(faultAfter)
	all := c.faults()
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	slices.Sort(names)
	chosen := c.rng.Perm(len(names))[:1+int(seed%2)]
	var faults sync.WaitGroup
	for _, i := range chosen {
		t.Log("fault:", names[i])
		faults.Go(all[names[i]])
	}
	faults.Go(func() {
		c.putVersion(2, c.modelOffset, fmt.Sprintf("%q: %q,", "previous_version_digest", c.firstDigest))
	})
	faults.Wait()
	time.Sleep(faultAfter)
	close(c.stop)
	c.wg.Wait()
	r := c.collect()
	outcomes := map[entryserver.Outcome]int{}
	for _, reply := range r.replies {
		outcomes[reply.outcome]++
	}
	t.Logf("%d replies by outcome %v, %d runs, %d offsets, last accepted record %d", len(r.replies), outcomes, len(r.runs), len(r.offsets), r.lastAccepted)
	if outcomes[entryserver.OutcomeAnswered] == 0 {
		t.Error("no request was answered")
	}
	for _, pair := range sharedHistories(r) {
		t.Errorf("seed %d: test setup: %s have one run history, so their emulators have one address", seed, pair)
	}
	for name, check := range guarantees {
		for _, violation := range check(r) {
			t.Errorf("seed %d, %v: %s: %s", seed, selectNames(names, chosen), name, violation)
		}
	}
}

func selectNames(names []string, chosen []int) (selected []string) {
	for _, i := range chosen {
		selected = append(selected, names[i])
	}
	return selected
}

func TestPromisesUnderCombinedFaults(t *testing.T) {
	for seed := range uint64(*combinedSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runCombined(t, seed)
		})
	}
}
