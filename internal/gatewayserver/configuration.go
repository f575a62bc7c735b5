package gatewayserver

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/forwarder"
	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/pkg/controller"
	"flamingoledge.org/flamingoledge/pkg/resolver"
	"flamingoledge.org/flamingoledge/platform"
)

// configurationController applies configurations and named versions read from
// the store or from a peer. A lower version never replaces a higher one.
type configurationController struct{}

// Handle implements controller.Controller.
func (configurationController) Handle(now time.Time, s state, event controller.Event) (state, []controller.Action) {
	e, ok := event.(configRead)
	if !ok {
		return s, nil
	}
	if s.pause.covers(now, e) {
		e.pausedSince = s.pause.from
	}
	var actions []controller.Action
	before, last := s.config.digest, s.confirmation()
	undatedBefore := len(s.config.undated)
	s.config = s.config.withVersionAges(now, e.versionAges, last).withoutUndated(e.versionAges)
	s.config = s.config.withVersionAges(now, e.undatedAges, last)
	for _, v := range e.values {
		if v.Data == nil {
			continue
		}
		var a []controller.Action
		switch {
		case platform.IsConfigurationKey(v.Key):
			s.config, a = s.config.withConfiguration(v, e.source)
		case platform.IsNamedVersionKey(v.Key):
			s.config, a = s.config.withVersion(now, v, e, last)
		}
		actions = append(actions, a...)
	}
	s.config = s.config.withDigest()
	// A peer confirms by the same rule, so its confirmation holds as it is.
	isConfirmed := e.source != sourceStore || s.store.isSettled(e.startedAt)
	if s.config.table != nil && isConfirmed && e.startedAt.After(s.config.confirmedAt) {
		s.config.confirmedAt = e.startedAt
	}
	if e.source == sourceStore && !e.startedAt.Before(s.pause.until) {
		s.pause = pause{}
	}
	if s.config.digest != before || len(s.config.undated) != undatedBefore {
		actions = append(actions, endpointsChanged{})
	}
	return s, actions
}

// withConfiguration applies a configuration unless its version is not newer.
func (c config) withConfiguration(v platform.Value, source string) (config, []controller.Action) {
	cfg, err := platform.DecodeConfiguration(v.Data)
	if err != nil {
		return c, []controller.Action{logEvent(logger.ConfigurationUnreadable, zap.String("key", v.Key), zap.String("source", source), zap.Error(err))}
	}
	if cfg.Version <= c.version() {
		return c, nil
	}
	c.table = resolver.New(cfg)
	c = c.withValue(v)
	return c, []controller.Action{logEvent(logger.ConfigurationInForce,
		zap.Uint64("config_version", cfg.Version), zap.String("source", source), zap.Int("routes", len(cfg.Routes)),
		zap.Int("services", len(cfg.Services)), zap.Int("workspaces", len(cfg.Workspaces)))}
}

// withVersion applies a named version unless it is outdated or already known. It
// requests that the naming time be recorded if the store has the version but no
// naming time.
func (c config) withVersion(now time.Time, v platform.Value, e configRead, last confirmation) (config, []controller.Action) {
	named, err := platform.DecodeNamedVersion(v.Key, v.Data)
	if err != nil {
		return c, []controller.Action{logEvent(logger.ConfigurationUnreadable, zap.String("key", v.Key), zap.String("source", e.source), zap.Error(err))}
	}
	// The naming time of a version may arrive before the value that names it.
	if named.Version < c.newest(named.Model).Version || c.values[v.Key].Data != nil && named.Version == c.newest(named.Model).Version {
		return c, nil
	}
	c = c.withVersionAges(now, []versionAge{{model: named.Model, version: named.Version, age: c.namingDelay(now, named, e)}}, last)
	c = c.withValue(v)
	age := now.Sub(c.newest(named.Model).KnownSince)
	actions := []controller.Action{logEvent(logger.VersionNamed, zap.String("model", named.Model),
		zap.Uint64("version", named.Version), zap.Duration("age", age), zap.String("source", e.source))}
	switch {
	case e.includesNaming(named):
	case c.confirmedAt.IsZero() && (e.afterGap || e.source != sourceStore):
		c = c.withUndated(modelVersion{model: named.Model, version: named.Version}, undatedNaming{readAt: now, notBefore: e.failedAt})
	case e.source == sourceStore:
		actions = append(actions, versionFirstSeen{model: named.Model, version: named.Version, age: age})
	}
	return c, actions
}

// namingDelay returns how long ago a version that is new here may have been named without
// having been noticed: if the store was not followed for a while, since the last
// confirmation. The version bound counts anew from the end of an outage, but not from
// that of a pause of this process.
func (c config) namingDelay(now time.Time, named platform.NamedVersion, e configRead) time.Duration {
	if e.source != sourceStore || c.confirmedAt.IsZero() || e.includesNaming(named) {
		return 0
	}
	unconfirmed := max(now.Sub(c.confirmedAt), 0)
	var delay time.Duration
	switch {
	case e.afterGap && unconfirmed > outageAge && e.failedAt.After(c.confirmedAt):
		delay = min(now.Sub(e.failedAt), maxNamingDelay)
	case e.afterGap:
		delay = min(unconfirmed, maxNamingDelay)
	}
	if !e.pausedSince.IsZero() {
		delay = max(delay, min(unconfirmed, now.Sub(e.pausedSince)))
	}
	return delay
}

// maxNamingDelay bounds namingDelay. It covers the time in which the store deletes records
// and closes the connections of its followers.
const maxNamingDelay = 1500 * time.Millisecond

// outageAge is the age of the last confirmation by any entry from which on the store must
// have been away. A confirmation gets as old as two waits without that.
const outageAge = 2*maxReadInterval + maxNamingDelay

// withVersionAges adds versions with the time since they were named. A known
// version keeps its naming time unless the new one is earlier. No version gets a naming
// time before its floor; a version that is added has it from the last confirmation.
func (c config) withVersionAges(now time.Time, versionAges []versionAge, last confirmation) config {
	for _, n := range versionAges {
		known := slices.Clone(c.versions[n.model])
		i, ok := slices.BinarySearchFunc(known, n.version, func(v forwarder.Version, version uint64) int { return cmp.Compare(v.Version, version) })
		if !ok {
			known = slices.Insert(known, i, forwarder.Version{Version: n.version})
			c.namingFloors = c.namingFloors.with(n.model, n.version, last, known)
		}
		at := c.namingFloors.clamp(n.model, n.version, now.Add(-n.age))
		if ok && !at.Before(known[i].KnownSince) {
			continue
		}
		known[i].KnownSince = at
		c.versions = cloneMap(c.versions)
		c.versions[n.model] = known[max(len(known)-maxVersionsPerModel, 0):]
	}
	return c
}

// maxVersionsPerModel bounds the named versions retained per model. It covers the
// versions whose version bound may not have expired yet.
const maxVersionsPerModel = 8

func (c config) withValue(v platform.Value) config {
	c.values = cloneMap(c.values)
	c.values[v.Key] = v
	return c
}

// cloneMap returns a copy of m that is never nil.
func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return maps.Clone(m)
}
