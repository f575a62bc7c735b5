package assigner

import (
	"slices"
	"time"
)

const (
	// historyTime is the age up to which the demand of another entry is compared.
	historyTime = 10 * time.Second
	// maxGrowth bounds by how much the demand of others is assumed to have grown or fallen. Bursts
	// at all entries are of 2 to 3 times the usual rate.
	maxGrowth = 3.0
	// historyOffset is added to demands in slots before they are compared, as the growth of less
	// than a slot says nothing.
	historyOffset = 1.0
)

// History holds the demand of this entry in the last seconds. What it has heard of others is up
// to some seconds old; a burst that comes to all entries would make those look idle that it
// has not heard from since, and move their homes. The zero value is an empty history. It is
// immutable.
type History struct{ samples []sample }

type sample struct {
	at    time.Time
	slots float64
}

// WithDemand returns a history with the present demand in slots.
func (h History) WithDemand(now time.Time, slots float64) History {
	first := 0
	for first+1 < len(h.samples) && now.Sub(h.samples[first+1].at) > historyTime {
		first++
	}
	return History{samples: append(slices.Clone(h.samples[first:]), sample{at: now, slots: slots})}
}

// Last returns the last demand in slots.
func (h History) Last() float64 {
	if len(h.samples) == 0 {
		return 0
	}
	return h.samples[len(h.samples)-1].slots
}

// Growth returns the ratio of the last demand to that at an earlier time.
func (h History) Growth(since time.Time) float64 {
	if len(h.samples) == 0 {
		return 1
	}
	return min(max((h.Last()+historyOffset)/(h.at(since)+historyOffset), 1/maxGrowth), maxGrowth)
}

// at returns the demand at a time, between two samples by interpolation.
func (h History) at(t time.Time) float64 {
	i, _ := slices.BinarySearchFunc(h.samples, t, func(s sample, t time.Time) int { return s.at.Compare(t) })
	switch i {
	case 0:
		return h.samples[0].slots
	case len(h.samples):
		return h.samples[i-1].slots
	}
	a, b := h.samples[i-1], h.samples[i]
	part := float64(t.Sub(a.at)) / float64(b.at.Sub(a.at))
	return a.slots + part*(b.slots-a.slots)
}
