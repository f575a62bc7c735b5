package balancer

import (
	"time"

	"flamingoledge.org/flamingoledge/pkg/forecaster"
)

// fleetUseInterval is the time between two computations of the use of all endpoints, since
// thousands of them may be reported several times a second.
const fleetUseInterval = 100 * time.Millisecond

// fleetUse is the share of the capacity of all endpoints that was in use at a time.
type fleetUse struct {
	at    time.Time
	share float64
}

// fleetUse returns the share of the capacity of the ready endpoints that is in use by their
// reports; doubted ones don't count.
func (b *Balancer) fleetUse(now time.Time) float64 {
	if now.Sub(b.use.at) < fleetUseInterval {
		return b.use.share
	}
	load, capacity := 0.0, 0.0
	for _, m := range b.memberList {
		if m.Ready && !m.Evacuated && m.isReported(now) {
			load += min(m.reportedLoad(), m.capacity())
			capacity += m.capacity()
		}
	}
	b.use = fleetUse{at: now}
	if capacity > 0 {
		b.use.share = load / capacity
	}
	return b.use.share
}

// recordClaim compares a report with what this process knows of the endpoint at that time.
// localRequests are the requests that it had there.
func (m *member) recordClaim(measuredAt time.Time, l Load, localRequests, senders int, random uint64) {
	waiting := 0
	for _, p := range m.pending {
		if measuredAt.Sub(p.sentAt) >= forecaster.MinContradictionTime {
			waiting++
		}
	}
	m.credibility = m.credibility.WithReport(forecaster.Report{
		MeasuredAt: measuredAt, Claimed: l.Running + l.Queued, Own: localRequests, Waiting: waiting,
		Capacity: m.capacity(), FleetUse: m.fleetUse, Senders: m.senders(senders),
	}, unitFloat(random))
}

// isReported reports whether a current report tells the load of the endpoint and can be true.
func (m *member) isReported(now time.Time) bool {
	return now.Sub(m.reportedAt) < maxReportAge && !m.credibility.IsDoubted(now)
}
