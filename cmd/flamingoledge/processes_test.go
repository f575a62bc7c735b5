package main_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"flamingoledge.org/flamingoledge/internal/caller"
	"flamingoledge.org/flamingoledge/internal/emulator"
	"flamingoledge.org/flamingoledge/internal/entryserver"
	"flamingoledge.org/flamingoledge/internal/platformclient"
	"flamingoledge.org/flamingoledge/pkg/provider"
)

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "flamingoledge")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "flamingoledge")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// cluster runs the system as separate processes on the loopback interface.
type cluster struct {
	t        *testing.T
	dir      string
	platform string
	entries  []string
	procs    map[string]*exec.Cmd
	// emulators maps the name of each endpoint to the address of its emulator.
	emulators map[string]string
	// entryLimits are further settings of entries that are started.
	entryLimits string
}

// freeAddress returns a loopback address that stays reserved until the test ends. It
// binds a socket that never listens: the kernel then assigns the port to no other
// socket, and the process that is given the address can still listen on it. A port
// that is merely free may be drawn again before that process listens, so that two
// names refer to one emulator.
func freeAddress(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	// Listeners set the option as well; without it on both sockets they conflict.
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprint("127.0.0.1:", bound.(*syscall.SockaddrInet4).Port)
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{t: t, dir: t.TempDir(), platform: freeAddress(t), procs: map[string]*exec.Cmd{}, emulators: map[string]string{}}
	t.Cleanup(func() {
		for _, p := range c.procs {
			_ = p.Process.Kill()
			_ = p.Wait()
		}
	})
	c.start("platform", []string{"standin", "platform"}, fmt.Sprintf(`{"listen_address": %q}`, c.platform))
	return c
}

// start starts a process with settings. Empty settings reuse those of its last start.
func (c *cluster) start(name string, command []string, settings string) {
	c.t.Helper()
	file := filepath.Join(c.dir, name+".jsonc")
	if settings != "" {
		if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
			c.t.Fatal(err)
		}
	}
	log, err := os.OpenFile(filepath.Join(c.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		c.t.Fatal(err)
	}
	p := exec.Command(binary, append(command, "--settings", file)...)
	p.Stderr = log
	if err := p.Start(); err != nil {
		c.t.Fatal(err)
	}
	c.procs[name] = p
}

func (c *cluster) entry(name string) { c.entryAt(name, c.platform) }

// entryAt starts an entry that reaches the platform at the given address.
func (c *cluster) entryAt(name, platform string) {
	http := freeAddress(c.t)
	c.entries = append(c.entries, http)
	c.start(name, []string{"entry"}, fmt.Sprintf(`{
		"instance": {"name": %q, "availability_zone": "a-1", "region": "a"},
		"platform": %q, "listen_address": "127.0.0.1:0", "http_address": %q, %s
	}`, name, platform, http, c.entryLimits))
}

func (c *cluster) endpoint(name, service string) { c.endpointAt(name, service, c.platform) }

// endpointAt starts an endpoint emulator and its sidecar, which reaches the platform
// at the given address.
func (c *cluster) endpointAt(name, service, platform string) {
	address := freeAddress(c.t)
	c.emulators[name] = address
	c.start(name+"-standin", []string{"standin", "endpoint"}, fmt.Sprintf(
		`{"name": %q, "listen_address": %q, "checks_fencing": true, "first_token_ms": 5, "token_interval_ms": 5}`, name, address))
	c.start(name, []string{"sidecar"}, fmt.Sprintf(`{
		"instance": {"name": %q, "availability_zone": "a-1", "region": "a"},
		"platform": %q, "listen_address": "127.0.0.1:0", "service": %q, "endpoint": %q, "origin_region": "a",
	}`, name, platform, service, address))
}

// countRuns returns how often the endpoint ran the key, according to its run history.
func (c *cluster) countRuns(endpoint, key string) (n int) {
	c.t.Helper()
	_, body, err := fasthttp.Get(nil, "http://"+c.emulators[endpoint]+"/admin/history")
	if err != nil {
		c.t.Fatal(err)
	}
	var history []emulator.Run
	if err = json.Unmarshal(body, &history); err != nil {
		c.t.Fatal(err)
	}
	for _, r := range history {
		if r.IdempotencyKey == key {
			n++
		}
	}
	return n
}

