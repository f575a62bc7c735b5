package claimer_test

import (
	"fmt"
	"time"

	"flamingoledge.org/flamingoledge/pkg/claimer"
	"flamingoledge.org/flamingoledge/pkg/provider"
)

// Two sidecars claim the same key. The claim with the lower offset owns it.
func Example() {
	now := time.Unix(1000, 0)
	key := claimer.Key{Workspace: "market", Service: "orders", IdempotencyKey: "k"}
	var records []provider.Record
	for i, attempt := range []string{"first", "second"} {
		data, err := claimer.Entry{Kind: claimer.KindClaim, Key: key, AttemptID: attempt}.Encode()
		if err != nil {
			return
		}
		records = append(records, provider.Record{Offset: uint64(i + 1), AppendedAt: now, Data: data})
	}
	l := claimer.New(claimer.Config{Window: time.Minute, ClockSkew: time.Second})
	l.Apply(now, provider.Page{FirstRetained: 1, Next: 3, Records: records})
	claim, _ := l.ActiveClaim(key)
	fmt.Println(claim.Entry.AttemptID, "owns the key at offset", claim.Offset)
	fmt.Println(l.CheckAge(now, now.Add(-time.Hour)) != nil)
	// Output:
	// first owns the key at offset 1
	// true
}
