package gatewayserver

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"flamingoledge.org/flamingoledge/internal/messenger"
	"flamingoledge.org/flamingoledge/internal/sleeper"
	"flamingoledge.org/flamingoledge/pkg/balancer"
)

const (
	// presenceInterval is the mean time between presence messages. It is short enough
	// that several may be lost before peerTimeout.
	presenceInterval = 400 * time.Millisecond
	// maxPeersPerPresence bounds the peer addresses in one message.
	maxPeersPerPresence = 4
	// maxPeerReports bounds the peer reports in one message, which has to fit into a
	// datagram, and maxPeerReportAge their age. Older reports keep no peer from timing
	// out for long.
	maxPeerReports   = 200
	maxPeerReportAge = peerTimeout / 2
	// reportLag is the assumed age of a sidecar's load report on arrival.
	reportLag = 15 * time.Millisecond
)

// broadcastPresence sends presence messages to other entries until ctx ends.
func (s *Server) broadcastPresence(ctx context.Context) {
	for ctx.Err() == nil {
		for _, address := range s.presenceTargets() {
			s.sendPresence(address, 0)
		}
		sleeper.Sleep(ctx, s.jitter(2*presenceInterval)*2/3)
	}
}

// presenceTargets returns the addresses of some peers and of the seeds that are not known
// as peers.
func (s *Server) presenceTargets() (targets []netip.AddrPort) {
	peers := s.board.View().peers
	for _, p := range peers.Recipients(newRand()) {
		if ap, err := netip.ParseAddrPort(p.Address); err == nil {
			targets = append(targets, ap)
		}
	}
	for _, seed := range s.cfg.Seeds.Get() {
		ap, err := netip.ParseAddrPort(seed)
		if err != nil {
			continue
		}
		address := s.nodeAddress(ap.Addr())
		if _, known := peers.Get(address.String()); !known && address.String() != s.self {
			targets = append(targets, address)
		}
	}
	return targets
}

// sendPresence sends a presence message to an entry. echo is the send time of the
// message that it replies to, or 0 if it is not a reply.
func (s *Server) sendPresence(to netip.AddrPort, echo uint64) {
	p := s.newPresence(echo)
	if echo == 0 {
		p.Demand = encodeDemand(s.forward.Demands(s.cfg.Clock()))
	}
	if err := s.socket.Send(to, &messenger.Datagram{Presence: p}); err != nil {
		s.cfg.Metrics.Add("presence_unsent", 1)
	}
}

// newPresence returns a presence message with what this entry knows now.
func (s *Server) newPresence(echo uint64) *messenger.Presence {
	now := s.cfg.Clock()
	v := s.board.View()
	p := &messenger.Presence{
		Instance:      s.cfg.Settings.Instance.Name,
		Address:       s.self,
		Region:        s.cfg.Settings.Instance.Region,
		SentNanos:     uint64(now.UnixNano()),
		EchoNanos:     echo,
		ConfigKnown:   v.config.table != nil,
		ConfigVersion: v.config.version(),
		ConfigDigest:  v.config.digest,
		ConfigAgeMs:   ageMillis(now, v.config.confirmedAt),
		ListKnown:     v.list.known,
		ListDigest:    v.list.digest,
		ListAgeMs:     ageMillis(now, v.list.confirmedAt),
		Leaving:       s.leaving.Load(),
		CrashDigest:   s.crashLedger.digest(),
		Newest:        newestVersions(now, v.config),
		Evacuations:   sentEvacuations(now, v.config.evacuations),
		StoreEpoch:    v.store.number,
		// The age of the original epoch is unlimited.
		StoreEpochAgeMs: ageMillis(now, v.store.since),
	}
	if len(v.config.undated) > 0 {
		p.Confirmed = toConfirmed(now, v.confirmations)
	}
	if echo == 0 {
		addPeerReports(p, v.peers.Reports(now, maxPeerReports, maxPeerReportAge, newRand()))
		for _, i := range rand.Perm(v.peers.Len())[:min(v.peers.Len(), maxPeersPerPresence)] {
			p.Peers = append(p.Peers, v.peers.All()[i].Address)
		}
	}
	return p
}

