// Package placer decides which models an endpoint holds. The decision is a pure
// function of the records, the members and the smoothed demand, so that sidecars
// with the same view decide alike and a differing view may cost an extra replica
// but never takes the last one away.
package placer

import (
	"cmp"
	"maps"
	"slices"

	"flamingoledge.org/flamingoledge/pkg/ranker"
)

// Model is what the record in force asks for.
type Model struct {
	Name        string
	MinReplicas int
	MaxReplicas int
	// Demand is the smoothed number of requests in progress, in replicas' worth.
	Demand float64
}

// Member is an endpoint that can hold models of the service.
type Member struct {
	Instance string
	// Slots is how many models fit; 0 counts as 1.
	Slots int
}

// Placement maps instances to the models that they hold, sorted by name.
type Placement map[string][]string

// Place assigns models to members. First each model gets its minimum, one replica
// in each round, so that none is left out where slots are short; then the slots
// that are left go to the models in most demand up to their maximum.
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

// assignFreeSlots gives the slots that are left to the model that lacks most.
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

// demandPerReplica is the demand for each replica that the model has.
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

// maxSwitchingShare is the share of a model's replicas that may change versions at
// the same time where the new version can't be loaded beside the old one.
const maxSwitchingShare = 0.25

// CanSwitchVersion tells whether the replica with the given rank may now give up the
// old version for the new one, when so many replicas serve the new one already.
func CanSwitchVersion(rank, servingNew, replicas int) bool {
	batch := max(int(maxSwitchingShare*float64(replicas)), 1)
	return rank < servingNew+batch
}

// Rank returns the place of an instance among the holders of a model, by which
// replicas take turns.
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
