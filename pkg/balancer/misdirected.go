package balancer

import (
	"slices"
	"time"
)

const (
	// misdirectedTimeout is how long an endpoint without weights counts as not ready if
	// nothing is heard of it. Its sidecar may be gone while it serves.
	misdirectedTimeout = 3 * time.Second
	// minMisdirected is the number of such endpoints from which on others that report
	// nothing are assumed to have lost their weights too: endpoints that lose power together
	// are still listed with the weights that they had.
	minMisdirected = 2
	// readySpread is the part of the time until an endpoint is ready by which the return of a
	// refused caller is delayed at most.
	readySpread = 0.2
	// maxReadyWait bounds the retry delay while weights load. Fetching and loading them takes
	// a few seconds.
	maxReadyWait = 10 * time.Second
)

// recordMisdirected records that an endpoint has refused a request because it does not have
// the weights or is another incarnation. Without versions, that says nothing of the next
// request.
func (m *member) recordMisdirected(now time.Time) {
	m.pausedUntil = now.Add(refusedPause)
	if m.Version != 0 {
		m.misdirectedAt = now
	}
}

// isMisdirected reports whether the endpoint has refused a request for want of weights and
// neither a record nor a report says otherwise.
func (m *member) isMisdirected(now time.Time) bool {
	return !m.misdirectedAt.IsZero() && now.Sub(m.misdirectedAt) < misdirectedTimeout
}

// updateUnready determines which endpoints count as not ready although they are listed as
// ready.
func (b *Balancer) updateUnready(now time.Time) {
	misdirected := 0
	for _, m := range b.memberList {
		if m.unready = m.isMisdirected(now); m.unready {
			misdirected++
		}
	}
	if misdirected < minMisdirected {
		return
	}
	for _, m := range b.memberList {
		m.unready = m.unready || !m.Unreported && m.Version != 0 && now.Sub(m.reportedAt) >= maxReportAge
	}
}

// ReadyWait returns the time after which a request that was refused for want of weights may
// start at an endpoint that is not ready yet; 0 if unknown.
// The endpoints become ready one after the other, so that each refused request aims at one of
// them, and comes a little later.
func (b *Balancer) ReadyWait(now time.Time, r Request) time.Duration {
	var waits []time.Duration
	for _, m := range b.memberList {
		if m.ReadyAt.After(now) && !m.advice.IsLeaving() && (r.Regions == nil || slices.Contains(r.Regions, m.Region)) {
			waits = append(waits, m.ReadyAt.Sub(now))
		}
	}
	if len(waits) == 0 {
		return 0
	}
	slices.Sort(waits)
	// The request's random number also seeds the cost jitter; its bits are mixed once more.
	random := unitFloat(r.Random * 0x9e3779b97f4a7c15)
	position := random * float64(len(waits))
	wait := waits[int(position)]
	wait += time.Duration(readySpread * (position - float64(int(position))) * float64(wait))
	return min(wait, maxReadyWait)
}
