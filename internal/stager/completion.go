package stager

import (
	"time"

	"flamingoledge.org/flamingoledge/pkg/switcher"
)

// complete returns the versions whose chunks are all held, with the time at which
// the last chunk arrived.
func (s *Stager) complete() map[uint64]time.Time {
	versions := map[uint64]time.Time{}
	for v, f := range s.fetches {
		if f.isComplete() {
			versions[v] = f.completedAt()
		}
	}
	return versions
}

// peerProgress returns what is known of the peers' progress with each complete version
// that is newer than the loaded one.
func (s *Stager) peerProgress(now time.Time, complete map[uint64]time.Time, loaded uint64) map[uint64]switcher.PeerProgress {
	progress := map[uint64]switcher.PeerProgress{}
	for v := range complete {
		if v <= loaded {
			continue
		}
		p := s.cfg.Store.PeerProgress(s.fetches[v].name)
		known := switcher.PeerProgress{Known: p.Known, Complete: p.Complete}
		if p.Complete > 0 {
			known.FirstCompleteAt = now.Add(-time.Since(p.FirstCompleteAt))
		}
		progress[v] = known
	}
	return progress
}

// expectedCompletion returns when the last chunk of the planned version is expected; the
// zero time if too few have arrived to tell.
func (s *Stager) expectedCompletion(now time.Time) time.Time {
	f := s.fetches[s.plan.Version]
	if f == nil {
		return time.Time{}
	}
	a := f.currentAssembly()
	if a == nil || a.HeldCount() < minRateChunks {
		return time.Time{}
	}
	return now.Add(remainingTime(now.Sub(f.startedAt), s.copyTime(), a.HeldCount(), len(a.Manifest().Chunks)))
}
