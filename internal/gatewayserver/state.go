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
	"flamingoledge.org/flamingoledge/pkg/registrar"
	"flamingoledge.org/flamingoledge/pkg/resolver"
	"flamingoledge.org/flamingoledge/platform"
)

// state is the blackboard's content. It is immutable.
type state struct {
	config config
	list   list
	peers  map[string]peer
	// told is what sidecars last said of their endpoints, by address.
	endpointStatus map[string]endpointStatus
}

// config is what operators wrote, and how fresh it is.
type config struct {
	table    *resolver.Table
	versions map[string][]forwarder.Version
	// values are the store's values that it was made from, to hand on.
	values      map[string]platform.Value
	digest      uint64
	confirmedAt time.Time
}

// list is the endpoints that the store knows.
type list struct {
	endpoints   registrar.List
	values      map[string]platform.Value
	known       bool
	digest      uint64
	confirmedAt time.Time
	// held are the newest versions that endpoints hold, by model.
	held map[string]forwarder.Version
}

// peer is another entry.
type peer struct {
	instance string
	region   string
	lastSeen time.Time
	leaving  bool
}

// told is what a sidecar says of its endpoint.
type endpointStatus struct {
	born      int64
	version   uint64
	switching bool
	at        time.Time
}

// isSame tells whether t says the same as u, at whatever time.
func (t endpointStatus) isSame(u endpointStatus) bool {
	return t.born == u.born && t.version == u.version && t.switching == u.switching
}

// Events of the blackboard.
type (
	configRead struct {
		values []platform.Value
		// began is when the reading began: what it shows is at least as new.
		startedAt time.Time
		source    string
		// namings are the ages of versions, as far as others noted them.
		versionAges []versionAge
	}
	listRead struct {
		values    []platform.Value
		snapshot  bool
		startedAt time.Time
		source    string
	}
	storeLost              struct{}
	storeRegained          struct{}
	presenceReceived       struct{ received *messenger.Presence }
	endpointStatusReported struct {
		address        string
		endpointStatus endpointStatus
	}
)

// tells tells whether the reading says when a version was named.
func (e configRead) includesNaming(v platform.NamedVersion) bool {
	return slices.ContainsFunc(e.versionAges, func(n versionAge) bool { return n.model == v.Model && n.version == v.Version })
}

// naming is a version with the time since it was named.
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
	// endpointsChanged asks to hand the endpoints to the forwarder.
	endpointsChanged struct{}
	// versionSeen asks to note in the store that a version was named now.
	versionFirstSeen struct {
		model   string
		version uint64
	}
	// beliefWanted asks a peer for what it knows.
	peerStateNeeded struct{ address string }
)

func logEvent(e logger.Event, fields ...zap.Field) logLine { return logLine{event: e, fields: fields} }

// beliefs is the forwarder's view of a state.
func (s *state) beliefs() *forwarder.Beliefs {
	return &forwarder.Beliefs{
		Table:    s.config.table,
		ProvenAt: s.config.confirmedAt,
		Versions: s.config.versions,
		Entries:  len(s.peers) + 1,
	}
}

// version is the configuration's version; 0 if none is known.
func (c *config) version() uint64 {
	if c.table == nil {
		return 0
	}
	return c.table.Configuration().Version
}

// newest is the newest named version of a model; the zero value if there is none.
func (c *config) newest(model string) forwarder.Version {
	if vs := c.versions[model]; len(vs) > 0 {
		return vs[len(vs)-1]
	}
	return forwarder.Version{}
}

func configDigest(version uint64, versions map[string][]forwarder.Version) uint64 {
	h := xxhash.New()
	write := func(n uint64) { _, _ = h.Write(binary.BigEndian.AppendUint64(nil, n)) }
	write(version)
	for _, m := range slices.Sorted(maps.Keys(versions)) {
		_, _ = h.WriteString(m)
		write(versions[m][len(versions[m])-1].Version)
	}
	return h.Sum64()
}

func listDigest(l registrar.List) uint64 {
	h := xxhash.New()
	for _, e := range l.All() {
		_, _ = h.WriteString(e.ID + "\x00" + e.Address + "\x00")
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(e.Born)))
		if e.Draining {
			_, _ = h.WriteString("draining")
		}
		for _, m := range e.Held {
			_, _ = h.WriteString(m.Model)
			_, _ = h.Write(binary.BigEndian.AppendUint64(nil, m.Version))
		}
	}
	return h.Sum64()
}

// sortedValues returns values in the order of their keys.
func sortedValues(values map[string]platform.Value) []platform.Value {
	return slices.SortedFunc(maps.Values(values), func(a, b platform.Value) int { return cmp.Compare(a.Key, b.Key) })
}
