package gatewayserver

import (
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

// configurationController takes configurations and named versions. A lower
// version never replaces a higher one.
type configurationController struct{}

// Handle implements controller.Controller.
func (configurationController) Handle(now time.Time, s state, event controller.Event) (state, []controller.Action) {
	e, ok := event.(configRead)
	if !ok {
		return s, nil
	}
	var actions []controller.Action
	before := s.config.digest
	for _, v := range e.values {
		if v.Data == nil {
			continue
		}
		var a []controller.Action
		switch {
		case platform.IsConfiguration(v.Key):
			s.config, a = s.config.withConfiguration(v, e.source)
		case platform.IsVersion(v.Key):
			s.config, a = s.config.withVersion(now, v, e.source)
		}
		actions = append(actions, a...)
	}
	s.config.digest = configDigest(s.config.version(), s.config.versions)
	if s.config.table != nil && e.began.After(s.config.provenAt) {
		s.config.provenAt = e.began
	}
	if s.config.digest != before {
		actions = append(actions, endpointsChanged{})
	}
	return s, actions
}

func (c config) withConfiguration(v platform.Value, source string) (config, []controller.Action) {
	cfg, err := platform.DecodeConfiguration(v.Data)
	if err != nil {
		return c, []controller.Action{note(logger.ConfigurationUnreadable, zap.String("key", v.Key), zap.String("source", source), zap.Error(err))}
	}
	if cfg.Version <= c.version() {
		return c, nil
	}
	c.table = resolver.New(cfg)
	c = c.withValue(v)
	return c, []controller.Action{note(logger.ConfigurationInForce,
		zap.Uint64("config_version", cfg.Version), zap.String("source", source), zap.Int("routes", len(cfg.Routes)),
		zap.Int("services", len(cfg.Services)), zap.Int("workspaces", len(cfg.Workspaces)))}
}

func (c config) withVersion(now time.Time, v platform.Value, source string) (config, []controller.Action) {
	named, err := platform.DecodeVersion(v.Key, v.Data)
	if err != nil {
		return c, []controller.Action{note(logger.ConfigurationUnreadable, zap.String("key", v.Key), zap.String("source", source), zap.Error(err))}
	}
	if named.Version <= c.newest(named.Model).Version {
		return c, nil
	}
	known := slices.Clone(c.versions[named.Model])
	known = known[max(len(known)-keptVersions+1, 0):]
	c.versions = cloned(c.versions)
	c.versions[named.Model] = append(known, forwarder.Version{Version: named.Version, LearnedAt: now})
	c = c.withValue(v)
	return c, []controller.Action{note(logger.VersionNamed,
		zap.String("model", named.Model), zap.Uint64("version", named.Version), zap.String("source", source))}
}

// keptVersions is how many named versions of a model are remembered: those whose
// bound may not be over yet.
const keptVersions = 8

func (c config) withValue(v platform.Value) config {
	c.values = cloned(c.values)
	c.values[v.Key] = v
	return c
}

func cloned[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return maps.Clone(m)
}
