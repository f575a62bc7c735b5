package gatewayserver

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/forwarder"
	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/internal/messenger"
	"flamingoledge.org/flamingoledge/pkg/dater"
	"flamingoledge.org/flamingoledge/pkg/evacuator"
	"flamingoledge.org/flamingoledge/pkg/provider"
	"flamingoledge.org/flamingoledge/pkg/registrar"
	"flamingoledge.org/flamingoledge/pkg/resolver"
	"flamingoledge.org/flamingoledge/pkg/tracker"
	"flamingoledge.org/flamingoledge/platform"
)

// state is the content of the blackboard. It is immutable.
type state struct {
	// handledAt is when the last event was handled.
	handledAt time.Time
	pause     pause

	store  storeEpoch
	config config
	list   list
	peers  tracker.Roster
	// demand is what the callers of the peers request, by address.
	demand map[string]peerDemand
	// confirmations are what sidecars know of the named versions.
	confirmations dater.Confirmations
	// endpointStatus is the latest status that sidecars reported, by endpoint
	// address.
	endpointStatus map[string]endpointStatus
}

// config is the configuration and the named versions, with the time at which they
// were last confirmed to be current.
type config struct {
	table        *resolver.Table
	versions     map[string][]forwarder.Version
	namingFloors namingFloors
	// undated are the versions without a known naming time.
	undated map[modelVersion]undatedNaming
	// evacuations are the availability zones that operators evacuated or took back.
	evacuations evacuator.Zones
	// values are the values of the store that config was decoded from, to be passed
	// on to peers.
	values      map[string]platform.Value
	digest      uint64
	confirmedAt time.Time
}

// list is the list of endpoints in the store, with the time at which it was last
// confirmed to be current.
type list struct {
	endpoints registrar.List
	values    map[string]platform.Value
	// position is that of the latest record that was applied, with the epoch of the
	// latest read.
	position provider.Position
	// known is set once the list has been read.
	known       bool
	digest      uint64
	confirmedAt time.Time
	// cold is how cold the endpoints are, by ID.
	cold map[string]coldness
	// held is the version that most endpoints have loaded, by model. Its KnownSince
	// is the time at which this process first saw it.
	held map[string]forwarder.Version
}

// endpointStatus is the state of an endpoint as its sidecar reports it.
type endpointStatus struct {
	// born is the start time of the endpoint in Unix milliseconds.
	born      int64
	version   uint64
	switching bool
	// readyAt is when the endpoint is expected to serve; the zero time if it serves or that
	// is unknown.
	readyAt time.Time
	// at is when the status was received.
	at time.Time
}

// readyTolerance is the change of the time at which an endpoint is expected to serve that
// matters to callers, who return at random times about it.
const readyTolerance = 250 * time.Millisecond

// isSame reports whether s and other are equal apart from their times.
func (s endpointStatus) isSame(other endpointStatus) bool {
	return s.readyAt.Sub(other.readyAt).Abs() < readyTolerance && s.born == other.born && s.version == other.version && s.switching == other.switching
}

// Events of the blackboard.
type (
	// configRead contains values of the configuration topic, read from the store or
	// from a peer.
	configRead struct {
		values []platform.Value
		// snapshot is set if values has the latest value of each key of the store, and end is
		// the position after the last record then.
		snapshot bool
		end      provider.Position
		// afterGap is set if the store was not followed right before the read.
		afterGap bool
		// failedAt is when the last failed read of the store before ended; the zero time if
		// none failed.
		failedAt time.Time
		// startedAt is when the read started; the values are at least as recent.
		startedAt time.Time
		// epoch is the store's epoch if it was read from there; 0 if unknown.
		epoch  uint64
		source string
		// versionAges are the recorded times since versions were named. They may be
		// incomplete.
		versionAges []versionAge
		// undatedAges are those of versions without a known naming time, since an entry first
		// read them.
		undatedAges []versionAge
		// pausedSince is set by the controller if the values may have been written during a
		// pause of the process, to the start of that.
		pausedSince time.Time
	}
	// listRead contains values of the list, read from the store or from a peer.
	listRead struct {
		values []platform.Value
		// snapshot is set if values is the complete list.
		snapshot  bool
		startedAt time.Time
		// epoch is the store's epoch at the read; 0 if unknown.
		epoch  uint64
		source string
	}
	// storeLost and storeRegained are sent when reads of the list start to fail and
	// when they succeed again.
	storeLost              struct{}
	storeRegained          struct{}
	presenceReceived       struct{ presence *messenger.Presence }
	endpointStatusReported struct {
		address        string
		endpointStatus endpointStatus
	}
)

