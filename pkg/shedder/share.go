package shedder

import "time"

// prioritize returns the share of each demand that fits into slots. demands is sorted by
// priority. Each gets at least minShare of the share of all requests; the rest goes to the
// most urgent ones.
func prioritize(demands []Demand, slots float64, reserved map[int]float64) []float64 {
	rate, needed := 0.0, 0.0
	for _, d := range demands {
		rate += d.Rate
		needed += d.Slots
	}
	shares := make([]float64, len(demands))
	if needed <= slots || rate == 0 {
		for i := range shares {
			shares[i] = 1
		}
		return shares
	}
	// The least share depends on that of all requests, which depends on the least share.
	// The difference rises with the least share, so bisection finds it.
	low, high := 0.0, slots/needed
	for range bisections {
		floor := (low + high) / 2
		fill(shares, demands, slots, floor, reserved)
		served := 0.0
		for i, d := range demands {
			served += shares[i] * d.Rate
		}
		if floor < minShare*served/rate {
			low = floor
		} else {
			high = floor
		}
	}
	fill(shares, demands, slots, high, reserved)
	return shares
}

// bisections gives shares to about 0.001.
const bisections = 10

// fill sets the shares to the given least share and adds the rest of the slots in the order
// of priority. Shares never rise with the priority number.
func fill(shares []float64, demands []Demand, slots, floor float64, reserved map[int]float64) {
	left := slots
	least := floor
	for i := len(demands) - 1; i >= 0; i-- {
		d := demands[i]
		if d.Slots > 0 {
			least = max(least, min(reserved[d.Priority]*slots/d.Slots, 1))
		}
		shares[i] = least
		left -= least * d.Slots
	}
	if left < 0 {
		// Reserved shares that don't fit are reduced alike.
		for i := range shares {
			shares[i] *= slots / (slots - left)
		}
		return
	}
	for i, d := range demands {
		extra := (1 - shares[i]) * d.Slots
		if extra > left {
			shares[i] += left / d.Slots
			return
		}
		shares[i] = 1
		left -= extra
	}
}

// overallShare returns the share of all requests that is admitted.
func overallShare(demands []Demand, shares []float64) float64 {
	rate, served := 0.0, 0.0
	for i, d := range demands {
		rate += d.Rate
		served += shares[i] * d.Rate
	}
	return served / max(rate, minCount)
}

// shareWorkspaces divides the share of each priority between the workspaces. overall is the
// share of all requests.
func (s *Shedder) shareWorkspaces(now time.Time, overall float64) {
	for _, p := range s.shares {
		if p.Share >= 1 {
			continue
		}
		var users []user
		for class, c := range ordered(s.classes, compareClasses) {
			if _, slots := c.get(now, s.cfg.Smoothing); class.Priority == p.Priority && slots > 0 {
				users = append(users, user{class: class, slots: slots, weight: s.weight(class.Workspace)})
			}
		}
		least := min(p.Share, max(minWorkspaceShare*p.Share, minShare*overall))
		level := fairLevel(users, p.Share, least)
		for _, u := range users {
			s.byClass[u.class] = u.share(level, least)
		}
	}
}

func (s *Shedder) weight(workspace string) float64 {
	if w := s.cfg.Weights[workspace]; w > 0 {
		return w
	}
	return 1
}

// user is a workspace's demand of a priority.
type user struct {
	class         Class
	slots, weight float64
}

// share returns the share that a workspace gets if each unit of weight gets level slots.
func (u user) share(level, least float64) float64 {
	return min(max(level*u.weight/u.slots, least), 1)
}

// fairLevel returns the slots for each unit of weight at which the workspaces together get
// the given share of what they need.
func fairLevel(users []user, share, least float64) float64 {
	total, high := 0.0, 0.0
	for _, u := range users {
		total += u.slots
		high = max(high, u.slots/u.weight)
	}
	low := 0.0
	for range fairBisections {
		level, used := (low+high)/2, 0.0
		for _, u := range users {
			used += u.share(level, least) * u.slots
		}
		if used < share*total {
			low = level
		} else {
			high = level
		}
	}
	return high
}

// fairBisections finds the level to a millionth of the largest demand.
const fairBisections = 20
