// Package evacuator knows which availability zones the operators have evacuated, from records
// that reach an entry from the store and from other entries, in any order.
//
// The load that it answers: a zone is evacuated or taken back while the store loses records,
// is restored from an older copy or is away, and while entries start and hear of it from each
// other. An evacuation that is forgotten sends requests to a zone that must get none, and one
// that is never withdrawn takes a zone's capacity for good.
package evacuator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"flamingoledge.org/flamingoledge/pkg/provider"
)

// Record states whether a zone is evacuated.
type Record struct {
	Zone      string
	Evacuated bool
	Position  provider.Position
	// KnownSince is the earliest time at which an entry is known to have had the record.
	KnownSince time.Time
}

// Zones are the newest records of all zones. The zero value has none. It is immutable.
type Zones struct {
	records map[string]Record
	// missing holds the zones that are evacuated by the newest record, but of which a restored
	// store had no record at the position.
	missing map[string]provider.Position
	// readTo is the position of the last record that a snapshot covers, and isSettled is set if
	// the store had settled then or has since.
	readTo    provider.Position
	isSettled bool
}

// IsEvacuated reports whether a zone is evacuated.
func (z Zones) IsEvacuated(zone string) bool { return z.records[zone].Evacuated }

// Evacuated returns the sorted names of the evacuated zones.
func (z Zones) Evacuated() (zones []string) {
	for zone, r := range z.records {
		if r.Evacuated {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// HasEvacuated reports whether any zone is evacuated.
func (z Zones) HasEvacuated() bool {
	for _, r := range z.records {
		if r.Evacuated {
			return true
		}
	}
	return false
}

// Get returns the newest record of a zone. It returns false if there is none.
func (z Zones) Get(zone string) (Record, bool) {
	r, ok := z.records[zone]
	return r, ok
}

// Records returns the newest record of each zone, evacuated ones first and then the most
// recent ones.
func (z Zones) Records() []Record {
	return slices.SortedFunc(maps.Values(z.records), func(a, b Record) int {
		if a.Evacuated != b.Evacuated {
			if a.Evacuated {
				return -1
			}
			return 1
		}
		return cmp.Or(b.KnownSince.Compare(a.KnownSince), cmp.Compare(a.Zone, b.Zone))
	})
}

// WithRecord returns z with a record, unless a newer one of the zone is known. Of the same
// record, the earliest time counts, and an evacuation that goes on keeps its time.
func (z Zones) WithRecord(r Record) Zones {
	known, ok := z.records[r.Zone]
	order := r.Position.Compare(known.Position)
	if ok && (order < 0 || order == 0 && !r.KnownSince.Before(known.KnownSince)) {
		return z
	}
	if !ok && r.Evacuated && r.Position.Compare(z.readTo) < 0 {
		if z.isWithdrawn(r) {
			return z
		}
		z.missing = cloneMap(z.missing)
		z.missing[r.Zone] = z.readTo
	}
	if ok {
		r = r.after(known)
	}
	z.records = cloneMap(z.records)
	z.records[r.Zone] = r
	if at, isMissing := z.missing[r.Zone]; isMissing && r.Position.Compare(at) > 0 {
		z.missing = maps.Clone(z.missing)
		delete(z.missing, r.Zone)
	}
	return z
}

// after returns the record with what an earlier or equal one of its zone says.
func (r Record) after(known Record) Record {
	if r.Position.Compare(known.Position) == 0 {
		// The same record: what it says is known.
		r.Evacuated = known.Evacuated
	}
	if known.Evacuated == r.Evacuated && known.KnownSince.Before(r.KnownSince) {
		r.KnownSince = known.KnownSince
	}
	return r
}

// isWithdrawn reports whether a snapshot that covers a record of an unknown zone has shown that
// it was withdrawn: the record of the withdrawal was trimmed, and another entry may not have read
// it. A store that was restored and has not settled may only have lost the record.
func (z Zones) isWithdrawn(r Record) bool {
	return z.isSettled || r.Position.Epoch == z.readTo.Epoch
}

// Snapshot is a read of the latest value of each key.
type Snapshot struct {
	// Evacuated are the zones that have a value.
	Evacuated []string
	// End is the position after the last record at the time of the read.
	End    provider.Position
	ReadAt time.Time
	// Settled is set if everything that was written before a restore of the store has been
	// written again.
	Settled bool
}

// WithSnapshot returns z after a read of the latest values. A zone without a value whose
// record is of the same epoch was taken back, and the record of that was trimmed. One whose
// record is of an earlier epoch may only be lost with what was written after a copy of the
// store: it stays evacuated until the store has settled.
func (z Zones) WithSnapshot(s Snapshot) Zones {
	// The read is as new as the last record before its end.
	at := provider.Position{Epoch: s.End.Epoch, Offset: s.End.Offset - 1}
	for _, r := range z.Records() {
		if !r.Evacuated || slices.Contains(s.Evacuated, r.Zone) || r.Position.Compare(at) >= 0 {
			continue
		}
		if s.Settled || r.Position.Epoch == at.Epoch {
			z = z.WithRecord(Record{Zone: r.Zone, Position: at, KnownSince: s.ReadAt})
			continue
		}
		z.missing = cloneMap(z.missing)
		z.missing[r.Zone] = at
	}
	if at.Compare(z.readTo) > 0 {
		z.readTo, z.isSettled = at, s.Settled
	}
	return z
}

// WithSettledStore returns z after a read of all records that started when the store had
// settled after a restore: what it did not have then was taken back.
func (z Zones) WithSettledStore(readAt time.Time) Zones {
	for zone, at := range z.missing {
		z = z.WithRecord(Record{Zone: zone, Position: at, KnownSince: readAt})
	}
	z.missing, z.isSettled = nil, true
	return z
}

// cloneMap returns a copy of m that is never nil.
func cloneMap[V any](m map[string]V) map[string]V {
	if m == nil {
		return map[string]V{}
	}
	return maps.Clone(m)
}
