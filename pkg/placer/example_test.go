package placer_test

import (
	"fmt"

	"flamingoledge.org/flamingoledge/pkg/placer"
)

// Every model gets its minimum number of replicas before any model gets more.
func Example() {
	p := placer.Place([]placer.Model{
		{Name: "large", MinReplicas: 1, MaxReplicas: 3, Demand: 10},
		{Name: "small", MinReplicas: 1, MaxReplicas: 3},
	}, []placer.Member{{Instance: "a"}, {Instance: "b"}, {Instance: "c"}})
	n := replicas(p)
	fmt.Println(n["large"], n["small"])
	// Output: 2 1
}
