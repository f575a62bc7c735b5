// Package demonstrator runs the whole path in one process: it publishes records,
// spreads a generated model, sends requests of both kinds while that goes on,
// and reports what came of it.
package demonstrator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/deployer"
	"flamingoledge.org/flamingoledge/internal/publisher"
	"flamingoledge.org/flamingoledge/pkg/acceptor"
	"flamingoledge.org/flamingoledge/pkg/interpreter"
)

const (
	// weightsBytes is the size of the generated model.
	weightsBytes = 6 << 20
	chunkBytes   = 64 << 10
	// window is the time in which the origin's link carries originCopies copies
	// and each instance's link instanceCopies.
	window         = 10 * time.Second
	originCopies   = 4
	instanceCopies = 2
	modelName      = "delivery-notes"
	workspaces     = 10
	largeWeight    = 8
	runTimeout     = 55 * time.Second
)

// Config configures a demonstration.
type Config struct {
	Topology deployer.Topology
	// Progress gets a line for each step.
	Progress io.Writer
	Logger   *zap.Logger
	Seed     uint64
}

// Report is what a demonstration measured.
type Report struct {
	Deployment     string  `json:"deployment"`
	Prefer         string  `json:"prefer"`
	Replicas       int     `json:"replicas"`
	TimeToNSeconds float64 `json:"time_to_n_seconds"`
	FloorSeconds   float64 `json:"floor_seconds"`
	OriginCopies   float64 `json:"origin_copies"`
	RecordOffset   uint64  `json:"record_offset"`
	InForceSeconds float64 `json:"in_force_seconds"`
	Tally
	RanTwice int `json:"ran_twice"`
	// CutOff counts runs that an endpoint began and did not finish.
	CutOff int `json:"cut_off"`
}

// Run runs a demonstration.
func Run(ctx context.Context, cfg Config) (r Report, err error) {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	t := cfg.Topology
	t.Seed = cfg.Seed
	t.Links.Origin = originCopies * weightsBytes / window.Seconds()
	t.Links.Instance = instanceCopies * weightsBytes / window.Seconds()
	d, err := deployer.Start(ctx, t, deployer.Options{Logger: cfg.Logger})
	if err != nil {
		return Report{}, err
	}
	defer d.Stop()
	demo := &demonstration{cfg: cfg, deployment: d, rng: rand.New(rand.NewPCG(cfg.Seed, 1))}
	if r, err = demo.run(ctx); err != nil {
		return Report{}, err
	}
	return r, nil
}

type demonstration struct {
	cfg        Config
	deployment *deployer.Deployment
	rng        *rand.Rand
}

func (m *demonstration) say(format string, args ...any) {
	_, _ = fmt.Fprintf(m.cfg.Progress, format+"\n", args...)
}

func (m *demonstration) run(ctx context.Context) (r Report, err error) {
	t := m.deployment.Topology
	r = Report{Deployment: t.Name, Prefer: string(t.Prefer), FloorSeconds: weightsBytes / t.Links.Instance}
	m.say("%s: %d regions, %d entries, %d endpoints", t.Name, len(t.Regions), len(m.deployment.Entries), len(m.deployment.Endpoints))
	if err = m.publishServices(ctx); err != nil {
		return r, err
	}
	m.say("origin: storing %d bytes of weights in chunks of %d", weightsBytes, chunkBytes)
	digest, err := publisher.PutVersion(ctx, m.deployment.Client, modelName, "v1", m.weights(), chunkBytes)
	if err != nil {
		return r, err
	}
	started := time.Now()
	if r.RecordOffset, err = m.publishModel(ctx, digest); err != nil {
		return r, err
	}
	m.say("record %d: model %s serves version %.12s, prefer %s", r.RecordOffset, modelName, digest, t.Prefer)
	spread, err := publisher.AwaitSpread(ctx, m.deployment.Client, r.RecordOffset, nil)
	if err != nil {
		return r, err
	}
	r.InForceSeconds = time.Since(started).Seconds()
	m.say("record %d: in force on %d instances after %.2f s", r.RecordOffset, len(spread.InForce), r.InForceSeconds)
	load := startLoad(ctx, m.deployment, digest)
	if r.Replicas, err = m.awaitServing(ctx, digest); err != nil {
		load.stop()
		return r, err
	}
	r.TimeToNSeconds = time.Since(started).Seconds()
	r.OriginCopies = float64(m.deployment.Platform.OriginBytes()) / weightsBytes
	m.say("version %.12s: %d replicas serve after %.2f s, the origin gave %.2f copies", digest, r.Replicas, r.TimeToNSeconds, r.OriginCopies)
	r.Tally = load.finish()
	m.checkHistories(&r)
	return r, nil
}

