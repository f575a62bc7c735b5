package balancer

import (
	"time"

	"flamingoledge.org/flamingoledge/pkg/advisor"
	"flamingoledge.org/flamingoledge/pkg/warmer"
)

// departedMemory is how long an endpoint is known after it was removed from the list. It is
// longer than any list can lag.
const departedMemory = 10 * time.Minute

// departedEndpoints holds the endpoints that were removed from the list, by ID, with what they
// have said. The list may name them again, for example after an outage of the store, and
// answers of theirs may still arrive.
type departedEndpoints map[string]*departedEndpoint

type departedEndpoint struct {
	born   int64
	home   Home
	advice advisor.Advice
	until  time.Time
	// ramp limits the requests to the endpoint if it is cold.
	ramp warmer.Ramp
}

// add adds an endpoint that was removed from the list.
func (d departedEndpoints) add(now time.Time, m *member) {
	d[m.ID] = &departedEndpoint{born: m.Born, home: m.Home, advice: m.advice, until: now.Add(departedMemory), ramp: m.ramp}
}

// removeExpired removes the endpoints that the list can't name again and whose advice is over.
func (d departedEndpoints) removeExpired(now time.Time) {
	for id, e := range d {
		if !now.Before(e.until) && !now.Before(e.advice.NextAt()) {
			delete(d, id)
		}
	}
}

// take returns a member for an endpoint that is added to the list, with what the endpoint has
// said if it is the known incarnation or an earlier one, and removes it.
func (d departedEndpoints) take(e Endpoint) *member {
	m := &member{Endpoint: e}
	if known := d[e.ID]; known != nil {
		m.ramp = known.ramp
		if e.Born <= known.born {
			m.Born, m.advice = known.born, known.advice
		}
	}
	delete(d, e.ID)
	return m
}
