package stager

import (
	"maps"
	"slices"
	"time"

	"flamingoledge.org/flamingoledge/pkg/planner"
)

// carriers are the members of the plans of the last seconds. Endpoints leave the list
// when they restart or when the store lapses their entries, while the sidecars beside
// them go on exchanging chunks: with a list that shrinks to a few, each instance would
// take itself for the first one of its region and read everything from the origin.
type recentMembers struct {
	byInstance map[string]recentMember
}

type recentMember struct {
	member planner.Member
	seenAt time.Time
}

// keepCarriers is longer than endpoints and the store take to come back.
const memberRetention = 10 * time.Second

// saw takes the members of a plan.
func (c *recentMembers) record(now time.Time, members []planner.Member) {
	if c.byInstance == nil {
		c.byInstance = map[string]recentMember{}
	}
	for _, m := range members {
		c.byInstance[m.Instance] = recentMember{member: m, seenAt: now}
	}
	maps.DeleteFunc(c.byInstance, func(_ string, recent recentMember) bool { return now.Sub(recent.seenAt) > memberRetention })
}

// at returns the members that were seen shortly before, by their names.
func (c *recentMembers) current(now time.Time) (members []planner.Member) {
	for _, name := range slices.Sorted(maps.Keys(c.byInstance)) {
		if recent := c.byInstance[name]; now.Sub(recent.seenAt) <= memberRetention {
			members = append(members, recent.member)
		}
	}
	return members
}
