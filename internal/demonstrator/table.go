package demonstrator

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteTable writes a report as a table.
func WriteTable(w io.Writer, r Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range []struct {
		name  string
		value any
	}{
		{"deployment", r.Deployment},
		{"prefer", r.Prefer},
		{"record offset", r.RecordOffset},
		{"record in force everywhere", fmt.Sprintf("%.2f s", r.InForceSeconds)},
		{"replicas serving", r.Replicas},
		{"time to N", fmt.Sprintf("%.2f s (one copy over an instance's link takes %.2f s)", r.TimeToNSeconds, r.MinTransferSeconds)},
		{"origin bytes", fmt.Sprintf("%.2f copies", r.OriginCopies)},
		{"requests answered", r.Answered},
		{"requests refused as not run", r.Refused},
		{"requests with unknown outcome", r.Unknown},
		{"foreign or partial answers", r.Foreign},
		{"orders sent twice", r.Orders},
		{"orders run twice", r.RanTwice},
		{"runs cut off", r.InterruptedRuns},
	} {
		if _, err := fmt.Fprintf(t, "%s\t%v\n", row.name, row.value); err != nil {
			return err
		}
	}
	return t.Flush()
}
