package detector_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"flamingoledge.org/flamingoledge/pkg/detector"
)

const patience = 2 * time.Second

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
			d.Start(start, 1, patience)
			d.Start(start, 2, patience)
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

// TestSuspendedEndpointReplayed replays streams at eight endpoints, one of which is
// suspended for four seconds and one of which is four times slower than the others.
func TestSuspendedEndpointReplayed(t *testing.T) {
	const (
		endpoints, streams = 8, 12
		suspended, slow    = 3, 5
		step               = 10 * time.Millisecond
		suspendedFrom      = 2 * time.Second
		suspendedUntil     = 6 * time.Second
		end                = 10 * time.Second
		passTime           = 90 * time.Millisecond
		prefillTime        = 300 * time.Millisecond
	)
	for _, detects := range []bool{false, true} {
		t.Run(fmt.Sprintf("detects=%v", detects), func(t *testing.T) {
			is := is.New(t)
			d := detector.New()
			type stream struct {
				endpoint     int
				lastOutputAt time.Time
				gone         bool
			}
			all := map[uint64]*stream{}
			for i := range uint64(endpoints * streams) {
				all[i] = &stream{endpoint: int(i) % endpoints, lastOutputAt: start}
				d.Start(start, i, patience)
			}
			moved, left := 0, 0
			for at := time.Duration(0); at < end; at += step {
				now := start.Add(at)
				for id, s := range all {
					period := passTime
					if s.endpoint == slow {
						period *= 4
					}
					isSuspended := s.endpoint == suspended && at >= suspendedFrom && at < suspendedUntil
					silence := now.Sub(s.lastOutputAt)
					switch {
					case s.gone:
					case silence >= patience:
						s.gone = true
						left++
					case !isSuspended && silence >= period:
						s.lastOutputAt = now
						d.RecordOutput(now, id)
					}
				}
				if !detects || at%(100*time.Millisecond) != 0 {
					continue
				}
				for _, silent := range d.Check(now) {
					moved++
					is.Equal(all[silent.ID].endpoint, suspended) // the others are only slow
					d.End(silent.ID)
					all[silent.ID].endpoint = (suspended + 1) % endpoints
					all[silent.ID].lastOutputAt = now.Add(prefillTime)
				}
			}
			if detects {
				is.Equal(left, 0)
				is.Equal(moved, streams)
				return
			}
			is.Equal(left, streams)
		})
	}
}
