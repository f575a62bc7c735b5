package planner_test

import "fmt"

// Sixteen instances of two regions fetch a version; each chunk leaves the origin
// once.
func Example() {
	w := newWorld(2, 8, 20, 2, 0, 1)
	fmt.Println("unfinished:", w.run(400))
	copies := 0
	for _, n := range w.origin {
		copies += n
	}
	fmt.Println("chunks read from the origin:", copies)
	// Output:
	// unfinished: 0
	// chunks read from the origin: 20
}
