package stager

import (
	"context"
	"time"

	"flamingoledge.org/flamingoledge/pkg/switcher"
)

// startFetch fetches the wanted version. An older one that is under way goes
// first, unless it is superseded.
func (s *Stager) startFetch(ctx context.Context, now time.Time, loaded uint64) {
	if f := s.fetches[s.plan.Version]; f != nil {
		if !f.adopt || f.isComplete() || loaded == s.plan.Version {
			return
		}
		// The endpoint lost the version while its chunks were read from it.
		s.dropFetch(f)
	}
	for v, f := range s.fetches {
		switch {
		case v < loaded:
			s.dropFetch(f)
		case f.isComplete() || f.adopt:
		case switcher.ShouldSupersede(s.plan.NamedAt.Sub(f.plan.NamedAt), s.copyTime(), s.remainingServingTime(now, loaded), f.heldShare()),
			now.Sub(f.plan.NamedAt) > s.cfg.VersionBound:
			s.dropFetch(f)
		default:
			return
		}
	}
	s.fetches[s.plan.Version] = s.newFetch(ctx, now, s.plan, loaded == s.plan.Version)
}

// drop gives up a fetch and what it has got.
func (s *Stager) dropFetch(f *fetch) {
	f.cancel()
	s.cfg.Store.Remove(f.name)
	delete(s.fetches, f.version)
}

// mayBeginFor is how long the loaded version may still begin requests.
func (s *Stager) remainingServingTime(now time.Time, loaded uint64) time.Duration {
	for _, n := range s.namedVersions {
		if n.Version > loaded {
			return n.At.Add(s.cfg.VersionBound).Sub(now)
		}
	}
	return s.cfg.VersionBound
}

// Prefetch begins to fetch while the endpoint does not answer yet, as on a new
// instance. It waits until the version is known for a while: an endpoint that
// starts with the others may hold the version already.
func (s *Stager) Prefetch(ctx context.Context, now time.Time) {
	if s.plan.Version != 0 && now.Sub(s.plan.NamedAt) > adoptionAge && len(s.fetches) == 0 {
		s.startFetch(ctx, now, 0)
	}
}
