// Package registrar maintains the list of endpoints registered in the platform's
// store. Entries that the store drops during an outage are retained until their
// endpoints have had time to register again.
package registrar

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Endpoint is the registration of one start of an endpoint.
type Endpoint struct {
	ID               string
	Service          string
	Address          string
	AvailabilityZone string
	Slots            int
	Draining         bool
	// Born is the start time in Unix milliseconds; 0 if unknown.
	Born int64
	// Sequence orders the registrations of one start.
	Sequence int64
	// ColdLeft is how long the endpoint was going to stay cold when it registered.
	ColdLeft time.Duration
	// LoadedModels are the models in the endpoint's memory.
	LoadedModels []LoadedModel
}

// LoadedModel is a model version that an endpoint has loaded.
type LoadedModel struct {
	Model   string
	Version uint64
}

// graceAfterOutage is how long dropped entries are retained after the store has
// recovered. Its operators guarantee that entries are registered again within about
// 2 s.
const graceAfterOutage = 2100 * time.Millisecond

// removalMemory is how long the last registration of a removed endpoint is known. A store
// is restored from a copy that is some seconds old.
const removalMemory = 60 * time.Second

// List is the list of known endpoints. It is immutable; the zero value is empty.
type List struct {
	// endpoints is sorted by ID. It is shared by the lists that differ in other fields.
	endpoints []Endpoint
	// retainedUntil is the time until which each entry that the store dropped during an
	// outage is retained, by ID.
	retainedUntil map[string]time.Time
	// removed holds the last registrations of removed endpoints, by ID.
	removed map[string]removal
	// storeUnavailable is true while the store does not respond, or while its first
	// response after an outage is being read.
	storeUnavailable bool
}

// removal is the last registration of an endpoint that was removed at a time.
type removal struct {
	endpoint Endpoint
	at       time.Time
	// isExpired is set if the endpoint was removed because it was not seen for
	// graceAfterOutage. It may still register as it did before.
	isExpired bool
}

// All returns the endpoints sorted by ID. The caller must not modify them.
func (l List) All() []Endpoint { return l.endpoints }

// HasSameEndpoints reports whether l was derived from other without a change of its
// endpoints. It may return false although they are equal.
func (l List) HasSameEndpoints(other List) bool {
	n := len(l.endpoints)
	return n == len(other.endpoints) && (n == 0 || &l.endpoints[0] == &other.endpoints[0])
}

// ByAddress returns the endpoints with the given address. There may be several
// shortly after another endpoint has taken over the address.
func (l List) ByAddress(address string) (es []Endpoint) {
	for _, e := range l.endpoints {
		if e.Address == address {
			es = append(es, e)
		}
	}
	return es
}

// Len returns the number of endpoints.
func (l List) Len() int { return len(l.endpoints) }

// Get returns the endpoint with the given ID.
func (l List) Get(id string) (Endpoint, bool) {
	i, ok := l.find(id)
	if !ok {
		return Endpoint{}, false
	}
	return l.endpoints[i], true
}

func (l List) find(id string) (int, bool) {
	return slices.BinarySearchFunc(l.endpoints, id, func(e Endpoint, id string) int { return cmp.Compare(e.ID, id) })
}

// WithStoreUnavailable returns the list after the store stopped responding.
func (l List) WithStoreUnavailable() List {
	l.storeUnavailable = true
	return l
}

// WithStoreRecovered returns the list after the store responded again. It returns
// the list unchanged if there was no outage.
func (l List) WithStoreRecovered(now time.Time) List {
	if !l.storeUnavailable {
		return l
	}
	l.storeUnavailable = false
	l.retainedUntil = maps.Clone(l.retainedUntil)
	for id := range l.retainedUntil {
		l.retainedUntil[id] = now.Add(graceAfterOutage)
	}
	return l
}

// Change is a change of one entry: a registration, or the removal of the entry.
type Change struct {
	ID string
	// Endpoint is the registration; nil if the store dropped the entry.
	Endpoint *Endpoint
}

// WithChanges returns the list after several changes, in order. It copies the list once
// however many changes there are.
func (l List) WithChanges(now time.Time, changes []Change) List {
	if len(changes) == 0 {
		return l
	}
	l = l.clone()
	for _, c := range changes {
		if c.Endpoint != nil {
			l.set(*c.Endpoint)
			continue
		}
		l.drop(now, c.ID)
	}
	return l
}

// WithEndpoint returns the list with an endpoint added or replaced. An older start
// of an endpoint never replaces a newer one.
func (l List) WithEndpoint(e Endpoint) List {
	l = l.clone()
	l.set(e)
	return l
}

