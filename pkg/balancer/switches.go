package balancer

import (
	"slices"
	"time"

	"flamingoledge.org/flamingoledge/pkg/switcher"
)

// recordSwitch records when the endpoint is due to switch versions, by a report of the load at
// measuredAt.
func (m *member) recordSwitch(measuredAt time.Time, switchIn time.Duration) {
	m.switchAt = time.Time{}
	if switchIn > 0 {
		m.switchAt = measuredAt.Add(switchIn)
	}
}

// isSwitchNear reports whether the endpoint is ready and about to switch versions.
func (m *member) isSwitchNear(now time.Time) bool { return m.Ready && switcher.IsNear(now, m.switchAt) }

// isDelayedBy reports whether a request, if it may run only before switches, would delay that of
// the endpoint, or would pass a more urgent one that leaves a slot of the endpoint free.
func (m *member) isDelayedBy(now time.Time, r Request) bool {
	if !r.beforeSwitches || !m.isSwitchNear(now) {
		return false
	}
	return r.isBehindHeld || switcher.Outlasts(now, m.switchAt, m.busyUntil, now.Add(m.slowed(r.duration)))
}

// switchTimeout is longer than an announced switch counts after its time.
const switchTimeout = time.Second

// isSwitchNear reports whether an endpoint is about to switch versions. The endpoints are not
// searched if none was announced to, which is nearly always so.
func (b *Balancer) isSwitchNear(now time.Time) bool {
	return now.Before(b.lastSwitchAt.Add(switchTimeout)) && slices.ContainsFunc(b.memberList, func(m *member) bool { return m.isSwitchNear(now) })
}

// pickBeforeSwitches returns the endpoint for a request while some are about to switch versions,
// or nil if none has a free slot that the request may use. isHeld is set if the request leaves
// a free slot of an endpoint that it would delay, since another is expected to have one soon.
func (b *Balancer) pickBeforeSwitches(now time.Time, r Request) (m *member, isHeld bool) {
	r.duration, r.beforeSwitches = b.normalSlotTime(r), true
	if m = b.pick(now, r); m != nil {
		return m, false
	}
	mayWait := b.mayWait(now, r)
	r.beforeSwitches = false
	if m = b.pick(now, r); m == nil || !mayWait {
		return m, false
	}
	return nil, true
}

// heldRequest is the first of the queued requests that leaves a slot to shorter ones. shortest is
// the least time of those that find no such slot.
type heldRequest struct {
	isSet    bool
	request  Request
	key      eligibility
	shortest time.Duration
}

// pickWaiting returns the endpoint for a queued request, as pickFor does. Those behind a held
// one may use the slots that it leaves only if they are as urgent and shorter.
func (b *Balancer) pickWaiting(now time.Time, r Request, key eligibility, held *heldRequest) (m *member, isHeld bool) {
	duration := b.normalSlotTime(r)
	if !held.isSet {
		if m, isHeld = b.pickFor(now, r); isHeld {
			*held = heldRequest{isSet: true, request: r, key: key, shortest: duration}
		}
		return m, isHeld
	}
	r.isBehindHeld = !hasSameRank(held.request, r)
	isAlike := !r.isRestricted() && key == held.key && !held.request.isRestricted()
	if isAlike && (r.isBehindHeld || duration >= held.shortest) || r.reservedSlots > 0 && b.freeSlots(now) <= r.reservedSlots {
		return nil, false
	}
	r.duration, r.beforeSwitches = duration, true
	if m = b.pick(now, r); m == nil && isAlike {
		held.shortest = duration
	}
	return m, false
}

// mayWait reports whether a request may wait for a slot of an endpoint whose switch it does not
// delay. A resumed request has no time to lose.
func (b *Balancer) mayWait(now time.Time, r Request) bool {
	if r.Resumed || len(b.waiting) >= b.cfg.MaxWaiting {
		return false
	}
	hasOther := slices.ContainsFunc(b.memberList, func(m *member) bool {
		return m.canRun(r) && !now.Before(m.pausedUntil) && !m.isDelayedBy(now, r)
	})
	return hasOther && switcher.MayWait(now, r.StartBy, b.expectedWait(b.position(r)))
}

// pickPastHeld returns an endpoint that is about to switch versions for a request that is
// expected to end by then, if the requests that are queued before it are as urgent and leave
// its slots free because they take longer.
func (b *Balancer) pickPastHeld(now time.Time, r Request) *member {
	if len(b.waiting) == 0 || !b.waiting[0].isHeld || !b.isSwitchNear(now) {
		return nil
	}
	if r.reservedSlots > 0 && b.freeSlots(now) <= r.reservedSlots {
		return nil
	}
	r.duration, r.beforeSwitches = b.normalSlotTime(r), true
	for _, w := range b.waiting[:b.position(r)] {
		if !hasSameRank(w, r) || b.normalSlotTime(w) <= r.duration {
			return nil
		}
	}
	if m := b.pick(now, r); m != nil && m.isSwitchNear(now) {
		return m
	}
	return nil
}

// hasSameRank reports whether the order of two requests in the queue depends on their times only.
func hasSameRank(a, b Request) bool {
	return a.Resumed == b.Resumed && a.comesLast == b.comesLast && a.queuePriority() == b.queuePriority() && a.unadmitted == b.unadmitted
}

// heldBefore returns how many of the first n queued requests leave a free slot to others.
func (b *Balancer) heldBefore(n int) (held int) {
	for _, w := range b.waiting[:n] {
		if w.isHeld {
			held++
		}
	}
	return held
}
