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
	// testListInterval lets deployments start sooner.
	testListInterval = 300 * time.Millisecond
	testModel        = "notes"
	testChunk        = 4 << 10
)

// small is a deployment of two entries, two engines and two order endpoints.
func small() deployer.Topology {
	return deployer.Topology{
		Name:             "small",
		Regions:          []string{"a", "b"},
		EntriesPerRegion: 1,
		Prefer:           interpreter.PreferTime,
		Seed:             1,
		Services: []deployer.Service{
			{Name: "engine", Kind: interpreter.ServiceKindModel, Endpoints: 2, Concurrency: 4, Slots: 2, ChecksFencing: true, FirstToken: time.Millisecond, TokenInterval: time.Millisecond},
			{Name: "orders", Kind: interpreter.ServiceKindPlain, Endpoints: 2, Concurrency: 4, FirstToken: time.Millisecond},
		},
	}
}

func weights(version byte) []byte { return bytes.Repeat([]byte{version, 1, 2, 3}, 16<<10) }

// system is a running deployment whose first version serves.
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
	digest, _, err := s.PublishVersion(s.ctx, testModel, fmt.Sprint("v", version), weights(version), testChunk, previous)
	if err != nil {
		t.Fatal(err)
	}
	if err = s.AwaitServing(s.ctx, digest, s.ModelService().Endpoints, nil); err != nil {
		t.Fatal(err)
	}
	return digest
}

func prompt(text string) []byte {
	data, _ := json.Marshal(emulator.Prompt{Prompt: text, Tokens: testTokens})
	return data
}

func (s *system) ask(entry int, body []byte) (caller.Reply, error) {
	return s.caller.Do(s.ctx, caller.Request{
		Entry: s.Entries[entry].HTTPAddress, Workspace: deployer.WorkspaceName(0), Service: "engine", Deadline: 5 * time.Second, Body: body,
	})
}

func (s *system) order(entry int, key string, body []byte) (caller.Reply, error) {
	return s.caller.Do(s.ctx, caller.Request{
		Entry: s.Entries[entry].HTTPAddress, Workspace: deployer.WorkspaceName(0), Service: "orders",
		IdempotencyKey: key, Deadline: 5 * time.Second, Body: body,
	})
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

func TestPublishedRecordEndsInAnsweredRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := start(t, small(), deployer.Options{})
	body := prompt("draft a delivery note")
	reply, err := s.ask(0, body)
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
	s := start(t, small(), deployer.Options{})
	key, body := newKey(), []byte(`{"pallets":1}`)
	for i := range 4 {
		reply, err := s.order(i%2, key, body)
		is.NoErr(err)
		is.Equal(reply.Outcome, entryserver.OutcomeAnswered)
		var a emulator.CallAnswer
		is.NoErr(json.Unmarshal(reply.Body, &a))
		is.Equal(a.Run, 1)
		is.Equal(a.Echo, emulator.Echo(body))
	}
	is.Equal(s.KeyRuns()[key], 1)
	reply, err := s.order(0, key, []byte(`{"pallets":2}`))
	is.NoErr(err)
	is.Equal(reply.Code, entryserver.CodeKeyReused)
	is.Equal(reply.Outcome, entryserver.OutcomeNotRun)
	is.Equal(s.KeyRuns()[key], 1)
}

// A key may protect a streamed answer too; its repetition gets the same one.
func TestKeyedModelRequestRunsOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := start(t, small(), deployer.Options{})
	key, body := newKey(), prompt("draft once")
	for i := range 2 {
		reply, err := s.caller.Do(s.ctx, caller.Request{
			Entry: s.Entries[i].HTTPAddress, Workspace: deployer.WorkspaceName(0), Service: "engine",
			IdempotencyKey: key, Deadline: 5 * time.Second, Body: body,
		})
		is.NoErr(err)
		is.Equal(reply.Outcome, entryserver.OutcomeAnswered)
		frames, ended := reply.Frames()
		is.True(ended)
		is.Equal(len(frames), testTokens)
	}
	is.Equal(s.KeyRuns()[key], 1)
}

