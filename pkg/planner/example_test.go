package planner_test

import "fmt"

// Sixteen instances in two regions fetch a version. Each chunk is read from the origin
// once.
func Example() {
	sim := newSimulation(2, 8, 20, 2, 0, 1)
	fmt.Println("unfinished:", sim.run(400))
	copies := 0
	for _, n := range sim.origin {
		copies += n
	}
	fmt.Println("chunks read from the origin:", copies)
	// Output:
	// unfinished: 0
	// chunks read from the origin: 20
}
