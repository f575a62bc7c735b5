// Package announcer registers an instance with the platform's instance list and polls
// the list.
package announcer

import (
	"context"
	"expvar"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/pkg/provider"
)

// DefaultInterval is the default polling interval.
const DefaultInterval = 2 * time.Second

// leaveTimeout limits the announcement that an instance is leaving.
const leaveTimeout = time.Second

// Config configures an Announcer.
type Config struct {
	Directory provider.Directory
	Logger    *zap.Logger
	Metrics   *expvar.Map
	// Self is the instance to announce. Its State is ignored.
	Self provider.Instance
	// Interval is the time between two announcements and between two reads of the
	// list.
	Interval time.Duration
	// IsLeaving reports whether the instance is leaving.
	IsLeaving func() bool
	// OnInstances is called with every list that was read.
	OnInstances func([]provider.Instance)
}

// Announcer announces an instance and polls the instance list.
type Announcer struct {
	cfg Config
}

// New returns an announcer. Call Run to start it.
func New(cfg Config) *Announcer { return &Announcer{cfg: cfg} }

// Run announces the instance, unless it is leaving, and reads the list in each interval
// until ctx ends. An outage of the list is logged once, when it begins.
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

// AnnounceLeaving announces that the instance is leaving.
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
