package gatewayserver

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/forwarder"
	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/internal/messenger"
	"flamingoledge.org/flamingoledge/pkg/controller"
	"flamingoledge.org/flamingoledge/pkg/dater"
)

// datingDelay is how long after reading an undated version an entry waits for the naming time
// of another entry, which is more precise than what sidecars tell.
const datingDelay = 1500 * time.Millisecond

// undatedNaming is the state of a version that was named before this entry ran, without a
// known naming time. It counts from when it was first read until it is dated.
type undatedNaming struct {
	readAt time.Time
	// notBefore is when the last failed read of the store before ended, as the version bound
	// counts anew from the end of an outage.
	notBefore time.Time
	// isRequested is set once the stored naming time has been requested, and isUnstored once
	// the store has none.
	isRequested, isUnstored bool
}

// Events and actions of the datingController.
type (
	// versionsConfirmed contains what a sidecar knows.
	versionsConfirmed struct{ confirmed []*messenger.ConfirmedVersion }
	// namingsTold contains the versions of which entries had told a sidecar.
	namingsTold struct{ named []*messenger.NamedVersion }
	// namingUnstored is sent if the store has no naming time of a version.
	namingUnstored struct{ named modelVersion }
	// namingNeeded requests the stored naming time of a version.
	namingNeeded struct{ named modelVersion }
)

// datingController dates versions that no entry noticed by the last time at which entries
// told a sidecar of an older version. It is used only if no entry has a naming time, since
// that time is up to a few seconds before the naming.
type datingController struct{}

// Handle implements controller.Controller.
func (datingController) Handle(now time.Time, s state, event controller.Event) (_ state, actions []controller.Action) {
	switch e := event.(type) {
	case versionsConfirmed:
		return s.withConfirmed(now, e.confirmed).withDates(now)
	case presenceReceived:
		return s.withConfirmed(now, e.presence.GetConfirmed()).withDates(now)
	case namingsTold:
		before := s.config
		if s.config = s.config.withToldNamings(now, e.named); s.config.isDatedAs(before) {
			return s, nil
		}
		return s, []controller.Action{endpointsChanged{}}
	case namingUnstored:
		u, ok := s.config.undated[e.named]
		if !ok {
			return s, nil
		}
		u.isUnstored = true
		s.config = s.config.withUndated(e.named, u)
		if s, actions = s.withDates(now); s.config.isUndated(e.named.model, e.named.version) {
			actions = append(actions, s.config.newNaming(now, e.named))
		}
	case controller.Tick:
		for _, v := range s.config.undatedVersions() {
			u := s.config.undated[v]
			if !u.isRequested && now.Sub(u.readAt) >= datingDelay {
				u.isRequested = true
				s.config = s.config.withUndated(v, u)
				actions = append(actions, namingNeeded{named: v})
			}
		}
	}
	return s, actions
}

// withDates dates the undated versions that no entry has dated.
func (s state) withDates(now time.Time) (_ state, actions []controller.Action) {
	for _, v := range s.config.undatedVersions() {
		u := s.config.undated[v]
		at, ok := s.confirmations.LastBefore(v.model, v.version)
		if !u.isUnstored || !ok {
			continue
		}
		if at.Before(u.notBefore) {
			at = u.notBefore
		}
		dated := []versionAge{{model: v.model, version: v.version, age: now.Sub(at)}}
		s.config = s.config.withVersionAges(now, dated, confirmation{}).withoutUndated(dated)
		naming := s.config.newNaming(now, v)
		actions = append(actions, naming, endpointsChanged{}, logEvent(logger.VersionDated, zap.String("model", v.model),
			zap.Uint64("version", v.version), zap.Duration("age", naming.age), zap.Duration("read", now.Sub(u.readAt))))
	}
	return s, actions
}

// newNaming returns the action that stores the naming time of a version.
func (c config) newNaming(now time.Time, named modelVersion) versionFirstSeen {
	n := versionFirstSeen{model: named.model, version: named.version}
	for _, v := range c.versions[named.model] {
		if v.Version == named.version {
			n.age = now.Sub(v.KnownSince)
		}
	}
	return n
}

// isUndated reports whether a version is undated.
func (c config) isUndated(model string, version uint64) bool {
	_, ok := c.undated[modelVersion{model: model, version: version}]
	return ok
}

