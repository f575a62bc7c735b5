package shedder

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"strings"
)

// compareClasses orders classes by priority and workspace.
func compareClasses(a, b Class) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), strings.Compare(a.Workspace, b.Workspace))
}

// ordered iterates over a map in the order of its keys. Sums of floating-point numbers then do not
// depend on the order of the map, and equal demands give equal shares.
func ordered[K comparable, V any](m map[K]V, compare func(a, b K) int) iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, k := range slices.SortedFunc(maps.Keys(m), compare) {
			if !yield(k, m[k]) {
				return
			}
		}
	}
}
