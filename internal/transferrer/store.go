// Package transferrer transfers chunks between sidecars: it serves the chunks that this
// process holds and performs the fetches that package planner plans.
package transferrer

import (
	"context"
	"sync"
	"time"

	"flamingoledge.org/flamingoledge/internal/notifier"
	"flamingoledge.org/flamingoledge/pkg/assembler"
)

// Store holds the assemblies of this process by version digest. It is safe for
// concurrent use.
type Store struct {
	mu         sync.RWMutex
	assemblies map[string]*assembler.Assembly
	// peers are the peers that fetch or fetched a version from this process, by version
	// digest and instance.
	peers map[string]map[string]*peerExchanges
	added notifier.Notifier
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{assemblies: map[string]*assembler.Assembly{}, peers: map[string]map[string]*peerExchanges{}}
}

// Get returns the assembly of a version, or nil if there is none.
func (s *Store) Get(versionDigest string) *assembler.Assembly {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.assemblies[versionDigest]
}

// Await returns the assembly of a version and waits up to wait for it to be added. It
// returns nil if there is none by then or ctx ends.
func (s *Store) Await(ctx context.Context, versionDigest string, wait time.Duration) *assembler.Assembly {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		added := s.added.Wait()
		if a := s.Get(versionDigest); a != nil {
			return a
		}
		select {
		case <-added:
		case <-ctx.Done():
			return nil
		}
	}
}

// Put adds an assembly and reuses the chunks that it shares with the others. It returns
// the number of reused chunks.
func (s *Store) Put(a *assembler.Assembly) (reused int) {
	defer s.added.Notify()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, other := range s.assemblies {
		reused += a.CopySharedChunks(other)
	}
	s.assemblies[a.VersionDigest()] = a
	return reused
}

// RetainOnly removes all assemblies except those of the given versions.
func (s *Store) RetainOnly(versionDigests map[string]struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for v := range s.assemblies {
		if _, ok := versionDigests[v]; !ok {
			delete(s.assemblies, v)
			delete(s.peers, v)
		}
	}
}

// Remove removes the assembly of a version.
func (s *Store) Remove(versionDigest string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.assemblies, versionDigest)
	delete(s.peers, versionDigest)
}
