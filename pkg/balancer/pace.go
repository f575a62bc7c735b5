package balancer

import "time"

const (
	// paceSmoothing is the time over which the paces in answers are averaged. They change many
	// times a second, and a request runs for a second or more.
	paceSmoothing = 300 * time.Millisecond
	// maxPaceWeight is the greatest weight of one answer, and maxPaceFactor the greatest
	// factor between it and the average, so that one value changes the capacity by at most a
	// quarter.
	maxPaceWeight = 0.25
	maxPaceFactor = 2.0
)

// pace is how long work takes at an endpoint, with 1 as usual. Reports tell the pace of the
// engine and answers that of the machine at the moment. Neither replaces the other: the slower
// one counts. 0 is unknown.
type pace struct {
	reported   float64
	answered   float64
	answeredAt time.Time
}

// recordReport records the pace in a report; 0 is ignored.
func (p *pace) recordReport(slowdown float64) {
	if slowdown > 0 {
		p.reported = slowdown
	}
}

// recordAnswer records the pace in an answer; 0 is ignored.
func (p *pace) recordAnswer(at time.Time, slowdown float64) {
	if slowdown <= 0 {
		return
	}
	if !p.isCurrent(at) {
		p.answered, p.answeredAt = max(p.reported, 1), at.Add(-paceSmoothing)
	}
	weight := min(max(at.Sub(p.answeredAt).Seconds()/paceSmoothing.Seconds(), 0), maxPaceWeight)
	slowdown = min(max(slowdown, p.answered/maxPaceFactor), p.answered*maxPaceFactor)
	p.answered += weight * (slowdown - p.answered)
	p.answeredAt = at
}

// isCurrent reports whether an answer has told the pace recently.
func (p *pace) isCurrent(now time.Time) bool { return now.Sub(p.answeredAt) < maxReportAge }

// slowdown returns the factor by which the endpoint is slower than usual.
func (p *pace) slowdown(now time.Time) float64 {
	if p.isCurrent(now) {
		return max(p.reported, p.answered)
	}
	return p.reported
}
