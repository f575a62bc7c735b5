package stager

import (
	"context"
	"time"

	"flamingoledge.org/flamingoledge/pkg/switcher"
	"flamingoledge.org/flamingoledge/platform"
)

// startFetch starts to fetch the planned version. If an older one is still being
// fetched, it is finished first, unless the planned version supersedes it.
func (s *Stager) startFetch(ctx context.Context, now time.Time, loaded uint64) {
	if f := s.fetches[s.plan.Version]; f != nil {
		if !f.adopt || f.isComplete() || loaded == s.plan.Version {
			return
		}
		// The endpoint lost the version before all its chunks were read back.
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

// adoptLoaded reads back the version that the endpoint has loaded while the plan contains
// none: other instances may have a plan with that version already and request its chunks.
func (s *Stager) adoptLoaded(ctx context.Context, now time.Time, r platform.Report) {
	if s.plan.Origin == "" || len(s.fetches) > 0 {
		return
	}
	for _, m := range r.Models {
		if v := LoadedVersion(r, m.Model); v != 0 {
			p := s.plan
			p.Model, p.Version, p.NamedAt, p.Held = m.Model, v, now, true
			s.fetches[v] = s.newFetch(ctx, now, p, true)
			return
		}
	}
}

// dropFetch cancels a fetch and discards its chunks.
func (s *Stager) dropFetch(f *fetch) {
	f.cancel()
	s.cfg.Store.Remove(f.name)
	delete(s.fetches, f.version)
}

// remainingServingTime returns how long the loaded version may still start requests.
func (s *Stager) remainingServingTime(now time.Time, loaded uint64) time.Duration {
	for _, n := range s.namedVersions {
		if n.Version > loaded {
			return n.At.Add(s.cfg.VersionBound).Sub(now)
		}
	}
	return s.cfg.VersionBound
}

// Prefetch starts to fetch while the endpoint does not answer, for example on a new
// instance. It does so only adoptionAge after the version was named: an endpoint that
// starts together with the others may already hold the version.
func (s *Stager) Prefetch(ctx context.Context, now time.Time) {
	if s.plan.Version != 0 && now.Sub(s.plan.NamedAt) > adoptionAge && len(s.fetches) == 0 {
		s.startFetch(ctx, now, 0)
	}
}
