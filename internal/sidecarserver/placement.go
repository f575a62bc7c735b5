package sidecarserver

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/pkg/controller"
	"flamingoledge.org/flamingoledge/pkg/interpreter"
	"flamingoledge.org/flamingoledge/pkg/placer"
	"flamingoledge.org/flamingoledge/pkg/planner"
	"flamingoledge.org/flamingoledge/pkg/provider"
)

// placementController computes which versions the endpoint should serve.
type placementController struct {
	self    planner.Member
	service string
	// scaleDownDelay is how long fewer replicas must suffice before one is removed.
	scaleDownDelay time.Duration
}

// Handle implements controller.Controller.
func (c placementController) Handle(now time.Time, s state, e controller.Event) (state, []controller.Action) {
	switch e := e.(type) {
	case instancesRead:
		s.instances = e.instances
	case updateReceived:
	case controller.Tick:
		targets := c.targets(now, s)
		if maps.EqualFunc(targets, s.targets, sameReplicas) {
			s.targets = targets
			return s, nil
		}
		s.targets = targets
	default:
		return s, nil
	}
	if !s.configuration.Ready {
		return s, nil
	}
	before := s.desired
	s.desired = c.desired(s)
	s.desiredKnown = true
	actions := c.placementLogActions(before, s.desired)
	if len(actions) > 0 || !sameMembers(before, s.desired) {
		actions = append(actions, stateChanged{})
	}
	return s, actions
}

const (
	// targetUtilization is the share of a replica's request slots that the
	// replica count is planned for.
	targetUtilization = 0.7
	// targetSmoothing is the weight of a new sample in the moving average of the
	// demand, at each tick.
	targetSmoothing = 0.3
)

// targets returns the number of replicas that each model's demand requires. Only
// some entries report their demand to this sidecar, so the total is extrapolated
// to all live entries.
func (c placementController) targets(now time.Time, s state) map[string]placer.Target {
	cfg := placer.TargetConfig{
		RequestsPerReplica: s.configuration.Config.Services[c.service].Body.EndpointConcurrency,
		Utilization:        targetUtilization,
		ScaleDownDelay:     c.scaleDownDelay,
		Smoothing:          targetSmoothing,
	}
	entries := map[string]struct{}{}
	for _, i := range s.instances {
		if i.Role == provider.RoleEntry && i.State == provider.InstanceLive {
			entries[i.Name] = struct{}{}
		}
	}
	targets := map[string]placer.Target{}
	for name, m := range s.configuration.Config.Models {
		if m.Body.Service != c.service {
			continue
		}
		total, reporting := 0, 0
		for entry, counts := range s.demand {
			if _, live := entries[entry]; live {
				total += counts[name]
				reporting++
			}
		}
		estimate := float64(total) * float64(len(entries)) / float64(max(reporting, 1))
		cfg.MaxReplicas = m.Body.MaxReplicas
		targets[name] = s.targets[name].WithInProgress(cfg, now, estimate)
	}
	return targets
}

// sameReplicas reports whether two targets result in the same number of replicas.
func sameReplicas(a, b placer.Target) bool {
	const unbounded = 1 << 30
	return a.Replicas(0, unbounded) == b.Replicas(0, unbounded)
}

// desired places the models of the service on its sidecars and returns the
// versions that this one should serve, by model.
func (c placementController) desired(s state) map[string]desiredVersion {
	service, ok := s.configuration.Config.Services[c.service]
	if !ok {
		return nil
	}
	regions := c.memberRegions(s.instances)
	members := make([]placer.Member, 0, len(regions))
	for _, name := range slices.Sorted(maps.Keys(regions)) {
		members = append(members, placer.Member{Instance: name, Slots: service.Body.ModelsPerEndpoint})
	}
	var models []placer.Model
	for name, m := range s.configuration.Config.Models {
		if m.Body.Service == c.service {
			models = append(models, placer.Model{Name: name, MinReplicas: m.Body.MinReplicas, MaxReplicas: s.targets[name].Replicas(m.Body.MinReplicas, m.Body.MaxReplicas)})
		}
	}
	placement := placer.Place(models, members)
	desired := map[string]desiredVersion{}
	for _, name := range placement[c.self.Instance] {
		m := s.configuration.Config.Models[name]
		d := desiredVersion{
			model:          name,
			versionDigest:  m.Body.VersionDigest,
			previousDigest: m.Body.PreviousVersionDigest,
			recordOffset:   m.Offset,
			originCopies:   m.Body.OriginCopies,
			preferTime:     m.Body.Prefer == interpreter.PreferTime,
			role:           m.Body.Role,
			adapters:       m.Body.Adapters,
		}
		d.rank, _ = placer.Rank(placement, name, c.self.Instance)
		for instance, placed := range placement {
			if slices.Contains(placed, name) {
				d.members = append(d.members, planner.Member{Instance: instance, Region: regions[instance]})
			}
		}
		slices.SortFunc(d.members, func(a, b planner.Member) int { return cmp.Compare(a.Instance, b.Instance) })
		desired[name] = d
	}
	return desired
}

// memberRegions returns the regions of the live sidecars of the same service and
// of this one, by instance name.
func (c placementController) memberRegions(instances []provider.Instance) map[string]string {
	regions := map[string]string{c.self.Instance: c.self.Region}
	for _, i := range instances {
		if i.Role == provider.RoleSidecar && i.Service == c.service && i.State == provider.InstanceLive {
			regions[i.Name] = i.Region
		}
	}
	return regions
}

// placementLogActions returns log actions for the models whose placement here
// changed.
func (c placementController) placementLogActions(before, after map[string]desiredVersion) []controller.Action {
	var actions []controller.Action
	for _, name := range slices.Sorted(maps.Keys(after)) {
		d := after[name]
		if before[name].versionDigest == d.versionDigest && before[name].recordOffset == d.recordOffset {
			continue
		}
		actions = append(actions, newLogAction(logger.PlacementDecided,
			zap.String("model", name), zap.Bool("serve", true), zap.String("version_digest", d.versionDigest),
			zap.Uint64("record_offset", d.recordOffset), zap.Int("rank", d.rank), zap.Int("replicas", len(d.members))))
	}
	for _, name := range slices.Sorted(maps.Keys(before)) {
		if _, ok := after[name]; !ok {
			actions = append(actions, newLogAction(logger.PlacementDecided,
				zap.String("model", name), zap.Bool("serve", false), zap.Uint64("record_offset", before[name].recordOffset)))
		}
	}
	return actions
}

// sameMembers reports whether the models and the members of each are equal.
func sameMembers(a, b map[string]desiredVersion) bool {
	return maps.EqualFunc(a, b, func(x, y desiredVersion) bool { return slices.Equal(x.members, y.members) })
}
