package placer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"flamingoledge.org/flamingoledge/pkg/placer"
)

func TestTargetGrowsAtOnceAndShrinksSlowly(t *testing.T) {
	is := is.New(t)
	cfg := placer.TargetConfig{RequestsPerReplica: 10, Utilization: 0.5, ScaleDownDelay: time.Minute, Smoothing: 1}
	now := time.Unix(1000, 0)
	tg := placer.Target{}.WithInProgress(cfg, now, 3)
	is.Equal(tg.Replicas(0, 10), 1)
	tg = tg.WithInProgress(cfg, now, 18)
	is.Equal(tg.Replicas(0, 10), 4)
	is.Equal(tg.Replicas(0, 3), 3) // within the record's limits
	is.Equal(tg.Replicas(6, 9), 6)
	changes := 0
	for s := range 300 {
		// A demand around the threshold does not make replicas come and go.
		before := tg.Replicas(0, 10)
		tg = tg.WithInProgress(cfg, now.Add(time.Duration(s)*time.Second), 15+float64(s%2)*4)
		if tg.Replicas(0, 10) != before {
			changes++
		}
	}
	is.Equal(changes, 0)
	shrunk := now.Add(time.Hour)
	tg = tg.WithInProgress(cfg, shrunk, 0)
	is.Equal(tg.Replicas(0, 10), 4)
	tg = tg.WithInProgress(cfg, shrunk.Add(59*time.Second), 0)
	is.Equal(tg.Replicas(0, 10), 4) // a lull
	tg = tg.WithInProgress(cfg, shrunk.Add(time.Minute), 0)
	is.Equal(tg.Replicas(0, 10), 3) // one by one
}