func TestBadRequestsAreRefusedAsNotRun(t *testing.T) {
	t.Parallel()
	s := start(t, small(), deployer.Options{Entry: func(c *entryserver.Config) { c.MaxBodyBytes = 10_000 }})
	old := uuid.Must(uuid.FromBytes([]byte{0x01, 0, 0, 0, 0, 0, 0x70, 0, 0x80, 0, 0, 0, 0, 0, 0, 1})).String()
	for name, tc := range map[string]struct {
		request caller.Request
		status  int
		code    entryserver.Code
	}{
		"no workspace":      {caller.Request{Service: "engine"}, 400, entryserver.CodeBadRequest},
		"unknown workspace": {caller.Request{Workspace: "nobody", Service: "engine"}, 404, entryserver.CodeUnknownWorkspace},
		"unknown service":   {caller.Request{Workspace: deployer.WorkspaceName(0), Service: "nothing"}, 404, entryserver.CodeUnknownWorkspace},
		"no key":            {caller.Request{Workspace: deployer.WorkspaceName(0), Service: "orders"}, 400, entryserver.CodeKeyMissing},
		"key not dated":     {caller.Request{Workspace: deployer.WorkspaceName(0), Service: "orders", IdempotencyKey: "abc"}, 400, entryserver.CodeKeyRefused},
		"key too old":       {caller.Request{Workspace: deployer.WorkspaceName(0), Service: "orders", IdempotencyKey: old}, 400, entryserver.CodeKeyRefused},
		"body too large":    {caller.Request{Workspace: deployer.WorkspaceName(0), Service: "engine", Body: make([]byte, 20_000)}, 413, entryserver.CodeBodyTooLarge},
		"long request id":   {caller.Request{Workspace: deployer.WorkspaceName(0), Service: "engine", RequestID: string(bytes.Repeat([]byte("x"), 200))}, 400, entryserver.CodeBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tc.request.Entry = s.Entries[0].HTTPAddress
			reply, err := s.caller.Do(s.ctx, tc.request)
			is.NoErr(err)
			is.Equal(reply.Status, tc.status)
			is.Equal(reply.Code, tc.code)
			is.Equal(reply.Outcome, entryserver.OutcomeNotRun)
		})
	}
	is := is.New(t)
	reply, err := s.ask(0, prompt("still here"))
	is.NoErr(err)
	is.Equal(reply.Outcome, entryserver.OutcomeAnswered)
}

// The promise about foreign and partial answers, with an endpoint that crosses
// and truncates a third of its answers each.
func TestCrossedAndTruncatedAnswersNeverPassForWhole(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := start(t, small(), deployer.Options{})
	for _, e := range s.Endpoints {
		e.StandIn.SetFaults(emulator.EndpointFaults{Cross: 0.33, Truncate: 0.33})
	}
	whole := 0
	for i := range 60 {
		body := prompt(fmt.Sprint("question ", i))
		reply, err := s.ask(i%2, body)
		if err != nil || !reply.Whole {
			continue
		}
		whole++
		frames, ended := reply.Frames()
		is.True(ended)
		for k, f := range frames {
			is.Equal(f.Text, emulator.Token(body, reply.VersionDigest, k))
		}
	}
	is.True(whole > 0)
	t.Logf("%d of 60 answers were whole", whole)
}

func TestVersionChangesNeverMix(t *testing.T) {
	t.Parallel()
	for name, slots := range map[string]int{"beside the old version": 2, "in place of the old version": 1} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			topology := small()
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
					body := prompt(fmt.Sprint("during the change ", i))
					reply, err := s.ask(i%2, body)
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
			is.Equal(r.refused, 0) // requests flow throughout
			for _, e := range s.Endpoints {
				for _, run := range e.StandIn.Runs() {
					is.True(!run.Mixed)
					is.True(!run.Cut)
				}
			}
		})
	}
}