// newRand returns a randomly seeded source of random numbers.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// newestVersions returns the newest named version of each model with its age.
func newestVersions(now time.Time, c config) (out []*messenger.NamedVersion) {
	for _, model := range slices.Sorted(maps.Keys(c.versions)) {
		n := c.newest(model)
		out = append(out, &messenger.NamedVersion{Model: model, Version: n.Version, AgeMs: ageMillis(now, n.KnownSince), Undated: c.isUndated(model, n.Version)})
	}
	return out
}

// ageMillis returns the time since at in milliseconds. It rounds up, so that a
// confirmation never looks more recent than it is.
func ageMillis(now, at time.Time) uint32 {
	ms := now.Sub(at)/time.Millisecond + 1
	return uint32(min(max(ms, 0), maxAgeMillis))
}

// maxAgeMillis caps the ages that are sent, at about 25 days.
const maxAgeMillis = 1 << 31

// handleDatagram processes a received presence message, evidence about crashes or load
// report.
func (s *Server) handleDatagram(from netip.AddrPort, d *messenger.Datagram) {
	if p := d.GetPresence(); p != nil {
		s.board.Post(presenceReceived{presence: p})
		s.compareEvidence(from, p)
		if p.GetEchoNanos() == 0 {
			s.sendPresence(from, p.GetSentNanos())
			s.contactUnknownPeers(p.GetPeers())
		}
	}
	if e := d.GetCrashEvidence(); e != nil {
		s.mergeEvidence(e)
	}
	if l := d.GetLoad(); l != nil {
		s.applyLoadReport(l)
	}
}

// contactUnknownPeers sends a presence message to those addresses that do not belong
// to known peers.
func (s *Server) contactUnknownPeers(addresses []string) {
	peers := s.board.View().peers
	for _, address := range addresses {
		if _, known := peers.Get(address); known || address == s.self {
			continue
		}
		if ap, err := netip.ParseAddrPort(address); err == nil {
			s.sendPresence(ap, 0)
		}
	}
}

// applyLoadReport passes the load of an endpoint to the forwarder. The blackboard
// gets only the status of the endpoint, which decides what requests it may get, and
// only when that has changed or needs renewal.
func (s *Server) applyLoadReport(l *messenger.LoadReport) {
	now := s.cfg.Clock()
	v := s.board.View()
	endpoints := v.list.endpoints.ByAddress(l.GetEndpoint())
	if len(endpoints) > 0 && !s.reportOrder.isNewer(now, l) {
		s.cfg.Metrics.Add("reports_overtaken", 1)
		return
	}
	t := endpointStatus{born: int64(l.GetBorn()), version: l.GetVersion(), switching: l.GetSwitching(), at: now}
	if l.GetReadyInMs() > 0 {
		t.readyAt = now.Add(time.Duration(l.GetReadyInMs()) * time.Millisecond)
	}
	old := v.endpointStatus[l.GetEndpoint()]
	if !old.isSame(t) || now.Sub(old.at) > endpointStatusTimeout/3 {
		s.board.Post(endpointStatusReported{address: l.GetEndpoint(), endpointStatus: t})
	}
	for _, e := range endpoints {
		s.forward.ReportLoad(e.Service, e.ID, now.Add(-reportLag), toLoad(l))
		s.forward.ReportLinkDelay(e.ID, l.GetVersion(), now, time.Duration(l.GetLinkDelayMs())*time.Millisecond)
	}
}

// toLoad returns the load in a report in the form that the balancer accepts.
func toLoad(l *messenger.LoadReport) balancer.Load {
	return balancer.Load{
		Unready: l.GetVersion() == 0 && l.GetReadyInMs() > 0,
		Running: int(l.GetActive()), Queued: int(l.GetQueued()), Memory: memoryShare(l),
		Slowdown: float64(l.GetPace()), Receivers: max(int(l.GetReceivers()), 1),
		SwitchIn: time.Duration(l.GetSwitchInMs()) * time.Millisecond,
	}
}

// memoryShare returns the share of an endpoint's KV memory that is in use; 0 if unknown.
func memoryShare(l *messenger.LoadReport) float64 {
	if l.GetKvTotal() == 0 {
		return 0
	}
	return min(float64(l.GetKvUsed())/float64(l.GetKvTotal()), 1)
}
