package main_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"flamingoledge.org/flamingoledge/internal/emulator"
	"flamingoledge.org/flamingoledge/internal/entryserver"
)

// record is everything that was observed from outside the system.
type record struct {
	// intended maps version digests to the digests of their weights.
	intended map[string]string
	replies  []observedReply
	runs     []observedRun
	offsets  []observedOffset
	// drains are the endpoints whose sidecars were asked to stop.
	drains []observedDrain
	// lastAccepted is the last accepted record, and lagging the live processes
	// that did not have it in force seconds after the last fault ended.
	lastAccepted uint64
	lagging      []string
}

type observedReply struct {
	requestID string
	key       string
	outcome   entryserver.Outcome
	whole     bool
	own       bool
}

type observedRun struct {
	endpoint string
	emulator.Run
}

type observedOffset struct {
	process     string
	incarnation int
	through     uint64
}

type observedDrain struct {
	endpoint string
	at       time.Time
	// until is when a new sidecar was started there.
	until time.Time
	// exitCode is that of the stopped process.
	exitCode int
	cutOff   int
}

// drainedWithin is how soon after the notice a leaving endpoint gets no new work.
const drainedWithin = 3 * time.Second

// promises are the seven of the brief, each with its check.
var promises = map[string]func(record) []string{
	"only complete, intended weights serve":   checkWeights,
	"whole answers to one's own request":      checkAnswers,
	"not run means not run":                   checkNotRun,
	"a keyed request runs at most once":       checkOnce,
	"a leaving endpoint gets no new work":     checkLeaving,
	"a graceful shutdown cuts no request off": checkCut,
	"accepted records hold and never revert":  checkRecords,
}

func checkWeights(r record) (broken []string) {
	for _, run := range r.runs {
		if run.VersionDigest == "" {
			continue
		}
		if run.WeightsChanged || r.intended[run.VersionDigest] != run.WeightsDigest {
			broken = append(broken, fmt.Sprintf("endpoint %s ran %s with weights %s", run.endpoint, run.RequestID, run.WeightsDigest))
		}
	}
	return broken
}

func checkAnswers(r record) (broken []string) {
	for _, reply := range r.replies {
		if reply.outcome == entryserver.OutcomeAnswered && reply.whole && !reply.own {
			broken = append(broken, "request "+reply.requestID+" got a foreign or partial answer as a whole one")
		}
	}
	return broken
}

func checkNotRun(r record) (broken []string) {
	ran := map[string]bool{}
	for _, run := range r.runs {
		ran[run.RequestID] = true
	}
	for _, reply := range r.replies {
		if reply.outcome == entryserver.OutcomeNotRun && ran[reply.requestID] {
			broken = append(broken, "request "+reply.requestID+" ran and was told not run")
		}
	}
	return broken
}

func checkOnce(r record) (broken []string) {
	runs := map[string]int{}
	for _, run := range r.runs {
		if run.IdempotencyKey != "" {
			runs[run.IdempotencyKey]++
		}
	}
	for key, n := range runs {
		if n > 1 {
			broken = append(broken, fmt.Sprintf("key %s ran %d times", key, n))
		}
	}
	return broken
}

func checkLeaving(r record) (broken []string) {
	for _, d := range r.drains {
		for _, run := range r.runs {
			if run.endpoint == d.endpoint && run.StartedAt.After(d.at.Add(drainedWithin)) && run.StartedAt.Before(d.until) {
				broken = append(broken, fmt.Sprintf("endpoint %s began %s %s after its notice", d.endpoint, run.RequestID, run.StartedAt.Sub(d.at)))
			}
		}
	}
	return broken
}

func checkCut(r record) (broken []string) {
	for _, d := range r.drains {
		if d.exitCode != 0 || d.cutOff != 0 {
			broken = append(broken, fmt.Sprintf("endpoint %s: exit code %d, %d requests cut off", d.endpoint, d.exitCode, d.cutOff))
		}
	}
	return broken
}

func checkRecords(r record) (broken []string) {
	type process struct {
		name        string
		incarnation int
	}
	last := map[process]uint64{}
	for _, o := range r.offsets {
		p := process{o.process, o.incarnation}
		if o.through < last[p] {
			broken = append(broken, fmt.Sprintf("%s went from record %d back to %d", o.process, last[p], o.through))
		}
		last[p] = o.through
	}
	for _, name := range r.lagging {
		broken = append(broken, fmt.Sprintf("%s does not have record %d in force", name, r.lastAccepted))
	}
	return broken
}

// Each check finds the break of its promise, and nothing in a good record.
func TestChecksCanFail(t *testing.T) {
	now := time.Unix(1000, 0)
	run := func(change func(*observedRun)) record {
		r := observedRun{endpoint: "e", Run: emulator.Run{
			RequestID: "r", IdempotencyKey: "k", VersionDigest: "v", WeightsDigest: "w", StartedAt: now.Add(time.Second),
		}}
		if change != nil {
			change(&r)
		}
		return record{
			intended: map[string]string{"v": "w"},
			runs:     []observedRun{r},
			replies:  []observedReply{{requestID: "r", outcome: entryserver.OutcomeAnswered, whole: true, own: true}},
			drains:   []observedDrain{{endpoint: "e", at: now, until: now.Add(time.Minute)}},
			offsets:  []observedOffset{{"p", 1, 1}, {"p", 1, 2}, {"p", 2, 1}},
		}
	}
	broken := map[string]record{
		"only complete, intended weights serve": run(func(r *observedRun) { r.WeightsDigest = "half" }),
		"a leaving endpoint gets no new work":   run(func(r *observedRun) { r.StartedAt = now.Add(10 * time.Second) }),
	}
	add := func(name string, change func(*record)) {
		r := run(nil)
		change(&r)
		broken[name] = r
	}
	add("whole answers to one's own request", func(r *record) { r.replies[0].own = false })
	add("not run means not run", func(r *record) { r.replies[0].outcome = entryserver.OutcomeNotRun })
	add("a keyed request runs at most once", func(r *record) { r.runs = append(r.runs, r.runs[0]) })
	add("a graceful shutdown cuts no request off", func(r *record) { r.drains[0].cutOff = 1 })
	add("accepted records hold and never revert", func(r *record) { r.offsets = append(r.offsets, observedOffset{"p", 1, 1}) })
	for name, check := range promises {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(len(check(run(nil))), 0)
			is.Equal(len(check(broken[name])), 1)
		})
	}
}
