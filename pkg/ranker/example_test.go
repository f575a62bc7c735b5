package ranker_test

import (
	"fmt"
	"slices"

	"flamingoledge.org/flamingoledge/pkg/ranker"
)

// Removing a member moves only the keys that it had.
func ExampleBest() {
	members := []string{"a", "b", "c", "d"}
	moved := 0
	for i := range 1000 {
		key := fmt.Sprint("key-", i)
		before, _ := ranker.Best(key, members)
		after, _ := ranker.Best(key, members[:3])
		if before != "d" && before != after {
			moved++
		}
	}
	fmt.Println("keys of others that moved:", moved)
	first, _ := ranker.Best("key", members)
	fmt.Println(slices.Index(ranker.Top("key", members, 4), first))
	// Output:
	// keys of others that moved: 0
	// 0
}
