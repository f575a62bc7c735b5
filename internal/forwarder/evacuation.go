package forwarder

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/pkg/balancer"
)

// keptLogInterval is the time between two log lines about requests that were kept from
// evacuated zones, which may be all of them.
const keptLogInterval = time.Second

// keptFromZones counts the requests that were kept from evacuated zones since the last log
// line. It is safe for concurrent use.
type keptFromZones struct {
	mu sync.Mutex
	// refused had no other endpoint, and redecided went on to look for one.
	refused, redecided int
	nextLogAt          time.Time
}

// isEvacuated reports whether the zone of an endpoint is evacuated. It is checked right before
// a request is sent, after all waits, since the balancer hears of an evacuation a little later
// and the request may have waited since.
func (f *Forwarder) isEvacuated(e balancer.Endpoint) bool {
	return f.cfg.RoutingState().Evacuations.IsEvacuated(e.AvailabilityZone)
}

// recordRefusedByEvacuation counts a request whose endpoints are all evacuated.
func (f *Forwarder) recordRefusedByEvacuation() {
	f.cfg.Metrics.Add("requests_refused_by_evacuation", 1)
	f.keptFromZones.mu.Lock()
	defer f.keptFromZones.mu.Unlock()
	f.keptFromZones.refused++
}

// recordRedecidedByEvacuation counts a request that was about to be sent to an endpoint of an
// evacuated zone.
func (f *Forwarder) recordRedecidedByEvacuation() {
	f.cfg.Metrics.Add("requests_redecided_by_evacuation", 1)
	f.keptFromZones.mu.Lock()
	defer f.keptFromZones.mu.Unlock()
	f.keptFromZones.redecided++
}

// logKeptFromZones logs how many requests were kept from evacuated zones, at most once per
// keptLogInterval.
func (f *Forwarder) logKeptFromZones(now time.Time) {
	k := &f.keptFromZones
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.refused+k.redecided == 0 || now.Before(k.nextLogAt) {
		return
	}
	logger.Log(f.cfg.Logger, logger.RequestsKeptFromZones, zap.Strings("zones", f.cfg.RoutingState().Evacuations.Evacuated()),
		zap.Int("refused", k.refused), zap.Int("redecided", k.redecided))
	k.refused, k.redecided, k.nextLogAt = 0, 0, now.Add(keptLogInterval)
}

// EndpointCounts returns how many endpoints of all services get no or few requests.
func (f *Forwarder) EndpointCounts(now time.Time) (sum balancer.Counts) {
	f.dispatchers.each(func(dp *dispatcher) {
		c := dp.counts(now)
		sum.Evacuated += c.Evacuated
		sum.RequestsInEvacuated += c.RequestsInEvacuated
		sum.Cold += c.Cold
	})
	return sum
}

func (dp *dispatcher) counts(now time.Time) balancer.Counts {
	dp.mu.Lock()
	defer dp.mu.Unlock()
	return dp.balancer.Counts(now)
}
