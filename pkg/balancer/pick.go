package balancer

import (
	"iter"
	"math/bits"
	"slices"
	"time"
)

// hasCandidate reports whether any endpoint can run the request, now or before its
// StartBy time.
func (b *Balancer) hasCandidate(now time.Time, r Request) bool {
	for _, m := range b.memberList {
		if m.canRun(r) && (r.StartBy.After(m.pausedUntil) || now.After(m.pausedUntil)) && r.StartBy.After(b.nextAt(now, m)) {
			return true
		}
	}
	return false
}

// declining returns the number of ready endpoints that have said that they accept no request
// now.
func (b *Balancer) declining(now time.Time) (n int) {
	for _, m := range b.memberList {
		if m.Ready && !m.Evacuated && (m.advice.IsLeaving() || now.Before(m.advice.NextAt())) {
			n++
		}
	}
	return n
}

// evacuated returns the number of endpoints that could run the request but for the evacuation
// of their zone, or 0 if another one can.
func (b *Balancer) evacuated(r Request) (n int) {
	for _, m := range b.memberList {
		switch {
		case m.canRun(r):
			return 0
		case m.canRunAnywhere(r):
			n++
		}
	}
	return n
}

// acceptedFrom returns the earliest time at which an eligible endpoint accepts the request by
// its advice. It returns false if no endpoint is eligible.
func (b *Balancer) acceptedFrom(now time.Time, r Request) (earliest time.Time, ok bool) {
	for _, m := range b.memberList {
		if !m.canRun(r) {
			continue
		}
		if next := b.nextAt(now, m); !ok || next.Before(earliest) {
			earliest, ok = next, true
		}
	}
	return earliest, ok
}

// adviceWait returns the time until the first of the eligible endpoints accepts a request, if
// all of them have said that they accept none now, and a random part of it more, so that the
// refused requests don't all return at once. It is 0 if one accepts requests.
func (b *Balancer) adviceWait(now time.Time, r Request) time.Duration {
	earliest, ok := b.acceptedFrom(now, r)
	if !ok || !earliest.After(now) {
		return 0
	}
	wait := earliest.Sub(now)
	spread := unitFloat(r.Random)
	return wait + time.Duration(spread*float64(wait))
}

// pickPaused returns the idle endpoint whose pause ends first if all eligible
// endpoints are paused after failures. When all fail, the cause is more likely the
// network of this process or a fault that has passed. Each paused endpoint gets one
// request at a time. It returns nil if an eligible endpoint is not paused, only full.
func (b *Balancer) pickPaused(now time.Time, r Request) (earliest *member) {
	for _, m := range b.memberList {
		switch {
		case !m.canRun(r):
		case !m.isOnProbation() || !now.Before(m.pausedUntil):
			return nil
		case m.localRequests == 0 && !now.Before(b.nextAt(now, m)) && (earliest == nil || m.pausedUntil.Before(earliest.pausedUntil)):
			earliest = m
		}
	}
	return earliest
}

// canRunReported reports whether any endpoint whose load is reported can run the
// request, now or later.
func (b *Balancer) canRunReported(r Request) bool {
	return slices.ContainsFunc(b.memberList, func(m *member) bool { return !m.Unreported && m.canRun(r) })
}

// canPrefillInTime reports whether an engine can prefill the prompt in time and
// without delaying the running requests too long.
func (b *Balancer) canPrefillInTime(now time.Time, m *member, r Request, prefillBacklog time.Duration) bool {
	if r.PrefillTime == 0 || prefillBacklog == 0 {
		return true
	}
	if prefillBacklog+m.slowed(r.PrefillTime) > maxBacklog || (!r.Late && now.Add(r.FirstOutputDelay+prefillBacklog).After(r.FirstOutputBy)) {
		return false
	}
	var localBacklog time.Duration
	for _, p := range m.pending {
		localBacklog += p.prefillTime
	}
	return localBacklog == 0 || m.Home == HomeLocal || localBacklog+r.PrefillTime <= time.Duration(localBacklogFactor*float64(maxBacklog)/float64(m.senders(b.cfg.Senders)))
}

// pick returns the endpoint for a request, or nil if none has a free slot.
func (b *Balancer) pick(now time.Time, r Request) *member {
	if m := b.pickLeastLoaded(now, r); m != nil {
		return m
	}
	return b.pickPaused(now, r)
}

