package router_test

import (
	"fmt"
	"time"

	"flamingoledge.org/flamingoledge/pkg/router"
)

// The less loaded of the compared endpoints is chosen.
func Example() {
	joinedAt := time.Unix(0, 0)
	table := router.NewTable([]router.Endpoint{
		{Instance: "busy", Service: "engine", Load: router.Load{Running: 7, Capacity: 8}, JoinedAt: joinedAt},
		{Instance: "idle", Service: "engine", Load: router.Load{Running: 1, Capacity: 8}, JoinedAt: joinedAt},
	}, nil)
	c, ok := table.Pick(router.Config{}, time.Unix(1000, 0), router.Query{GroupKey: router.GroupKey{Service: "engine"}, Random: 1 << 63})
	fmt.Println(ok, c.Endpoint.Instance, c.Reason, c.Cost, c.OtherCost)
	// Output: true idle cheapest 0.25 1
}
