// Package demonstrator runs the whole path in one process: it publishes records,
// spreads a generated model, sends requests of both kinds while that goes on,
// and reports what came of it.
package demonstrator

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/deployer"
	"flamingoledge.org/flamingoledge/internal/publisher"
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
	Deployment         string  `json:"deployment"`
	Prefer             string  `json:"prefer"`
	Replicas           int     `json:"replicas"`
	TimeToNSeconds     float64 `json:"time_to_n_seconds"`
	MinTransferSeconds float64 `json:"floor_seconds"`
	OriginCopies       float64 `json:"origin_copies"`
	RecordOffset       uint64  `json:"record_offset"`
	InForceSeconds     float64 `json:"in_force_seconds"`
	RequestCounts
	RanTwice int `json:"ran_twice"`
	// InterruptedRuns counts runs that an endpoint began and did not finish.
	InterruptedRuns int `json:"cut_off"`
}

// Run runs a demonstration.
func Run(ctx context.Context, cfg Config) (r Report, err error) {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	t := cfg.Topology
	t.Seed = cfg.Seed
	t.Links.Origin = originCopies * weightsBytes / window.Seconds()
	t.Links.Instance = instanceCopies * weightsBytes / window.Seconds()
	keys, err := os.MkdirTemp("", "flamingoledge-demo-keys")
	if err != nil {
		return Report{}, eris.Wrap(err, "directory for the demo's keys")
	}
	defer func() { _ = os.RemoveAll(keys) }()
	d, err := deployer.Start(ctx, t, deployer.Options{Logger: cfg.Logger, KeyDirectory: keys})
	if err != nil {
		return Report{}, err
	}
	defer d.Stop()
	demo := &demonstration{cfg: cfg, deployment: d}
	if r, err = demo.run(ctx); err != nil {
		return Report{}, err
	}
	return r, nil
}

type demonstration struct {
	cfg        Config
	deployment *deployer.Deployment
}

func (m *demonstration) say(format string, args ...any) {
	_, _ = fmt.Fprintf(m.cfg.Progress, format+"\n", args...)
}

func (m *demonstration) run(ctx context.Context) (r Report, err error) {
	t := m.deployment.Topology
	r = Report{Deployment: t.Name, Prefer: string(t.Prefer), MinTransferSeconds: weightsBytes / t.Links.Instance}
	m.say("%s: %d regions, %d entries, %d endpoints", t.Name, len(t.Regions), len(m.deployment.Entries), len(m.deployment.Endpoints))
	if err = m.deployment.AwaitAttached(ctx); err != nil {
		return r, err
	}
	if _, err = m.deployment.PublishServices(ctx, modelName); err != nil {
		return r, err
	}
	m.say("records: %d services and their workspaces", len(t.Services))
	started := time.Now()
	var digest string
	if digest, r.RecordOffset, err = m.deployment.PublishVersion(ctx, modelName, "v1", m.weights(), chunkBytes, ""); err != nil {
		return r, err
	}
	m.say("record %d: model %s serves version %.12s, %d bytes in chunks of %d, prefer %s",
		r.RecordOffset, modelName, digest, weightsBytes, chunkBytes, t.Prefer)
	spread, err := publisher.AwaitPropagation(ctx, m.deployment.Client, r.RecordOffset, nil)
	if err != nil {
		return r, err
	}
	r.InForceSeconds = time.Since(started).Seconds()
	m.say("record %d: in force on %d instances after %.2f s", r.RecordOffset, len(spread.InForce), r.InForceSeconds)
	load := startLoad(ctx, m.deployment, digest)
	r.Replicas = m.deployment.ModelService().Endpoints
	if err = m.deployment.AwaitServing(ctx, digest, r.Replicas, m.sayProgress(r.Replicas)); err != nil {
		load.stop()
		return r, err
	}
	r.TimeToNSeconds = time.Since(started).Seconds()
	r.OriginCopies = float64(m.deployment.Platform.OriginBytes()) / weightsBytes
	m.say("version %.12s: %d replicas serve after %.2f s, the origin gave %.2f copies", digest, r.Replicas, r.TimeToNSeconds, r.OriginCopies)
	r.RequestCounts = load.finish()
	m.checkHistories(&r)
	return r, nil
}

func (m *demonstration) weights() []byte {
	w := make([]byte, weightsBytes)
	src := rand.NewChaCha8([32]byte{byte(m.cfg.Seed)})
	_, _ = src.Read(w)
	return w
}

// progressStep is the time between lines about a rollout.
const progressStep = 2 * time.Second

func (m *demonstration) sayProgress(want int) func(int) {
	said := time.Now()
	return func(n int) {
		if time.Since(said) < progressStep {
			return
		}
		said = time.Now()
		m.say("  %d of %d replicas serve, the origin gave %.2f copies", n, want, float64(m.deployment.Platform.OriginBytes())/weightsBytes)
	}
}

// checkHistories counts from the endpoints' own histories what must not be.
func (m *demonstration) checkHistories(r *Report) {
	for _, runs := range m.deployment.RunsByKey() {
		if runs > 1 {
			r.RanTwice++
		}
	}
	for _, e := range m.deployment.Endpoints {
		for _, run := range e.Emulator.Runs() {
			if run.Interrupted {
				r.InterruptedRuns++
			}
		}
	}
}
