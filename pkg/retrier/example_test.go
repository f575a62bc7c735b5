package retrier_test

import (
	"fmt"
	"time"
)

// A pause that would outlast the deadline is not made.
func Example() {
	b := budget()
	_, why := b.AllowRetry(start, start.Add(time.Minute), 1)
	fmt.Printf("%q\n", why)
	_, why = b.AllowRetry(start, start, 1)
	fmt.Printf("%q\n", why)
	// Output:
	// ""
	// "deadline"
}
