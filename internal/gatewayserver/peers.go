package gatewayserver

import (
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/internal/messenger"
	"flamingoledge.org/flamingoledge/pkg/controller"
	"flamingoledge.org/flamingoledge/pkg/tracker"
)

// peersController tracks the other entries. It adopts their newer confirmations of
// the configuration and the list, and their earlier naming times.
type peersController struct {
	self string
	// listAdoptionMargin is how much later a peer's list must have been confirmed for
	// it to be adopted: longer than the time between two reads of the store.
	listAdoptionMargin time.Duration
}

const (
	// peerTimeout is how long a peer is retained without a sign of life, in its own
	// presence messages or in the reports of others; it covers several lost ones.
	peerTimeout = 2500 * time.Millisecond
	// echoTimeout is the round-trip time from which on the ages in the reply to a
	// presence message are ignored.
	echoTimeout = 2 * time.Second
)

// Handle implements controller.Controller.
func (p peersController) Handle(now time.Time, s state, event controller.Event) (state, []controller.Action) {
	switch e := event.(type) {
	case presenceReceived:
		return p.handlePresence(now, s, e.presence)
	case controller.Tick:
		return p.expirePeers(now, s)
	default:
		return s, nil
	}
}

// handlePresence updates the state from a presence message of a peer.
func (p peersController) handlePresence(now time.Time, s state, msg *messenger.Presence) (state, []controller.Action) {
	var actions []controller.Action
	if msg.GetAddress() == p.self || msg.GetAddress() == "" {
		return s, nil
	}
	before := s.peers
	old, known := before.Get(msg.GetAddress())
	s.peers = s.peers.WithMessage(now, tracker.Peer{
		Address: msg.GetAddress(), Instance: msg.GetInstance(), Region: msg.GetRegion(), Leaving: msg.GetLeaving(),
	}, peerReports(msg))
	if !known {
		actions = append(actions, logEvent(logger.PeerFound, zap.String("peer", msg.GetInstance()), zap.String("address", msg.GetAddress())))
	}
	if !known || old.Leaving != msg.GetLeaving() || s.peers.LeavingCount() != before.LeavingCount() {
		actions = append(actions, endpointsChanged{})
	}
	undatedBefore := len(s.config.undated)
	s.config = s.config.withEarlierVersionAges(now, msg.GetNewest())
	if len(s.config.undated) != undatedBefore {
		actions = append(actions, endpointsChanged{})
	}
	var needsConfig, needsList bool
	s.config, needsConfig = s.config.withPeerConfirmation(now, msg)
	s.list, needsList = s.list.withPeerConfirmation(now, msg, p.listAdoptionMargin)
	if needsConfig || needsList {
		actions = append(actions, peerStateNeeded{address: msg.GetAddress()})
	}
	return s, actions
}

// withEarlierVersionAges adopts a peer's earlier naming times of the current
// versions. The bound on older versions runs from the naming, even for an entry
// that notices it late.
func (c config) withEarlierVersionAges(now time.Time, newest []*messenger.NamedVersion) config {
	for _, n := range newest {
		if c.newest(n.GetModel()).Version == n.GetVersion() {
			told := []versionAge{{model: n.GetModel(), version: n.GetVersion(), age: age(n.GetAgeMs())}}
			c = c.withVersionAges(now, told, confirmation{})
			if !n.GetUndated() {
				c = c.withoutUndated(told)
			}
		}
	}
	return c
}

// withPeerConfirmation adopts a peer's later confirmation of the same configuration. It
// reports whether the peer may have a newer configuration.
func (c config) withPeerConfirmation(now time.Time, msg *messenger.Presence) (config, bool) {
	if !msg.GetConfigKnown() {
		return c, false
	}
	if msg.GetConfigDigest() != c.digest {
		return c, msg.GetConfigVersion() >= c.version()
	}
	if at, ok := ageReferenceTime(now, msg); ok && at.Add(-age(msg.GetConfigAgeMs())).After(c.confirmedAt) {
		c.confirmedAt = at.Add(-age(msg.GetConfigAgeMs()))
	}
	return c, false
}

// withPeerConfirmation adopts a peer's later confirmation of the same list. It reports
// whether the peer's list differs and was confirmed later by more than margin.
func (l list) withPeerConfirmation(now time.Time, msg *messenger.Presence, margin time.Duration) (list, bool) {
	at, ok := ageReferenceTime(now, msg)
	if !ok || !msg.GetListKnown() {
		return l, false
	}
	at = at.Add(-age(msg.GetListAgeMs()))
	if msg.GetListDigest() != l.digest {
		return l, at.Sub(l.confirmedAt) > margin
	}
	if at.After(l.confirmedAt) {
		l.confirmedAt = at
	}
	return l, false
}

// ageReferenceTime returns the time to which the ages in a presence message refer: when
// this process sent the message that the peer replied to. It reports false if msg is
// not a reply or arrived echoTimeout or more after that message.
func ageReferenceTime(now time.Time, msg *messenger.Presence) (time.Time, bool) {
	if msg.GetEchoNanos() == 0 {
		return time.Time{}, false
	}
	sent := time.Unix(0, int64(msg.GetEchoNanos()))
	roundTrip := now.Sub(sent)
	return sent, roundTrip >= 0 && roundTrip < echoTimeout
}

// age converts an age in milliseconds, as messages contain it.
func age(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// expirePeers removes the peers that have timed out.
func (peersController) expirePeers(now time.Time, s state) (_ state, actions []controller.Action) {
	var lost []tracker.Peer
	s.peers, lost = s.peers.WithoutExpired(now, peerTimeout)
	for _, p := range lost {
		actions = append(actions, logEvent(logger.PeerLost, zap.String("peer", p.Instance), zap.String("address", p.Address)))
	}
	if len(lost) > 0 {
		actions = append(actions, endpointsChanged{})
	}
	return s, actions
}

// reportedAgeStep is the unit of the ages in peer reports.
const reportedAgeStep = 40 * time.Millisecond

// addPeerReports encodes reports in a presence message. It rounds ages up, so that no peer
// looks alive for longer than it was.
func addPeerReports(msg *messenger.Presence, reports []tracker.Report) {
	for _, r := range reports {
		encoded := uint32((r.Age+reportedAgeStep-1)/reportedAgeStep) << 1
		if r.Leaving {
			encoded++
		}
		msg.ReportedPeers = append(msg.ReportedPeers, r.AddressHash)
		msg.ReportedAges = append(msg.ReportedAges, encoded)
	}
}

// peerReports decodes the reports of a presence message.
func peerReports(msg *messenger.Presence) (reports []tracker.Report) {
	ages := msg.GetReportedAges()
	for i, hash := range msg.GetReportedPeers()[:min(len(msg.GetReportedPeers()), len(ages))] {
		reports = append(reports, tracker.Report{
			AddressHash: hash, Age: time.Duration(ages[i]>>1) * reportedAgeStep, Leaving: ages[i]&1 == 1,
		})
	}
	return reports
}
