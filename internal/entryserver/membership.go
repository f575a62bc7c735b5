package entryserver

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/internal/messenger"
	"flamingoledge.org/flamingoledge/pkg/controller"
	"flamingoledge.org/flamingoledge/pkg/provider"
	"flamingoledge.org/flamingoledge/pkg/router"
)

// membershipController maintains the attached sidecars and the routing table.
type membershipController struct {
	heartbeatTimeout time.Duration
}

// Handle implements controller.Controller.
func (c membershipController) Handle(now time.Time, s state, e controller.Event) (state, []controller.Action) {
	var actions []controller.Action
	switch e := e.(type) {
	case heartbeatReceived:
		if applyBriefHeartbeat(now, s, e.heartbeat) {
			return s, nil
		}
		s, actions = withHeartbeat(now, s, e.heartbeat)
	case sidecarDisconnected:
		s, actions = withoutSidecar(s, e.instance, e.incarnation)
	case instancesRead:
		s.instances = e.instances
	case controller.Tick:
		var expired bool
		if s, actions, expired = c.removeExpired(now, s); !expired {
			return s, nil
		}
	case pageRead, updateReceived, snapshotRead:
		// The records in force may name other versions or evacuate zones, so the table is rebuilt.
	default:
		return s, nil
	}
	s.table = router.NewTable(listEndpoints(s), s.table)
	if hb, ok := e.(heartbeatReceived); ok {
		reportLoad(s.table, hb.heartbeat)
	}
	s.switchedOffsets = switchedModels(s)
	s.entries = liveEntries(s.instances)
	return s, actions
}

// liveEntries returns the number of live entries.
func liveEntries(instances []provider.Instance) (n int) {
	for _, i := range instances {
		if i.Role == provider.RoleEntry && i.State == provider.InstanceLive {
			n++
		}
	}
	return n
}

// reportLoad passes the load of a heartbeat to the routing table.
func reportLoad(t *router.Table, h *messenger.Heartbeat) {
	t.RecordReport(h.GetInstance(), h.GetIncarnation(), int(h.GetLoad().GetRunning()+h.GetLoad().GetQueued()))
}

// applyBriefHeartbeat applies a heartbeat in which only the load has changed. It returns
// false for any other heartbeat, which must be applied with withHeartbeat.
func applyBriefHeartbeat(now time.Time, s state, h *messenger.Heartbeat) bool {
	old, known := s.sidecars[h.GetInstance()]
	if !known || !h.GetBrief() || old.heartbeat.GetIncarnation() != h.GetIncarnation() ||
		old.heartbeat.GetThroughOffset() != h.GetThroughOffset() {
		return false
	}
	old.liveness.record(now, h)
	reportLoad(s.table, h)
	return true
}

// withHeartbeat adds or replaces the sidecar that sent a heartbeat.
func withHeartbeat(now time.Time, s state, h *messenger.Heartbeat) (state, []controller.Action) {
	var actions []controller.Action
	old, known := s.sidecars[h.GetInstance()]
	next := sidecar{heartbeat: h, joinedAt: old.joinedAt, liveness: &liveness{}}
	next.liveness.record(now, h)
	if !known || old.heartbeat.GetIncarnation() != h.GetIncarnation() {
		next.joinedAt = now
		actions = append(actions, newLogAction(logger.SidecarAttached, zap.String("sidecar", h.GetInstance()), zap.String("service", h.GetService())))
	}
	if h.GetLeaving() && (!known || !old.heartbeat.GetLeaving()) {
		actions = append(actions, newLogAction(logger.SidecarLeaving, zap.String("sidecar", h.GetInstance())))
	}
	s.sidecars = maps.Clone(s.sidecars)
	s.sidecars[h.GetInstance()] = next
	return s, actions
}

// withoutSidecar removes a sidecar unless a newer incarnation has attached since.
func withoutSidecar(s state, instance, incarnation string) (state, []controller.Action) {
	old, known := s.sidecars[instance]
	if !known || old.heartbeat.GetIncarnation() != incarnation {
		return s, nil
	}
	s.sidecars = maps.Clone(s.sidecars)
	delete(s.sidecars, instance)
	return s, []controller.Action{newLogAction(logger.SidecarDetached, zap.String("sidecar", instance))}
}

