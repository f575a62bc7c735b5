package gatewayserver

import (
	"time"

	"flamingoledge.org/flamingoledge/internal/configurator"
	"flamingoledge.org/flamingoledge/pkg/balancer"
	"flamingoledge.org/flamingoledge/pkg/registrar"
	"flamingoledge.org/flamingoledge/pkg/resolver"
	"flamingoledge.org/flamingoledge/pkg/warmer"
)

// coldness is what this entry knows of how cold one start of an endpoint is.
type coldness struct {
	born int64
	// startedAt is when the endpoint started: when this entry first knew of it, or by the
	// endpoint's own clock if that is earlier by more than clocks differ.
	startedAt time.Time
	// until is until when the endpoint stays cold, as it has registered.
	until time.Time
}

// maxClockDifference is how much the clock of an endpoint may differ from that of this entry.
const maxClockDifference = 5 * time.Second

// minColdChange is the least change of the cold time that is passed on. Each record has its own
// delay.
const minColdChange = 100 * time.Millisecond

// withRecord returns c after a record of the endpoint was read.
func (c coldness) withRecord(now time.Time, e registrar.Endpoint) coldness {
	if e.Born < c.born {
		return c
	}
	if e.Born > c.born {
		c = coldness{born: e.Born, startedAt: now}
		if latest := time.UnixMilli(e.Born).Add(maxClockDifference); latest.Before(now) {
			c.startedAt = latest
		}
	}
	if until := now.Add(e.ColdLeft); e.ColdLeft > 0 && until.Sub(c.until) > minColdChange {
		c.until = until
	}
	return c
}

// maxColdStart is the longest time for which an endpoint is assumed to be cold after a start.
const maxColdStart = time.Minute

// coldUntil returns until when an endpoint is cold: after its start, after the evacuation of its
// zone, or as it has registered. It is the zero time if the endpoint was never known to be.
func (s *state) coldUntil(service *resolver.Service, e registrar.Endpoint) time.Time {
	c := s.list.cold[e.ID]
	until := c.until
	extend := func(from time.Time) {
		if end := from.Add(min(service.ColdStart, maxColdStart)); !from.IsZero() && end.After(until) {
			until = end
		}
	}
	extend(c.startedAt)
	if r, ok := s.config.evacuations.Get(e.AvailabilityZone); ok && !r.Evacuated {
		extend(r.KnownSince)
	}
	return until
}

const (
	// endpointsPerEntry is the least number of endpoints per entry in deployments with cold
	// endpoints. Entries that have started while they were cut off from others don't know how
	// many there are, but all have the list of endpoints.
	endpointsPerEntry = 3
	// maxColdSenders is the number of entries of the largest deployments.
	maxColdSenders = 320
)

// setColdLimits sets how many requests the endpoints of a service may get while they are cold,
// and from how many entries at least.
func (s *state) setColdLimits(service string, b configurator.Bounds, es []balancer.Endpoint) {
	settings := s.config.table.Service(service)
	if settings == nil {
		return
	}
	for i := range es {
		es[i].ColdLimit = warmer.Limit(settings.ColdPerSecond, b.ColdExcess, b.ColdMargin)
		es[i].ColdSenders = min(s.list.endpoints.Len()/endpointsPerEntry, maxColdSenders)
	}
}
