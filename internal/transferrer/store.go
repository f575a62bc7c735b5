// Package transferrer moves chunks between sidecars: it serves the chunks that
// this process holds and runs the transfers that package planner plans.
package transferrer

import (
	"sync"

	"flamingoledge.org/flamingoledge/pkg/assembler"
)

// Store holds the assemblies of this process by version digest. It is safe for
// concurrent use.
type Store struct {
	mu         sync.RWMutex
	assemblies map[string]*assembler.Assembly
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{assemblies: map[string]*assembler.Assembly{}} }

// Get returns the assembly of a version, nil if there is none.
func (s *Store) Get(versionDigest string) *assembler.Assembly {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.assemblies[versionDigest]
}

// Put adds an assembly. Chunks that others share with it are taken over; it
// returns how many.
func (s *Store) Put(a *assembler.Assembly) (reused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, other := range s.assemblies {
		reused += a.Reuse(other)
	}
	s.assemblies[a.VersionDigest()] = a
	return reused
}

// Keep drops all assemblies but the named ones.
func (s *Store) Keep(versionDigests map[string]struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for v := range s.assemblies {
		if _, ok := versionDigests[v]; !ok {
			delete(s.assemblies, v)
		}
	}
}

// Drop removes the assembly of a version.
func (s *Store) Drop(versionDigest string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.assemblies, versionDigest)
}
