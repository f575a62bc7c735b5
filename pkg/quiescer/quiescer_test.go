package quiescer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"flamingoledge.org/flamingoledge/pkg/quiescer"
)

var (
	startedAt = time.Unix(1000, 0)
	config    = quiescer.Config{Grace: 7300 * time.Millisecond, RegularTime: 2500 * time.Millisecond, DeliveryTime: 100 * time.Millisecond}
)

// TestMayStart guards against requests that are passed on during a stop and cut off at its end.
func TestMayStart(t *testing.T) {
	tests := map[string]struct {
		// receivedAt and now are counted from the start of the stop, deadline and expected from now.
		receivedAt, now, deadline, expected time.Duration
		want                                bool
	}{
		"answered or given up before the end":       {receivedAt: 4 * time.Second, now: 4 * time.Second, deadline: 3 * time.Second, want: true},
		"given up just before the end":              {receivedAt: 4 * time.Second, now: 4 * time.Second, deadline: 3200 * time.Millisecond, want: true},
		"given up during the delivery":              {receivedAt: 4 * time.Second, now: 4 * time.Second, deadline: 3250 * time.Millisecond},
		"regular, expected before the end":          {receivedAt: 2 * time.Second, now: 2 * time.Second, deadline: 6 * time.Second, expected: 3 * time.Second, want: true},
		"regular, expected at the end":              {receivedAt: 2 * time.Second, now: 2 * time.Second, deadline: 6 * time.Second, expected: 3500 * time.Millisecond},
		"regular, of unknown length":                {receivedAt: time.Second, now: time.Second, deadline: 7 * time.Second},
		"regular, waited or resumed, expected":      {receivedAt: 2 * time.Second, now: 5 * time.Second, deadline: 6 * time.Second, expected: time.Second, want: true},
		"regular, waited too long":                  {receivedAt: 2 * time.Second, now: 6 * time.Second, deadline: 6 * time.Second, expected: time.Second},
		"late, expected before the end":             {receivedAt: 4600 * time.Millisecond, now: 4600 * time.Millisecond, deadline: 6 * time.Second, expected: time.Second},
		"late, given up after the end":              {receivedAt: 6 * time.Second, now: 6 * time.Second, deadline: 1300 * time.Millisecond, expected: 20 * time.Millisecond},
		"read before the stop, expected before end": {receivedAt: -time.Second, now: time.Second, deadline: 8 * time.Second, expected: 2 * time.Second, want: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := startedAt.Add(tc.now)
			r := quiescer.Request{ReceivedAt: startedAt.Add(tc.receivedAt), Deadline: now.Add(tc.deadline), ExpectedTime: tc.expected}
			is.Equal(quiescer.New(config, startedAt).MayStart(now, r), tc.want)
			is.True(quiescer.Stop{}.MayStart(now, r))
		})
	}
}

// TestLateCallersAreNotCutOff replays callers who connect during a stop and send late, to
// endpoints whose answers take up to twice the expected time. None whose request came after the
// regular time may be cut off, and all that are certain to be answered are passed on.
func TestLateCallersAreNotCutOff(t *testing.T) {
	is := is.New(t)
	const step = 50 * time.Millisecond
	stop := quiescer.New(config, startedAt)
	started := 0
	for sentAfter := config.RegularTime + step; sentAfter < config.Grace; sentAfter += step {
		for _, deadline := range []time.Duration{600 * time.Millisecond, 3 * time.Second, 6 * time.Second} {
			for _, expected := range []time.Duration{0, 20 * time.Millisecond, time.Second, 4 * time.Second} {
				now := startedAt.Add(sentAfter)
				if !stop.MayStart(now, quiescer.Request{ReceivedAt: now, Deadline: now.Add(deadline), ExpectedTime: expected}) {
					is.True(sentAfter+deadline > config.Grace-config.DeliveryTime)
					continue
				}
				started++
				is.True(!now.Add(min(2*expected, deadline)).After(stop.EndsAt()))
			}
		}
	}
	is.True(started > 0)
}
