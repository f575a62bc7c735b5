package switcher

import "time"

const (
	// begunShare of a copy's time is how far an older version must have come to
	// go first, by the time between the namings, which all instances know alike.
	maxElapsedShare = 0.5
	// stuckShare of the chunks is what an older version must have brought by then;
	// less shows that the origin is away or just back.
	minHeldShare = 0.1
)

// ShouldSupersede tells whether a version that is named some time after another one is
// fetched in its place. What has left the origin is not thrown away, and the
// endpoint needs a version that may still begin; but an older version that has only
// begun costs the newer one its time, and the endpoint a second switch. held is the
// share of the older one's chunks at hand, copyTime how long a version takes and left
// the time for which the loaded version may still begin requests: with too little of
// it the older one is kept, so that versions named in a row do not supersede each
// other until none is left to serve.
func ShouldSupersede(elapsed, copyTime, remaining time.Duration, heldShare float64) bool {
	if heldShare < minHeldShare {
		return true
	}
	return elapsed < time.Duration(maxElapsedShare*float64(copyTime)) && remaining > time.Duration(copyTimeFactor*float64(copyTime))
}
