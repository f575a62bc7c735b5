package balancer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"flamingoledge.org/flamingoledge/pkg/warmer"
)

const (
	// coldDiscoveryTime is the time after its start or a suspension in which a process counts as
	// one of at least minColdSenders: all processes may start at the same moment, and
	// hear of each other within a few messages. It is short, since all endpoints may be cold then.
	coldDiscoveryTime = 2 * time.Second
	minColdSenders    = 16
	// minSuspension is the time between two regular calls from which on this process counts as
	// suspended meanwhile. Others may have started since.
	minSuspension = 2 * time.Second
)

// nextAt returns the earliest time at which the endpoint gets another request of this process,
// by what it has said and by how cold it is.
func (b *Balancer) nextAt(now time.Time, m *member) time.Time {
	next := m.advice.NextAt()
	if m.ColdLimit <= 0 || !m.ramp.IsLimited(now) {
		return next
	}
	b.noticeSuspension(now)
	share := warmer.Share{Limit: m.ColdLimit, Entries: max(b.maxSenders, m.ColdSenders), Reserve: m.ColdLimit / minColdSenders}
	if now.Sub(b.createdAt) < coldDiscoveryTime || now.Sub(b.resumedAt) < coldDiscoveryTime {
		share.Entries, share.Reserve = max(share.Entries, minColdSenders), 0
	}
	if cold := m.ramp.NextAt(now, share, m.coldPhase); cold.After(next) {
		return cold
	}
	return next
}

// noticeSuspension sets resumedAt if the regular calls of EndedBackoffs have stopped.
func (b *Balancer) noticeSuspension(now time.Time) {
	if !b.backoffsCheckedAt.IsZero() && now.Sub(b.backoffsCheckedAt) >= minSuspension {
		b.resumedAt = now
	}
}

// recordArrival records that a request has arrived, or has ended. Requests that were refused
// for want of weights don't count, but their share is not used again at once.
func (m *member) recordArrival(now time.Time, requestID uint64, r Result) {
	switch {
	case m.ColdLimit <= 0:
	case r == ResultCanceled || r == ResultSilent || r == ResultConnectionLost:
		m.ramp = m.ramp.WithCanceled(now, requestID)
	default:
		m.ramp = m.ramp.WithArrival(now, requestID)
	}
}

// coldPhase returns when this process has its turns at an endpoint, in [0, 1).
func (b *Balancer) coldPhase(id string) float64 {
	return unitFloat(xxhash.Sum64String(b.cfg.Name + "\x00" + id))
}

// RecordCold records that an endpoint has said how long it stays cold. born is the incarnation
// that said so.
func (b *Balancer) RecordCold(now time.Time, endpointID string, born int64, left time.Duration) {
	if m := b.members[endpointID]; m != nil && born >= m.Born && left > 0 {
		m.ramp = m.ramp.WithCold(now.Add(left))
	}
}

// Counts are numbers of endpoints that get no or few requests, and of the requests of this
// process that still run at the evacuated ones.
type Counts struct {
	Evacuated, RequestsInEvacuated, Cold int
}

// Counts returns the counts of all endpoints.
func (b *Balancer) Counts(now time.Time) (c Counts) {
	for _, m := range b.memberList {
		if m.Evacuated {
			c.Evacuated++
			c.RequestsInEvacuated += m.localRequests
		}
		if m.ColdLimit > 0 && now.Before(m.ramp.ColdUntil()) {
			c.Cold++
		}
	}
	return c
}
