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
	case presence:
		return p.hear(now, s, e.heard)
	case controller.Tick:
		return p.expire(now, s)
	default:
		return s, nil
	}
}

func (p peersController) hear(now time.Time, s state, h *messenger.Presence) (state, []controller.Action) {
	var actions []controller.Action
	if h.GetAddress() == p.self || h.GetAddress() == "" {
		return s, nil
	}
	old, known := s.peers[h.GetAddress()]
	s.peers = cloned(s.peers)
	s.peers[h.GetAddress()] = peer{instance: h.GetInstance(), region: h.GetRegion(), heardAt: now, leaving: h.GetLeaving()}
	if !known {
		actions = append(actions, note(logger.PeerFound, zap.String("peer", h.GetInstance()), zap.String("address", h.GetAddress())))
	}
	if !known || old.leaving != h.GetLeaving() {
		actions = append(actions, endpointsChanged{})
	}
	s.config = s.config.withEarlierNamings(now, h.GetNewest())
	var lacksConfig, lacksList bool
	s.config, lacksConfig = s.config.compare(now, h)
	s.list, lacksList = s.list.compare(now, h)
	if lacksConfig || lacksList {
		actions = append(actions, beliefWanted{address: h.GetAddress()})
	}
	return s, actions
}

// withEarlierNamings takes over when a peer learned of versions that are known here
// too: the bound of older ones counts from their naming, whoever hears of it late.
func (c config) withEarlierNamings(now time.Time, newest []*messenger.NamedVersion) config {
	for _, n := range newest {
		if c.newest(n.GetModel()).Version == n.GetVersion() {
			c = c.withNamings(now, []naming{{model: n.GetModel(), version: n.GetVersion(), age: age(n.GetAgeMs())}})
		}
	}
	return c
}

// compare takes over a peer's proof of the same configuration, and tells whether
// the peer may know something newer.
func (c config) compare(now time.Time, h *messenger.Presence) (config, bool) {
	if !h.GetConfigKnown() {
		return c, false
	}
	if h.GetConfigDigest() != c.digest {
		return c, h.GetConfigVersion() >= c.version()
	}
	if at, ok := proofTime(now, h); ok && at.Add(-age(h.GetConfigAgeMs())).After(c.provenAt) {
		c.provenAt = at.Add(-age(h.GetConfigAgeMs()))
	}
	return c, false
}

// compare does the same for the list.
func (l list) compare(now time.Time, h *messenger.Presence) (list, bool) {
	at, ok := proofTime(now, h)
	if !ok || !h.GetListKnown() {
		return l, false
	}
	at = at.Add(-age(h.GetListAgeMs()))
	if h.GetListDigest() != l.digest {
		return l, at.Sub(l.provenAt) > listStale
	}
	if at.After(l.provenAt) {
		l.provenAt = at
	}
	return l, false
}

// listStale is how much fresher a peer's list must be to be taken over; two
// readings of the store are less than that apart.
const listStale = 1200 * time.Millisecond

// proofTime returns the moment from which the ages in a presence count: when this
// process sent what the presence answers.
func proofTime(now time.Time, h *messenger.Presence) (time.Time, bool) {
	if h.GetEchoNanos() == 0 {
		return time.Time{}, false
	}
	sent := time.Unix(0, int64(h.GetEchoNanos()))
	trip := now.Sub(sent)
	return sent, trip >= 0 && trip < echoTimeout
}

func age(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

func (peersController) expire(now time.Time, s state) (state, []controller.Action) {
	var actions []controller.Action
	for _, address := range slices.Sorted(maps.Keys(s.peers)) {
		p := s.peers[address]
		if now.Sub(p.heardAt) < peerTimeout {
			continue
		}
		s.peers = maps.Clone(s.peers)
		delete(s.peers, address)
		actions = append(actions, endpointsChanged{},
			note(logger.PeerLost, zap.String("peer", p.instance), zap.String("address", address)))
	}
	return s, actions
}