// WithoutEndpoint returns the list after the store dropped an entry. An entry that
// is dropped during an outage of the store is retained for graceAfterOutage, unless
// the endpoint was draining. Otherwise it is removed at once.
func (l List) WithoutEndpoint(now time.Time, id string) List {
	l = l.clone()
	l.drop(now, id)
	return l
}

// WithoutExpired returns the list without the dropped entries that are no longer
// retained. None are removed while the store is unavailable.
func (l List) WithoutExpired(now time.Time) List {
	if l.storeUnavailable {
		return l
	}
	var expired []string
	for id, until := range l.retainedUntil {
		if !now.Before(until) {
			expired = append(expired, id)
		}
	}
	if len(expired) == 0 {
		return l
	}
	l = l.clone()
	for _, id := range expired {
		l.remove(now, id, true)
	}
	return l
}

// WithSnapshot returns the list after a complete read of the store. Endpoints that
// are not in entries have been dropped.
func (l List) WithSnapshot(now time.Time, entries []Endpoint) List {
	l = l.clone()
	present := make(map[string]struct{}, len(entries))
	for _, e := range entries {
		present[e.ID] = struct{}{}
		l.set(e)
	}
	for _, id := range l.absent(present) {
		if _, retained := l.retainedUntil[id]; !retained {
			l.drop(now, id)
		}
	}
	return l
}

// absent returns the IDs of the endpoints that are not in present.
func (l List) absent(present map[string]struct{}) (ids []string) {
	for _, e := range l.endpoints {
		if _, ok := present[e.ID]; !ok {
			ids = append(ids, e.ID)
		}
	}
	return ids
}

// WithRestoredSnapshot returns the list after a complete read of a store that is known since
// restoredAt to have been restored from an older copy of itself. Registrations that are not
// newer than the known ones change nothing, and removed endpoints stay removed until they
// register again. An endpoint that is not in entries may have registered after the copy was
// made; it is retained for graceAfterOutage after restoredAt.
func (l List) WithRestoredSnapshot(restoredAt time.Time, entries []Endpoint) List {
	l = l.clone()
	present := make(map[string]struct{}, len(entries))
	for _, e := range entries {
		present[e.ID] = struct{}{}
		if !l.IsOutdated(e) {
			l.set(e)
		}
	}
	for _, id := range l.absent(present) {
		l.retainedUntil[id] = restoredAt.Add(graceAfterOutage)
	}
	return l
}

// IsOutdated reports whether a registration from a restored store is not newer than what
// is known of the endpoint.
func (l List) IsOutdated(e Endpoint) bool {
	if known, ok := l.Get(e.ID); ok {
		return e.isBefore(known)
	}
	gone, ok := l.removed[e.ID]
	if !ok || gone.isExpired {
		return ok && e.isBefore(gone.endpoint)
	}
	return !gone.endpoint.isBefore(e)
}

// isBefore reports whether e registered before other, which has the same ID.
func (e Endpoint) isBefore(other Endpoint) bool {
	if e.Born != other.Born {
		return e.Born < other.Born
	}
	return e.Sequence < other.Sequence
}

// clone returns a copy of the list that set, drop and remove may modify.
func (l List) clone() List {
	l.endpoints, l.retainedUntil, l.removed = slices.Clone(l.endpoints), cloneOrMake(l.retainedUntil), cloneOrMake(l.removed)
	return l
}

func (l *List) set(e Endpoint) {
	i, known := l.find(e.ID)
	switch {
	case !known:
		l.endpoints = slices.Insert(l.endpoints, i, e)
	case e.Born != 0 && l.endpoints[i].Born > e.Born:
		return
	default:
		l.endpoints[i] = e
	}
	delete(l.retainedUntil, e.ID)
	delete(l.removed, e.ID)
}

func (l *List) drop(now time.Time, id string) {
	old, ok := l.Get(id)
	switch {
	case !ok:
	case !old.Draining && l.storeUnavailable:
		l.retainedUntil[id] = now.Add(graceAfterOutage)
	default:
		l.remove(now, id, false)
	}
}

// remove removes an endpoint and remembers its last registration.
func (l *List) remove(now time.Time, id string, isExpired bool) {
	if i, ok := l.find(id); ok {
		l.removed[id] = removal{endpoint: l.endpoints[i], at: now, isExpired: isExpired}
		l.endpoints = slices.Delete(l.endpoints, i, i+1)
	}
	delete(l.retainedUntil, id)
	maps.DeleteFunc(l.removed, func(_ string, r removal) bool { return now.Sub(r.at) >= removalMemory })
}

func cloneOrMake[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return maps.Clone(m)
}
