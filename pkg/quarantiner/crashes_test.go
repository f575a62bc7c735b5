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

func TestCrashLedgerWithProbes(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := map[string]struct {
		crashes, started, ended int
		want                    bool
	}{
		"no probe":                       {crashes: 2},
		"too few to convict":             {crashes: 1, started: 1},
		"one decides":                    {crashes: 2, started: 1, want: true},
		"two decide together":            {crashes: 1, started: 2, want: true},
		"three decide together":          {started: 3, want: true},
		"the one that decides has ended": {crashes: 2, started: 1, ended: 1},
		"one of two has ended":           {crashes: 2, started: 2, ended: 1, want: true},
		"convicted already":              {crashes: 3, started: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := quarantiner.NewCrashLedger()
			for i := range tc.crashes {
				l.Add(quarantiner.Crash{Fingerprint: 7, EndpointHash: uint64(i), At: start})
			}
			for range tc.started {
				l.StartProbe(7)
			}
			for range tc.ended {
				l.EndProbe(7)
			}
			is.Equal(l.IsUndecided(start, 7), tc.want)
			is.Equal(l.IsConvicted(start, 7), tc.crashes == 3)
			is.Equal(l.IsUndecided(start, 8), false) // another request
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
