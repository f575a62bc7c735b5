package acceptor_test

import (
	"fmt"

	"flamingoledge.org/flamingoledge/pkg/acceptor"
)

// If two records have the same base, the first one in the log is accepted.
func Example() {
	s, outcomes := acceptor.State{}.WithRecords([]acceptor.LogRecord{
		{Offset: 1, Data: record("first", "model:a", 0)},
		{Offset: 2, Data: record("second", "model:a", 0)},
		{Offset: 3, Data: record("third", "model:a", 1)},
	})
	for _, o := range outcomes {
		fmt.Println(o.RecordID, o.Verdict, o.WinnerOffset)
	}
	fmt.Println(s.LastOffset())
	// Output:
	// first accepted 1
	// second conflict 1
	// third accepted 3
	// 3
}
