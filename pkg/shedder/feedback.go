package shedder

import (
	"cmp"
	"time"
)

const (
	// initialFactor is the initial ratio of the slots that can be used to the slots
	// according to the model. Without evidence of an overload, too much is admitted
	// rather than too little.
	initialFactor = 1.1
	minFactor     = 0.8
	maxFactor     = 1.3
	// feedbackInterval is the time over which outcomes are counted, about that of an
	// answer.
	feedbackInterval = 250 * time.Millisecond
	// toleratedLosses is the share of the admitted requests that may be refused or late
	// in the queue. Without any, slots would be idle between two arrivals.
	toleratedLosses = 0.04
	// lossGain is the reduction for each share of losses above the tolerated one.
	lossGain = 0.3
	// idleGain is the increase for each interval with idle slots.
	idleGain = 0.03
	// returnGain leads the factor back to its initial value while nothing is lost.
	returnGain = 0.01
)

// feedback corrects the slots of the model by what happens to admitted requests.
type feedback struct {
	factor               float64
	since                time.Time
	admitted, lost, idle int
}

func newFeedback() feedback { return feedback{factor: initialFactor} }

// RecordStart records that a request started.
func (s *Shedder) RecordStart(now time.Time, priority int) {
	c := s.starts[priority]
	if c == nil {
		c = &average{}
		s.starts[priority] = c
	}
	c.add(now, servedSmoothing, 0)
	s.feedback.admitted++
	s.feedback.update(now, s.canShedMore())
}

// RecordLoss records that an admitted request found no slot in time.
func (s *Shedder) RecordLoss(now time.Time) {
	s.feedback.admitted++
	s.feedback.lost++
	s.feedback.update(now, s.canShedMore())
}

// RecordIdle records that a request was not admitted while a slot was free.
func (s *Shedder) RecordIdle(now time.Time) {
	s.feedback.idle++
	s.feedback.update(now, s.canShedMore())
}

// servedSmoothing is the time over which the served share of a priority is averaged. It is
// longer than an answer takes, and shorter than a burst.
const servedSmoothing = 2 * time.Second

// updateStarved finds the priorities that this entry serves less than minShare as often as
// all requests.
func (s *Shedder) updateStarved(now time.Time) {
	clear(s.starved)
	offered, started := 0.0, 0.0
	byPriority := map[int]float64{}
	for class, c := range ordered(s.offered, cmp.Compare[int]) {
		rate, _ := c.get(now, servedSmoothing)
		byPriority[class] = rate
		offered += rate
	}
	for _, c := range ordered(s.starts, cmp.Compare[int]) {
		rate, _ := c.get(now, servedSmoothing)
		started += rate
	}
	for priority, rate := range byPriority {
		served := 0.0
		if c := s.starts[priority]; c != nil {
			served, _ = c.get(now, servedSmoothing)
		}
		s.starved[priority] = served*offered < minShare*started*rate
	}
}

// Factor returns the ratio of the slots that can be used to those of the model.
func (s *Shedder) Factor() float64 { return s.feedback.factor }

func (f *feedback) update(now time.Time, canReduce bool) {
	if f.since.IsZero() {
		f.since = now
	}
	if now.Sub(f.since) < feedbackInterval {
		return
	}
	losses := float64(f.lost) / float64(max(f.admitted, 1))
	switch {
	case losses > toleratedLosses && !canReduce:
	case losses > toleratedLosses:
		f.factor *= 1 - lossGain*min(losses-toleratedLosses, 1)
	case f.idle > 0:
		f.factor *= 1 + idleGain
	case f.lost == 0:
		f.factor += returnGain * (initialFactor - f.factor)
	}
	f.factor = min(max(f.factor, minFactor), maxFactor)
	f.since, f.admitted, f.lost, f.idle = now, 0, 0, 0
}

// canShedMore reports whether a priority below the most urgent one has more than the least
// share. If none has, admitting less would only refuse urgent requests that still find a
// slot by chance.
func (s *Shedder) canShedMore() bool {
	for i, p := range s.shares {
		if i > 0 && p.Share > s.assured*(1+shareTolerance) {
			return true
		}
	}
	return len(s.shares) == 1
}

const shareTolerance = 0.05
