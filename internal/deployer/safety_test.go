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

// loadGenerator sends model requests continuously and compares each complete response
// with the output of the version that it names.
type loadGenerator struct {
	system *system
	stop   chan struct{}
	wg     sync.WaitGroup

	mu       sync.Mutex
	answered int
	// unknown counts the requests with an unknown outcome.
	unknown int
	// foreign holds the responses that are not those of the request.
	foreign []string
}

func startLoad(s *system, callers int) *loadGenerator {
	l := &loadGenerator{system: s, stop: make(chan struct{})}
	for c := range callers {
		l.wg.Go(func() { l.run(c) })
	}
	return l
}

func (l *loadGenerator) run(c int) {
	for i := 0; ; i++ {
		select {
		case <-l.stop:
			return
		default:
		}
		body := promptBody(fmt.Sprint("caller ", c, " question ", i))
		reply, err := l.system.generate(i%2, body)
		if err != nil || !reply.Complete || reply.Outcome != entryserver.OutcomeAnswered {
			l.mu.Lock()
			if err != nil || reply.Outcome == entryserver.OutcomeUnknown {
				l.unknown++
			}
			l.mu.Unlock()
			continue
		}
		l.check(reply.VersionDigest, body, reply.Body, reply.Frames)
	}
}

func (l *loadGenerator) check(version string, body, answer []byte, frames framesFunc) {
	fs, ended := frames()
	correct := ended && len(fs) == testTokens
	for i, f := range fs {
		correct = correct && f.Text == emulator.Token(body, version, i)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answered++
	if !correct {
		l.foreign = append(l.foreign, string(answer))
	}
}

func (l *loadGenerator) finish() (answered int, foreign []string) {
	close(l.stop)
	l.wg.Wait()
	return l.answered, l.foreign
}

// expectedWeights maps each version digest to the digest of its weights.
func expectedWeights(t *testing.T, versions ...byte) map[string]string {
	t.Helper()
	digests := map[string]string{}
	for _, v := range versions {
		m, err := chunker.NewManifest(testModel, fmt.Sprint("v", v), weights(v), testChunkBytes)
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

// No endpoint may serve partial or mixed weights while versions change, responses to orders
// are lost, orders are delayed and two sidecars control the same endpoint.
func TestOnlyPublishedWeightsAreServed(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		checksFencing bool
		slots         int
	}{
		"fencing checked, two slots": {true, 2},
		"fencing ignored, two slots": {false, 2},
		"fencing checked, one slot":  {true, 1},
		"fencing ignored, one slot":  {false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			topology := smallTopology()
			topology.Services[0].Endpoints = 3
			topology.Services[0].Slots = tc.slots
			topology.Services[0].ChecksFencing = tc.checksFencing
			s := start(t, topology, deployer.Options{})
			load := startLoad(s, 4)
			for _, e := range s.Endpoints[:3] {
				e.Emulator.SetFaults(emulator.EndpointFaults{OrderReplyLossRate: 0.5, OrderLatencyMillis: 30})
			}
			// One sidecar can reach only its endpoint, and a second sidecar is started
			// for that endpoint.
			is.NoErr(replaceSidecar(s, s.Endpoints[0]))
			previous := s.digest
			for v := byte(2); v <= 3; v++ {
				previous = s.rollout(t, v, previous)
			}
			s.Network.SetIsolated(s.Endpoints[0].Name, false)
			time.Sleep(time.Second)
			answered, foreign := load.finish()
			is.True(answered > 50)
			is.Equal(foreign, nil)
			digests := expectedWeights(t, 1, 2, 3)
			for _, e := range s.Endpoints[:3] {
				for _, run := range e.Emulator.Runs() {
					is.Equal(run.WeightsDigest, digests[run.VersionDigest])
					is.True(!run.WeightsChanged)
				}
			}
		})
	}
}

// replaceSidecar isolates the sidecar of an endpoint and starts another one.
func replaceSidecar(s *system, e *deployer.Endpoint) error {
	s.Network.SetIsolated(e.Name, true)
	return s.StartSidecar(e)
}

// An endpoint that lost its versions in a crash receives no requests until they are loaded
// again.
func TestCrashedEndpointIsReloaded(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := start(t, smallTopology(), deployer.Options{})
	load := startLoad(s, 2)
	for range 2 {
		s.Endpoints[0].Emulator.SetFaults(emulator.EndpointFaults{Crashed: true})
		time.Sleep(300 * time.Millisecond)
		s.Endpoints[0].Emulator.SetFaults(emulator.EndpointFaults{})
		time.Sleep(500 * time.Millisecond)
	}
	is.NoErr(s.AwaitServing(s.ctx, s.digest, 2, nil))
	_, foreign := load.finish()
	is.Equal(foreign, nil)
}

// A model record sets a role and an adapter in addition to the version.
func TestRoleAndAdapterAreApplied(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := start(t, smallTopology(), deployer.Options{})
	_, err := s.Publish(s.ctx, interpreter.KindModel+":"+testModel, interpreter.Model{
		Service: "engine", VersionDigest: s.digest, Prefer: interpreter.PreferTime, MinReplicas: 2, MaxReplicas: 2,
		OriginCopies: 1, Adapters: []string{"quotes"}, Role: "prefill",
	})
	is.NoErr(err)
	for range 100 {
		applied := 0
		for _, e := range s.Endpoints[:2] {
			st := e.Emulator.State()
			if l, ok := st.FindVersion(s.digest); ok && st.Role == "prefill" && len(l.Adapters) == 1 {
				applied++
			}
		}
		if applied == 2 {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	is.Fail() // role and adapter not applied in time
}

// A request body that crashes endpoints is convicted after at most three crashes, and no
// concurrent request has an unknown outcome.
func TestCrashingRequestIsConvicted(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	topology := smallTopology()
	topology.Services[0].Endpoints = 5
	topology.Services[0].TokenInterval = 5 * time.Millisecond
	s := start(t, topology, deployer.Options{})
	load := startLoad(s, 6)
	code := entryserver.Code("")
	for i := 0; i < 8 && code != entryserver.CodeConvicted; i++ {
		reply, err := s.generate(i%2, promptBody(emulator.CrashMarker))
		is.NoErr(err)
		code = reply.Code
	}
	is.Equal(code, entryserver.CodeConvicted)
	crashes := 0
	for _, e := range s.Endpoints {
		crashes += e.Emulator.CrashCount()
	}
	is.True(crashes <= 3)
	answered, foreign := load.finish()
	is.True(answered > 0)
	is.Equal(load.unknown, 0)
	is.Equal(foreign, nil)
}

// A burst of requests adds replicas, which are removed after the burst.
func TestBurstScalesReplicas(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	topology := smallTopology()
	topology.Services[0].Endpoints = 3
	topology.Services[0].TokenInterval = 20 * time.Millisecond
	s := start(t, topology, deployer.Options{ConfigureSidecar: func(c *sidecarserver.Config) { c.ScaleDownDelay = 500 * time.Millisecond }})
	_, err := s.Publish(s.ctx, interpreter.KindModel+":"+testModel, interpreter.Model{
		Service: "engine", VersionDigest: s.digest, Prefer: interpreter.PreferTime, MinReplicas: 1, MaxReplicas: 3, OriginCopies: 1,
	})
	is.NoErr(err)
	eventually(t, "scaled to one replica", func() bool { return s.Serving(s.digest) == 1 })
	load := startLoad(s, 24)
	eventually(t, "scaled to three replicas", func() bool { return s.Serving(s.digest) == 3 })
	answered, foreign := load.finish()
	is.True(answered > 0)
	is.Equal(load.unknown, 0)
	is.Equal(foreign, nil)
	eventually(t, "scaled back to one replica", func() bool { return s.Serving(s.digest) == 1 })
}
