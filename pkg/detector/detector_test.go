package detector_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"flamingoledge.org/flamingoledge/pkg/detector"
)

const idleTimeout = 2 * time.Second

var start = time.Unix(100, 0)

func TestCheck(t *testing.T) {
	type output struct {
		id uint64
		at time.Duration
	}
	tests := map[string]struct {
		outputs []output
		ended   []uint64
		// checkedFrom is when the regular checks begin.
		checkedFrom time.Duration
		at          time.Duration
		want        []detector.Silence
	}{
		"within the limit":          {at: 700 * time.Millisecond},
		"both silent":               {at: 800 * time.Millisecond, want: []detector.Silence{{ID: 1, Duration: 800 * time.Millisecond}, {ID: 2, Duration: 800 * time.Millisecond}}},
		"one has sent":              {outputs: []output{{1, 500 * time.Millisecond}}, at: time.Second, want: []detector.Silence{{ID: 2, Duration: time.Second}}},
		"longest silence first":     {outputs: []output{{1, 100 * time.Millisecond}}, at: time.Second, want: []detector.Silence{{ID: 2, Duration: time.Second}, {ID: 1, Duration: 900 * time.Millisecond}}},
		"one has ended":             {ended: []uint64{1}, at: time.Second, want: []detector.Silence{{ID: 2, Duration: time.Second}}},
		"output of an unknown one":  {outputs: []output{{9, 0}}, at: 700 * time.Millisecond},
		"this process did not run":  {checkedFrom: time.Second, at: 1700 * time.Millisecond},
		"silent after it ran again": {checkedFrom: time.Second, at: 1800 * time.Millisecond, want: []detector.Silence{{ID: 1, Duration: 800 * time.Millisecond}, {ID: 2, Duration: 800 * time.Millisecond}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := detector.New()
			d.Check(start)
			d.Start(start, 1, idleTimeout)
			d.Start(start, 2, idleTimeout)
			for _, o := range tt.outputs {
				d.RecordOutput(start.Add(o.at), o.id)
			}
			for _, id := range tt.ended {
				d.End(id)
			}
			var got []detector.Silence
			for at := tt.checkedFrom; at <= tt.at; at += 100 * time.Millisecond {
				got = d.Check(start.Add(at))
			}
			is.Equal(got, tt.want)
		})
	}
}

const (
	replayedEndpoints, streamsEach = 8, 12
	suspended, slow                = 3, 5
	suspendedFrom, suspendedUntil  = 2 * time.Second, 6 * time.Second
	replayLength, replayStep       = 10 * time.Second, 10 * time.Millisecond
	checkEvery                     = 100 * time.Millisecond
	passTime, slowPassTime         = 90 * time.Millisecond, 360 * time.Millisecond
	prefillTime                    = 300 * time.Millisecond
)

// stream is a stream of a replay.
type stream struct {
	endpoint     int
	lastOutputAt time.Time
	gone         bool
}

// step advances a stream and reports whether it has output. Its caller leaves if it is silent
// for too long.
func (s *stream) step(at time.Duration) (hasOutput bool) {
	now := start.Add(at)
	period := passTime
	if s.endpoint == slow {
		period = slowPassTime
	}
	silence := now.Sub(s.lastOutputAt)
	isSuspended := s.endpoint == suspended && at >= suspendedFrom && at < suspendedUntil
	s.gone = s.gone || silence >= idleTimeout
	if s.gone || isSuspended || silence < period {
		return false
	}
	s.lastOutputAt = now
	return true
}

// TestSuspendedEndpointReplayed replays streams at eight endpoints, one of which is
// suspended for four seconds and one of which is four times slower than the others.
func TestSuspendedEndpointReplayed(t *testing.T) {
	for _, detects := range []bool{false, true} {
		t.Run(fmt.Sprintf("detects=%v", detects), func(t *testing.T) {
			is := is.New(t)
			d := detector.New()
			streams := map[uint64]*stream{}
			for i := range uint64(replayedEndpoints * streamsEach) {
				streams[i] = &stream{endpoint: int(i) % replayedEndpoints, lastOutputAt: start}
				d.Start(start, i, idleTimeout)
			}
			moved := 0
			for at := time.Duration(0); at < replayLength; at += replayStep {
				now := start.Add(at)
				for id, s := range streams {
					if s.step(at) {
						d.RecordOutput(now, id)
					}
				}
				if !detects || at%checkEvery != 0 {
					continue
				}
				for _, silent := range d.Check(now) {
					moved++
					s := streams[silent.ID]
					is.Equal(s.endpoint, suspended) // the others are only slow
					d.End(silent.ID)
					s.endpoint, s.lastOutputAt = (suspended+1)%replayedEndpoints, now.Add(prefillTime)
				}
			}
			left := 0
			for _, s := range streams {
				if s.gone {
					left++
				}
			}
			if detects {
				is.Equal(left, 0)
				is.Equal(moved, streamsEach)
				return
			}
			is.Equal(left, streamsEach)
		})
	}
}
