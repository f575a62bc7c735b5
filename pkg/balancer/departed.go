package balancer

import (
	"time"

	"flamingoledge.org/flamingoledge/pkg/advisor"
)

// departedMemory is how long it is known of an endpoint that it was leaving when it was
// removed from the list. It is longer than any list can lag.
const departedMemory = 10 * time.Minute

// departedEndpoints holds endpoints that were leaving when they were removed from the list,
// by ID. The list may name them again, for example after an outage of the store.
type departedEndpoints map[string]departedEndpoint

type departedEndpoint struct {
	born  int64
	until time.Time
}

// add records an endpoint that was removed from the list, and forgets the oldest ones.
func (d departedEndpoints) add(now time.Time, m *member) {
	for id, e := range d {
		if !now.Before(e.until) {
			delete(d, id)
		}
	}
	if m.advice.IsLeaving() {
		d[m.ID] = departedEndpoint{born: m.Born, until: now.Add(departedMemory)}
	}
}

// advice returns what is known of an endpoint that is added to the list.
func (d departedEndpoints) advice(e Endpoint) advisor.Advice {
	if known, ok := d[e.ID]; ok && e.Born <= known.born {
		return advisor.Leaving()
	}
	return advisor.Advice{}
}
