package admitter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"flamingoledge.org/flamingoledge/pkg/admitter"
)

var start = time.Unix(1000, 0)

func request(id uint64, workspace string, weight int) admitter.Request {
	return admitter.Request{ID: id, Workspace: workspace, Weight: weight, Deadline: start.Add(time.Hour)}
}

func TestSharesFollowWeights(t *testing.T) {
	is := is.New(t)
	q := admitter.New(admitter.Config{Limit: 1, MaxWaiting: 1000})
	is.Equal(q.Offer(start, request(0, "first", 1)), admitter.VerdictAdmitted)
	owner := map[uint64]string{}
	for i := uint64(1); i <= 200; i++ {
		w, weight := "small", 1
		if i%2 == 0 {
			w, weight = "large", 3
		}
		owner[i] = w
		is.Equal(q.Offer(start, request(i, w, weight)), admitter.VerdictQueued)
	}
	served := map[string]int{}
	last := "first"
	for range 80 {
		started, late := q.Release(start, last, time.Millisecond)
		is.Equal(len(started), 1)
		is.Equal(len(late), 0)
		last = owner[started[0]]
		served[last]++
	}
	is.True(served["large"] >= 58 && served["large"] <= 62) // three quarters
}

func TestBusyWorkspaceDoesNotDelayOthers(t *testing.T) {
	is := is.New(t)
	q := admitter.New(admitter.Config{Limit: 1, MaxWaiting: 1000})
	q.Offer(start, request(0, "loud", 1))
	for i := uint64(1); i <= 100; i++ {
		q.Offer(start, request(i, "loud", 1))
	}
	q.Offer(start, request(1000, "quiet", 1))
	for range 3 {
		if started, _ := q.Release(start, "loud", time.Millisecond); started[0] == 1000 {
			return
		}
	}
	is.Fail() // the quiet workspace waited behind more than two requests
}

func TestSlotsAreReservedForWorkspacesWithinShare(t *testing.T) {
	is := is.New(t)
	q := admitter.New(admitter.Config{Limit: 10, MaxWaiting: 100})
	is.Equal(q.Offer(start, request(1, "quiet", 1)), admitter.VerdictAdmitted)
	admitted := 0
	for id := uint64(10); id < 40; id++ {
		if q.Offer(start, request(id, "loud", 1)) == admitter.VerdictAdmitted {
			admitted++
		}
	}
	is.True(admitted == 7 || admitted == 8) // one of ten slots is in use and one or two are reserved
	is.Equal(q.Offer(start, request(2, "quiet", 1)), admitter.VerdictAdmitted)
}

func TestLimitsAndDeadlines(t *testing.T) {
	for name, tc := range map[string]struct {
		waiting  int
		deadline time.Duration
		verdict  admitter.Verdict
	}{
		"queue not full":      {0, time.Hour, admitter.VerdictQueued},
		"too many waiting":    {5, time.Hour, admitter.VerdictFull},
		"deadline passed":     {0, 0, admitter.VerdictLate},
		"would be too late":   {4, 10 * time.Millisecond, admitter.VerdictLate},
		"ends after deadline": {0, 500 * time.Millisecond, admitter.VerdictLate},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := admitter.New(admitter.Config{Limit: 1, MaxWaiting: 5})
			q.Offer(start, request(1, "w", 1))
			q.Release(start, "w", time.Second) // the mean service time is a second
			q.Offer(start, request(2, "w", 1))
			for i := range tc.waiting {
				q.Offer(start, request(uint64(10+i), "w", 1))
			}
			r := request(99, "w", 1)
			r.Deadline = start.Add(tc.deadline)
			is.Equal(q.Offer(start, r), tc.verdict)
		})
	}
}

func TestNothingIsLostOrStartedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		limit := rapid.IntRange(1, 4).Draw(t, "limit")
		q := admitter.New(admitter.Config{Limit: limit, MaxWaiting: 10})
		state, owner := map[uint64]string{}, map[uint64]string{}
		var running []uint64
		record := func(started, late []uint64) {
			for _, id := range started {
				is.Equal(state[id], "queued")
				state[id] = "running"
				running = append(running, id)
			}
			for _, id := range late {
				is.Equal(state[id], "queued")
				state[id] = "late"
			}
		}
		now := start
		for id := uint64(1); id < 60; id++ {
			now = now.Add(time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				owner[id] = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "w")
				r := request(id, owner[id], 1)
				r.Deadline = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
				switch q.Offer(now, r) {
				case admitter.VerdictAdmitted:
					state[id] = "running"
					running = append(running, id)
				case admitter.VerdictQueued:
					state[id] = "queued"
				default:
					state[id] = "refused"
				}
			case 2:
				if len(running) > 0 {
					ended := running[0]
					running = running[1:]
					record(q.Release(now, owner[ended], time.Millisecond))
				}
			case 3:
				victim := uint64(rapid.IntRange(1, 60).Draw(t, "victim"))
				is.Equal(q.Abandon(victim), state[victim] == "queued")
				if state[victim] == "queued" {
					state[victim] = "abandoned"
				}
			}
			is.Equal(q.Running(), len(running))
			is.True(len(running) <= limit)
		}
	})
}
