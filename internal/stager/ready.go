package stager

import (
	"time"

	"flamingoledge.org/flamingoledge/platform"
)

const (
	// loadTime is how long it takes from the last chunk until entries know that the endpoint
	// serves: staging, loading and a report.
	loadTime = 500 * time.Millisecond
	// drainTime is how long the running requests that a load waits for take.
	drainTime = time.Second
	// minReadyTime is the least expected time, since an endpoint that is late is late by a
	// part of loadTime.
	minReadyTime = 50 * time.Millisecond
	// minRateChunks is the number of chunks that a rate is estimated from; with fewer, the
	// links' rates are used.
	minRateChunks = 4
)

// ReadyIn returns the expected time until the endpoint serves, and how many chunks of the
// planned version are missing here. Both are 0 while it serves, or if the time is unknown.
func (s *Stager) ReadyIn(now time.Time, r platform.Report) (readyIn time.Duration, missing int) {
	if s.plan.Version == 0 || LoadedVersion(r, s.plan.Model) != 0 && !r.Loading && !s.switching.Load() {
		return 0, 0
	}
	if s.switching.Load() || r.Loading {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.staging {
			return loadTime, 0
		}
		if r.Active > 0 {
			return loadTime + drainTime, 0
		}
		return max(loadTime-now.Sub(s.orderedAt), minReadyTime), 0
	}
	f := s.fetches[s.plan.Version]
	if f == nil {
		return s.copyTime() + loadTime, s.plan.Chunks
	}
	a := f.currentAssembly()
	if a == nil {
		return s.copyTime() + loadTime, s.plan.Chunks
	}
	copyTime := s.copyTime()
	if f.readsStore() {
		copyTime = f.keeper.copyTime()
	}
	held, total := a.HeldCount(), len(a.Manifest().Chunks)
	return remainingTime(now.Sub(f.startedAt), copyTime, held, total) + loadTime, total - held
}

// SwitchIn returns the time until the endpoint, which serves, is due to load another version; 0
// if none is due or the time is unknown. It is that of the last call of Reconcile.
func (s *Stager) SwitchIn(now time.Time) time.Duration {
	if s.switchAt.IsZero() {
		return 0
	}
	return max(s.switchAt.Sub(now), minSwitchIn)
}

// minSwitchIn is the least time until a switch that is reported, as 0 stands for none.
const minSwitchIn = time.Millisecond

// remainingTime returns how long the missing chunks take if they arrive as the held ones have
// in elapsed; copyTime is how long all take by the links' rates.
func remainingTime(elapsed, copyTime time.Duration, held, total int) time.Duration {
	missing := max(total-held, 0)
	if held < minRateChunks {
		return max(copyTime-elapsed, copyTime*time.Duration(missing)/time.Duration(max(total, 1)))
	}
	return elapsed * time.Duration(missing) / time.Duration(held)
}
