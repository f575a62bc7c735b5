package shedder

import (
	"maps"
	"slices"
)

// Clone returns a shedder that decides like s and shares no state with it.
func (s *Shedder) Clone() *Shedder {
	c := *s
	c.classes, c.offered, c.starts = cloneAverages(s.classes), cloneAverages(s.offered), cloneAverages(s.starts)
	c.starved, c.byClass = maps.Clone(s.starved), maps.Clone(s.byClass)
	c.own, c.shares = slices.Clone(s.own), slices.Clone(s.shares)
	return &c
}

func cloneAverages[K comparable](averages map[K]*average) map[K]*average {
	out := make(map[K]*average, len(averages))
	for k, a := range averages {
		c := *a
		out[k] = &c
	}
	return out
}
