// Package demonstrator runs a complete deployment in one process. It publishes records,
// distributes a generated model, sends requests to model and plain services meanwhile,
// and reports the results.
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
	// copyWindow is the time in which the origin's link transfers originCopiesPerWindow
	// copies of the weights and an instance's link instanceCopiesPerWindow.
	copyWindow              = 10 * time.Second
	originCopiesPerWindow   = 4
	instanceCopiesPerWindow = 2
	modelName               = "delivery-notes"
	demoTimeout             = 55 * time.Second
)

// Config configures a demonstration.
type Config struct {
	Topology deployer.Topology
	// Progress receives a line of text for each step.
	Progress io.Writer
	Logger   *zap.Logger
	// Seed seeds the emulators and the generated weights.
	Seed uint64
}

// Report contains the results of a demonstration.
type Report struct {
	Deployment string `json:"deployment"`
	Prefer     string `json:"prefer"`
	Replicas   int    `json:"replicas"`
	// TimeToNSeconds is the time from publishing the version until all replicas served it.
	TimeToNSeconds float64 `json:"time_to_n_seconds"`
	// MinTransferSeconds is the time to transfer one copy over an instance's link.
	MinTransferSeconds float64 `json:"floor_seconds"`
	// OriginCopies is the bytes read from the origin as a multiple of the weights' size.
	OriginCopies float64 `json:"origin_copies"`
	RecordOffset uint64  `json:"record_offset"`
	// InForceSeconds is the time until the version's record was in force on all
	// instances.
	InForceSeconds float64 `json:"in_force_seconds"`
	RequestCounts
	// RanTwice counts idempotency keys with more than one run.
	RanTwice int `json:"ran_twice"`
	// InterruptedRuns counts runs that an endpoint started but did not complete.
	InterruptedRuns int `json:"cut_off"`
}

// Run runs a demonstration and returns its report.
func Run(ctx context.Context, cfg Config) (r Report, err error) {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	t := cfg.Topology
	t.Seed = cfg.Seed
	t.Links.Origin = originCopiesPerWindow * weightsBytes / copyWindow.Seconds()
	t.Links.Instance = instanceCopiesPerWindow * weightsBytes / copyWindow.Seconds()
	keyDirectory, err := os.MkdirTemp("", "flamingoledge-demo-keys")
	if err != nil {
		return Report{}, eris.Wrap(err, "create directory for temporary keys")
	}
	defer func() { _ = os.RemoveAll(keyDirectory) }()
	d, err := deployer.Start(ctx, t, deployer.Options{Logger: cfg.Logger, KeyDirectory: keyDirectory})
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

// progressf writes a formatted line to the progress output.
func (d *demonstration) progressf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.cfg.Progress, format+"\n", args...)
}

func (d *demonstration) run(ctx context.Context) (r Report, err error) {
	t := d.deployment.Topology
	r = Report{Deployment: t.Name, Prefer: string(t.Prefer), MinTransferSeconds: weightsBytes / t.Links.Instance}
	d.progressf("%s: %d regions, %d entries, %d endpoints", t.Name, len(t.Regions), len(d.deployment.Entries), len(d.deployment.Endpoints))
	if err = d.deployment.AwaitAttached(ctx); err != nil {
		return r, err
	}
	if _, err = d.deployment.PublishServices(ctx, modelName); err != nil {
		return r, err
	}
	d.progressf("published %d services and their workspaces", len(t.Services))
	publishedAt := time.Now()
	var digest string
	if digest, r.RecordOffset, err = d.deployment.PublishVersion(ctx, modelName, "v1", d.weights(), chunkBytes, ""); err != nil {
		return r, err
	}
	d.progressf("record %d: model %s serves version %.12s, %d bytes in chunks of %d, prefer %s",
		r.RecordOffset, modelName, digest, weightsBytes, chunkBytes, t.Prefer)
	propagation, err := publisher.AwaitPropagation(ctx, d.deployment.Client, r.RecordOffset, nil)
	if err != nil {
		return r, err
	}
	r.InForceSeconds = time.Since(publishedAt).Seconds()
	d.progressf("record %d: in force on %d instances after %.2f s", r.RecordOffset, len(propagation.InForce), r.InForceSeconds)
	load := startLoad(ctx, d.deployment, digest)
	r.Replicas = d.deployment.ModelService().Endpoints
	if err = d.deployment.AwaitServing(ctx, digest, r.Replicas, d.progressPrinter(r.Replicas)); err != nil {
		load.stop()
		return r, err
	}
	r.TimeToNSeconds = time.Since(publishedAt).Seconds()
	r.OriginCopies = float64(d.deployment.Platform.OriginBytes()) / weightsBytes
	d.progressf("version %.12s: %d replicas serving after %.2f s, %.2f copies read from origin", digest, r.Replicas, r.TimeToNSeconds, r.OriginCopies)
	r.RequestCounts = load.finish()
	d.countViolations(&r)
	return r, nil
}

func (d *demonstration) weights() []byte {
	w := make([]byte, weightsBytes)
	src := rand.NewChaCha8([32]byte{byte(d.cfg.Seed)})
	_, _ = src.Read(w)
	return w
}

// progressInterval is the minimum time between progress lines of a rollout.
const progressInterval = 2 * time.Second

// progressPrinter returns a callback that prints the number of serving replicas at most
// once per progressInterval.
func (d *demonstration) progressPrinter(want int) func(int) {
	printedAt := time.Now()
	return func(n int) {
		if time.Since(printedAt) < progressInterval {
			return
		}
		printedAt = time.Now()
		d.progressf("  %d of %d replicas serving, %.2f copies read from origin", n, want, float64(d.deployment.Platform.OriginBytes())/weightsBytes)
	}
}

// countViolations counts duplicate and interrupted runs in the endpoints' histories.
func (d *demonstration) countViolations(r *Report) {
	for _, runs := range d.deployment.RunsByKey() {
		if runs > 1 {
			r.RanTwice++
		}
	}
	for _, e := range d.deployment.Endpoints {
		for _, run := range e.Emulator.Runs() {
			if run.Interrupted {
				r.InterruptedRuns++
			}
		}
	}
}
