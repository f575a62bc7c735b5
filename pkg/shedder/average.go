package shedder

import (
	"math"
	"time"
)

// average holds exponentially weighted sums of arrivals and of their slot times.
type average struct {
	count, seconds float64
	at             time.Time
}

func (a *average) add(now time.Time, smoothing, slotTime time.Duration) {
	a.decay(now, smoothing)
	a.count++
	a.seconds += slotTime.Seconds()
}

func (a *average) decay(now time.Time, smoothing time.Duration) {
	if elapsed := now.Sub(a.at); elapsed > 0 {
		factor := math.Exp(-float64(elapsed) / float64(smoothing))
		a.count *= factor
		a.seconds *= factor
		a.at = now
	}
}

// get returns the arrivals per second and the slots that they occupy.
func (a *average) get(now time.Time, smoothing time.Duration) (rate, slots float64) {
	a.decay(now, smoothing)
	return a.count / smoothing.Seconds(), a.seconds / smoothing.Seconds()
}

// isOver reports whether nothing has arrived for so long that the sums don't matter.
func (a *average) isOver(now time.Time, smoothing time.Duration) bool {
	a.decay(now, smoothing)
	return a.count < minCount
}

// minCount is the sum below which a class is forgotten, which bounds memory.
const minCount = 0.01
