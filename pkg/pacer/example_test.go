package pacer_test

import (
	"fmt"
	"time"

	"flamingoledge.org/flamingoledge/pkg/pacer"
)

// Transfers are limited to a share of the link, which is smaller while requests are in
// progress.
func Example() {
	now := time.Unix(1000, 0)
	p := pacer.New(pacer.Config{BytesPerSecond: 1000, BusyShare: 0.5, IdleShare: 1, BusyDuration: time.Minute})
	fmt.Println(p.Reserve(now, 1000), p.Reserve(now, 1000), p.Reserve(now, 1000))
	p.RecordRequest(now.Add(3 * time.Second))
	fmt.Println(p.Reserve(now.Add(3*time.Second), 1000), p.Reserve(now.Add(3*time.Second), 1000))
	// Output:
	// 0s 1s 2s
	// 0s 2s
}
