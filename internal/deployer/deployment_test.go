package deployer_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/caller"
	"flamingoledge.org/flamingoledge/internal/deployer"
	"flamingoledge.org/flamingoledge/internal/emulator"
	"flamingoledge.org/flamingoledge/internal/entryserver"
	"flamingoledge.org/flamingoledge/pkg/interpreter"
)

const (
	testTimeout = 30 * time.Second
	testTokens  = 6
	// testListInterval is shorter than the default to make deployments start faster.
	testListInterval = 300 * time.Millisecond
	testModel        = "notes"
	testChunkBytes   = 4 << 10
)

// smallTopology has two regions with an entry each, two model engines and two endpoints
// of a plain service.
func smallTopology() deployer.Topology {
	return deployer.Topology{
		Name:             "small",
		Regions:          []string{"a", "b"},
		EntriesPerRegion: 1,
		Prefer:           interpreter.PreferTime,
		Seed:             1,
		Services: []deployer.Service{
			{Name: "engine", Kind: interpreter.ServiceKindModel, Endpoints: 2, Concurrency: 4, Slots: 2, ChecksFencing: true, FirstTokenDelay: time.Millisecond, TokenInterval: time.Millisecond},
			{Name: "orders", Kind: interpreter.ServiceKindPlain, Endpoints: 2, Concurrency: 4, FirstTokenDelay: time.Millisecond},
		},
	}
}

func weights(version byte) []byte { return bytes.Repeat([]byte{version, 1, 2, 3}, 16<<10) }

// system is a deployment with published services in which all replicas serve the first
// version.
type system struct {
	*deployer.Deployment
	ctx    context.Context
	caller *caller.Caller
	digest string
}

func start(t *testing.T, topology deployer.Topology, o deployer.Options) *system {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	o.ListInterval = testListInterval
	d, err := deployer.Start(ctx, topology, o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		d.Stop()
		cancel()
	})
	s := &system{Deployment: d, ctx: ctx, caller: newCaller()}
	if err = d.AwaitAttached(ctx); err != nil {
		t.Fatal(err)
	}
	if _, err = d.PublishServices(ctx, testModel); err != nil {
		t.Fatal(err)
	}
	s.digest = s.rollout(t, 1, "")
	return s
}

func newCaller() *caller.Caller { return caller.New(caller.Config{MaxConnections: 64}) }

func workspaceBody() interpreter.Workspace {
	return interpreter.Workspace{Weight: 1, Routes: []interpreter.Route{{Service: "orders"}}}
}

// rollout publishes a version and waits until all replicas serve it.
func (s *system) rollout(t *testing.T, version byte, previous string) string {
	t.Helper()
	digest, _, err := s.PublishVersion(s.ctx, testModel, fmt.Sprint("v", version), weights(version), testChunkBytes, previous)
	if err != nil {
		t.Fatal(err)
	}
	if err = s.AwaitServing(s.ctx, digest, s.ModelService().Endpoints, nil); err != nil {
		t.Fatal(err)
	}
	return digest
}

func promptBody(text string) []byte {
	data, _ := json.Marshal(emulator.Prompt{Prompt: text, Tokens: testTokens})
	return data
}

func (s *system) generate(entry int, body []byte) (caller.Reply, error) {
	return s.caller.Do(s.ctx, caller.Request{
		EntryAddress: s.Entries[entry].HTTPAddress, Workspace: deployer.WorkspaceName(0), Service: "engine", Deadline: 5 * time.Second, Body: body,
	})
}

func (s *system) order(entry int, key string, body []byte) (caller.Reply, error) {
	return s.caller.Do(s.ctx, caller.Request{
		EntryAddress: s.Entries[entry].HTTPAddress, Workspace: deployer.WorkspaceName(0), Service: "orders",
		IdempotencyKey: key, Deadline: 5 * time.Second, Body: body,
	})
}

func newID() string { return uuid.Must(uuid.NewV7()).String() }

func TestPublishedVersionServesRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := start(t, smallTopology(), deployer.Options{})
	body := promptBody("draft a delivery note")
	reply, err := s.generate(0, body)
	is.NoErr(err)
	is.Equal(reply.Outcome, entryserver.OutcomeAnswered)
	frames, ended := reply.Frames()
	is.True(ended)
	is.Equal(len(frames), testTokens)
	for i, f := range frames {
		is.Equal(f.Text, emulator.Token(body, s.digest, i))
		is.Equal(f.AttemptID, reply.AttemptID)
	}
	is.Equal(reply.VersionDigest, s.digest)
	is.True(reply.RecordOffset > 0)
	is.True(reply.RequestID != "")
}

func TestRepeatedOrderRunsOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := start(t, smallTopology(), deployer.Options{})
	key, body := newID(), []byte(`{"pallets":1}`)
	for i := range 4 {
		reply, err := s.order(i%2, key, body)
		is.NoErr(err)
		is.Equal(reply.Outcome, entryserver.OutcomeAnswered)
		var a emulator.CallResponse
		is.NoErr(json.Unmarshal(reply.Body, &a))
		is.Equal(a.Run, 1)
		is.Equal(a.Echo, emulator.Echo(body))
	}
	is.Equal(s.RunsByKey()[key], 1)
	reply, err := s.order(0, key, []byte(`{"pallets":2}`))
	is.NoErr(err)
	is.Equal(reply.Code, entryserver.CodeKeyReused)
	is.Equal(reply.Outcome, entryserver.OutcomeNotRun)
	is.Equal(s.RunsByKey()[key], 1)
}

