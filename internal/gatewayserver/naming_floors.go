package gatewayserver

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"flamingoledge.org/flamingoledge/internal/forwarder"
)

// confirmation is what was known to be current at a time by the clock of this process.
type confirmation struct {
	// at is the zero time if nothing was confirmed.
	at       time.Time
	versions map[string][]forwarder.Version
}

// confirmation returns the last confirmation of the named versions. There is none after a
// restore of the store, which may have lost a version that was acknowledged.
func (s *state) confirmation() confirmation {
	if !s.store.since.IsZero() && !s.config.confirmedAt.Before(s.store.since) {
		return confirmation{}
	}
	return confirmation{at: s.config.confirmedAt, versions: s.config.versions}
}

// lacks reports whether a version was not yet acknowledged at the confirmation. Only the
// newest version of a model is certain to be known, so older ones may have been skipped.
func (c confirmation) lacks(model string, version uint64) bool {
	known := c.versions[model]
	return !c.at.IsZero() && (len(known) == 0 || version > known[len(known)-1].Version)
}

// namingFloors has the last confirmation that lacked a version, for those versions for which
// there is one. A version was named after its floor, whatever the wall clock of the process
// that stored or read its naming time.
type namingFloors map[modelVersion]time.Time

type modelVersion struct {
	model   string
	version uint64
}

func (v modelVersion) compare(other modelVersion) int {
	return cmp.Or(cmp.Compare(v.model, other.model), cmp.Compare(v.version, other.version))
}

// with returns the floors after a version was first noticed and only the retained versions
// of its model are left.
func (f namingFloors) with(model string, version uint64, last confirmation, retained []forwarder.Version) namingFloors {
	if !last.lacks(model, version) {
		return f
	}
	f = cloneMap(f)
	maps.DeleteFunc(f, func(v modelVersion, _ time.Time) bool {
		return v.model == model && !slices.ContainsFunc(retained, func(r forwarder.Version) bool { return r.Version == v.version })
	})
	f[modelVersion{model: model, version: version}] = last.at
	return f
}

// clamp returns a naming time of a version that is not before its floor.
func (f namingFloors) clamp(model string, version uint64, at time.Time) time.Time {
	if floor := f[modelVersion{model: model, version: version}]; at.Before(floor) {
		return floor
	}
	return at
}
