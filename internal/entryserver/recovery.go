package entryserver

import (
	"context"
	"time"

	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/internal/synchronizer"
	"flamingoledge.org/flamingoledge/pkg/provider"
)

const (
	// catchUpInterval is the interval at which an entry compares its through-offset
	// with those of its peers.
	catchUpInterval = 300 * time.Millisecond
	recoveryTimeout = 2 * time.Second
	// maxQueriedPeers limits the peers that are queried at a time, in addition to the
	// configured ones.
	maxQueriedPeers = 4
)

// recoverState starts a recovery of the state from the newest snapshot and from peers,
// after retention removed records from the log. Only one recovery runs at a time.
func (s *Server) recoverState() {
	if !s.recovering.CompareAndSwap(false, true) {
		return
	}
	err := s.workerPool.Submit(func() {
		defer s.recovering.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), recoveryTimeout)
		defer cancel()
		if snap, ok, err := synchronizer.ReadNewestSnapshot(ctx, s.cfg.Log); err == nil && ok {
			s.board.Post(snapshotRead{snapshot: snap})
		}
		s.queryPeers(ctx, s.peerAddresses())
	})
	if err != nil {
		s.recovering.Store(false)
	}
}

// catchUp fetches newer records from peers when the log is unavailable. An entry
// without a configuration queries the peers of peerAddresses; one that has a
// configuration queries sidecars whose heartbeats contain a higher through-offset.
func (s *Server) catchUp(ctx context.Context) {
	ticker := time.NewTicker(catchUpInterval)
	defer ticker.Stop()
	started := time.Now()
	warned := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		v := s.board.View()
		if !v.configuration.Ready {
			if !warned && time.Since(started) > recoveryTimeout {
				warned = true
				logger.Log(s.cfg.Logger, logger.NoConfiguration)
			}
			s.queryPeers(ctx, s.peerAddresses())
			continue
		}
		if ahead := sidecarsAhead(v); len(ahead) > 0 {
			s.queryPeers(ctx, ahead)
		}
	}
}

// sidecarsAhead returns the addresses of sidecars whose heartbeats contain a higher
// through-offset than the state, at most maxQueriedPeers.
func sidecarsAhead(v *state) []string {
	var addresses []string
	for _, sc := range v.sidecars {
		if sc.heartbeat.GetThroughOffset() > v.configuration.State.LastOffset() && len(addresses) < maxQueriedPeers {
			addresses = append(addresses, sc.heartbeat.GetAddress())
		}
	}
	return addresses
}

// peerAddresses returns the addresses to query: the configured peers, then entries,
// then sidecars.
func (s *Server) peerAddresses() []string {
	var entries, sidecars []string
	for _, i := range s.board.View().instances {
		switch {
		case i.Name == s.cfg.Instance:
		case i.Role == provider.RoleEntry:
			entries = append(entries, i.Address)
		default:
			sidecars = append(sidecars, i.Address)
		}
	}
	addresses := append(append(append([]string(nil), s.cfg.Peers...), entries...), sidecars...)
	return addresses[:min(len(addresses), len(s.cfg.Peers)+maxQueriedPeers)]
}

// queryPeers queries peers for their state and posts the newest one, unless it has no
// new records.
func (s *Server) queryPeers(ctx context.Context, addresses []string) {
	throughOffset := s.board.View().configuration.State.LastOffset()
	u := synchronizer.QueryPeers(ctx, s.cfg.Dialer, addresses, throughOffset)
	if u == nil || (u.GetThroughOffset() <= throughOffset && s.board.View().configuration.Ready) {
		return
	}
	_ = s.board.Send(ctx, updateReceived{update: u})
}
