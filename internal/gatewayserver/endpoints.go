package gatewayserver

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/forwarder"
	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/pkg/apportioner"
	"flamingoledge.org/flamingoledge/pkg/balancer"
	"flamingoledge.org/flamingoledge/pkg/controller"
	"flamingoledge.org/flamingoledge/pkg/registrar"
	"flamingoledge.org/flamingoledge/platform"
)

// endpointsController keeps the list of endpoints and what sidecars say of them.
type endpointsController struct{}

// Handle implements controller.Controller.
func (endpointsController) Handle(now time.Time, s state, event controller.Event) (state, []controller.Action) {
	var actions []controller.Action
	before := s.list.endpoints
	switch e := event.(type) {
	case listRead:
		s.list, actions = s.list.with(now, e)
	case storeLost:
		s.list.endpoints = s.list.endpoints.WithStoreAway()
	case storeBack:
		s.list.endpoints = s.list.endpoints.WithStoreBack(now)
	case controller.Tick:
		s.list.endpoints = s.list.endpoints.WithTime(now)
		s, actions = s.withoutOldWords(now)
	case sidecarTold:
		return s.withTold(e)
	default:
		return s, nil
	}
	if digest := listDigest(s.list.endpoints); digest != s.list.digest {
		s.list.digest = digest
		s.list = s.list.withHeld(now)
		actions = append(actions, listChange(before, s.list.endpoints), endpointsChanged{})
	}
	return s, actions
}

// withTold takes a sidecar's word. One that says the same again only renews it.
func (s state) withTold(e sidecarTold) (state, []controller.Action) {
	old, known := s.told[e.address]
	if known && e.told.born < old.born {
		return s, nil
	}
	s.told = cloned(s.told)
	s.told[e.address] = e.told
	if known && old.isSame(e.told) {
		return s, nil
	}
	return s, []controller.Action{endpointsChanged{}, note(logger.EndpointChanged,
		zap.String("address", e.address), zap.Int64("born", e.told.born),
		zap.Uint64("version", e.told.version), zap.Bool("switching", e.told.switching))}
}

// withoutOldWords drops what sidecars said too long ago, so that the list counts
// again.
func (s state) withoutOldWords(now time.Time) (state, []controller.Action) {
	old := false
	for _, t := range s.told {
		old = old || now.Sub(t.at) >= toldFor
	}
	if !old {
		return s, nil
	}
	s.told = maps.Clone(s.told)
	maps.DeleteFunc(s.told, func(_ string, t told) bool { return now.Sub(t.at) >= toldFor })
	return s, []controller.Action{endpointsChanged{}}
}

// with returns the list after a reading of the store or of a peer's list.
func (l list) with(now time.Time, e listRead) (list, []controller.Action) {
	var actions []controller.Action
	var present []registrar.Endpoint
	values := cloned(l.values)
	if e.snapshot {
		values = map[string]platform.Value{}
	}
	for _, v := range e.values {
		if v.Data == nil {
			delete(values, v.Key)
			l.endpoints = l.endpoints.WithoutEntry(now, v.Key)
			continue
		}
		endpoint, err := platform.DecodeEndpoint(v.Key, v.Data)
		if err != nil {
			actions = append(actions, note(logger.EntryUnreadable, zap.String("endpoint", v.Key), zap.Error(err)))
			l.endpoints = l.endpoints.WithoutEntry(now, v.Key)
			continue
		}
		values[v.Key] = v
		if e.snapshot {
			present = append(present, endpoint)
			continue
		}
		l.endpoints = l.endpoints.WithEntry(endpoint)
	}
	if e.snapshot {
		l.endpoints = l.endpoints.WithSnapshot(now, present)
	}
	l.values, l.known = values, true
	if e.began.After(l.provenAt) {
		l.provenAt = e.began
	}
	return l, actions
}

// withHeld notes the newest versions that endpoints hold. They are wanted for
// models of which operators have named none.
func (l list) withHeld(now time.Time) list {
	for _, e := range l.endpoints.All() {
		for _, m := range e.Held {
			if m.Version > l.held[m.Model].Version {
				l.held = cloned(l.held)
				l.held[m.Model] = forwarder.Version{Version: m.Version, KnownSince: now}
			}
		}
	}
	return l
}

func listChange(before, after registrar.List) logLine {
	var added, left, draining []string
	for _, e := range after.All() {
		old, ok := before.Get(e.ID)
		if !ok {
			added = append(added, e.ID)
		}
		if e.Draining && !old.Draining {
			draining = append(draining, e.ID)
		}
	}
	for _, e := range before.All() {
		if _, ok := after.Get(e.ID); !ok {
			left = append(left, e.ID)
		}
	}
	return note(logger.ListChanged, zap.Int("endpoints", after.Len()),
		zap.Strings("added", added), zap.Strings("left", left), zap.Strings("draining", draining))
}

// toldFor is how long a sidecar's word goes before the list's.
const toldFor = 3 * time.Second

// endpoints returns the endpoints of each service as the balancer takes them.
func (s *state) endpoints(now time.Time, regions map[string]string) map[string][]balancer.Endpoint {
	byService := map[string][]balancer.Endpoint{}
	if s.config.table == nil {
		return byService
	}
	for _, e := range s.list.endpoints.All() {
		service := s.config.table.Service(e.Service)
		if service == nil || service.Origin != nil {
			continue
		}
		b := balancer.Endpoint{
			ID: e.ID, Address: e.Address, Region: regions[e.AvailabilityZone], Slots: e.Slots, Ready: !e.Draining,
		}
		if service.Engine != nil {
			var switching bool
			b.Version, switching = s.loaded(now, e)
			b.Ready = b.Ready && b.Version != 0 && !switching
		}
		byService[e.Service] = append(byService[e.Service], b)
	}
	return byService
}

// withHomes says of each engine that may get requests whose places they are first:
// those of this entry or of one of its peers.
func (s *state) withHomes(self apportioner.Entry, es []balancer.Endpoint) {
	entries := []apportioner.Entry{self}
	for address, p := range s.peers {
		if !p.leaving {
			entries = append(entries, apportioner.Entry{Name: address, Region: p.region})
		}
	}
	var ready []apportioner.Endpoint
	for _, e := range es {
		if e.Ready {
			ready = append(ready, apportioner.Endpoint{ID: e.ID, Region: e.Region})
		}
	}
	homes := apportioner.AssignHomes(entries, ready)
	for i := range es {
		switch homes[es[i].ID] {
		case "":
			es[i].Home = balancer.HomeNone
		case self.Name:
			es[i].Home = balancer.HomeLocal
		default:
			es[i].Home = balancer.HomeRemote
		}
	}
}

// loaded returns the version that an engine has loaded, 0 for none, and whether
// it is about to load another.
func (s *state) loaded(now time.Time, e registrar.Endpoint) (version uint64, switching bool) {
	t, ok := s.told[e.Address]
	if ok && t.born >= e.Born && now.Sub(t.at) < toldFor {
		return t.version, t.switching
	}
	for _, m := range e.Held {
		version = max(version, m.Version)
	}
	return version, false
}

// gone returns the services that lost all their endpoints.
func gone(known []string, byService map[string][]balancer.Endpoint) []string {
	return slices.DeleteFunc(known, func(name string) bool { return len(byService[name]) > 0 })
}
