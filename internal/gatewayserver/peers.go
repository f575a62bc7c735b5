package gatewayserver

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/internal/messenger"
	"flamingoledge.org/flamingoledge/pkg/controller"
)

// peersController keeps the other entries and takes over what they prove.
type peersController struct {
	self string
}

const (
	// peerTimeout is some missed presences.
	peerTimeout = 2500 * time.Millisecond
	// echoTimeout bounds the round trip of a proof.
	echoTimeout = 2 * time.Second
)

// Handle implements controller.Controller.
func (p peersController) Handle(now time.Time, s state, event controller.Event) (state, []controller.Action) {
	switch e := event.(type) {
	case presenceReceived:
		return p.handlePresence(now, s, e.received)
	case controller.Tick:
		return p.expirePeers(now, s)
	default:
		return s, nil
	}
}

func (p peersController) handlePresence(now time.Time, s state, h *messenger.Presence) (state, []controller.Action) {
	var actions []controller.Action
	if h.GetAddress() == p.self || h.GetAddress() == "" {
		return s, nil
	}
	old, known := s.peers[h.GetAddress()]
	s.peers = cloneMap(s.peers)
	s.peers[h.GetAddress()] = peer{instance: h.GetInstance(), region: h.GetRegion(), lastSeen: now, leaving: h.GetLeaving()}
	if !known {
		actions = append(actions, logEvent(logger.PeerFound, zap.String("peer", h.GetInstance()), zap.String("address", h.GetAddress())))
	}
	if !known || old.leaving != h.GetLeaving() {
		actions = append(actions, endpointsChanged{})
	}
	s.config = s.config.withEarlierVersionAges(now, h.GetNewest())
	var needsConfig, needsList bool
	s.config, needsConfig = s.config.withPeerProof(now, h)
	s.list, needsList = s.list.withPeerProof(now, h)
	if needsConfig || needsList {
		actions = append(actions, peerStateNeeded{address: h.GetAddress()})
	}
	return s, actions
}

// withEarlierNamings takes over when a peer learned of versions that are known here
// too: the bound of older ones counts from their naming, whoever hears of it late.
func (c config) withEarlierVersionAges(now time.Time, newest []*messenger.NamedVersion) config {
	for _, n := range newest {
		if c.newest(n.GetModel()).Version == n.GetVersion() {
			c = c.withVersionAges(now, []versionAge{{model: n.GetModel(), version: n.GetVersion(), age: age(n.GetAgeMs())}})
		}
	}
	return c
}

// compare takes over a peer's proof of the same configuration, and tells whether
// the peer may know something newer.
func (c config) withPeerProof(now time.Time, h *messenger.Presence) (config, bool) {
	if !h.GetConfigKnown() {
		return c, false
	}
	if h.GetConfigDigest() != c.digest {
		return c, h.GetConfigVersion() >= c.version()
	}
	if at, ok := ageReferenceTime(now, h); ok && at.Add(-age(h.GetConfigAgeMs())).After(c.confirmedAt) {
		c.confirmedAt = at.Add(-age(h.GetConfigAgeMs()))
	}
	return c, false
}

// compare does the same for the list.
func (l list) withPeerProof(now time.Time, h *messenger.Presence) (list, bool) {
	at, ok := ageReferenceTime(now, h)
	if !ok || !h.GetListKnown() {
		return l, false
	}
	at = at.Add(-age(h.GetListAgeMs()))
	if h.GetListDigest() != l.digest {
		return l, at.Sub(l.confirmedAt) > listAdoptionMargin
	}
	if at.After(l.confirmedAt) {
		l.confirmedAt = at
	}
	return l, false
}

// listStale is how much fresher a peer's list must be to be taken over; two
// readings of the store are less than that apart.
const listAdoptionMargin = 1200 * time.Millisecond

// proofTime returns the moment from which the ages in a presence count: when this
// process sent what the presence answers.
func ageReferenceTime(now time.Time, h *messenger.Presence) (time.Time, bool) {
	if h.GetEchoNanos() == 0 {
		return time.Time{}, false
	}
	sent := time.Unix(0, int64(h.GetEchoNanos()))
	trip := now.Sub(sent)
	return sent, trip >= 0 && trip < echoTimeout
}

func age(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

func (peersController) expirePeers(now time.Time, s state) (state, []controller.Action) {
	var actions []controller.Action
	for _, address := range slices.Sorted(maps.Keys(s.peers)) {
		p := s.peers[address]
		if now.Sub(p.lastSeen) < peerTimeout {
			continue
		}
		s.peers = maps.Clone(s.peers)
		delete(s.peers, address)
		actions = append(actions, endpointsChanged{},
			logEvent(logger.PeerLost, zap.String("peer", p.instance), zap.String("address", address)))
	}
	return s, actions
}
