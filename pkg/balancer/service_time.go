package balancer

import "time"

const (
	// serviceTimeSmoothing is the weight of a new sample in the moving averages of
	// service times.
	serviceTimeSmoothing = 0.05
	// maxServiceTimeRatio bounds a measured time, as a multiple of the expected one.
	// Answers that stall would otherwise dominate the average.
	maxServiceTimeRatio = 5.0
)

// running is an in-flight request.
type running struct {
	startedAt time.Time
	priority  int
	// slotTime is how long the request was expected to occupy a slot, without and with
	// the correction by measured times. pace is that of its endpoint.
	modelTime, slotTime time.Duration
	pace                float64
}

// serviceTimes corrects the expected service times of each priority by measured ones.
type serviceTimes struct {
	// ratios holds the moving averages of measured over expected times, normalized to
	// endpoints of normal speed.
	ratios map[int]float64
}

func (s *serviceTimes) ratio(priority int) float64 {
	if r := s.ratios[priority]; r > 0 {
		return r
	}
	return 1
}

func (s *serviceTimes) observe(r running, duration time.Duration) {
	// A clock that stands still tells nothing of the service time.
	if r.modelTime <= 0 || duration <= 0 {
		return
	}
	if s.ratios == nil {
		s.ratios = map[int]float64{}
	}
	sample := min(duration.Seconds()/max(r.pace, 1)/r.modelTime.Seconds(), maxServiceTimeRatio)
	old := s.ratio(r.priority)
	s.ratios[r.priority] = old + serviceTimeSmoothing*(sample-old)
}

// normalSlotTime returns how long a request is expected to occupy a slot of an endpoint of
// normal speed.
func (b *Balancer) normalSlotTime(r Request) time.Duration {
	if r.SlotTime <= 0 {
		return b.meanDuration
	}
	return time.Duration(float64(r.SlotTime) * b.serviceTimes.ratio(r.Priority))
}

// addRunning records the start of a request.
func (b *Balancer) addRunning(now time.Time, r Request, m *member) {
	run := running{startedAt: now, priority: r.Priority, modelTime: r.SlotTime, pace: max(m.slowdown, 1)}
	if r.SlotTime > 0 {
		run.slotTime = max(b.normalSlotTime(r), time.Millisecond)
	} else {
		b.unknownTimes++
	}
	if end := now.Add(m.slowed(b.normalSlotTime(r))); end.After(m.busyUntil) {
		m.busyUntil = end
	}
	b.running[r.ID] = run
	b.releaseRate += run.releaseRate()
}

// removeRunning records the end of a request.
func (b *Balancer) removeRunning(now time.Time, id uint64, result Result) {
	run, ok := b.running[id]
	if !ok {
		return
	}
	delete(b.running, id)
	b.releaseRate -= run.releaseRate()
	if run.slotTime <= 0 {
		b.unknownTimes--
	}
	if len(b.running) == 0 {
		// The sum is free of rounding errors again.
		b.releaseRate, b.unknownTimes = 0, 0
	}
	duration := now.Sub(run.startedAt)
	if b.meanDuration == 0 {
		b.meanDuration = duration
	}
	b.meanDuration += time.Duration(durationSmoothing * float64(duration-b.meanDuration))
	if result == ResultAnswered {
		b.serviceTimes.observe(run, duration)
	}
}

// releaseRate returns the part of a slot that the request frees per second.
func (r running) releaseRate() float64 {
	if r.slotTime <= 0 {
		return 0
	}
	return 1 / (r.slotTime.Seconds() * r.pace)
}
