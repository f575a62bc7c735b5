// Package placer decides which models are placed on which endpoints. The decision
// is a pure function of the records, the members and the smoothed demand, so
// sidecars with the same view make the same decision. A differing view may cause
// an extra replica but never removes the last one.
package placer

import (
	"cmp"
	"maps"
	"slices"

	"flamingoledge.org/flamingoledge/pkg/ranker"
)

// Model is a model to place, as configured by the record in force.
type Model struct {
	Name        string
	MinReplicas int
	MaxReplicas int
	// Demand is the smoothed number of requests in progress, expressed in replicas.
	Demand float64
}

// Member is an endpoint that models of the service can be placed on.
type Member struct {
	Instance string
	// Slots is the number of models that fit; 0 counts as 1.
	Slots int
}

// Placement maps instances to the names of the models placed on them, sorted.
type Placement map[string][]string

// Place assigns models to members. First it assigns the minimum replicas, one per
// model and round, so that no model is left out if slots are scarce. Then it
// assigns the remaining slots to the models with the highest demand per replica,
// up to their maximum.
func Place(models []Model, members []Member) Placement {
	models = slices.Clone(models)
	slices.SortFunc(models, func(a, b Model) int { return cmp.Compare(a.Name, b.Name) })
	freeSlots := make(map[string]int, len(members))
	instances := make([]string, 0, len(members))
	for _, m := range members {
		freeSlots[m.Instance] = max(m.Slots, 1)
		instances = append(instances, m.Instance)
	}
	a := assignment{freeSlots: freeSlots, holders: map[string]map[string]struct{}{}, ranked: map[string][]string{}}
	for _, m := range models {
		a.ranked[m.Name] = ranker.Top(m.Name, instances, len(instances))
		a.holders[m.Name] = map[string]struct{}{}
	}
	for round := range maxMinReplicas(models) {
		for _, m := range models {
			if round < m.MinReplicas {
				a.addReplica(m.Name)
			}
		}
	}
	a.assignFreeSlots(models)
	return a.placement()
}

func maxMinReplicas(models []Model) (n int) {
	for _, m := range models {
		n = max(n, m.MinReplicas)
	}
	return n
}

type assignment struct {
	freeSlots map[string]int
	holders   map[string]map[string]struct{}
	ranked    map[string][]string
}

// assignFreeSlots assigns each remaining slot to the model with the highest demand
// per replica.
func (a assignment) assignFreeSlots(models []Model) {
	candidates := slices.Clone(models)
	for len(candidates) > 0 {
		slices.SortStableFunc(candidates, func(x, y Model) int {
			return cmp.Compare(a.demandPerReplica(y), a.demandPerReplica(x))
		})
		m := candidates[0]
		if len(a.holders[m.Name]) >= m.MaxReplicas || !a.addReplica(m.Name) {
			candidates = candidates[1:]
		}
	}
}

// demandPerReplica returns the model's demand per replica, with both increased
// by 1.
func (a assignment) demandPerReplica(m Model) float64 {
	return (m.Demand + 1) / float64(len(a.holders[m.Name])+1)
}

func (a assignment) addReplica(model string) bool {
	for _, instance := range a.ranked[model] {
		if _, ok := a.holders[model][instance]; ok || a.freeSlots[instance] == 0 {
			continue
		}
		a.holders[model][instance] = struct{}{}
		a.freeSlots[instance]--
		return true
	}
	return false
}

func (a assignment) placement() Placement {
	p := Placement{}
	for _, model := range slices.Sorted(maps.Keys(a.holders)) {
		for instance := range a.holders[model] {
			p[instance] = append(p[instance], model)
		}
	}
	return p
}

// maxSwitchingShare is the fraction of a model's replicas that may switch versions
// at the same time if the new version can't be loaded next to the old one.
const maxSwitchingShare = 0.25

// CanSwitchVersion reports whether the replica with the given rank may now unload
// the old version to load the new one. servingNew is the number of replicas that
// already serve the new version.
func CanSwitchVersion(rank, servingNew, replicas int) bool {
	batch := max(int(maxSwitchingShare*float64(replicas)), 1)
	return rank < servingNew+batch
}

// Rank returns the rank of an instance among the holders of a model, which is the
// order in which replicas switch versions, and the number of holders.
func Rank(p Placement, model, instance string) (rank, replicas int) {
	var holders []string
	for holder, models := range p {
		if slices.Contains(models, model) {
			holders = append(holders, holder)
		}
	}
	ranked := ranker.Top(model, holders, len(holders))
	return max(slices.Index(ranked, instance), 0), len(holders)
}
