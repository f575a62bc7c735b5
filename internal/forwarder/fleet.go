package forwarder

import (
	"time"

	"flamingoledge.org/flamingoledge/pkg/shedder"
)

// Demands returns what the callers of this process request, by service.
func (f *Forwarder) Demands(now time.Time) map[string][]shedder.Demand {
	out := map[string][]shedder.Demand{}
	for _, service := range f.dispatchers.services() {
		if ds := f.dispatchers.get(service).demands(now); len(ds) > 0 {
			out[service] = ds
		}
	}
	return out
}

// SetFleet sets what the callers of the other entries request of a service, and the slots of
// its endpoints.
func (f *Forwarder) SetFleet(now time.Time, service string, fleet shedder.Fleet) {
	f.dispatchers.get(service).setFleet(now, fleet)
}

func (dp *dispatcher) demands(now time.Time) []shedder.Demand {
	dp.mu.Lock()
	defer dp.mu.Unlock()
	return dp.balancer.Demands(now)
}

func (dp *dispatcher) setFleet(now time.Time, fleet shedder.Fleet) {
	dp.mu.Lock()
	defer dp.mu.Unlock()
	dp.fleet = fleet
	dp.balancer.SetFleet(now, fleet)
}
