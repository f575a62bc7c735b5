package admitter_test

import (
	"fmt"
	"time"

	"flamingoledge.org/flamingoledge/pkg/admitter"
)

// With a limit of 1, the second request starts when the first one ends.
func Example() {
	now := time.Unix(1000, 0)
	q := admitter.New(admitter.Config{Limit: 1, MaxWaiting: 10})
	r := admitter.Request{ID: 1, Workspace: "market", Weight: 1, Deadline: now.Add(time.Minute)}
	fmt.Println(q.Offer(now, r))
	r.ID = 2
	fmt.Println(q.Offer(now, r))
	started, _ := q.Release(now, "market", time.Second)
	fmt.Println(started)
	// Output:
	// admitted
	// queued
	// [2]
}