// run runs a command of the binary and returns its output and exit code.
func (c *cluster) run(args ...string) (string, int) {
	out, err := exec.Command(binary, args...).CombinedOutput()
	var ee *exec.ExitError
	if errors.As(err, &ee) {
		return string(out), ee.ExitCode()
	}
	if err != nil {
		c.t.Fatal(err)
	}
	return string(out), 0
}

func (c *cluster) publish(record string) (string, int) {
	c.t.Helper()
	file := filepath.Join(c.dir, "record.jsonc")
	if err := os.WriteFile(file, []byte(record), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return c.run("config", "publish", "--platform", c.platform, "--file", file)
}

func (c *cluster) mustPublish(record string) {
	c.t.Helper()
	if out, code := c.publish(record); code != 0 {
		c.t.Fatalf("publish: exit code %d: %s", code, out)
	}
}

func (c *cluster) bootstrap() {
	c.t.Helper()
	c.entry("entry-1")
	c.entry("entry-2")
	c.endpoint("engine-1", "engine")
	c.endpoint("engine-2", "engine")
	c.endpoint("orders-1", "orders")
	weights := filepath.Join(c.dir, "weights")
	if err := os.WriteFile(weights, bytes.Repeat([]byte("weights!"), 64<<10), 0o600); err != nil {
		c.t.Fatal(err)
	}
	c.eventually("weights are stored", func() bool {
		_, code := c.run("weights", "put", "--platform", c.platform, "--file", weights, "--model", "notes", "--version", "v1", "--chunk-bytes", "16384")
		return code == 0
	})
	out, _ := c.run("weights", "put", "--platform", c.platform, "--file", weights, "--model", "notes", "--version", "v1", "--chunk-bytes", "16384")
	c.publishServices()
	c.mustPublish(fmt.Sprintf(`{"schema_version": 1, "subject": "model:notes", "base": 0, "body": {"service": "engine", "version_digest": %q,
		"prefer": "time", "min_replicas": 2, "max_replicas": 2, "origin_copies": 2}}`, strings.TrimSpace(out)))
	c.mustPublish(marketRecord)
}

const marketRecord = `{"schema_version": 2, "subject": "workspace:market", "base": 0, "body": {"weight": 1, "priority": 0,
	"routes": [{"service": "engine", "model": "notes"}, {"service": "orders"}]}}`

func (c *cluster) publishServices() {
	c.t.Helper()
	c.mustPublish(`{"schema_version": 1, "subject": "service:engine", "base": 0, "body": {"kind": "model", "idempotent": true,
		"endpoint_concurrency": 8, "models_per_endpoint": 1, "default_deadline_ms": 5000}}`)
	c.mustPublish(`{"schema_version": 1, "subject": "service:orders", "base": 0, "body": {"kind": "plain", "idempotent": false,
		"endpoint_concurrency": 8, "default_deadline_ms": 5000}}`)
}

func (c *cluster) eventually(what string, ok func() bool) {
	c.t.Helper()
	for range 150 {
		if ok() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.t.Fatal("timed out: " + what)
}

func sendPrompt(c *caller.Caller, entry string, tokens int) (caller.Reply, error) {
	body, _ := json.Marshal(emulator.Prompt{Prompt: "summarise the account", Tokens: tokens})
	return c.Do(context.Background(), caller.Request{EntryAddress: entry, Workspace: "market", Service: "engine", Deadline: 5 * time.Second, Body: body})
}

func sendOrder(c *caller.Caller, entry, key string) (caller.Reply, error) {
	return c.Do(context.Background(), caller.Request{
		EntryAddress: entry, Workspace: "market", Service: "orders", IdempotencyKey: key, Deadline: 3 * time.Second, Body: []byte(`{"planks":1}`),
	})
}

func isAnswered(r caller.Reply, err error) bool {
	return err == nil && r.Complete && r.Outcome == entryserver.OutcomeAnswered
}

func TestSeparateProcesses(t *testing.T) {
	c := newCluster(t)
	c.bootstrap()
	calls := caller.New(caller.Config{MaxConnections: 64})
	for _, entry := range c.entries {
		c.eventually("model answers over "+entry, func() bool { return isAnswered(sendPrompt(calls, entry, 5)) })
		c.eventually("orders answers over "+entry, func() bool { return isAnswered(sendOrder(calls, entry, uuid.Must(uuid.NewV7()).String())) })
	}

	t.Run("a conflicting publish reports the record in force", func(t *testing.T) {
		is := is.New(t)
		out, code := c.publish(`{"schema_version": 1, "subject": "workspace:market", "base": 0, "body": {"weight": 1, "priority": 0,
			"routes": [{"service": "orders"}]}}`)
		is.Equal(code, 2)
		is.True(strings.Contains(out, "offset 4 is in force"))
	})

	t.Run("status shows every instance", func(t *testing.T) {
		is := is.New(t)
		client := platformclient.New(platformclient.Config{Address: c.platform})
		names := []string{"engine-1", "engine-2", "entry-1", "entry-2", "orders-1"}
		// The list of instances contains those that have announced themselves.
		c.eventually("all instances are announced", func() bool {
			instances, err := client.Instances(t.Context())
			return err == nil && slices.EqualFunc(instances, names, func(i provider.Instance, name string) bool { return i.Name == name })
		})
		out, code := c.run("status", "--platform", c.platform)
		is.Equal(code, 0)
		for _, text := range append(names, "serving") {
			is.True(strings.Contains(out, text))
		}
	})

	t.Run("a graceful shutdown of an entry and a sidecar interrupts no request", func(t *testing.T) {
		is := is.New(t)
		const callers = 16
		var wg sync.WaitGroup
		var mu sync.Mutex
		interrupted := 0
		for range callers {
			wg.Go(func() {
				reply, err := sendPrompt(calls, c.entries[1], 100)
				mu.Lock()
				defer mu.Unlock()
				if !isAnswered(reply, err) && reply.Outcome != entryserver.OutcomeNotRun {
					interrupted++
				}
			})
		}
		time.Sleep(200 * time.Millisecond)
		for _, name := range []string{"entry-2", "engine-2"} {
			is.NoErr(c.procs[name].Process.Signal(syscall.SIGTERM))
		}
		wg.Wait()
		is.Equal(interrupted, 0)
		for _, name := range []string{"entry-2", "engine-2"} {
			is.NoErr(c.procs[name].Wait()) // exit code 0
			delete(c.procs, name)
		}
	})

	t.Run("a key claimed by a killed sidecar does not run again", func(t *testing.T) {
		is := is.New(t)
		key := uuid.Must(uuid.NewV7()).String()
		is.True(isAnswered(sendOrder(calls, c.entries[0], key)))
		is.NoErr(c.procs["orders-1"].Process.Kill())
		_ = c.procs["orders-1"].Wait()
		c.start("orders-1", []string{"sidecar"}, "")
		c.eventually("new sidecar answers", func() bool {
			return isAnswered(sendOrder(calls, c.entries[0], uuid.Must(uuid.NewV7()).String()))
		})
		reply, err := sendOrder(calls, c.entries[0], key)
		is.NoErr(err)
		// The record of the answered run may be lost with the sidecar; the outcome is
		// unknown then.
		is.True(reply.Code == entryserver.CodeRanAnswerLost || reply.Code == entryserver.CodeOutcomeUnknown)
		is.Equal(c.countRuns("orders-1", key), 1)
	})
}

// TestFreeAddressesAreReserved draws so many addresses that an unreserved port is
// drawn twice almost certainly.
func TestFreeAddressesAreReserved(t *testing.T) {
	const draws = 500
	is := is.New(t)
	drawn := map[string]bool{}
	for range draws {
		address := freeAddress(t)
		is.True(!drawn[address]) // no other draw returned the address
		drawn[address] = true
	}
	for range draws {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		defer func() { _ = lis.Close() }()
		is.True(!drawn[lis.Addr().String()]) // no listener was assigned a reserved port
	}
	for address := range drawn {
		lis, err := net.Listen("tcp", address)
		is.NoErr(err) // the address is free for its own process
		is.NoErr(lis.Close())
	}
}

func TestInvalidSettingsErrorContainsLine(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "entry.jsonc")
	is.NoErr(os.WriteFile(file, []byte("{\n  // a comment\n  \"unknown_thing\": \"127.0.0.1:1\"\n}"), 0o600))
	out, err := exec.Command(binary, "entry", "--settings", file).CombinedOutput()
	is.True(err != nil)
	is.True(strings.Contains(string(out), "entry.jsonc:3: field unknown_thing: is not known"))
}

func TestGeneratedPagesAreCurrent(t *testing.T) {
	for name, command := range map[string]string{"EVENTS.md": "events", "COMMANDS.md": "commands"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			want, err := exec.Command(binary, "docs", command).Output()
			is.NoErr(err)
			got, err := os.ReadFile(filepath.Join("..", "..", "docs", name))
			is.NoErr(err)
			is.Equal(string(got), string(want)) // regenerate it with: flamingoledge docs
		})
	}
}
