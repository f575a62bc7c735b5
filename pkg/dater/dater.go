// Package dater determines the earliest time at which a version can have been named if no
// process noticed the naming itself: the last time at which an older version was still known
// to be the newest one.
package dater

import (
	"cmp"
	"slices"
	"time"
)

// Confirmation states that a version of a model was the newest one at a time. Version 0
// stands for none.
type Confirmation struct {
	Model   string
	Version uint64
	At      time.Time
}

// maxPerModel bounds the versions retained per model. A version that is named later is dated
// by one that is retained.
const maxPerModel = 4

// Confirmations are the last known confirmations of some versions. It is immutable; the zero
// value is empty.
type Confirmations struct {
	// all is sorted by model and version.
	all []Confirmation
}

// With returns the confirmations with n, unless a later one of the same version is known.
func (c Confirmations) With(n Confirmation) Confirmations {
	i, ok := slices.BinarySearchFunc(c.all, n, compare)
	switch {
	case ok && !n.At.After(c.all[i].At):
		return c
	case ok:
		all := slices.Clone(c.all)
		all[i] = n
		return Confirmations{all: all}
	}
	all := slices.Insert(slices.Clone(c.all), i, n)
	isSameModel := func(m Confirmation) bool { return m.Model == n.Model }
	first := slices.IndexFunc(all, isSameModel)
	if last := first + maxPerModel; last < len(all) && isSameModel(all[last]) {
		all = slices.Delete(all, first, first+1)
	}
	return Confirmations{all: all}
}

// All returns all confirmations. The caller must not modify the result.
func (c Confirmations) All() []Confirmation { return c.all }

// LastBefore returns the last time at which a version of a model that is older than version
// was the newest one. It reports false if none is known.
func (c Confirmations) LastBefore(model string, version uint64) (at time.Time, ok bool) {
	for _, n := range c.all {
		if n.Model == model && n.Version < version && (!ok || n.At.After(at)) {
			at, ok = n.At, true
		}
	}
	return at, ok
}

func compare(a, b Confirmation) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
}
