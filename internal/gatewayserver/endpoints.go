package gatewayserver

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/forwarder"
	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/pkg/balancer"
	"flamingoledge.org/flamingoledge/pkg/controller"
	"flamingoledge.org/flamingoledge/pkg/provider"
	"flamingoledge.org/flamingoledge/pkg/registrar"
	"flamingoledge.org/flamingoledge/platform"
)

// endpointsController maintains the list of endpoints and the status that
// sidecars report for them.
type endpointsController struct{}

// Handle implements controller.Controller.
func (endpointsController) Handle(now time.Time, s state, event controller.Event) (state, []controller.Action) {
	var actions []controller.Action
	before := s.list.endpoints
	switch e := event.(type) {
	case listRead:
		s.list, actions = s.list.withRead(now, s.store, e)
	case storeLost:
		s.list.endpoints = s.list.endpoints.WithStoreUnavailable()
	case storeRegained:
		s.list.endpoints = s.list.endpoints.WithStoreRecovered(now)
	case controller.Tick:
		s.list.endpoints = s.list.endpoints.WithoutExpired(now)
		s, actions = s.withoutExpiredStatus(now)
	case endpointStatusReported:
		return s.withEndpointStatus(e)
	default:
		return s, nil
	}
	if s.list.endpoints.HasSameEndpoints(before) {
		return s, actions
	}
	if digest := listDigest(s.list.endpoints); digest != s.list.digest {
		s.list.digest = digest
		s.list = s.list.withHeldVersions(now)
		actions = append(actions, newListChangedAction(before, s.list.endpoints), endpointsChanged{})
	}
	return s, actions
}

// withEndpointStatus stores the status that a sidecar reported. A status equal to
// the stored one only renews it.
func (s state) withEndpointStatus(e endpointStatusReported) (state, []controller.Action) {
	old, known := s.endpointStatus[e.address]
	if known && e.endpointStatus.born < old.born {
		return s, nil
	}
	isSame := known && old.isSame(e.endpointStatus)
	if isSame {
		// Small changes add up until they are passed on.
		e.endpointStatus.readyAt = old.readyAt
	}
	s.endpointStatus = cloneMap(s.endpointStatus)
	s.endpointStatus[e.address] = e.endpointStatus
	if isSame {
		return s, nil
	}
	return s, []controller.Action{endpointsChanged{}, logEvent(logger.EndpointChanged,
		zap.String("address", e.address), zap.Int64("born", e.endpointStatus.born),
		zap.Uint64("version", e.endpointStatus.version), zap.Bool("switching", e.endpointStatus.switching))}
}

// withoutExpiredStatus removes the statuses that were not renewed in time, so that
// the list applies again.
func (s state) withoutExpiredStatus(now time.Time) (state, []controller.Action) {
	expired := false
	for _, t := range s.endpointStatus {
		expired = expired || now.Sub(t.at) >= endpointStatusTimeout
	}
	if !expired {
		return s, nil
	}
	s.endpointStatus = maps.Clone(s.endpointStatus)
	maps.DeleteFunc(s.endpointStatus, func(_ string, t endpointStatus) bool { return now.Sub(t.at) >= endpointStatusTimeout })
	return s, []controller.Action{endpointsChanged{}}
}

// withRead returns the list updated with values read from the store or from a
// peer.
func (l list) withRead(now time.Time, store storeEpoch, e listRead) (list, []controller.Action) {
	if e.source != sourceStore && l.known && lastPosition(e).Compare(l.position) <= 0 {
		// The peer's list may lack records that were read here and are not read again.
		return l, nil
	}
	restoredAt := store.since
	if store.isSettled(now) {
		restoredAt = now
	}
	// Until the store has settled, each snapshot may lack what is known from peers or from
	// an earlier one.
	restored := e.snapshot && l.known && (lastPosition(e).Epoch > l.position.Epoch || !store.isSettled(now))
	l.position = latest(l.position, lastPosition(e))
	read, actions := l.decode(now, e, restored)
	if l.cold = read.cold; read.coldChanged {
		actions = append(actions, endpointsChanged{})
	}
	l.endpoints = l.endpoints.WithChanges(now, read.changes)
	switch {
	case restored:
		l.endpoints = l.endpoints.WithRestoredSnapshot(restoredAt, read.present)
	case e.snapshot:
		l.endpoints = l.endpoints.WithSnapshot(now, read.present)
	}
	l.values, l.known = read.values, true
	if e.startedAt.After(l.confirmedAt) {
		l.confirmedAt = e.startedAt
	}
	return l, actions
}

// decodedRead is what a read means for a list.
type decodedRead struct {
	// values are those that the list passes on to peers after the read.
	values map[string]platform.Value
	// present are the endpoints of a snapshot, changes those of another read. Removals
	// are in changes in both cases.
	present []registrar.Endpoint
	changes []registrar.Change
	// cold is how cold the endpoints are, and coldChanged is set if that has changed.
	cold        map[string]coldness
	coldChanged bool
}

