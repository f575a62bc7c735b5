package snapshotter_test

import (
	"fmt"
	"time"

	"flamingoledge.org/flamingoledge/pkg/snapshotter"
)

// The process of rank 1 waits for that of rank 0. A late snapshot by a writer that
// was paused is ignored.
func Example() {
	cfg := snapshotter.Config{RecordInterval: 10, TimeInterval: time.Hour, RankDelay: time.Second}
	now := time.Unix(1000, 0)
	s := snapshotter.State{}.WithSnapshot(now, 100)
	s, due := s.Decide(cfg, now, 105, 0)
	fmt.Println(due)
	s, due = s.Decide(cfg, now, 110, 1)
	fmt.Println(due)
	s, due = s.Decide(cfg, now.Add(time.Second), 110, 1)
	fmt.Println(due)
	s = s.WithSnapshot(now, 110).WithSnapshot(now, 50)
	fmt.Println(s.LastOffset())
	// Output:
	// false
	// false
	// true
	// 110
}
