package balancer

import (
	"math/bits"
	"time"
)

// hasCandidate tells whether any endpoint may run the request, now or later.
func (b *Balancer) hasCandidate(now time.Time, r Request) bool {
	for _, m := range b.order {
		if m.mayRun(r) && (r.StartBy.After(m.pausedUntil) || now.After(m.pausedUntil)) {
			return true
		}
	}
	return false
}

// pickPaused returns the endpoint whose pause ends first, where all that may run
// the request are paused after failures: their failures say less of them than of
// this process's network or of a moment that is over. Each gets one request at a
// time. It returns nil if any other endpoint is only full.
func (b *Balancer) pickPaused(now time.Time, r Request) (first *member) {
	for _, m := range b.order {
		switch {
		case !m.mayRun(r):
		case !m.isTrial() || !now.Before(m.pausedUntil):
			return nil
		case m.own == 0 && (first == nil || m.pausedUntil.Before(first.pausedUntil)):
			first = m
		}
	}
	return first
}

// isReadInTime tells whether an engine comes to a request's prompt in time, and
// without a pause for those that it runs.
func (b *Balancer) isReadInTime(now time.Time, m *member, r Request, backlog time.Duration) bool {
	if r.PrefillTime == 0 || backlog == 0 {
		return true
	}
	if backlog+r.PrefillTime > backlogMost || (!r.Late && now.Add(r.FirstOutputDelay+backlog).After(r.FirstOutputBy)) {
		return false
	}
	var own time.Duration
	for _, p := range m.pending {
		own += p.read
	}
	return own == 0 || m.Home == HomeLocal || own+r.PrefillTime <= time.Duration(ownShare*float64(backlogMost)/float64(max(b.cfg.Senders, 1)))
}

// pick returns the endpoint that gets the request, nil if none has a place.
func (b *Balancer) pick(now time.Time, r Request) *member {
	if m := b.pickRoomiest(now, r); m != nil {
		return m
	}
	return b.pickPaused(now, r)
}

// pickRoomiest returns the endpoint with the most room.
func (b *Balancer) pickRoomiest(now time.Time, r Request) (best *member) {
	bestCost := 0.0
	random := r.Random
	for _, m := range b.order {
		if !m.mayRun(r) || now.Before(m.pausedUntil) || (m.isTrial() && m.own > 0) || m.isStuck(now) {
			continue
		}
		if !m.mayTake(now, b.cfg.Senders) {
			continue
		}
		load, capacity := m.load(now, b.cfg.Senders), m.capacity()
		random = bits.RotateLeft64(random, 17)*0x9e3779b97f4a7c15 + 1
		backlog := m.backlog(now, r.PrefillTime)
		if !b.isReadInTime(now, m, r, backlog) {
			continue
		}
		cost := load/capacity + backlogCost*backlog.Seconds()
		if m.Home != HomeLocal {
			cost += spreadPlaces * float64(random>>40) / (1 << 24) / capacity
		}
		if m.Home == HomeRemote {
			cost += elsewherePenalty
		}
		if m.Region != b.cfg.Region {
			cost += b.cfg.RemotePenalty
		}
		if best == nil || cost < bestCost {
			best, bestCost = m, cost
		}
	}
	return best
}