// leavesSlots reports whether an endpoint keeps free slots for others if it gets the
// request. A late repeat does not take the last ones: during an overload, a request
// that can meet its objective arrives before the next slot becomes free.
func (b *Balancer) leavesSlots(now time.Time, m *member, r Request) bool {
	return !r.Repeat || !r.Late || m.load(now, b.cfg.Senders) < (1-lateReservedShare)*m.capacity()
}

// isAvailable reports whether an endpoint can run the request now: it is healthy and has a
// free slot for it.
func (b *Balancer) isAvailable(now time.Time, m *member, r Request) bool {
	if !m.canRun(r) || now.Before(m.pausedUntil) || now.Before(b.nextAt(now, m)) || (m.isOnProbation() && m.localRequests > 0) || m.isStuck(now) {
		return false
	}
	return m.canAccept(now, b.cfg.Senders) && !m.isProbed(now, b.cfg.Senders) && b.leavesSlots(now, m, r) && !m.isDelayedBy(now, r)
}

// pickLeastLoaded returns the eligible endpoint with the lowest cost. An endpoint whose
// load is not reported is eligible only if no other one can run the request, and one with a
// version below the preferred one only if no newer one is available.
func (b *Balancer) pickLeastLoaded(now time.Time, r Request) *member {
	usesUnreported := !b.canRunReported(r)
	if r.PreferredVersion > r.MinVersion {
		preferred := r
		preferred.MinVersion = r.PreferredVersion
		if m := b.pickLowestCost(now, preferred, usesUnreported); m != nil {
			return m
		}
	}
	return b.pickLowestCost(now, r, usesUnreported)
}

// pickLowestCost returns the available endpoint with the lowest cost.
func (b *Balancer) pickLowestCost(now time.Time, r Request, usesUnreported bool) (best *member) {
	bestCost := 0.0
	for m, cost := range b.costs(now, r, usesUnreported) {
		if best == nil || cost < bestCost {
			best, bestCost = m, cost
		}
	}
	return best
}

// isLeftToHome reports whether an endpoint has just become ready during an overload and has its
// home at another process.
func (b *Balancer) isLeftToHome(now time.Time, m *member) bool {
	return m.Home == HomeRemote && now.Sub(m.readySince) < homeFirstTime && b.isShedding(now)
}

// canRunElsewhere reports whether an endpoint that is not left to its home can run the request,
// now or later.
func (b *Balancer) canRunElsewhere(now time.Time, r Request) bool {
	return slices.ContainsFunc(b.memberList, func(m *member) bool { return m.canRun(r) && !b.isLeftToHome(now, m) })
}

// costs returns the available endpoints with their costs.
func (b *Balancer) costs(now time.Time, r Request, usesUnreported bool) iter.Seq2[*member, float64] {
	return func(yield func(*member, float64) bool) {
		random := r.Random
		for _, m := range b.memberList {
			if m.Unreported && !usesUnreported || !b.isAvailable(now, m, r) {
				continue
			}
			if b.isLeftToHome(now, m) && b.canRunElsewhere(now, r) {
				continue
			}
			random = bits.RotateLeft64(random, 17)*0x9e3779b97f4a7c15 + 1
			prefillBacklog := m.slowed(m.prefillBacklog(now, r.PrefillTime))
			if b.canPrefillInTime(now, m, r, prefillBacklog) && !yield(m, b.cost(now, m, prefillBacklog, random)) {
				return
			}
		}
	}
}

// cost returns what a request costs at an endpoint, as a fraction of its capacity.
func (b *Balancer) cost(now time.Time, m *member, prefillBacklog time.Duration, random uint64) float64 {
	load, capacity := m.load(now, b.cfg.Senders), m.capacity()
	cost := load/capacity + backlogCostPerSecond*prefillBacklog.Seconds() + memoryCost*m.memoryShare(load)
	if m.Home != HomeLocal {
		cost += costJitterSlots * float64(random>>40) / (1 << 24) / capacity
	}
	if m.Home == HomeRemote {
		cost += remoteHomePenalty
	}
	if m.Region != b.cfg.Region {
		cost += b.cfg.RemoteRegionPenalty
	}
	return cost
}

// unitFloat converts a random number to one in [0, 1).
func unitFloat(random uint64) float64 { return float64(random>>11) / (1 << 53) }
