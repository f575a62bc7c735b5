package stager

import (
	"maps"
	"slices"
	"time"

	"flamingoledge.org/flamingoledge/pkg/planner"
)

// recentMembers are the members of the plans of the last memberRetention. An endpoint
// disappears from the plan when it restarts or when its record in the store expires, but
// its sidecar continues to exchange chunks. If the list shrank to a few members, each
// instance would rank itself first in its region and read everything from the origin.
type recentMembers struct {
	byInstance map[string]recentMember
}

// recentMember is a member and when a plan last contained it.
type recentMember struct {
	member planner.Member
	seenAt time.Time
}

// memberRetention is longer than a restart of an endpoint or of the store takes.
const memberRetention = 10 * time.Second

// record adds the members of a plan and removes expired ones.
func (r *recentMembers) record(now time.Time, members []planner.Member) {
	if r.byInstance == nil {
		r.byInstance = map[string]recentMember{}
	}
	for _, m := range members {
		r.byInstance[m.Instance] = recentMember{member: m, seenAt: now}
	}
	maps.DeleteFunc(r.byInstance, func(_ string, recent recentMember) bool { return now.Sub(recent.seenAt) > memberRetention })
}

// current returns the members that were seen within memberRetention, sorted by name.
func (r *recentMembers) current(now time.Time) (members []planner.Member) {
	for _, name := range slices.Sorted(maps.Keys(r.byInstance)) {
		if recent := r.byInstance[name]; now.Sub(recent.seenAt) <= memberRetention {
			members = append(members, recent.member)
		}
	}
	return members
}
