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

// TestNamedVersions checks that a sidecar tells entries that start later how long ago a version was
// named, whatever it was told later by an entry that dated it by a wrong clock.
func TestNamedVersions(t *testing.T) {
	const ms = time.Millisecond
	at := time.Unix(1000, 0)
	reply := func(ageMs uint32, held bool) *messenger.PlanReply {
		return &messenger.PlanReply{Versions: []*messenger.NamedVersion{{Model: "m", Version: 2, AgeMs: ageMs, Held: held}}}
	}
	tests := map[string]struct {
		replies []*messenger.PlanReply
		// want is the age 5 s after the first reply; 0 for none.
		want time.Duration
	}{
		"told once":            {replies: []*messenger.PlanReply{reply(200, false)}, want: 5200 * ms},
		"dated later":          {replies: []*messenger.PlanReply{reply(200, false), reply(0, false)}, want: 5200 * ms},
		"dated earlier":        {replies: []*messenger.PlanReply{reply(200, false), reply(3000, false)}, want: 7 * time.Second},
		"held, but not named":  {replies: []*messenger.PlanReply{reply(200, true)}},
		"no version was named": {replies: []*messenger.PlanReply{{}}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var n dater.Namings
			for i, p := range tc.replies {
				n = withNamed(n, at.Add(time.Duration(i)*time.Second), p)
			}
			told := toNamed(at.Add(5*time.Second), n)
			if tc.want == 0 {
				is.Equal(len(told), 0)
				return
			}
			is.Equal(len(told), 1)
			is.Equal(time.Duration(told[0].GetAgeMs())*ms, tc.want)
		})
	}
}
