package provider

import "cmp"

// Position is the place of a record in a topic of a store that may be restored from an
// older copy of itself. Offsets are given out again after that, so they compare within
// an epoch only.
type Position struct {
	// Epoch rises each time the store is restored; 0 if unknown.
	Epoch  uint64
	Offset int64
}

// Compare returns a negative number if p is before q, 0 if they are equal, and a positive
// number if p is after q.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Epoch, q.Epoch), cmp.Compare(p.Offset, q.Offset))
}
