// Package registrar keeps the list of endpoints that the platform's store gives.
// Entries that lapse around an outage of the store are kept until their owners
// had time to register again.
package registrar

import (
	"maps"
	"slices"
	"time"
)

// Endpoint is one start of an endpoint as it registered itself.
type Endpoint struct {
	ID               string
	Service          string
	Address          string
	AvailabilityZone string
	Slots            int
	Draining         bool
	// Born is the Unix millisecond of the start; 0 if it was not told.
	Born int64
	// LoadedModels are the models that it has loaded.
	LoadedModels []LoadedModel
}

// LoadedModel is a model in an endpoint's memory.
type LoadedModel struct {
	Model   string
	Version uint64
}

// graceAfterOutage is how long after the store's return an endpoint may be
// missing: the store's operators promise new entries within about 2 s.
const graceAfterOutage = 2100 * time.Millisecond

// List is the endpoints known now. It is immutable; the zero value is empty.
type List struct {
	endpoints map[string]Endpoint
	// lapsedUntil are the entries that the store dropped around an outage, with the
	// time until which they are still believed.
	lapsedUntil map[string]time.Time
	// storeUnavailable says that the store does not answer, or that its first answer after
	// an outage is being read.
	storeUnavailable bool
}

// All returns the endpoints in the order of their IDs.
func (l List) All() []Endpoint {
	es := make([]Endpoint, 0, len(l.endpoints))
	for _, id := range slices.Sorted(maps.Keys(l.endpoints)) {
		es = append(es, l.endpoints[id])
	}
	return es
}

// ByAddress returns the endpoints with an address, of which there is one unless an address
// was taken over a moment ago.
func (l List) ByAddress(address string) (es []Endpoint) {
	for _, e := range l.endpoints {
		if e.Address == address {
			es = append(es, e)
		}
	}
	return es
}

// Len returns how many endpoints there are.
func (l List) Len() int { return len(l.endpoints) }

// Get returns an endpoint by its ID.
func (l List) Get(id string) (Endpoint, bool) {
	e, ok := l.endpoints[id]
	return e, ok
}

// WithStoreUnavailable returns the list after the store stopped answering.
func (l List) WithStoreUnavailable() List {
	l.storeUnavailable = true
	return l
}

// WithStoreRecovered returns the list after the store answered again. Without an
// outage before, it changes nothing.
func (l List) WithStoreRecovered(now time.Time) List {
	if !l.storeUnavailable {
		return l
	}
	l.storeUnavailable = false
	l.lapsedUntil = maps.Clone(l.lapsedUntil)
	for id := range l.lapsedUntil {
		l.lapsedUntil[id] = now.Add(graceAfterOutage)
	}
	return l
}

// WithEndpoint returns the list with an entry added or replaced. An older start
// never replaces a newer one.
func (l List) WithEndpoint(e Endpoint) List {
	if old, ok := l.endpoints[e.ID]; ok && e.Born != 0 && old.Born > e.Born {
		return l
	}
	l.endpoints = cloneOrMake(l.endpoints)
	l.endpoints[e.ID] = e
	if _, ok := l.lapsedUntil[e.ID]; ok {
		l.lapsedUntil = maps.Clone(l.lapsedUntil)
		delete(l.lapsedUntil, e.ID)
	}
	return l
}

// WithoutEndpoint returns the list after the store dropped an entry. What the store
// dropped while it was away is kept for a while, unless it was leaving; what it
// drops later is gone.
func (l List) WithoutEndpoint(now time.Time, id string) List {
	old, ok := l.endpoints[id]
	if !ok {
		return l
	}
	if !old.Draining && l.storeUnavailable {
		l.lapsedUntil = cloneOrMake(l.lapsedUntil)
		l.lapsedUntil[id] = now.Add(graceAfterOutage)
		return l
	}
	return l.without(id)
}

// WithoutExpired returns the list without the lapsed entries whose time is over. While
// the store is away none is dropped.
func (l List) WithoutExpired(now time.Time) List {
	if l.storeUnavailable {
		return l
	}
	for id, until := range l.lapsedUntil {
		if !now.Before(until) {
			l = l.without(id)
		}
	}
	return l
}

// WithSnapshot returns the list after a complete reading of the store: what is
// not in it has been dropped.
func (l List) WithSnapshot(now time.Time, entries []Endpoint) List {
	present := make(map[string]struct{}, len(entries))
	for _, e := range entries {
		present[e.ID] = struct{}{}
		l = l.WithEndpoint(e)
	}
	for id := range l.endpoints {
		if _, ok := present[id]; !ok {
			if _, lapsed := l.lapsedUntil[id]; !lapsed {
				l = l.WithoutEndpoint(now, id)
			}
		}
	}
	return l
}

func (l List) without(id string) List {
	l.endpoints = cloneOrMake(l.endpoints)
	delete(l.endpoints, id)
	l.lapsedUntil = cloneOrMake(l.lapsedUntil)
	delete(l.lapsedUntil, id)
	return l
}

func cloneOrMake[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return maps.Clone(m)
}
