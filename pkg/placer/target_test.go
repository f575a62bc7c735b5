package placer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"flamingoledge.org/flamingoledge/pkg/placer"
)

func TestTargetScalesUpAtOnceAndDownSlowly(t *testing.T) {
	is := is.New(t)
	cfg := placer.TargetConfig{RequestsPerReplica: 10, Utilization: 0.5, ScaleDownDelay: time.Minute, Smoothing: 1}
	now := time.Unix(1000, 0)
	target := placer.Target{}.WithInProgress(cfg, now, 3)
	is.Equal(target.Replicas(0, 10), 1)
	target = target.WithInProgress(cfg, now, 18)
	is.Equal(target.Replicas(0, 10), 4)
	is.Equal(target.Replicas(0, 3), 3) // within the record's limits
	is.Equal(target.Replicas(6, 9), 6)
	changes := 0
	for s := range 300 {
		// Demand that varies around the threshold does not change the number of
		// replicas.
		before := target.Replicas(0, 10)
		target = target.WithInProgress(cfg, now.Add(time.Duration(s)*time.Second), 15+float64(s%2)*4)
		if target.Replicas(0, 10) != before {
			changes++
		}
	}
	is.Equal(changes, 0)
	droppedAt := now.Add(time.Hour)
	target = target.WithInProgress(cfg, droppedAt, 0)
	is.Equal(target.Replicas(0, 10), 4)
	target = target.WithInProgress(cfg, droppedAt.Add(59*time.Second), 0)
	is.Equal(target.Replicas(0, 10), 4) // before ScaleDownDelay
	target = target.WithInProgress(cfg, droppedAt.Add(time.Minute), 0)
	is.Equal(target.Replicas(0, 10), 3) // one replica at a time
}

// TestTargetAfterBurst checks that replicas are removed as soon after a burst that is
// larger than the record's limit as after one that just reaches it.
func TestTargetAfterBurst(t *testing.T) {
	const (
		perReplica  = 5
		maxReplicas = 3
		burst       = time.Minute
	)
	tests := map[string]struct {
		inProgress float64
		lowered    bool
	}{
		"at the limit":               {inProgress: perReplica * maxReplicas},
		"tenfold":                    {inProgress: 10 * perReplica * maxReplicas},
		"the limit is lowered later": {inProgress: 10 * perReplica * maxReplicas, lowered: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cfg := placer.TargetConfig{RequestsPerReplica: 10, Utilization: 0.5, MaxReplicas: maxReplicas, ScaleDownDelay: 10 * time.Second, Smoothing: 0.5}
			if tc.lowered {
				cfg.MaxReplicas = 10 * maxReplicas
			}
			now := time.Unix(1000, 0)
			target := placer.Target{}
			for end := now.Add(burst); now.Before(end); now = now.Add(time.Second) {
				target = target.WithInProgress(cfg, now, tc.inProgress)
			}
			cfg.MaxReplicas = maxReplicas
			is.Equal(target.Replicas(1, maxReplicas), maxReplicas)
			end := now
			for target.Replicas(1, maxReplicas) > 1 {
				target = target.WithInProgress(cfg, now, 0)
				now = now.Add(time.Second)
			}
			// Two removals take two delays, and a few samples pass until the average shows
			// that one replica suffices.
			is.True(now.Sub(end) <= 2*cfg.ScaleDownDelay+5*time.Second)
		})
	}
}