// A repeated model request with the same idempotency key receives the response of the
// first one.
func TestModelRequestWithKeyRunsOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := start(t, smallTopology(), deployer.Options{})
	key, body := newID(), promptBody("draft once")
	for i := range 2 {
		reply, err := s.caller.Do(s.ctx, caller.Request{
			EntryAddress: s.Entries[i].HTTPAddress, Workspace: deployer.WorkspaceName(0), Service: "engine",
			IdempotencyKey: key, Deadline: 5 * time.Second, Body: body,
		})
		is.NoErr(err)
		is.Equal(reply.Outcome, entryserver.OutcomeAnswered)
		frames, ended := reply.Frames()
		is.True(ended)
		is.Equal(len(frames), testTokens)
	}
	is.Equal(s.RunsByKey()[key], 1)
}

func TestInvalidRequestsAreRejectedAsNotRun(t *testing.T) {
	t.Parallel()
	s := start(t, smallTopology(), deployer.Options{ConfigureEntry: func(c *entryserver.Config) { c.MaxBodyBytes = 10_000 }})
	old := uuid.Must(uuid.FromBytes([]byte{0x01, 0, 0, 0, 0, 0, 0x70, 0, 0x80, 0, 0, 0, 0, 0, 0, 1})).String()
	for name, tc := range map[string]struct {
		request caller.Request
		status  int
		code    entryserver.Code
	}{
		"no workspace":          {caller.Request{Service: "engine"}, 400, entryserver.CodeBadRequest},
		"unknown workspace":     {caller.Request{Workspace: "nobody", Service: "engine"}, 404, entryserver.CodeUnknownWorkspace},
		"unknown service":       {caller.Request{Workspace: deployer.WorkspaceName(0), Service: "nothing"}, 404, entryserver.CodeUnknownWorkspace},
		"no key":                {caller.Request{Workspace: deployer.WorkspaceName(0), Service: "orders"}, 400, entryserver.CodeKeyMissing},
		"key without timestamp": {caller.Request{Workspace: deployer.WorkspaceName(0), Service: "orders", IdempotencyKey: "abc"}, 400, entryserver.CodeKeyRefused},
		"key too old":           {caller.Request{Workspace: deployer.WorkspaceName(0), Service: "orders", IdempotencyKey: old}, 400, entryserver.CodeKeyRefused},
		"body too large":        {caller.Request{Workspace: deployer.WorkspaceName(0), Service: "engine", Body: make([]byte, 20_000)}, 413, entryserver.CodeBodyTooLarge},
		"long request id":       {caller.Request{Workspace: deployer.WorkspaceName(0), Service: "engine", RequestID: string(bytes.Repeat([]byte("x"), 200))}, 400, entryserver.CodeBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tc.request.EntryAddress = s.Entries[0].HTTPAddress
			reply, err := s.caller.Do(s.ctx, tc.request)
			is.NoErr(err)
			is.Equal(reply.Status, tc.status)
			is.Equal(reply.Code, tc.code)
			is.Equal(reply.Outcome, entryserver.OutcomeNotRun)
		})
	}
	is := is.New(t)
	reply, err := s.generate(0, promptBody("still here"))
	is.NoErr(err)
	is.Equal(reply.Outcome, entryserver.OutcomeAnswered)
}

// Endpoints send a third of their responses with a wrong attempt ID and truncate a third
// of them. No such response may be passed to a caller as complete.
func TestForeignAndTruncatedResponsesAreNotReportedAsComplete(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := start(t, smallTopology(), deployer.Options{})
	for _, e := range s.Endpoints {
		e.Emulator.SetFaults(emulator.EndpointFaults{WrongIDRate: 0.33, TruncationRate: 0.33})
	}
	completed := 0
	for i := range 60 {
		body := promptBody(fmt.Sprint("question ", i))
		reply, err := s.generate(i%2, body)
		if err != nil || !reply.Complete {
			continue
		}
		completed++
		frames, ended := reply.Frames()
		is.True(ended)
		for k, f := range frames {
			is.Equal(f.Text, emulator.Token(body, reply.VersionDigest, k))
		}
	}
	is.True(completed > 0)
	t.Logf("%d of 60 responses were complete", completed)
}

// While versions change, every response must come from one version, and no request may be
// refused or interrupted.
func TestVersionChangeDoesNotMixWeights(t *testing.T) {
	t.Parallel()
	for name, slots := range map[string]int{"old and new version loaded together": 2, "old version unloaded first": 1} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			topology := smallTopology()
			topology.Services[0].Slots = slots
			s := start(t, topology, deployer.Options{})
			stop := make(chan struct{})
			type result struct{ answered, refused, foreign int }
			results := make(chan result)
			go func() {
				var r result
				for i := 0; ; i++ {
					select {
					case <-stop:
						results <- r
						return
					default:
					}
					body := promptBody(fmt.Sprint("during the change ", i))
					reply, err := s.generate(i%2, body)
					if err != nil || reply.Outcome != entryserver.OutcomeAnswered {
						r.refused++
						t.Logf("refused: %v %s %s %s", err, reply.Code, reply.Outcome, reply.Body)
						continue
					}
					r.answered++
					frames, ended := reply.Frames()
					for k, f := range frames {
						if !ended || f.Text != emulator.Token(body, reply.VersionDigest, k) {
							r.foreign++
						}
					}
				}
			}()
			previous := s.digest
			for v := byte(2); v <= 4; v++ {
				previous = s.rollout(t, v, previous)
			}
			close(stop)
			r := <-results
			is.Equal(r.foreign, 0)
			is.True(r.answered > 0)
			is.Equal(r.refused, 0) // no interruption of service
			for _, e := range s.Endpoints {
				for _, run := range e.Emulator.Runs() {
					is.True(!run.WeightsChanged)
					is.True(!run.Interrupted)
				}
			}
		})
	}
}
