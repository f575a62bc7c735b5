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

// placementController decides what the endpoint is to serve.
type placementController struct {
	self    planner.Member
	service string
	// stay is how long fewer replicas must suffice before one is taken away.
	stay time.Duration
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
	if !s.kept.Ready {
		return s, nil
	}
	before := s.desired
	s.desired = c.desired(s)
	s.placed = true
	actions := c.placementLines(before, s.desired)
	if len(actions) > 0 || !sameMembers(before, s.desired) {
		actions = append(actions, changed{})
	}
	return s, actions
}

const (
	// targetUtilization is the share of a replica's places that is planned with.
	targetUtilization = 0.7
	// targetSmoothing is the share of a new count in the demand, at each tick.
	targetSmoothing = 0.3
)

// targets returns how many replicas the demand asks for. Only some entries tell
// this sidecar their demand; the others are taken to have as much.
func (c placementController) targets(now time.Time, s state) map[string]placer.Target {
	cfg := placer.TargetConfig{
		RequestsPerReplica: s.kept.Config.Services[c.service].Body.EndpointConcurrency,
		Utilization:        targetUtilization,
		ScaleDownDelay:     c.stay,
		Smoothing:          targetSmoothing,
	}
	entries := map[string]struct{}{}
	for _, i := range s.instances {
		if i.Role == provider.RoleEntry && i.State == provider.InstanceLive {
			entries[i.Name] = struct{}{}
		}
	}
	targets := map[string]placer.Target{}
	for name, m := range s.kept.Config.Models {
		if m.Body.Service != c.service {
			continue
		}
		total, told := 0, 0
		for entry, counts := range s.demand {
			if _, live := entries[entry]; live {
				total += counts[name]
				told++
			}
		}
		all := float64(total) * float64(len(entries)) / float64(max(told, 1))
		targets[name] = s.targets[name].WithInProgress(cfg, now, all)
	}
	return targets
}

func sameReplicas(a, b placer.Target) bool {
	const most = 1 << 30
	return a.Replicas(0, most) == b.Replicas(0, most)
}

func (c placementController) desired(s state) map[string]desiredVersion {
	service, ok := s.kept.Config.Services[c.service]
	if !ok {
		return nil
	}
	regions := c.memberRegions(s.instances)
	members := make([]placer.Member, 0, len(regions))
	for _, name := range slices.Sorted(maps.Keys(regions)) {
		members = append(members, placer.Member{Instance: name, Slots: service.Body.ModelsPerEndpoint})
	}
	var models []placer.Model
	for name, m := range s.kept.Config.Models {
		if m.Body.Service == c.service {
			models = append(models, placer.Model{Name: name, MinReplicas: m.Body.MinReplicas, MaxReplicas: s.targets[name].Replicas(m.Body.MinReplicas, m.Body.MaxReplicas)})
		}
	}
	placement := placer.Place(models, members)
	desired := map[string]desiredVersion{}
	for _, name := range placement[c.self.Instance] {
		m := s.kept.Config.Models[name]
		d := desiredVersion{
			model:         name,
			versionDigest: m.Body.VersionDigest,
			previous:      m.Body.PreviousVersionDigest,
			recordOffset:  m.Offset,
			originCopies:  m.Body.OriginCopies,
			preferTime:    m.Body.Prefer == interpreter.PreferTime,
			role:          m.Body.Role,
			adapters:      m.Body.Adapters,
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

// memberRegions returns the regions of the sidecars beside the same service that
// stay, and of this one.
func (c placementController) memberRegions(instances []provider.Instance) map[string]string {
	regions := map[string]string{c.self.Instance: c.self.Region}
	for _, i := range instances {
		if i.Role == provider.RoleSidecar && i.Service == c.service && i.State == provider.InstanceLive {
			regions[i.Name] = i.Region
		}
	}
	return regions
}

func (c placementController) placementLines(before, after map[string]desiredVersion) []controller.Action {
	var actions []controller.Action
	for _, name := range slices.Sorted(maps.Keys(after)) {
		d := after[name]
		if before[name].versionDigest == d.versionDigest && before[name].recordOffset == d.recordOffset {
			continue
		}
		actions = append(actions, line(logger.PlacementDecided,
			zap.String("model", name), zap.Bool("serve", true), zap.String("version_digest", d.versionDigest),
			zap.Uint64("record_offset", d.recordOffset), zap.Int("rank", d.rank), zap.Int("replicas", len(d.members))))
	}
	for _, name := range slices.Sorted(maps.Keys(before)) {
		if _, ok := after[name]; !ok {
			actions = append(actions, line(logger.PlacementDecided,
				zap.String("model", name), zap.Bool("serve", false), zap.Uint64("record_offset", before[name].recordOffset)))
		}
	}
	return actions
}

func sameMembers(a, b map[string]desiredVersion) bool {
	return maps.EqualFunc(a, b, func(x, y desiredVersion) bool { return slices.Equal(x.members, y.members) })
}
