package shedder

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// priorityShare returns the share of a priority. One without demand has that of the
// next more urgent one.
func (s *Shedder) priorityShare(priority int) float64 {
	share := 1.0
	for _, p := range s.shares {
		if p.Priority > priority {
			break
		}
		share = p.Share
	}
	return share
}

// update computes the shares.
func (s *Shedder) update(now time.Time) {
	if !s.updatedAt.IsZero() && now.Sub(s.updatedAt) < updateInterval {
		return
	}
	s.updatedAt = now
	own := s.Demands(now)
	s.own = own
	s.updateStarved(now)
	all, slots := s.total(now, own)
	_, kept := s.kept.get(now, s.cfg.Smoothing)
	slots = max(slots*s.feedback.factor-kept*s.scale(now, own, all), 0)
	s.shares, s.assured = s.shares[:0], 0
	clear(s.byClass)
	if s.fleet.Slots <= 0 || (len(all) < 2 && len(s.classes) < 2) {
		// Without slots nothing can be compared, and the requests of a single class are
		// left to the queue.
		return
	}
	shares := prioritize(all, slots, s.cfg.Reserved)
	for i, d := range all {
		s.shares = append(s.shares, PriorityShare{Priority: d.Priority, Share: shares[i]})
	}
	overall := overallShare(all, shares)
	if overall < 1 {
		s.assured = minShare * overall
	}
	s.shareWorkspaces(now, overall)
	for class, c := range s.classes {
		if c.isOver(now, s.cfg.Smoothing) {
			delete(s.classes, class)
		}
	}
}

// knowsFleet reports whether the demand of the other entries is known.
func (s *Shedder) knowsFleet(now time.Time) bool {
	return len(s.fleet.Demands) > 0 && now.Sub(s.fleetAt) < fleetMaxAge
}

// scale is the factor from this entry's repeats to those of all entries: callers that were
// refused are distributed as those of first attempts.
func (s *Shedder) scale(now time.Time, own, all []Demand) float64 {
	if !s.knowsFleet(now) {
		return 1
	}
	ownSlots := sumSlots(own)
	if ownSlots <= 0 {
		return 1
	}
	return min(max(sumSlots(all)/ownSlots, 1), float64(max(s.fleet.Entries, 1)))
}

func sumSlots(ds []Demand) (sum float64) {
	for _, d := range ds {
		sum += d.Slots
	}
	return sum
}

// total returns the demand of all entries and the slots for it. If nothing is known of the
// others, it is this entry's demand and its part of the slots.
func (s *Shedder) total(now time.Time, own []Demand) (all []Demand, slots float64) {
	if !s.knowsFleet(now) {
		return own, s.fleet.Slots / float64(max(s.fleet.Entries, 1))
	}
	all = slices.Clone(own)
	for _, d := range s.fleet.Demands {
		if !isPlausible(d.Rate) || !isPlausible(d.Slots) {
			continue
		}
		i := slices.IndexFunc(all, func(o Demand) bool { return o.Priority == d.Priority })
		if i < 0 {
			i = len(all)
			all = append(all, Demand{Priority: d.Priority})
		}
		all[i].Rate += d.Rate
		all[i].Slots += d.Slots
	}
	slices.SortFunc(all, func(a, b Demand) int { return cmp.Compare(a.Priority, b.Priority) })
	return all, s.fleet.Slots
}

func isPlausible(v float64) bool { return v >= 0 && !math.IsInf(v, 0) && !math.IsNaN(v) }
