package switcher

import "time"

const (
	// maxElapsedShare is the share of the copy time within which a newer version
	// may supersede an older one. It is applied to the time between the naming
	// times of both versions, which is the same on all instances.
	maxElapsedShare = 0.5
	// maxSpreadElapsedShare is that share if minSpreadFactor times the copy time remains for
	// the loaded version: the newer version's transfer, and time to spread the switches over.
	maxSpreadElapsedShare = 0.8
	minSpreadFactor       = 2.35
	// minHeldShare is the share of the older version's chunks below which it is
	// always superseded: so few chunks show that the origin is, or until recently
	// was, unavailable.
	minHeldShare = 0.1
)

// ShouldSupersede reports whether a newer version is fetched instead of an older one
// that is still being fetched.
//
// elapsed is the time between the naming times of both versions, copyTime the time that
// fetching a version takes, remaining the time for which the loaded version may still
// start requests, and heldShare the share of the older version's chunks that are held.
//
// Finishing an older version that has only begun delays the newer one and costs the
// endpoint a second switch. An older version that has made progress is finished, because
// the data already read from the origin would be lost. It is also finished if remaining
// is short: otherwise, versions named in quick succession would supersede each other
// until the endpoint has none that may still start requests.
func ShouldSupersede(elapsed, copyTime, remaining time.Duration, heldShare float64) bool {
	if heldShare < minHeldShare {
		return true
	}
	copies := func(factor float64) time.Duration { return time.Duration(factor * float64(copyTime)) }
	return elapsed < copies(maxElapsedShare) && remaining > copies(copyTimeFactor) ||
		elapsed < copies(maxSpreadElapsedShare) && remaining > copies(minSpreadFactor)
}