// removeExpired removes sidecars whose last heartbeat is older than the timeout, and
// reports whether there were any.
func (c membershipController) removeExpired(now time.Time, s state) (state, []controller.Action, bool) {
	var actions []controller.Action
	expired := false
	for name, sc := range s.sidecars {
		if sc.liveness.sinceLastHeartbeat(now) <= c.heartbeatTimeout {
			continue
		}
		var as []controller.Action
		s, as = withoutSidecar(s, name, sc.heartbeat.GetIncarnation())
		actions = append(actions, as...)
		expired = true
	}
	return s, actions, expired
}

// listEndpoints returns the endpoints of the attached sidecars. For services without
// an attached sidecar it returns those of the platform's instance list.
func listEndpoints(s state) []router.Endpoint {
	leaving := map[string]bool{}
	cfg := &s.configuration.Config
	for _, i := range s.instances {
		leaving[i.Name] = i.State == provider.InstanceLeaving
	}
	var es []router.Endpoint
	attached := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(s.sidecars)) {
		e := attachedEndpoint(s.sidecars[name])
		// An endpoint of an evacuated zone gets no new requests either.
		e.Leaving = e.Leaving || leaving[name] || cfg.IsEvacuated(s.sidecars[name].heartbeat.GetAvailabilityZone())
		attached[e.Service] = true
		es = append(es, e)
	}
	for _, i := range s.instances {
		if i.Role == provider.RoleSidecar && !attached[i.Service] {
			e := listedEndpoint(s, i)
			e.Leaving = e.Leaving || cfg.IsEvacuated(i.AvailabilityZone)
			es = append(es, e)
		}
	}
	return es
}

// attachedEndpoint returns the endpoint of an attached sidecar.
func attachedEndpoint(sc sidecar) router.Endpoint {
	h := sc.heartbeat
	e := router.Endpoint{
		Instance:    h.GetInstance(),
		Incarnation: h.GetIncarnation(),
		Address:     h.GetAddress(),
		Region:      h.GetRegion(),
		Service:     h.GetService(),
		Leaving:     h.GetLeaving(),
		JoinedAt:    sc.joinedAt,
		Load: router.Load{
			Running:  int(h.GetLoad().GetRunning()),
			Queued:   int(h.GetLoad().GetQueued()),
			Capacity: int(h.GetLoad().GetCapacity()),
		},
	}
	for _, v := range h.GetHeld() {
		if v.GetServing() {
			e.Versions = append(e.Versions, v.GetVersionDigest())
		}
	}
	return e
}

// listedEndpoint returns an endpoint that is only in the platform's instance list. It
// is assumed to serve all versions of its service; its sidecar refuses requests for
// versions that it does not serve.
func listedEndpoint(s state, i provider.Instance) router.Endpoint {
	e := router.Endpoint{
		Instance:   i.Name,
		Address:    i.Address,
		Region:     i.Region,
		Service:    i.Service,
		Leaving:    i.State == provider.InstanceLeaving,
		Unattached: true,
		Load:       router.Load{Capacity: s.configuration.Config.Services[i.Service].Body.EndpointConcurrency},
	}
	for _, m := range s.configuration.Config.Models {
		if m.Body.Service == i.Service {
			e.Versions = append(e.Versions, m.Body.VersionDigest)
		}
	}
	return e
}

// switchedModels returns, by name, the record offsets of the models whose new version
// is served by at least MinReplicas endpoints. A model stays switched as long as its
// record is in force.
func switchedModels(s state) map[string]uint64 {
	switchedOffsets := map[string]uint64{}
	for name, m := range s.configuration.Config.Models {
		g := router.GroupKey{Service: m.Body.Service, VersionDigest: m.Body.VersionDigest}
		if s.switchedOffsets[name] == m.Offset || s.table.Size(g) >= max(m.Body.MinReplicas, 1) {
			switchedOffsets[name] = m.Offset
		}
	}
	return switchedOffsets
}

// servingCounts returns the number of attached sidecars that serve each version.
func servingCounts(s *state) []*messenger.VersionCount {
	counts := map[string]uint32{}
	for _, sc := range s.sidecars {
		for _, v := range sc.heartbeat.GetHeld() {
			if v.GetServing() {
				counts[v.GetVersionDigest()]++
			}
		}
	}
	vs := make([]*messenger.VersionCount, 0, len(counts))
	for v, n := range counts {
		vs = append(vs, &messenger.VersionCount{VersionDigest: v, Sidecars: n})
	}
	slices.SortFunc(vs, func(a, b *messenger.VersionCount) int {
		return cmp.Compare(a.GetVersionDigest(), b.GetVersionDigest())
	})
	return vs
}
