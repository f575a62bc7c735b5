package placer_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"flamingoledge.org/flamingoledge/pkg/placer"
)

func drawModels(t *rapid.T) []placer.Model {
	var models []placer.Model
	for i := range rapid.IntRange(1, 4).Draw(t, "models") {
		low := rapid.IntRange(0, 3).Draw(t, "min")
		models = append(models, placer.Model{
			Name: fmt.Sprint("m", i), MinReplicas: low, MaxReplicas: max(low+rapid.IntRange(0, 4).Draw(t, "more"), 1),
			Demand: float64(rapid.IntRange(0, 9).Draw(t, "demand")),
		})
	}
	return models
}

func drawMembers(t *rapid.T) []placer.Member {
	var members []placer.Member
	for i := range rapid.IntRange(0, 10).Draw(t, "members") {
		members = append(members, placer.Member{Instance: fmt.Sprint("i", i), Slots: rapid.IntRange(1, 2).Draw(t, "slots")})
	}
	return members
}

func replicas(p placer.Placement) map[string]int {
	n := map[string]int{}
	for _, models := range p {
		for _, m := range models {
			n[m]++
		}
	}
	return n
}

func TestPlacementRespectsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		models, members := drawModels(t), drawMembers(t)
		p := placer.Place(models, members)
		slots, needed := 0, 0
		for _, m := range members {
			is.True(len(p[m.Instance]) <= m.Slots)
			slots += m.Slots
		}
		n := replicas(p)
		for _, m := range models {
			is.True(n[m.Name] <= m.MaxReplicas)
			needed += min(m.MinReplicas, 1)
		}
		for _, m := range models {
			is.True(needed > slots || n[m.Name] >= min(m.MinReplicas, 1)) // one replica of each model first
		}
		is.Equal(replicas(placer.Place(models, members)), n) // the decision is deterministic
	})
}

func TestReplicaOfLostMemberIsReplaced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		members := drawMembers(t)
		if len(members) < 3 {
			return
		}
		models := []placer.Model{{Name: "m", MinReplicas: 2, MaxReplicas: 2}}
		before := placer.Place(models, members)
		lost := rapid.IntRange(0, len(members)-1).Draw(t, "lost")
		rest := append(append([]placer.Member(nil), members[:lost]...), members[lost+1:]...)
		after := placer.Place(models, rest)
		is.Equal(replicas(after)["m"], 2)
		for n := range before {
			if n != members[lost].Instance {
				is.Equal(after[n], before[n]) // the models of other members don't move
			}
		}
	})
}

func TestReplicasSwitchInBatches(t *testing.T) {
	is := is.New(t)
	switched := 0
	for serving := 0; serving < 16; serving = switched {
		switched = 0
		for rank := range 16 {
			if placer.CanSwitchVersion(rank, serving, 16) {
				switched++
			}
		}
		is.True(switched > serving)    // at least one replica can switch
		is.True(switched-serving <= 4) // a quarter at a time
	}
}
