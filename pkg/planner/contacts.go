package planner

import "time"

// RecordPeerContact records that an instance has announced all that it holds, which may be
// nothing.
func (p *Planner) RecordPeerContact(name string) {
	if p.regionOf(name) == p.cfg.Self.Region {
		p.contacts[name] = struct{}{}
	}
}

// settledContacts is the number of announcements that end the settle delay: one neighbour
// may have started together with this instance although others hold the version.
const settledContacts = 2

// isSettling reports whether neighbours may still announce chunks for the first time.
func (p *Planner) isSettling(now time.Time) bool {
	return now.Before(p.settleUntil) && len(p.contacts) < settledContacts
}
