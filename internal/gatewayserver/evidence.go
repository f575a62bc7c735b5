package gatewayserver

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"flamingoledge.org/flamingoledge/internal/messenger"
	"flamingoledge.org/flamingoledge/internal/sleeper"
	"flamingoledge.org/flamingoledge/pkg/quarantiner"
	"flamingoledge.org/flamingoledge/pkg/ranker"
)

const (
	// evidenceReplyPause is the least time between two replies to entries whose evidence
	// differs. It bounds the traffic of entries that can't agree.
	evidenceReplyPause = 200 * time.Millisecond
	// initialEvidenceWait is how long after its start an entry waits for the evidence of
	// another one. A presence message and its reply take a few milliseconds, and are
	// repeated after presenceInterval.
	initialEvidenceWait = time.Second
)

// spreadEvidence sends what is new about crashes to some entries until ctx ends. These do the
// same, so that it reaches all entries within a few steps. What is lost on the way is sent
// again when entries compare their evidence.
func (s *Server) spreadEvidence(ctx context.Context) {
	if !slices.ContainsFunc(s.cfg.Seeds.Get(), s.isOtherEntry) {
		s.crashLedger.markInformed()
	}
	informed := time.AfterFunc(initialEvidenceWait, s.crashLedger.markInformed)
	defer informed.Stop()
	for {
		select {
		case <-s.crashLedger.changed:
		case <-ctx.Done():
			return
		}
		sleeper.Sleep(ctx, s.sendChanges())
	}
}

// sendChanges sends what is new to some entries. It returns the pause until the next time.
func (s *Server) sendChanges() (pause time.Duration) {
	recipients := s.board.View().peers.Recipients(newRand())
	msg := s.crashLedger.takeChanges(len(recipients))
	if len(msg.GetCrashes()) == 0 {
		return s.crashLedger.recordChanges(msg, 0)
	}
	for _, p := range recipients {
		if ap, err := netip.ParseAddrPort(p.Address); err == nil {
			s.sendEvidence(ap, msg)
		}
	}
	return s.crashLedger.recordChanges(msg, len(recipients))
}

// isOtherEntry reports whether a seed is the address of another entry.
func (s *Server) isOtherEntry(seed string) bool {
	ap, err := netip.ParseAddrPort(seed)
	return err == nil && s.nodeAddress(ap.Addr()).String() != s.self
}

func (s *Server) sendEvidence(to netip.AddrPort, msg *messenger.CrashEvidence) {
	if err := s.socket.Send(to, &messenger.Datagram{CrashEvidence: msg}); err != nil {
		s.cfg.Metrics.Add("crash_evidence_unsent", 1)
	}
}

// compareEvidence sends the evidence about crashes to the sender of a presence message if
// it has other evidence; at once if it has none, as after its start.
func (s *Server) compareEvidence(from netip.AddrPort, p *messenger.Presence) {
	own := s.crashLedger.digest()
	if p.GetEchoNanos() != 0 && p.GetCrashDigest() == own {
		s.crashLedger.markInformed()
	}
	if p.GetCrashDigest() == own {
		return
	}
	now := s.cfg.Clock().UnixNano()
	last := s.lastEvidenceReply.Load()
	isDue := p.GetCrashDigest() == 0 || now-last >= int64(evidenceReplyPause)
	if !isDue || !s.crashLedger.mayReply() {
		return
	}
	msg := s.crashLedger.reply()
	if len(msg.GetCrashes()) == 0 || !s.lastEvidenceReply.CompareAndSwap(last, now) {
		return
	}
	s.sendEvidence(from, msg)
	s.crashLedger.recordReply(msg)
}

// mergeEvidence adds the evidence that another entry sent.
func (s *Server) mergeEvidence(msg *messenger.CrashEvidence) {
	s.crashLedger.merge(msg)
	s.crashLedger.markInformed()
}

// trialRank returns the rank of this entry for the trials of a key.
func (s *Server) trialRank(k quarantiner.Key) quarantiner.Rank {
	peers := s.board.View().peers.All()
	r := quarantiner.Rank{Of: len(peers) + 1}
	own := ranker.WeightIndexed(trialRankName, int(k), s.self)
	for _, p := range peers {
		if ranker.WeightIndexed(trialRankName, int(k), p.Address) > own {
			r.Place++
		}
	}
	return r
}

const trialRankName = "trial"
