package scheduler

import (
	"math"
	"time"
)

const (
	// slowTime and fastTime are the times over which a rate is averaged. Shares that are lent
	// have to come back within a second; the start of a burst has to show before places are
	// kept that it will take.
	slowTime = time.Second
	fastTime = 300 * time.Millisecond
)

// Rate is the rate of events per second: the higher one of two averages. The zero value is a
// rate of 0.
type Rate struct {
	slow, fast float64
	at         time.Time
}

// WithEvent returns the rate after an event at now.
func (r Rate) WithEvent(now time.Time) Rate {
	return Rate{slow: decayed(r.slow, now, r.at, slowTime) + 1/slowTime.Seconds(), fast: decayed(r.fast, now, r.at, fastTime) + 1/fastTime.Seconds(), at: now}
}

// PerSecond returns the rate at now.
func (r Rate) PerSecond(now time.Time) float64 {
	return max(decayed(r.slow, now, r.at, slowTime), decayed(r.fast, now, r.at, fastTime))
}

func decayed(value float64, now, at time.Time, over time.Duration) float64 {
	return value * math.Exp(-max(now.Sub(at), 0).Seconds()/over.Seconds())
}
