package registrar_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"flamingoledge.org/flamingoledge/pkg/registrar"
)

func endpoint(id string) registrar.Endpoint {
	return registrar.Endpoint{ID: id, Service: "s", Address: "10.0.0.1:80", Slots: 1, Born: 100}
}

func TestEntriesAroundOutages(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	draining := endpoint("a")
	draining.Draining = true
	base := registrar.List{}.WithEntry(endpoint("a")).WithEntry(endpoint("b"))
	tests := map[string]struct {
		list registrar.List
		want int
	}{
		"dropped by a sound store is gone at once": {
			list: base.WithoutEntry(at(0), "a"), want: 1,
		},
		"dropped while the store was away is kept": {
			list: base.WithStoreAway().WithoutEntry(at(0), "a").WithStoreBack(at(10)).WithTime(at(1500)), want: 2,
		},
		"still missing two seconds after the return is gone": {
			list: base.WithStoreAway().WithoutEntry(at(0), "a").WithStoreBack(at(10)).WithTime(at(2200)), want: 1,
		},
		"dropped after the return is gone at once": {
			list: base.WithStoreAway().WithStoreBack(at(10)).WithoutEntry(at(700), "a"), want: 1,
		},
		"registered again stays": {
			list: base.WithStoreAway().WithoutEntry(at(0), "a").WithStoreBack(at(10)).WithEntry(endpoint("a")).WithTime(at(9000)), want: 2,
		},
		"leaving before the outage is gone at once": {
			list: base.WithEntry(draining).WithStoreAway().WithoutEntry(at(0), "a"), want: 1,
		},
		"no time runs out while the store is away": {
			list: base.WithStoreAway().WithoutEntry(at(0), "a").WithTime(at(60000)), want: 2,
		},
		"missing in a snapshot is gone": {
			list: base.WithSnapshot(at(0), []registrar.Endpoint{endpoint("b")}), want: 1,
		},
		"missing in the first snapshot after an outage is kept": {
			list: base.WithStoreAway().WithSnapshot(at(0), []registrar.Endpoint{endpoint("b")}).WithStoreBack(at(1)).WithTime(at(500)), want: 2,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(tc.list.Len(), tc.want)
		})
	}
}

func TestOlderStartDoesNotReplaceNewer(t *testing.T) {
	is := is.New(t)
	newer, older := endpoint("a"), endpoint("a")
	newer.Born, older.Born = 200, 100
	older.Address = "10.0.0.9:80"
	e, ok := registrar.List{}.WithEntry(newer).WithEntry(older).Get("a")
	is.True(ok)
	is.Equal(e.Address, newer.Address)
}

func TestListIsImmutable(t *testing.T) {
	is := is.New(t)
	one := registrar.List{}.WithEntry(endpoint("a"))
	_ = one.WithEntry(endpoint("b"))
	_ = one.WithoutEntry(time.Unix(1, 0), "a")
	is.Equal(one.Len(), 1)
}