// includesNaming reports whether e contains the time since v was named.
func (e configRead) includesNaming(v platform.NamedVersion) bool {
	return slices.ContainsFunc(e.versionAges, func(n versionAge) bool { return n.model == v.Model && n.version == v.Version })
}

// versionAge is a version with the time since it was named.
type versionAge struct {
	model   string
	version uint64
	age     time.Duration
}

// Actions of the controllers.
type (
	logLine struct {
		event  logger.Event
		fields []zap.Field
	}
	// endpointsChanged requests that the endpoints be passed to the forwarder.
	endpointsChanged struct{}
	// versionFirstSeen requests that the time at which a version was named be stored. age
	// is the time since then.
	versionFirstSeen struct {
		model   string
		version uint64
		age     time.Duration
	}
	// namingsLost requests that the known naming times be stored again, because the
	// store may have lost them.
	namingsLost struct{}
	// peerStateNeeded requests the configuration and the list of a peer.
	peerStateNeeded struct{ address string }
)

// logEvent returns an action that logs e.
func logEvent(e logger.Event, fields ...zap.Field) logLine { return logLine{event: e, fields: fields} }

// routingState returns the part of the state that the forwarder uses.
func (s *state) routingState() *forwarder.RoutingState {
	return &forwarder.RoutingState{
		Table:       s.config.table,
		ConfirmedAt: s.config.confirmedAt,
		Versions:    s.config.versions,
		EntryCount:  s.peers.Len() + 1,
		Evacuations: s.config.evacuations,
	}
}

// version returns the version of the configuration; 0 if none is known.
func (c *config) version() uint64 {
	if c.table == nil {
		return 0
	}
	return c.table.Configuration().Version
}

// newest returns the newest named version of a model, or the zero value if there is
// none.
func (c *config) newest(model string) forwarder.Version {
	if vs := c.versions[model]; len(vs) > 0 {
		return vs[len(vs)-1]
	}
	return forwarder.Version{}
}

// withDigest sets the digest by which entries compare the version of the configuration, the
// newest version of each model and the evacuated zones.
func (c config) withDigest() config {
	h := xxhash.New()
	write := func(n uint64) { _, _ = h.Write(binary.BigEndian.AppendUint64(nil, n)) }
	write(c.version())
	for _, m := range slices.Sorted(maps.Keys(c.versions)) {
		_, _ = h.WriteString(m)
		write(c.newest(m).Version)
	}
	for _, zone := range c.evacuations.Evacuated() {
		_, _ = h.WriteString("evacuated\x00" + zone + "\x00")
	}
	c.digest = h.Sum64()
	return c
}

// listDigest returns a digest by which entries compare their lists of endpoints.
func listDigest(l registrar.List) uint64 {
	h := xxhash.New()
	for _, e := range l.All() {
		_, _ = h.WriteString(e.ID + "\x00" + e.Address + "\x00")
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(e.Born)))
		if e.Draining {
			_, _ = h.WriteString("draining")
		}
		for _, m := range e.LoadedModels {
			_, _ = h.WriteString(m.Model)
			_, _ = h.Write(binary.BigEndian.AppendUint64(nil, m.Version))
		}
	}
	return h.Sum64()
}

// sortedValues returns the values sorted by key.
func sortedValues(values map[string]platform.Value) []platform.Value {
	return slices.SortedFunc(maps.Values(values), func(a, b platform.Value) int { return cmp.Compare(a.Key, b.Key) })
}
