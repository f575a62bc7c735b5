package chunker

import "math/bits"

const bitsPerByte = 8

// IndexSet is a set of chunk indexes, one bit each. Its encoded form is itself.
type IndexSet []byte

// NewIndexSet returns an empty set for n indexes.
func NewIndexSet(n int) IndexSet {
	return make(IndexSet, (n+bitsPerByte-1)/bitsPerByte)
}

// Has tells whether i is in the set. An index out of range is not.
func (s IndexSet) Has(i int) bool {
	return i >= 0 && i/bitsPerByte < len(s) && s[i/bitsPerByte]&(1<<(i%bitsPerByte)) != 0
}

// Add puts i in the set. An index out of range is ignored.
func (s IndexSet) Add(i int) {
	if i >= 0 && i/bitsPerByte < len(s) {
		s[i/bitsPerByte] |= 1 << (i % bitsPerByte)
	}
}

// Remove takes i out of the set.
func (s IndexSet) Remove(i int) {
	if i >= 0 && i/bitsPerByte < len(s) {
		s[i/bitsPerByte] &^= 1 << (i % bitsPerByte)
	}
}

// Len returns how many indexes are in the set.
func (s IndexSet) Len() (n int) {
	for _, b := range s {
		n += bits.OnesCount8(b)
	}
	return n
}

// Clone returns a copy.
func (s IndexSet) Clone() IndexSet {
	return append(IndexSet(nil), s...)
}
