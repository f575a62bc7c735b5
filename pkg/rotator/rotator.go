// Package rotator chooses which of several peers to ask next. It answers starts at which many of the
// known addresses are those of peers that are gone for good: each is tried once before any is tried
// again, while asking is spread at random over the others.
package rotator

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Failures are the times at which peers last failed to answer, by address. It is immutable; the zero
// value is empty.
type Failures struct{ at map[string]time.Time }

// With returns the failures after a peer has failed.
func (f Failures) With(now time.Time, address string) Failures {
	at := maps.Clone(f.at)
	if at == nil {
		at = map[string]time.Time{}
	}
	at[address] = now
	return Failures{at: at}
}

// Without returns the failures after a peer has answered.
func (f Failures) Without(address string) Failures {
	if _, ok := f.at[address]; !ok {
		return f
	}
	at := maps.Clone(f.at)
	delete(at, address)
	return Failures{at: at}
}

// Among returns the failures of some peers only, so that those of others are forgotten.
func (f Failures) Among(addresses []string) Failures {
	at := maps.Clone(f.at)
	maps.DeleteFunc(at, func(address string, _ time.Time) bool { return !slices.Contains(addresses, address) })
	return Failures{at: at}
}

// Next returns the address to ask next: one that has not failed, or else the one that failed first.
// It returns "" if there is none.
func (f Failures) Next(addresses []string, r *rand.Rand) string {
	var best []string
	var bestAt time.Time
	for _, address := range addresses {
		at := f.at[address]
		if len(best) > 0 && at.After(bestAt) {
			continue
		}
		if len(best) == 0 || at.Before(bestAt) {
			best, bestAt = nil, at
		}
		best = append(best, address)
	}
	if len(best) == 0 {
		return ""
	}
	return best[r.IntN(len(best))]
}
