package deployer_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"flamingoledge.org/flamingoledge/internal/deployer"
	"flamingoledge.org/flamingoledge/internal/emulator"
	"flamingoledge.org/flamingoledge/internal/entryserver"
	"flamingoledge.org/flamingoledge/internal/sidecarserver"
	"flamingoledge.org/flamingoledge/pkg/chunker"
	"flamingoledge.org/flamingoledge/pkg/interpreter"
)

// asker asks all the time and checks each whole answer against its version.
type asker struct {
	system *system
	stop   chan struct{}
	wg     sync.WaitGroup

	mu       sync.Mutex
	answered int
	// lost counts the requests whose outcome their caller does not know.
	lost    int
	foreign []string
}

func startAsking(s *system, callers int) *asker {
	a := &asker{system: s, stop: make(chan struct{})}
	for c := range callers {
		a.wg.Go(func() { a.run(c) })
	}
	return a
}

func (a *asker) run(c int) {
	for i := 0; ; i++ {
		select {
		case <-a.stop:
			return
		default:
		}
		body := prompt(fmt.Sprint("caller ", c, " question ", i))
		reply, err := a.system.ask(i%2, body)
		if err != nil || !reply.Whole || reply.Outcome != entryserver.OutcomeAnswered {
			a.mu.Lock()
			if err != nil || reply.Outcome == entryserver.OutcomeUnknown {
				a.lost++
			}
			a.mu.Unlock()
			continue
		}
		a.check(reply.VersionDigest, body, reply.Body, reply.Frames)
	}
}

func (a *asker) check(version string, body, answer []byte, frames framesFunc) {
	fs, ended := frames()
	own := ended && len(fs) == testTokens
	for i, f := range fs {
		own = own && f.Text == emulator.Token(body, version, i)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answered++
	if !own {
		a.foreign = append(a.foreign, string(answer))
	}
}

func (a *asker) finish() (answered int, foreign []string) {
	close(a.stop)
	a.wg.Wait()
	return a.answered, a.foreign
}

// intended maps each version digest to the digest of its weights.
func intended(t *testing.T, versions ...byte) map[string]string {
	t.Helper()
	digests := map[string]string{}
	for _, v := range versions {
		m, err := chunker.NewManifest(testModel, fmt.Sprint("v", v), weights(v), testChunk)
		if err != nil {
			t.Fatal(err)
		}
		data, err := m.Encode()
		if err != nil {
			t.Fatal(err)
		}
		digests[chunker.Digest(data)] = m.WeightsDigest
	}
	return digests
}

// No endpoint serves partial weights or a mix, while versions change, orders are
// lost or late, and two incarnations of a sidecar stand beside one endpoint.
func TestOnlyIntendedWeightsServe(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		checksFencing bool
		slots         int
	}{
		"fencing checked, room for two": {true, 2},
		"fencing ignored, room for two": {false, 2},
		"fencing checked, room for one": {true, 1},
		"fencing ignored, room for one": {false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			topology := small()
			topology.Services[0].Endpoints = 3
			topology.Services[0].Slots = tc.slots
			topology.Services[0].ChecksFencing = tc.checksFencing
			s := start(t, topology, deployer.Options{})
			asking := startAsking(s, 4)
			for _, e := range s.Endpoints[:3] {
				e.Emulator.SetFaults(emulator.EndpointFaults{OrderReplyLossRate: 0.5, OrderLatencyMillis: 30})
			}
			// The machine of one sidecar is lost to all but its endpoint, and a new
			// sidecar takes its place.
			is.NoErr(replaceSidecar(s, s.Endpoints[0]))
			previous := s.digest
			for v := byte(2); v <= 3; v++ {
				previous = s.rollout(t, v, previous)
			}
			s.Network.SetIsolated(s.Endpoints[0].Name, false)
			time.Sleep(time.Second)
			answered, foreign := asking.finish()
			is.True(answered > 50)
			is.Equal(foreign, nil)
			digests := intended(t, 1, 2, 3)
			for _, e := range s.Endpoints[:3] {
				for _, run := range e.Emulator.Runs() {
					is.Equal(run.WeightsDigest, digests[run.VersionDigest])
					is.True(!run.WeightsChanged)
				}
			}
		})
	}
}