// decode decodes the values of a read. restored is set for a snapshot of a store that was
// restored from an older copy, whose values may be older than the known ones.
func (l list) decode(now time.Time, e listRead, restored bool) (read decodedRead, actions []controller.Action) {
	read.values, read.cold = cloneMap(l.values), cloneMap(l.cold)
	if e.snapshot {
		read.values, read.cold = map[string]platform.Value{}, map[string]coldness{}
	}
	for _, v := range e.values {
		known, isKnown := l.values[v.Key]
		if isKnown && known.Position.Compare(v.Position) > 0 {
			v = known
		}
		if v.Data == nil {
			delete(read.values, v.Key)
			delete(read.cold, v.Key)
			read.changes = append(read.changes, registrar.Change{ID: v.Key})
			continue
		}
		endpoint, err := platform.DecodeEndpoint(v.Key, v.Data)
		if err != nil {
			actions = append(actions, logEvent(logger.EntryUnreadable, zap.String("endpoint", v.Key), zap.Error(err)))
			read.changes = append(read.changes, registrar.Change{ID: v.Key})
			continue
		}
		read.recordCold(now, l.cold[v.Key], endpoint, !isKnown || known.Position != v.Position)
		isOutdated := restored && l.endpoints.IsOutdated(endpoint)
		switch {
		case !isOutdated:
			read.values[v.Key] = v
		case isKnown:
			read.values[v.Key] = known
		}
		if e.snapshot {
			read.present = append(read.present, endpoint)
			continue
		}
		read.changes = append(read.changes, registrar.Change{ID: v.Key, Endpoint: &endpoint})
	}
	return read, actions
}

// recordCold records how cold an endpoint is, which was known as before. isNew is set if its
// record was not read yet.
func (r *decodedRead) recordCold(now time.Time, before coldness, e registrar.Endpoint, isNew bool) {
	after := before
	if isNew {
		after = before.withRecord(now, e)
	}
	if after != (coldness{}) {
		r.cold[e.ID] = after
	}
	r.coldChanged = r.coldChanged || after != before
}

// lastPosition returns the position of the latest value that was read. Without values,
// it is before all of the read's epoch.
func lastPosition(e listRead) provider.Position {
	last := provider.Position{Epoch: e.epoch, Offset: -1}
	for _, v := range e.values {
		last = latest(last, v.Position)
	}
	return last
}

// latest returns the later of two positions.
func latest(p, q provider.Position) provider.Position {
	if p.Compare(q) >= 0 {
		return p
	}
	return q
}

// withHeldVersions records the version of each model that most endpoints have loaded, the newest
// of several. It is the wanted version of a model for which operators have named none, so that a
// single record with a version that does not exist must not decide.
func (l list) withHeldVersions(now time.Time) list {
	holders := map[modelVersion]int{}
	for _, e := range l.endpoints.All() {
		for _, m := range e.LoadedModels {
			if m.Version > 0 {
				holders[modelVersion{model: m.Model, version: m.Version}]++
			}
		}
	}
	most := map[string]modelVersion{}
	for v, n := range holders {
		best, ok := most[v.model]
		if !ok || n > holders[best] || n == holders[best] && v.version > best.version {
			most[v.model] = v
		}
	}
	for model, v := range most {
		if l.held[model].Version != v.version {
			l.held = cloneMap(l.held)
			l.held[model] = forwarder.Version{Version: v.version, KnownSince: now}
		}
	}
	return l
}

// newListChangedAction returns an action that logs the differences of two lists.
func newListChangedAction(before, after registrar.List) logLine {
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
	return logEvent(logger.ListChanged, zap.Int("endpoints", after.Len()),
		zap.Strings("added", added), zap.Strings("left", left), zap.Strings("draining", draining))
}

// endpointStatusTimeout is how long a status reported by a sidecar takes
// precedence over the list.
const endpointStatusTimeout = 3 * time.Second

// endpoints returns the endpoints of each service in the form that the balancer
// accepts. regions maps availability zones to regions.
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
			ID: e.ID, Address: e.Address, Region: regions[e.AvailabilityZone], AvailabilityZone: e.AvailabilityZone,
			Evacuated: s.config.evacuations.IsEvacuated(e.AvailabilityZone), ColdUntil: s.coldUntil(service, e), Slots: e.Slots, Ready: !e.Draining, Born: e.Born,
		}
		if service.Engine != nil {
			if service.Engine.Slots > 0 {
				b.Slots = min(b.Slots, service.Engine.Slots)
			}
			var switching bool
			b.Version, switching = s.loadedVersion(now, e)
			b.Ready = b.Ready && b.Version != 0 && !switching
			b.ReadyAt = s.endpointStatus[e.Address].readyAt
		}
		byService[e.Service] = append(byService[e.Service], b)
	}
	return byService
}

// loadedVersion returns the version that an engine has loaded, 0 for none, and
// whether it is switching to another one.
func (s *state) loadedVersion(now time.Time, e registrar.Endpoint) (version uint64, switching bool) {
	t, ok := s.endpointStatus[e.Address]
	if ok && t.born >= e.Born && now.Sub(t.at) < endpointStatusTimeout {
		return t.version, t.switching
	}
	for _, m := range e.LoadedModels {
		version = max(version, m.Version)
	}
	return version, false
}

// servicesWithoutEndpoints returns the known services that have no endpoints any
// more.
func servicesWithoutEndpoints(known []string, byService map[string][]balancer.Endpoint) []string {
	return slices.DeleteFunc(known, func(name string) bool { return len(byService[name]) > 0 })
}
