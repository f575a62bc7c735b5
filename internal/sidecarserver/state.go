package sidecarserver

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/endpointclient"
	"flamingoledge.org/flamingoledge/internal/keeper"
	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/internal/messenger"
	"flamingoledge.org/flamingoledge/pkg/controller"
	"flamingoledge.org/flamingoledge/pkg/placer"
	"flamingoledge.org/flamingoledge/pkg/planner"
	"flamingoledge.org/flamingoledge/pkg/provider"
)

// state is the sidecar's blackboard. Its values are never changed in place.
type state struct {
	kept      keeper.Configuration
	instances []provider.Instance
	// endpoint is what the endpoint last reported.
	endpoint  endpointclient.State
	reachable bool
	// desired is what the endpoint is to serve, by model.
	desired map[string]desiredVersion
	// placed is true once desired was worked out.
	placed bool
	// held is how far each version is here, by version digest.
	held map[string]heldVersion
	// serving counts the sidecars that serve each version, as entries tell.
	serving map[string]int
	// demand holds the requests for each model that each entry last told of, and
	// targets the replicas that follow from it.
	demand  map[string]map[string]int
	targets map[string]placer.Target
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
	if u.update.GetEntry() != "" {
		s.demand = withDemand(s.demand, u.update)
	}
	if u.update.GetThroughOffset() <= s.kept.State.LastOffset() {
		return s, nil
	}
	before := s.kept
	var err error
	if s.kept, err = before.WithUpdate(u.update); err != nil {
		return s, []controller.Action{line(logger.StateRefused, zap.String("entry", u.update.GetEntry()), zap.Error(err))}
	}
	if s.kept.State.LastOffset() < before.State.LastOffset() {
		fell := throughFell{from: before.State.LastOffset(), to: s.kept.State.LastOffset()}
		s.kept = before
		return s, []controller.Action{fell}
	}
	actions := []controller.Action{changed{}, line(logger.StateMerged,
		zap.String("entry", u.update.GetEntry()),
		zap.Uint64("through_offset", s.kept.State.LastOffset()),
		zap.Int("records", len(u.update.GetRecords())))}
	return s, append(actions, keeper.UnreadableLogActions(before, s.kept, line)...)
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

// withDemand takes the newest counts of one entry.
func withDemand(old map[string]map[string]int, u *messenger.Update) map[string]map[string]int {
	next := maps.Clone(old)
	if next == nil {
		next = map[string]map[string]int{}
	}
	counts := map[string]int{}
	for _, d := range u.GetDemand() {
		counts[d.GetModel()] = int(d.GetRequests())
	}
	next[u.GetEntry()] = counts
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
