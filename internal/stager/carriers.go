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
type carriers struct {
	byInstance map[string]carrier
}

type carrier struct {
	member planner.Member
	seenAt time.Time
}

// keepCarriers is longer than endpoints and the store take to come back.
const keepCarriers = 10 * time.Second

// saw takes the members of a plan.
func (c *carriers) saw(now time.Time, members []planner.Member) {
	if c.byInstance == nil {
		c.byInstance = map[string]carrier{}
	}
	for _, m := range members {
		c.byInstance[m.Instance] = carrier{member: m, seenAt: now}
	}
	maps.DeleteFunc(c.byInstance, func(_ string, one carrier) bool { return now.Sub(one.seenAt) > keepCarriers })
}

// at returns the members that were seen shortly before, by their names.
func (c *carriers) at(now time.Time) (members []planner.Member) {
	for _, name := range slices.Sorted(maps.Keys(c.byInstance)) {
		if one := c.byInstance[name]; now.Sub(one.seenAt) <= keepCarriers {
			members = append(members, one.member)
		}
	}
	return members
}