func replaceSidecar(s *system, e *deployer.Endpoint) error {
	s.Network.SetIsolated(e.Name, true)
	return s.StartSidecar(e)
}

// An endpoint that loses what it held gets no traffic until it has it again.
func TestCrashedEndpointIsLoadedAgain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := start(t, small(), deployer.Options{})
	asking := startAsking(s, 2)
	for range 2 {
		s.Endpoints[0].Emulator.SetFaults(emulator.EndpointFaults{Crashed: true})
		time.Sleep(300 * time.Millisecond)
		s.Endpoints[0].Emulator.SetFaults(emulator.EndpointFaults{})
		time.Sleep(500 * time.Millisecond)
	}
	is.NoErr(s.AwaitServing(s.ctx, s.digest, 2, nil))
	_, foreign := asking.finish()
	is.Equal(foreign, nil)
}

// A record asks for a role and an adapter beside the version.
func TestRolesAndAdaptersAreOrdered(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := start(t, small(), deployer.Options{})
	_, err := s.Publish(s.ctx, interpreter.KindModel+":"+testModel, interpreter.Model{
		Service: "engine", VersionDigest: s.digest, Prefer: interpreter.PreferTime, MinReplicas: 2, MaxReplicas: 2,
		OriginCopies: 1, Adapters: []string{"quotes"}, Role: "prefill",
	})
	is.NoErr(err)
	for range 100 {
		ordered := 0
		for _, e := range s.Endpoints[:2] {
			st := e.Emulator.State()
			if l, ok := st.Holds(s.digest); ok && st.Role == "prefill" && len(l.Adapters) == 1 {
				ordered++
			}
		}
		if ordered == 2 {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	is.Fail() // role and adapter not ordered in time
}

// The body that crashes endpoints is convicted after three of them at most, and
// what runs beside it is answered.
func TestCrashingRequestIsConvicted(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	topology := small()
	topology.Services[0].Endpoints = 5
	topology.Services[0].TokenInterval = 5 * time.Millisecond
	s := start(t, topology, deployer.Options{})
	asking := startAsking(s, 6)
	code := entryserver.Code("")
	for i := 0; i < 8 && code != entryserver.CodeConvicted; i++ {
		reply, err := s.ask(i%2, prompt(emulator.CrashMarker))
		is.NoErr(err)
		code = reply.Code
	}
	is.Equal(code, entryserver.CodeConvicted)
	crashes := 0
	for _, e := range s.Endpoints {
		crashes += e.Emulator.CrashCount()
	}
	is.True(crashes <= 3)
	answered, foreign := asking.finish()
	is.True(answered > 0)
	is.Equal(asking.lost, 0)
	is.Equal(foreign, nil)
}

// A burst of requests gets more replicas, and after it they go again.
func TestBurstGetsReplicas(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	topology := small()
	topology.Services[0].Endpoints = 3
	topology.Services[0].TokenInterval = 20 * time.Millisecond
	s := start(t, topology, deployer.Options{ConfigureSidecar: func(c *sidecarserver.Config) { c.ReplicaStay = 500 * time.Millisecond }})
	_, err := s.Publish(s.ctx, interpreter.KindModel+":"+testModel, interpreter.Model{
		Service: "engine", VersionDigest: s.digest, Prefer: interpreter.PreferTime, MinReplicas: 1, MaxReplicas: 3, OriginCopies: 1,
	})
	is.NoErr(err)
	eventually(t, "one replica is enough", func() bool { return s.Serving(s.digest) == 1 })
	asking := startAsking(s, 24)
	eventually(t, "the burst has three replicas", func() bool { return s.Serving(s.digest) == 3 })
	answered, foreign := asking.finish()
	is.True(answered > 0)
	is.Equal(asking.lost, 0)
	is.Equal(foreign, nil)
	eventually(t, "one replica is enough again", func() bool { return s.Serving(s.digest) == 1 })
}
