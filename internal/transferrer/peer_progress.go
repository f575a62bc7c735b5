package transferrer

import (
	"time"

	"flamingoledge.org/flamingoledge/pkg/assembler"
)

// minHeldShare is the share of the chunks that are held here below which a peer that closes
// its exchange is not taken for complete: all fetch at similar rates, so the connection is
// more likely to have been lost.
const minHeldShare = 0.5

// PeerProgress is what this process knows of the peers that fetched a version from it. A
// peer closes its exchanges when it holds all chunks. One that lost the connection later than
// minHeldShare counts as complete until it reconnects.
type PeerProgress struct {
	// Known is the number of peers, and Complete the number of those that hold all chunks.
	Known, Complete int
	// FirstCompleteAt is when the first of them closed its exchange; the zero time if none
	// did.
	FirstCompleteAt time.Time
}

// peerExchanges are the exchanges with one peer.
type peerExchanges struct {
	open    int
	endedAt time.Time
}

// beginExchange records that a peer fetches a version from this process, until the
// returned function is called.
func (s *Store) beginExchange(a *assembler.Assembly, peer string) (end func()) {
	versionDigest := a.VersionDigest()
	s.mu.Lock()
	defer s.mu.Unlock()
	peers := s.peers[versionDigest]
	if peers == nil {
		peers = map[string]*peerExchanges{}
		s.peers[versionDigest] = peers
	}
	p := peers[peer]
	if p == nil {
		p = &peerExchanges{}
		peers[peer] = p
	}
	p.open++
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		p.open--
		p.endedAt = time.Now()
		if p.open == 0 && float64(a.HeldCount()) < minHeldShare*float64(len(a.Manifest().Chunks)) {
			delete(peers, peer)
		}
	}
}

// PeerProgress returns the progress of the peers with a version.
func (s *Store) PeerProgress(versionDigest string) (progress PeerProgress) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, p := range s.peers[versionDigest] {
		progress.Known++
		if p.open > 0 {
			continue
		}
		progress.Complete++
		if progress.FirstCompleteAt.IsZero() || p.endedAt.Before(progress.FirstCompleteAt) {
			progress.FirstCompleteAt = p.endedAt
		}
	}
	return progress
}
