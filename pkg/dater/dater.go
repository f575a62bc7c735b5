// Package dater determines when a version was named by what processes that run longer than the
// entries were told. If an entry noticed the naming, it is the time that the entry told. If none
// did, it is the earliest time at which the version can have been named: the last time at which an
// older version was still known to be the newest one.
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

// Naming states when a version of a model was named, by the clock of the process that keeps it.
type Naming struct {
	Model   string
	Version uint64
	At      time.Time
	// Undated is set if no process noticed the naming, so that At is when one that started later
	// first read the version.
	Undated bool
}

// maxPerModel bounds the versions retained per model. A version that is named later is dated
// by one that is retained.
const maxPerModel = 4

// Confirmations are the last known confirmations of some versions. It is immutable; the zero
// value is empty.
type Confirmations struct{ all versions[Confirmation] }

// With returns the confirmations with n, unless a later one of the same version is known.
func (c Confirmations) With(n Confirmation) Confirmations {
	return Confirmations{all: c.all.with(n, func(known Confirmation) bool { return n.At.After(known.At) })}
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

// Namings are the earliest known naming times of some versions. It is immutable; the zero value
// is empty.
type Namings struct{ all versions[Naming] }

// With returns the namings with n, unless an earlier one of the same version is known. A naming
// that a process noticed replaces one that none did.
func (n Namings) With(named Naming) Namings {
	return Namings{all: n.all.with(named, func(known Naming) bool {
		if known.Undated != named.Undated {
			return known.Undated
		}
		return named.At.Before(known.At)
	})}
}

// All returns all namings. The caller must not modify the result.
func (n Namings) All() []Naming { return n.all }

// versions holds one element for each of the newest versions of each model, sorted by model and
// version. It is immutable.
type versions[T version] []T

type version interface {
	model() string
	number() uint64
}

// with returns the elements with n, unless its version has one that n does not replace.
func (v versions[T]) with(n T, replaces func(known T) bool) versions[T] {
	i, ok := slices.BinarySearchFunc(v, n, func(a, b T) int {
		return cmp.Or(cmp.Compare(a.model(), b.model()), cmp.Compare(a.number(), b.number()))
	})
	switch {
	case ok && !replaces(v[i]):
		return v
	case ok:
		all := slices.Clone(v)
		all[i] = n
		return all
	}
	all := slices.Insert(slices.Clone(v), i, n)
	isSameModel := func(m T) bool { return m.model() == n.model() }
	first := slices.IndexFunc(all, isSameModel)
	if last := first + maxPerModel; last < len(all) && isSameModel(all[last]) {
		all = slices.Delete(all, first, first+1)
	}
	return all
}

func (c Confirmation) model() string  { return c.Model }
func (c Confirmation) number() uint64 { return c.Version }
func (n Naming) model() string        { return n.Model }
func (n Naming) number() uint64       { return n.Version }
