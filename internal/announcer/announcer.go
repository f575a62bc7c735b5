// Package announcer keeps a process in touch with the platform's list of
// instances: it announces the own instance and reads the list.
package announcer

import (
	"context"
	"expvar"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/pkg/provider"
)

// DefaultInterval is the usual time between readings of the list.
const DefaultInterval = 2 * time.Second

// leaveTimeout bounds the announcement that an instance leaves.
const leaveTimeout = time.Second

// Config configures an Announcer.
type Config struct {
	Directory provider.Directory
	Logger    *zap.Logger
	Metrics   *expvar.Map
	// Self is the own instance; its state is filled in.
	Self provider.Instance
	// Interval is the time between announcements and readings.
	Interval time.Duration
	// IsLeaving tells whether the instance leaves.
	IsLeaving func() bool
	// OnInstances gets each list that was read.
	OnInstances func([]provider.Instance)
}

// Announcer announces an instance and reads the list.
type Announcer struct {
	cfg Config
}

// New returns an announcer that does not run yet.
func New(cfg Config) *Announcer { return &Announcer{cfg: cfg} }

// Run announces and reads until ctx ends. An outage is logged once when it begins.
func (a *Announcer) Run(ctx context.Context) {
	ticker := time.NewTicker(a.cfg.Interval)
	defer ticker.Stop()
	outage := false
	for {
		if !a.cfg.IsLeaving() {
			a.announce(ctx, provider.InstanceLive)
		}
		instances, err := a.cfg.Directory.Instances(ctx)
		switch {
		case err == nil:
			outage = false
			a.cfg.OnInstances(instances)
		case !outage && ctx.Err() == nil:
			outage = true
			logger.Log(a.cfg.Logger, logger.ListUnavailable, zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// AnnounceLeaving announces that the instance leaves.
func (a *Announcer) AnnounceLeaving() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	a.announce(ctx, provider.InstanceLeaving)
}

func (a *Announcer) announce(ctx context.Context, state provider.InstanceState) {
	i := a.cfg.Self
	i.State = state
	if err := a.cfg.Directory.Announce(ctx, i); err != nil {
		a.cfg.Metrics.Add("announce_failures", 1)
	}
}
