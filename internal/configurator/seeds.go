package configurator

import (
	"slices"
	"sync/atomic"
)

// SeedList is the list of seeds as the settings name them now. It is safe for concurrent use.
type SeedList struct{ current atomic.Pointer[[]string] }

// NewSeedList returns a list with the given seeds.
func NewSeedList(seeds []string) *SeedList {
	l := &SeedList{}
	l.Set(seeds)
	return l
}

// Get returns the seeds. The caller must not modify the result.
func (l *SeedList) Get() []string { return *l.current.Load() }

// Set replaces the seeds.
func (l *SeedList) Set(seeds []string) {
	seeds = slices.Clone(seeds)
	l.current.Store(&seeds)
}
