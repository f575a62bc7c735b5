package stager

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"flamingoledge.org/flamingoledge/pkg/planner"
)

func TestRecentMembersOutliveThePlan(t *testing.T) {
	start := time.Unix(1000, 0)
	a, b := planner.Member{Instance: "a", Region: "r"}, planner.Member{Instance: "b", Region: "r"}
	tests := map[string]struct {
		// later are the members of a second plan, after the first with a and b.
		later []planner.Member
		after time.Duration
		want  []planner.Member
	}{
		"a member disappears":             {later: []planner.Member{a}, after: 2 * time.Second, want: []planner.Member{a, b}},
		"all members disappear":           {after: 9 * time.Second, want: []planner.Member{a, b}},
		"a member stays away too long":    {later: []planner.Member{a}, after: memberRetention + 1, want: []planner.Member{a}},
		"a member changes its region":     {later: []planner.Member{{Instance: "a", Region: "q"}}, after: time.Second, want: []planner.Member{{Instance: "a", Region: "q"}, b}},
		"all members expire":              {after: memberRetention + 1},
		"the members reappear much later": {later: []planner.Member{a, b}, after: time.Minute, want: []planner.Member{a, b}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var r recentMembers
			r.record(start, []planner.Member{b, a})
			now := start.Add(tc.after)
			r.record(now, tc.later)
			is.Equal(r.current(now), tc.want)
		})
	}
}
