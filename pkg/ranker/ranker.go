// Package ranker orders members for a key by rendezvous hashing. Processes with the
// same member list make the same choice without communicating, and a member that is
// added or removed moves only its own share of the keys.
package ranker

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// fieldSeparator separates the key and the member in the hash input. It does
	// not occur in valid UTF-8.
	fieldSeparator = 0xff
	// noIndex is the index of a key that consists of a name only.
	noIndex = -1
	// indexBytes is the encoded size of an index.
	indexBytes = 8
)

// Weight returns the rendezvous weight of member for key. The member with the highest
// weight ranks first.
func Weight(key, member string) uint64 { return WeightIndexed(key, noIndex, member) }

// WeightIndexed is like Weight, for the key that consists of a name and an index. It
// does not allocate.
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

// Best returns the member with the highest weight for key, or false if members is
// empty.
func Best(key string, members []string) (best string, ok bool) {
	var top uint64
	for _, m := range members {
		if w := Weight(key, m); !ok || w > top || (w == top && m < best) {
			best, top, ok = m, w, true
		}
	}
	return best, ok
}

// Top returns up to n members in descending order of weight for key. It does not
// modify members.
func Top(key string, members []string, n int) []string {
	return TopIndexed(key, noIndex, members, n)
}

// TopIndexed is like Top, for the key that consists of a name and an index.
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
