// Package ranker orders members for a key by rendezvous hashing, so that
// processes with the same member list choose alike without talking, and a
// changed member moves only its own share of the keys.
package ranker

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	fieldSeparator = 0xff
	// noIndex is the index of a key that is a name only.
	noIndex    = -1
	indexBytes = 8
)

// Weight returns the rendezvous weight of member for key. Higher wins.
func Weight(key, member string) uint64 { return WeightIndexed(key, noIndex, member) }

// WeightIndexed is Weight for one of many keys that share a name. It allocates
// nothing.
func WeightIndexed(name string, index int, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(name)
	if index != noIndex {
		var buf [indexBytes]byte
		binary.LittleEndian.PutUint64(buf[:], uint64(index))
		_, _ = d.Write(buf[:])
	}
	_, _ = d.Write([]byte{fieldSeparator})
	_, _ = d.WriteString(member)
	return d.Sum64()
}

// Best returns the member with the highest weight; false if there is none.
func Best(key string, members []string) (best string, ok bool) {
	var top uint64
	for _, m := range members {
		if w := Weight(key, m); !ok || w > top || (w == top && m < best) {
			best, top, ok = m, w, true
		}
	}
	return best, ok
}

// Top returns up to n members for key, best first. members is not changed.
func Top(key string, members []string, n int) []string {
	return TopIndexed(key, noIndex, members, n)
}

// TopIndexed is Top for one of many keys that share a name.
func TopIndexed(name string, index int, members []string, n int) []string {
	type weighted struct {
		member string
		weight uint64
	}
	ws := make([]weighted, len(members))
	for i, m := range members {
		ws[i] = weighted{member: m, weight: WeightIndexed(name, index, m)}
	}
	slices.SortFunc(ws, func(a, b weighted) int {
		if a.weight != b.weight {
			if a.weight > b.weight {
				return -1
			}
			return 1
		}
		if a.member < b.member {
			return -1
		}
		return 1
	})
	n = min(n, len(ws))
	top := make([]string, n)
	for i := range n {
		top[i] = ws[i].member
	}
	return top
}
