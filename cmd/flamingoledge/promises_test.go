package main_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"flamingoledge.org/flamingoledge/internal/emulator"
	"flamingoledge.org/flamingoledge/internal/entryserver"
)

// observations contains everything that was observed from outside the system.
type observations struct {
	// intendedWeights maps version digests to the digests of their weights.
	intendedWeights map[string]string
	replies         []observedReply
	runs            []observedRun
	offsets         []observedOffset
	// drains are the graceful shutdowns of sidecars.
	drains []observedDrain
	// lastAccepted is the offset of the last accepted record. lagging are the live
	// processes that did not have it in force settleTime after the last fault.
	lastAccepted uint64
	lagging      []string
}

type observedReply struct {
	requestID      string
	key            string
	outcome        entryserver.Outcome
	isComplete     bool
	matchesRequest bool
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
	// until is the time at which the endpoint got a new sidecar.
	until time.Time
	// exitCode is the exit code of the stopped process.
	exitCode int
	// cutOff is the number of requests that the process logged as cut off; -1 if its
	// log does not contain that number.
	cutOff int
}

// drainGracePeriod is the time after the shutdown signal during which a leaving
// endpoint may still receive new work.
const drainGracePeriod = 3 * time.Second

// guarantees are the seven guarantees of the system, each with its check.
var guarantees = map[string]func(observations) []string{
	"endpoints run only complete weights of the intended version": checkWeights,
	"callers get only complete answers to their own requests":     checkAnswers,
	"a request that is reported as not run did not run":           checkNotRun,
	"a keyed request runs at most once":                           checkRunsOnce,
	"a leaving endpoint gets no new work":                         checkNoNewWork,
	"a graceful shutdown interrupts no request":                   checkNotInterrupted,
	"accepted records take effect and are never reverted":         checkRecords,
}

func checkWeights(obs observations) (violations []string) {
	for _, run := range obs.runs {
		if run.VersionDigest == "" {
			continue
		}
		if run.WeightsChanged || obs.intendedWeights[run.VersionDigest] != run.WeightsDigest {
			violations = append(violations, fmt.Sprintf("endpoint %s ran %s with weights %s", run.endpoint, run.RequestID, run.WeightsDigest))
		}
	}
	return violations
}

func checkAnswers(obs observations) (violations []string) {
	for _, reply := range obs.replies {
		if reply.outcome == entryserver.OutcomeAnswered && reply.isComplete && !reply.matchesRequest {
			violations = append(violations, "request "+reply.requestID+" got a partial answer or that of another request as its complete answer")
		}
	}
	return violations
}

func checkNotRun(obs observations) (violations []string) {
	ran := map[string]bool{}
	for _, run := range obs.runs {
		ran[run.RequestID] = true
	}
	for _, reply := range obs.replies {
		if reply.outcome == entryserver.OutcomeNotRun && ran[reply.requestID] {
			violations = append(violations, "request "+reply.requestID+" ran and was reported as not run")
		}
	}
	return violations
}

func checkRunsOnce(obs observations) (violations []string) {
	runs := map[string][]string{}
	for _, run := range obs.runs {
		if run.IdempotencyKey != "" {
			runs[run.IdempotencyKey] = append(runs[run.IdempotencyKey],
				fmt.Sprintf("attempt %s on %s at %s", run.AttemptID, run.endpoint, run.StartedAt.Format(time.StampMicro)))
		}
	}
	for key, ran := range runs {
		if len(ran) > 1 {
			violations = append(violations, fmt.Sprintf("key %s ran %d times: %s", key, len(ran), strings.Join(ran, ", ")))
		}
	}
	return violations
}

// sharedHistories returns the pairs of endpoints whose histories have a run in common.
// An attempt is sent to one endpoint only, so the names of such a pair refer to one
// emulator and the observations are not valid.
func sharedHistories(obs observations) (pairs []string) {
	first := map[string]string{}
	for _, run := range obs.runs {
		other, ok := first[run.AttemptID]
		if !ok {
			first[run.AttemptID] = run.endpoint
			continue
		}
		pair := min(other, run.endpoint) + " and " + max(other, run.endpoint)
		if other != run.endpoint && !slices.Contains(pairs, pair) {
			pairs = append(pairs, pair)
		}
	}
	return pairs
}

