package balancer

import (
	"math"
	"time"

	"flamingoledge.org/flamingoledge/pkg/shedder"
)

const (
	// slotsInterval is the time between two computations of the slots of all endpoints.
	slotsInterval = 50 * time.Millisecond
	// urgentWait is the time for whose urgent arrivals slots are reserved. About as long
	// may a request with a large prompt wait within its objective.
	urgentWait = 100 * time.Millisecond
	// fullReserveLack is the lack from which the whole reserve applies. Where nearly all are
	// admitted, a whole reserve would refuse far more of the least urgent than are too many.
	fullReserveLack = 0.25
)

// admission holds what the balancer knows of the demand for its endpoints.
type admission struct {
	// shedder is nil if all requests are admitted.
	shedder *shedder.Shedder
	// fleet was set at fleetAt, except for its slots: they are the sum of the capacities of
	// the ready endpoints at slotsAt.
	fleet   shedder.Fleet
	fleetAt time.Time
	slotsAt time.Time
}

// Demands returns the demand of this process for the endpoints, by priority.
func (b *Balancer) Demands(now time.Time) []shedder.Demand {
	if b.admission.shedder == nil {
		return nil
	}
	return b.admission.shedder.Demands(now)
}

// SetFleet sets the demand of the other processes. The slots of the ready endpoints are
// known to the balancer better than to others: it sees their pauses and their pace.
func (b *Balancer) SetFleet(now time.Time, f shedder.Fleet) {
	b.admission.fleet, b.admission.fleetAt, b.admission.slotsAt = f, now, time.Time{}
}

// SetShedding replaces the weights and reserved shares of the shedder.
func (b *Balancer) SetShedding(cfg shedder.Config) {
	if b.admission.shedder != nil {
		b.admission.shedder.SetConfig(cfg)
	}
}

// Shares returns the admitted share of each priority.
func (b *Balancer) Shares(now time.Time) []shedder.PriorityShare {
	if b.admission.shedder == nil {
		return nil
	}
	return b.admission.shedder.Shares(now)
}

// newArrival returns the shedder's description of a request.
func (b *Balancer) newArrival(r Request) shedder.Arrival {
	return shedder.Arrival{
		Class: shedder.Class{Priority: r.Priority, Workspace: r.Workspace}, SlotTime: b.normalSlotTime(r), Rank: r.Rank,
		Repeat: r.Repeat, Kept: r.Kept, Resumed: r.Resumed || r.Admitted,
	}
}

// admit decides whether a request is admitted.
func (b *Balancer) admit(now time.Time, r Request) shedder.Verdict {
	s := b.admission.shedder
	if s == nil {
		return shedder.Verdict{Admitted: true, Share: 1}
	}
	if now.Sub(b.admission.slotsAt) >= slotsInterval {
		f := &b.admission.fleet
		f.Slots, f.Entries, b.admission.slotsAt = b.readySlots(now), b.cfg.Senders, now
		s.SetFleet(b.admission.fleetAt, *f)
	}
	a := b.newArrival(r)
	s.RecordArrival(now, a)
	return s.Admit(now, a)
}

// readySlots returns how many requests the endpoints that accept requests can run
// concurrently at full speed.
func (b *Balancer) readySlots(now time.Time) (sum float64) {
	for _, m := range b.memberList {
		if m.canRun(Request{}) && !now.Before(m.pausedUntil) {
			sum += m.capacity()
		}
	}
	return sum
}

// isShedding reports whether some requests are not admitted.
func (b *Balancer) isShedding(now time.Time) bool {
	return b.admission.shedder != nil && b.admission.shedder.IsShedding(now)
}

// reservedSlots returns how many of the slots that this process may use a request leaves
// free for more urgent ones: as many as of these arrive in urgentWait, and the deviation of
// that number, which matters more the fewer requests a process has. Repeats don't leave the
// deviation: late ones leave a part of each endpoint already, and more of them would be refused
// twice. Less is reserved while nearly all requests are admitted.
func (b *Balancer) reservedSlots(now time.Time, r Request) float64 {
	s := b.admission.shedder
	if s == nil || r.Resumed || r.assured {
		return 0
	}
	slots := s.UrgentRate(now, r.Priority) * urgentWait.Seconds()
	if !r.Repeat {
		slots += math.Sqrt(slots)
	}
	return slots * min(s.Lack(now)/fullReserveLack, 1)
}

// topPriority returns the most urgent priority in demand.
func (b *Balancer) topPriority(now time.Time) int {
	if b.admission.shedder == nil {
		return 0
	}
	return b.admission.shedder.TopPriority(now)
}

// freeSlots returns the number of slots that this process may use now at the endpoints that
// don't have their home at another one. What others report as free is soon taken there. If all
// have their home at others, it is the number of slots that these leave to this process.
func (b *Balancer) freeSlots(now time.Time) float64 {
	var own, others float64
	hasOwn := false
	for _, m := range b.memberList {
		if !m.canRun(Request{}) || now.Before(m.pausedUntil) {
			continue
		}
		free := 0.0
		if m.canAccept(now, b.cfg.Senders) {
			free = float64(max(m.localLimit-m.localRequests, 1))
		}
		if m.Home == HomeRemote {
			others += free
			continue
		}
		hasOwn = true
		own += free
	}
	if hasOwn {
		return own
	}
	return others
}

// pickFor returns the endpoint for a request, or nil if none has a slot that more urgent
// requests don't need. isHeld is set if the request leaves a slot to shorter ones.
func (b *Balancer) pickFor(now time.Time, r Request) (m *member, isHeld bool) {
	if r.reservedSlots > 0 && b.freeSlots(now) <= r.reservedSlots {
		return nil, false
	}
	if b.isSwitchNear(now) {
		return b.pickBeforeSwitches(now, r)
	}
	return b.pick(now, r), false
}

// busy returns the refusal of a request that finds no slot in time.
func (b *Balancer) busy(r Request) Decision {
	d := Decision{ID: r.ID, Outcome: OutcomeBusy, Cause: shedder.CauseWait, Share: r.verdict.Share, Waiting: len(b.waiting)}
	if r.unadmitted {
		d.Cause = r.verdict.Cause
	}
	return d
}

// recordIdle tells the shedder that a slot is left for a request that it has not admitted.
func (b *Balancer) recordIdle(now time.Time, r Request) {
	if b.admission.shedder != nil && r.unadmitted {
		b.admission.shedder.RecordIdle(now)
	}
}

// recordOutcome tells the shedder whether a request that it has admitted got a slot in
// time. One that left slots to more urgent requests shows no lack of slots: counted, it would
// lower what is admitted, and so extend the reserve that it was lost to, long after a burst.
func (b *Balancer) recordOutcome(now time.Time, r Request, started bool) {
	switch {
	case b.admission.shedder == nil || r.Resumed || r.Admitted:
	case started:
		b.admission.shedder.RecordStart(now, r.Priority)
	case !r.Late && !r.Repeat && !r.unadmitted && r.reservedSlots == 0:
		b.admission.shedder.RecordLoss(now)
	}
}
