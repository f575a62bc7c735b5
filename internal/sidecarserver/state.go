package sidecarserver

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/endpointclient"
	"flamingoledge.org/flamingoledge/internal/keeper"
	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/internal/messenger"
	"flamingoledge.org/flamingoledge/pkg/controller"
	"flamingoledge.org/flamingoledge/pkg/interpreter"
	"flamingoledge.org/flamingoledge/pkg/placer"
	"flamingoledge.org/flamingoledge/pkg/planner"
	"flamingoledge.org/flamingoledge/pkg/provider"
)

// state is the sidecar's blackboard. Its values are never changed in place.
type state struct {
	kept      keeper.Kept
	instances []provider.Instance
	// endpoint is what the endpoint last reported.
	endpoint  endpointclient.State
	reachable bool
	// desired is what the endpoint is to serve, by model.
	desired map[string]desiredVersion
	// held is how far each version is here, by version digest.
	held map[string]heldVersion
	// serving counts the sidecars that serve each version, as entries tell.
	serving map[string]int
}

// wants tells whether a version is to be served here.
func (s *state) wants(versionDigest string) bool {
	for _, d := range s.desired {
		if d.versionDigest == versionDigest {
			return true
		}
	}
	return false
}

// desiredVersion is a version that this endpoint is to serve.
type desiredVersion struct {
	model         string
	versionDigest string
	previous      string
	recordOffset  uint64
	originCopies  float64
	preferTime    bool
	role          string
	adapters      []string
	// members are the sidecars that are to hold the same version.
	members []planner.Member
	// rank is the own place among the replicas.
	rank int
}

// heldVersion is how far a version is on this instance.
type heldVersion struct {
	model   string
	chunks  int
	total   int
	serving bool
}

// Events of the blackboard.
type (
	updateReceived struct{ update *messenger.Update }
	instancesRead  struct{ instances []provider.Instance }
	endpointProbed struct {
		state     endpointclient.State
		reachable bool
	}
	versionProgressed struct {
		versionDigest string
		held          heldVersion
	}
	versionDropped struct{ versionDigest string }
)

// Actions of the controllers.
type (
	logLine struct {
		event  logger.Event
		fields []zap.Field
	}
	// changed wakes the control streams and the rollout.
	changed struct{}
	// throughFell reports a defect: the configuration would have moved back.
	throughFell struct{ from, to uint64 }
)

func line(e logger.Event, fields ...zap.Field) logLine { return logLine{event: e, fields: fields} }

// configurationController keeps the accepted configuration that entries push.
type configurationController struct{}

// Handle implements controller.Controller.
func (configurationController) Handle(_ time.Time, s state, e controller.Event) (state, []controller.Action) {
	u, ok := e.(updateReceived)
	if !ok {
		return s, nil
	}
	if len(u.update.GetServing()) > 0 {
		s.serving = withCounts(s.serving, u.update.GetServing())
	}
	if u.update.GetThroughOffset() <= s.kept.State.Through() {
		return s, nil
	}
	before := s.kept
	var err error
	if s.kept, err = before.WithUpdate(u.update); err != nil {
		return s, []controller.Action{line(logger.StateRefused, zap.String("entry", u.update.GetEntry()), zap.Error(err))}
	}
	if s.kept.State.Through() < before.State.Through() {
		fell := throughFell{from: before.State.Through(), to: s.kept.State.Through()}
		s.kept = before
		return s, []controller.Action{fell}
	}
	actions := []controller.Action{changed{}, line(logger.StateMerged,
		zap.String("entry", u.update.GetEntry()),
		zap.Uint64("through_offset", s.kept.State.Through()),
		zap.Int("records", len(u.update.GetRecords())))}
	return s, append(actions, keeper.UnreadableLines(before, s.kept, line)...)
}

// withCounts takes the newest counts. Entries see different sidecars, so the
// counts are a lower bound.
func withCounts(old map[string]int, counts []*messenger.VersionCount) map[string]int {
	next := maps.Clone(old)
	if next == nil {
		next = map[string]int{}
	}
	for _, c := range counts {
		next[c.GetVersionDigest()] = int(c.GetSidecars())
	}
	return next
}

// endpointController keeps what is known about the endpoint and its versions.
type endpointController struct{}

// Handle implements controller.Controller.
func (endpointController) Handle(_ time.Time, s state, e controller.Event) (state, []controller.Action) {
	switch e := e.(type) {
	case endpointProbed:
		known := s.endpoint.Epoch == e.state.Epoch && s.reachable == e.reachable
		s.reachable = e.reachable
		if e.reachable {
			s.endpoint = e.state
		}
		if known {
			return s, nil
		}
	case versionProgressed:
		old := s.held[e.versionDigest]
		s.held = maps.Clone(s.held)
		if s.held == nil {
			s.held = map[string]heldVersion{}
		}
		s.held[e.versionDigest] = e.held
		if old.serving == e.held.serving {
			return s, nil
		}
	case versionDropped:
		s.held = maps.Clone(s.held)
		delete(s.held, e.versionDigest)
	default:
		return s, nil
	}
	return s, []controller.Action{changed{}}
}

// placementController decides what the endpoint is to serve.
type placementController struct {
	self    planner.Member
	service string
}

// Handle implements controller.Controller.
func (c placementController) Handle(_ time.Time, s state, e controller.Event) (state, []controller.Action) {
	switch e := e.(type) {
	case instancesRead:
		s.instances = e.instances
	case updateReceived:
	default:
		return s, nil
	}
	if !s.kept.Ready {
		return s, nil
	}
	before := s.desired
	s.desired = c.desired(s)
	actions := c.placementLines(before, s.desired)
	if len(actions) > 0 || !sameMembers(before, s.desired) {
		actions = append(actions, changed{})
	}
	return s, actions
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
			models = append(models, placer.Model{Name: name, MinReplicas: m.Body.MinReplicas, MaxReplicas: m.Body.MaxReplicas})
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
