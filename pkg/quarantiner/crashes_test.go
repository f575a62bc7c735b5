package quarantiner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"flamingoledge.org/flamingoledge/pkg/quarantiner"
)

func TestCrashLedger(t *testing.T) {
	start := time.Unix(1000, 0)
	crash := func(endpoint uint64, ms int) quarantiner.Crash {
		return quarantiner.Crash{Fingerprint: 7, EndpointHash: endpoint, At: start.Add(time.Duration(ms) * time.Millisecond)}
	}
	tests := map[string]struct {
		crashes []quarantiner.Crash
		after   time.Duration
		want    bool
	}{
		"none":                                {},
		"two endpoints":                       {crashes: []quarantiner.Crash{crash(1, 0), crash(2, 10)}},
		"three endpoints":                     {crashes: []quarantiner.Crash{crash(1, 0), crash(2, 10), crash(3, 20)}, want: true},
		"one crash reported by three entries": {crashes: []quarantiner.Crash{crash(1, 0), crash(1, 10), crash(1, 30)}},
		"three crashes of one endpoint":       {crashes: []quarantiner.Crash{crash(1, 0), crash(1, 5000), crash(1, 10000)}, want: true},
		"expired crashes":                     {crashes: []quarantiner.Crash{crash(1, 0), crash(2, 10), crash(3, 20)}, after: 2 * time.Minute},
		"another request is not convicted":    {crashes: []quarantiner.Crash{{Fingerprint: 8, EndpointHash: 1, At: start}, {Fingerprint: 8, EndpointHash: 2, At: start}, {Fingerprint: 8, EndpointHash: 3, At: start}}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := quarantiner.NewCrashLedger()
			for _, c := range tc.crashes {
				l.Add(c)
			}
			is.Equal(l.IsConvicted(start.Add(11*time.Second+tc.after), 7), tc.want)
		})
	}
}

func TestRecentReturnsNewestCrashes(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	l := quarantiner.NewCrashLedger()
	for i := range uint64(40) {
		l.Add(quarantiner.Crash{Fingerprint: i, EndpointHash: 1, At: start.Add(time.Duration(i) * time.Second)})
	}
	now := start.Add(40 * time.Second)
	recent := l.Recent(now)
	is.Equal(len(recent), 4)
	is.Equal(recent[0].Fingerprint, uint64(39))
}