func (c config) withUndated(named modelVersion, u undatedNaming) config {
	c.undated = cloneMap(c.undated)
	c.undated[named] = u
	return c
}

// withoutUndated returns c after versions were dated.
func (c config) withoutUndated(dated []versionAge) config {
	for _, n := range dated {
		if c.isUndated(n.model, n.version) {
			c.undated = cloneMap(c.undated)
			delete(c.undated, modelVersion{model: n.model, version: n.version})
		}
	}
	return c
}

// needsConfirmations reports whether what sidecars know may date a version: until the first
// confirmation by this entry, and while a version is undated.
func (c config) needsConfirmations() bool { return c.confirmedAt.IsZero() || len(c.undated) > 0 }

// addConfirmed adds the newest versions of the models of a service to a plan for a call that
// was received at receivedAt.
func (s *Server) addConfirmed(receivedAt time.Time, v *state, service string, reply *messenger.PlanReply) {
	if v.config.table == nil || v.config.confirmedAt.IsZero() {
		return
	}
	now := s.cfg.Clock()
	reply.WaitedMs = uint32(max(now.Sub(receivedAt).Milliseconds(), 0))
	if e := engineOf(v.config.table, service); e != nil {
		for _, model := range e.Models {
			reply.Confirmed = append(reply.Confirmed, &messenger.ConfirmedVersion{
				Model: model, Version: v.config.newest(model).Version, AgeMs: ageMillis(now, v.config.confirmedAt),
			})
		}
	}
}

// receiveConfirmed passes on what a sidecar knows.
func (s *Server) receiveConfirmed(confirmed []*messenger.ConfirmedVersion) {
	if len(confirmed) == 0 || !s.board.View().config.needsConfirmations() {
		return
	}
	s.board.Post(versionsConfirmed{confirmed: confirmed})
}

// receiveNamed passes on which versions were named, as entries told a sidecar.
func (s *Server) receiveNamed(named []*messenger.NamedVersion) {
	config := s.board.View().config
	now := s.cfg.Clock()
	if !config.withToldNamings(now, named).isDatedAs(config) {
		s.board.Post(namingsTold{named: named})
	}
}

// withToldNamings adopts the earlier naming times that entries told a sidecar. Stored ones may be
// those of a clock that was ahead. A version that is newer than all that operators named was lost
// in a restore of the store.
func (c config) withToldNamings(now time.Time, named []*messenger.NamedVersion) config {
	for _, n := range named {
		if n.GetVersion() > c.newest(n.GetModel()).Version {
			continue
		}
		told := []versionAge{{model: n.GetModel(), version: n.GetVersion(), age: age(n.GetAgeMs())}}
		c = c.withVersionAges(now, told, confirmation{})
		if !n.GetUndated() {
			c = c.withoutUndated(told)
		}
	}
	return c
}

// namingNoise is a difference between two naming times that is due to the way of messages.
const namingNoise = 20 * time.Millisecond

// isDatedAs reports whether c has the same versions as other, named at about the same times.
func (c config) isDatedAs(other config) bool {
	if len(c.undated) != len(other.undated) {
		return false
	}
	for model, vs := range c.versions {
		if !slices.EqualFunc(vs, other.versions[model], func(a, b forwarder.Version) bool {
			return a.Version == b.Version && a.KnownSince.Sub(b.KnownSince).Abs() < namingNoise
		}) {
			return false
		}
	}
	return true
}

// withConfirmed adds what sidecars know, if that may date a version.
func (s state) withConfirmed(now time.Time, confirmed []*messenger.ConfirmedVersion) state {
	if !s.config.needsConfirmations() {
		return s
	}
	for _, c := range confirmed {
		s.confirmations = s.confirmations.With(dater.Confirmation{Model: c.GetModel(), Version: c.GetVersion(), At: now.Add(-age(c.GetAgeMs()))})
	}
	return s
}

// toConfirmed encodes confirmations.
func toConfirmed(now time.Time, c dater.Confirmations) (out []*messenger.ConfirmedVersion) {
	for _, n := range c.All() {
		out = append(out, &messenger.ConfirmedVersion{Model: n.Model, Version: n.Version, AgeMs: ageMillis(now, n.At)})
	}
	return out
}

// undatedVersions returns the undated versions in a fixed order.
func (c config) undatedVersions() []modelVersion {
	return slices.SortedFunc(maps.Keys(c.undated), modelVersion.compare)
}
