package retrier_test

import (
	"fmt"
	"time"
)

// A pause that would outlast the deadline is not made.
func Example() {
	b := budget()
	_, refusal := b.AllowRetry(start, start.Add(time.Minute), 1)
	fmt.Printf("%q\n", refusal)
	_, refusal = b.AllowRetry(start, start, 1)
	fmt.Printf("%q\n", refusal)
	// Output:
	// ""
	// "deadline"
}
