package chunker

import "math/bits"

const bitsPerByte = 8

// IndexSet is a bit set of chunk indexes. Its bytes are also its encoding on the wire.
type IndexSet []byte

// NewIndexSet returns an empty set for the indexes from 0 to n-1.
func NewIndexSet(n int) IndexSet {
	return make(IndexSet, (n+bitsPerByte-1)/bitsPerByte)
}

// Has reports whether i is in the set; false if i is out of range.
func (s IndexSet) Has(i int) bool {
	return i >= 0 && i/bitsPerByte < len(s) && s[i/bitsPerByte]&(1<<(i%bitsPerByte)) != 0
}

// Add adds i to the set. An index out of range is ignored.
func (s IndexSet) Add(i int) {
	if i >= 0 && i/bitsPerByte < len(s) {
		s[i/bitsPerByte] |= 1 << (i % bitsPerByte)
	}
}

// Remove removes i from the set. An index out of range is ignored.
func (s IndexSet) Remove(i int) {
	if i >= 0 && i/bitsPerByte < len(s) {
		s[i/bitsPerByte] &^= 1 << (i % bitsPerByte)
	}
}

// Len returns the number of indexes in the set.
func (s IndexSet) Len() (n int) {
	for _, b := range s {
		n += bits.OnesCount8(b)
	}
	return n
}

// Clone returns a copy of the set.
func (s IndexSet) Clone() IndexSet {
	return append(IndexSet(nil), s...)
}
