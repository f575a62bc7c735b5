package agentserver

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"flamingoledge.org/flamingoledge/internal/messenger"
	"flamingoledge.org/flamingoledge/pkg/dater"
)

// TestConfirmedVersions checks that a sidecar never tells of a confirmation that is more
// recent than the one that an entry told it of.
func TestConfirmedVersions(t *testing.T) {
	const ms = time.Millisecond
	sentAt := time.Unix(1000, 0)
	tests := map[string]struct {
		replies []*messenger.PlanReply
		// want is the age 5 s after sentAt, by version.
		want map[uint64]time.Duration
	}{
		"entry of an older build": {replies: []*messenger.PlanReply{{Known: true}}},
		"answered at once":        {replies: []*messenger.PlanReply{{Confirmed: []*messenger.ConfirmedVersion{{Model: "m", Version: 1, AgeMs: 300}}}}, want: map[uint64]time.Duration{1: 5301 * ms}},
		"waited":                  {replies: []*messenger.PlanReply{{WaitedMs: 2000, Confirmed: []*messenger.ConfirmedVersion{{Model: "m", Version: 1, AgeMs: 300}}}}, want: map[uint64]time.Duration{1: 3301 * ms}},
		"a newer version since": {
			replies: []*messenger.PlanReply{
				{Confirmed: []*messenger.ConfirmedVersion{{Model: "m", Version: 1, AgeMs: 300}}},
				{WaitedMs: 2000, Confirmed: []*messenger.ConfirmedVersion{{Model: "m", Version: 2, AgeMs: 300}}},
			},
			want: map[uint64]time.Duration{1: 5301 * ms, 2: 3301 * ms},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var c dater.Confirmations
			for _, p := range tc.replies {
				c = withConfirmed(c, sentAt, p)
			}
			told := toConfirmed(sentAt.Add(5*time.Second), c)
			is.Equal(len(told), len(tc.want))
			for _, v := range told {
				is.Equal(time.Duration(v.GetAgeMs())*ms, tc.want[v.GetVersion()])
			}
		})
	}
}
