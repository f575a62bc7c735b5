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
	free := make(map[string]int, len(members))
	names := make([]string, 0, len(members))
	for _, m := range members {
		free[m.Instance] = max(m.Slots, 1)
		names = append(names, m.Instance)
	}
	a := assignment{free: free, held: map[string]map[string]struct{}{}, ranked: map[string][]string{}}
	for _, m := range models {
		a.ranked[m.Name] = ranker.Top(m.Name, names, len(names))
		a.held[m.Name] = map[string]struct{}{}
	}
	for round := range mostNeeded(models) {
		for _, m := range models {
			if round < m.MinReplicas {
				a.addReplica(m.Name)
			}
		}
	}
	a.fill(models)
	return a.placement()
}

func mostNeeded(models []Model) (n int) {
	for _, m := range models {
		n = max(n, m.MinReplicas)
	}
	return n
}

type assignment struct {
	free   map[string]int
	held   map[string]map[string]struct{}
	ranked map[string][]string
}

// fill gives the slots that are left to the model that lacks most.
func (a assignment) fill(models []Model) {
	open := slices.Clone(models)
	for len(open) > 0 {
		slices.SortStableFunc(open, func(x, y Model) int {
			return cmp.Compare(a.lack(y), a.lack(x))
		})
		m := open[0]
		if len(a.held[m.Name]) >= m.MaxReplicas || !a.addReplica(m.Name) {
			open = open[1:]
		}
	}
}

// lack is the demand for each replica that the model has.
func (a assignment) lack(m Model) float64 {
	return (m.Demand + 1) / float64(len(a.held[m.Name])+1)
}

func (a assignment) addReplica(model string) bool {
	for _, n := range a.ranked[model] {
		if _, ok := a.held[model][n]; ok || a.free[n] == 0 {
			continue
		}
		a.held[model][n] = struct{}{}
		a.free[n]--
		return true
	}
	return false
}

func (a assignment) placement() Placement {
	p := Placement{}
	for _, model := range slices.Sorted(maps.Keys(a.held)) {
		for n := range a.held[model] {
			p[n] = append(p[n], model)
		}
	}
	return p
}

// switchingShare is the share of a model's replicas that may change versions at
// the same time where the new version can't be loaded beside the old one.
const switchingShare = 0.25

// CanSwitchVersion tells whether the replica with the given rank may now give up the
// old version for the new one, when so many replicas serve the new one already.
func CanSwitchVersion(rank, servingNew, replicas int) bool {
	wave := max(int(switchingShare*float64(replicas)), 1)
	return rank < servingNew+wave
}

// Rank returns the place of an instance among the holders of a model, by which
// replicas take turns.
func Rank(p Placement, model, instance string) (rank, replicas int) {
	var holders []string
	for n, models := range p {
		if slices.Contains(models, model) {
			holders = append(holders, n)
		}
	}
	ranked := ranker.Top(model, holders, len(holders))
	return max(slices.Index(ranked, instance), 0), len(holders)
}
