package sidecarserver

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/endpointclient"
	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/internal/messenger"
	"flamingoledge.org/flamingoledge/internal/synchronizer"
	"flamingoledge.org/flamingoledge/pkg/controller"
	"flamingoledge.org/flamingoledge/pkg/placer"
	"flamingoledge.org/flamingoledge/pkg/planner"
	"flamingoledge.org/flamingoledge/pkg/provider"
)

// state is the control state of the sidecar. Its values are never modified in
// place.
type state struct {
	configuration synchronizer.Configuration
	instances     []provider.Instance
	// endpoint is the last state that the endpoint reported.
	endpoint  endpointclient.State
	reachable bool
	// desired holds the version that the endpoint should serve, by model.
	desired map[string]desiredVersion
	// desiredKnown is true once desired has been computed.
	desiredKnown bool
	// progress is the progress of each version on this instance, by version digest.
	progress map[string]versionProgress
	// serving counts the sidecars that serve each version, as reported by entries.
	serving map[string]int
	// demand holds the last reported number of requests by entry and model, and
	// targets the replica counts computed from it.
	demand  map[string]map[string]int
	targets map[string]placer.Target
}

// isDesired reports whether this endpoint should serve a version.
func (s *state) isDesired(versionDigest string) bool {
	for _, d := range s.desired {
		if d.versionDigest == versionDigest {
			return true
		}
	}
	return false
}

// desiredVersion is a version that this endpoint should serve.
type desiredVersion struct {
	model          string
	versionDigest  string
	previousDigest string
	recordOffset   uint64
	originCopies   float64
	preferTime     bool
	role           string
	adapters       []string
	// members are the sidecars that should serve the same model, this one included.
	members []planner.Member
	// rank is this sidecar's rank among the replicas.
	rank int
}

// versionProgress is the state of a version on this instance.
type versionProgress struct {
	model   string
	chunks  int
	total   int
	serving bool
}

// Events that the controllers handle.
type (
	updateReceived struct{ update *messenger.Update }
	instancesRead  struct{ instances []provider.Instance }
	endpointProbed struct {
		state     endpointclient.State
		reachable bool
	}
	progressReported struct {
		versionDigest string
		progress      versionProgress
	}
	versionDropped struct{ versionDigest string }
)

// Actions that the controllers return.
type (
	logAction struct {
		event  logger.Event
		fields []zap.Field
	}
	// stateChanged wakes up the control streams and the rollout.
	stateChanged struct{}
	// throughOffsetRegressed reports a bug: an update would have lowered the
	// through-offset.
	throughOffsetRegressed struct{ from, to uint64 }
)

// newLogAction returns an action that logs an event.
func newLogAction(e logger.Event, fields ...zap.Field) logAction {
	return logAction{event: e, fields: fields}
}

// configurationController maintains the accepted configuration and the counts that
// entries push.
type configurationController struct{}

// Handle implements controller.Controller.
func (configurationController) Handle(_ time.Time, s state, e controller.Event) (state, []controller.Action) {
	u, ok := e.(updateReceived)
	if !ok {
		return s, nil
	}
	if len(u.update.GetServing()) > 0 {
		s.serving = withServingCounts(s.serving, u.update.GetServing())
	}
	if u.update.GetEntry() != "" {
		s.demand = withDemand(s.demand, u.update)
	}
	if u.update.GetThroughOffset() <= s.configuration.State.LastOffset() {
		return s, nil
	}
	before := s.configuration
	var err error
	if s.configuration, err = before.WithUpdate(u.update); err != nil {
		return s, []controller.Action{newLogAction(logger.StateRefused, zap.String("entry", u.update.GetEntry()), zap.Error(err))}
	}
	if s.configuration.State.LastOffset() < before.State.LastOffset() {
		regression := throughOffsetRegressed{from: before.State.LastOffset(), to: s.configuration.State.LastOffset()}
		s.configuration = before
		return s, []controller.Action{regression}
	}
	actions := []controller.Action{stateChanged{}, newLogAction(logger.StateMerged,
		zap.String("entry", u.update.GetEntry()),
		zap.Uint64("through_offset", s.configuration.State.LastOffset()),
		zap.Int("records", len(u.update.GetRecords())))}
	return s, append(actions, synchronizer.UnreadableLogActions(before, s.configuration, newLogAction)...)
}

// withServingCounts returns the counts updated with newer ones. Each entry sees only
// some of the sidecars, so the counts are a lower bound.
func withServingCounts(old map[string]int, counts []*messenger.VersionCount) map[string]int {
	next := maps.Clone(old)
	if next == nil {
		next = map[string]int{}
	}
	for _, c := range counts {
		next[c.GetVersionDigest()] = int(c.GetSidecars())
	}
	return next
}

// withDemand returns the demand with the counts of one entry replaced.
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

// endpointController maintains the state of the endpoint and its versions.
type endpointController struct{}

// Handle implements controller.Controller.
func (endpointController) Handle(_ time.Time, s state, e controller.Event) (state, []controller.Action) {
	switch e := e.(type) {
	case endpointProbed:
		unchanged := s.endpoint.Epoch == e.state.Epoch && s.reachable == e.reachable
		s.reachable = e.reachable
		if e.reachable {
			s.endpoint = e.state
		}
		if unchanged {
			return s, nil
		}
	case progressReported:
		old := s.progress[e.versionDigest]
		s.progress = maps.Clone(s.progress)
		if s.progress == nil {
			s.progress = map[string]versionProgress{}
		}
		s.progress[e.versionDigest] = e.progress
		if old.serving == e.progress.serving {
			return s, nil
		}
	case versionDropped:
		s.progress = maps.Clone(s.progress)
		delete(s.progress, e.versionDigest)
	default:
		return s, nil
	}
	return s, []controller.Action{stateChanged{}}
}