func (m *demonstration) weights() []byte {
	w := make([]byte, weightsBytes)
	src := rand.NewChaCha8([32]byte{byte(m.cfg.Seed)})
	_, _ = src.Read(w)
	return w
}

func (m *demonstration) publish(ctx context.Context, subject string, body any) (uint64, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, eris.Wrap(err, "encode body")
	}
	return publisher.Publish(ctx, m.deployment.Client, acceptor.Envelope{
		SchemaVersion: interpreter.SchemaNewest,
		RecordID:      fmt.Sprintf("demo-%s", subject),
		Subject:       subject,
		Author:        "demo",
		Body:          data,
	})
}

func (m *demonstration) publishServices(ctx context.Context) error {
	var routes []interpreter.Route
	for _, s := range m.deployment.Topology.Services {
		body := interpreter.Service{
			Kind: s.Kind, Idempotent: s.Kind == interpreter.ServiceModel,
			EndpointConcurrency: s.Concurrency, DefaultDeadlineMillis: 10_000,
		}
		route := interpreter.Route{Service: s.Name}
		if s.Kind == interpreter.ServiceModel {
			body.ModelsPerEndpoint = 1
			route.Model = modelName
		}
		if _, err := m.publish(ctx, interpreter.KindService+":"+s.Name, body); err != nil {
			return err
		}
		routes = append(routes, route)
	}
	for i := range workspaces {
		body := interpreter.Workspace{Routes: routes, Weight: 1}
		if i < 2 {
			body.Weight = largeWeight
		}
		if _, err := m.publish(ctx, interpreter.KindWorkspace+":"+workspaceName(i), body); err != nil {
			return err
		}
	}
	m.say("records: %d services, %d workspaces", len(routes), workspaces)
	return nil
}

func workspaceName(i int) string { return fmt.Sprintf("member-%02d", i+1) }

func (m *demonstration) publishModel(ctx context.Context, digest string) (uint64, error) {
	n := m.modelService().Endpoints
	return m.publish(ctx, interpreter.KindModel+":"+modelName, interpreter.Model{
		Service: m.modelService().Name, VersionDigest: digest, Prefer: m.deployment.Topology.Prefer,
		MinReplicas: n, MaxReplicas: n, OriginCopies: 2,
	})
}

func (m *demonstration) modelService() deployer.Service {
	for _, s := range m.deployment.Topology.Services {
		if s.Kind == interpreter.ServiceModel {
			return s
		}
	}
	return deployer.Service{}
}

const (
	servingPoll  = 20 * time.Millisecond
	progressStep = 2 * time.Second
)

// awaitServing waits until every model endpoint itself reports the version and
// every entry routes to it.
func (m *demonstration) awaitServing(ctx context.Context, digest string) (int, error) {
	want := m.modelService().Endpoints
	said := time.Now()
	for {
		n := want
		for _, s := range m.deployment.EntryServers {
			n = min(n, serving(s.Status(), digest))
		}
		if n >= want {
			return n, nil
		}
		if ctx.Err() != nil {
			return n, eris.Errorf("only %d of %d replicas serve in time", n, want)
		}
		if time.Since(said) >= progressStep {
			said = time.Now()
			m.say("  %d of %d replicas serve, the origin gave %.2f copies", n, want, float64(m.deployment.Platform.OriginBytes())/weightsBytes)
		}
		time.Sleep(servingPoll)
	}
}

// checkHistories counts from the endpoints' own histories what must not be.
func (m *demonstration) checkHistories(r *Report) {
	for _, runs := range m.keyRuns() {
		if runs > 1 {
			r.RanTwice++
		}
	}
	for _, e := range m.deployment.Endpoints {
		for _, run := range e.StandIn.Runs() {
			if run.Cut {
				r.CutOff++
			}
		}
	}
}

func (m *demonstration) keyRuns() map[string]int {
	runs := map[string]int{}
	for _, e := range m.deployment.Endpoints {
		for _, run := range e.StandIn.Runs() {
			if run.IdempotencyKey != "" {
				runs[run.IdempotencyKey]++
			}
		}
	}
	return runs
}
