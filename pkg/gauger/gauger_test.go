package gauger_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"flamingoledge.org/flamingoledge/pkg/gauger"
)

var start = time.Unix(1000, 0)

// chunk is one that arrives at a time after the start.
type chunk struct {
	at      time.Duration
	sender  string
	latency time.Duration
}

// row returns chunks that arrive from alternating senders, 250 ms apart, the last one at a
// time.
func row(at time.Duration, senders []string, latencies ...time.Duration) (cs []chunk) {
	for i, l := range latencies {
		cs = append(cs, chunk{at - time.Duration(len(latencies)-1-i)*250*time.Millisecond, senders[i%len(senders)], l})
	}
	return cs
}

func TestDelay(t *testing.T) {
	const ms = time.Millisecond
	one, two := []string{"a"}, []string{"a", "b"}
	tests := map[string]struct {
		chunks []chunk
		at     time.Duration
		want   time.Duration
	}{
		"no chunks":         {},
		"too few chunks":    {chunks: row(time.Second, two, 900*ms, 900*ms), at: time.Second},
		"usual latencies":   {chunks: row(time.Second, two, 90*ms, 190*ms, 140*ms), at: time.Second},
		"congested link":    {chunks: row(time.Second, two, 990*ms, 1340*ms, 1360*ms), at: time.Second, want: 990 * ms},
		"one slow sender":   {chunks: row(time.Second, one, 900*ms, 900*ms, 900*ms), at: time.Second},
		"one late chunk":    {chunks: row(time.Second, two, 100*ms, 2900*ms, 120*ms), at: time.Second},
		"far apart":         {chunks: append(row(0, two, 900*ms, 900*ms), chunk{5 * time.Second, "a", 900 * ms}), at: 5 * time.Second},
		"later chunks fast": {chunks: append(row(time.Second, two, 900*ms, 900*ms, 900*ms), row(2*time.Second, two, 90*ms, 90*ms, 90*ms)...), at: 2 * time.Second, want: 900 * ms},
		"expires":           {chunks: row(time.Second, two, 900*ms, 900*ms, 900*ms), at: 3500 * ms},
		"longest counts":    {chunks: row(2*time.Second, two, 400*ms, 500*ms, 600*ms, 700*ms, 300*ms), at: 2 * time.Second, want: 500 * ms},
		"nonsense":          {chunks: row(time.Second, two, math.MaxInt64, math.MaxInt64, time.Hour), at: time.Second, want: gauger.MaxDelay},
		"negative":          {chunks: row(time.Second, two, -time.Hour, 900*ms, 900*ms), at: time.Second},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := gauger.New()
			for _, c := range tc.chunks {
				g.Record(start.Add(c.at), c.sender, c.latency)
			}
			is.Equal(g.Delay(start.Add(tc.at)), tc.want)
		})
	}
}