func checkNoNewWork(obs observations) (violations []string) {
	for _, d := range obs.drains {
		for _, run := range obs.runs {
			if run.endpoint == d.endpoint && run.StartedAt.After(d.at.Add(drainGracePeriod)) && run.StartedAt.Before(d.until) {
				violations = append(violations, fmt.Sprintf("endpoint %s started %s %s after the shutdown signal", d.endpoint, run.RequestID, run.StartedAt.Sub(d.at)))
			}
		}
	}
	return violations
}

func checkNotInterrupted(obs observations) (violations []string) {
	for _, d := range obs.drains {
		if d.exitCode != 0 || d.cutOff != 0 {
			violations = append(violations, fmt.Sprintf("endpoint %s: exit code %d, %d requests cut off", d.endpoint, d.exitCode, d.cutOff))
		}
	}
	return violations
}

func checkRecords(obs observations) (violations []string) {
	type process struct {
		name        string
		incarnation int
	}
	last := map[process]uint64{}
	for _, o := range obs.offsets {
		p := process{o.process, o.incarnation}
		if o.through < last[p] {
			violations = append(violations, fmt.Sprintf("%s reverted from record %d to %d", o.process, last[p], o.through))
		}
		last[p] = o.through
	}
	for _, name := range obs.lagging {
		violations = append(violations, fmt.Sprintf("%s does not have record %d in force", name, obs.lastAccepted))
	}
	return violations
}

// TestChecksCanFail verifies that each check detects a violation of its guarantee and
// reports none for valid observations.
func TestChecksCanFail(t *testing.T) {
	now := time.Unix(1000, 0)
	run := func(change func(*observedRun)) observations {
		r := observedRun{endpoint: "e", Run: emulator.Run{
			RequestID: "r", IdempotencyKey: "k", VersionDigest: "v", WeightsDigest: "w", StartedAt: now.Add(time.Second),
		}}
		if change != nil {
			change(&r)
		}
		return observations{
			intendedWeights: map[string]string{"v": "w"},
			runs:            []observedRun{r},
			replies:         []observedReply{{requestID: "r", outcome: entryserver.OutcomeAnswered, isComplete: true, matchesRequest: true}},
			drains:          []observedDrain{{endpoint: "e", at: now, until: now.Add(time.Minute)}},
			offsets:         []observedOffset{{"p", 1, 1}, {"p", 1, 2}, {"p", 2, 1}},
		}
	}
	violations := map[string]observations{
		"endpoints run only complete weights of the intended version": run(func(r *observedRun) { r.WeightsDigest = "half" }),
		"a leaving endpoint gets no new work":                         run(func(r *observedRun) { r.StartedAt = now.Add(10 * time.Second) }),
	}
	add := func(name string, change func(*observations)) {
		r := run(nil)
		change(&r)
		violations[name] = r
	}
	add("callers get only complete answers to their own requests", func(r *observations) { r.replies[0].matchesRequest = false })
	add("a request that is reported as not run did not run", func(r *observations) { r.replies[0].outcome = entryserver.OutcomeNotRun })
	add("a keyed request runs at most once", func(r *observations) { r.runs = append(r.runs, r.runs[0]) })
	add("a graceful shutdown interrupts no request", func(r *observations) { r.drains[0].cutOff = 1 })
	add("accepted records take effect and are never reverted", func(r *observations) { r.offsets = append(r.offsets, observedOffset{"p", 1, 1}) })
	for name, check := range guarantees {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(len(check(run(nil))), 0)
			is.Equal(len(check(violations[name])), 1)
		})
	}
}

func TestSharedHistories(t *testing.T) {
	run := func(endpoint, attemptID string) observedRun {
		return observedRun{endpoint: endpoint, Run: emulator.Run{AttemptID: attemptID, IdempotencyKey: "k"}}
	}
	for name, test := range map[string]struct {
		runs []observedRun
		want []string
	}{
		"no runs":                     {},
		"attempts of their own":       {runs: []observedRun{run("e1", "a"), run("e2", "b"), run("e1", "c")}},
		"an attempt that ran twice":   {runs: []observedRun{run("e1", "a"), run("e1", "a")}},
		"two names of one emulator":   {runs: []observedRun{run("e2", "a"), run("e2", "b"), run("e1", "a"), run("e1", "b")}, want: []string{"e1 and e2"}},
		"three names of one emulator": {runs: []observedRun{run("e1", "a"), run("e2", "a"), run("e3", "a")}, want: []string{"e1 and e2", "e1 and e3"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(sharedHistories(observations{runs: test.runs}), test.want)
		})
	}
}
