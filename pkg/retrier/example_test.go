package retrier_test

import (
	"fmt"
	"time"
)

// A retry is refused if its pause would end after the deadline.
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
