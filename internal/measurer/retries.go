package measurer

import (
	"context"
	"sync"
	"time"

	"flamingoledge.org/flamingoledge/internal/deployer"
	"flamingoledge.org/flamingoledge/internal/emulator"
	"flamingoledge.org/flamingoledge/internal/entryserver"
)

const (
	retryAmplificationBound = 1.25
	recoveryBoundSeconds    = 5.0

	retryRequestsPerSecond    = 100.0
	retryDeadline             = 2 * time.Second
	outageDuration            = 3 * time.Second
	outageQuickDuration       = 1200 * time.Millisecond
	recoveryDuration          = 6 * time.Second
	recoveryQuickDuration     = time.Second
	recoveryWindow            = 250 * time.Millisecond
	recoveredShare            = 0.95
	unlimitedRetryRatio       = 1000
	unlimitedRetriesPerSecond = 1e6
)

// measureRetries compares runs with and without the retry budget, with one faulty
// endpoint and with an outage of all endpoints.
func measureRetries(ctx context.Context, cfg Config, r *Report) error {
	limited := func(*entryserver.Config) {}
	unlimited := func(c *entryserver.Config) {
		c.Retries.Ratio = unlimitedRetryRatio
		c.Retries.MinPerSecond = unlimitedRetriesPerSecond
	}
	allFaulty, err := runOutage(ctx, cfg, limited, admissionEngines)
	if err != nil {
		return err
	}
	allFaultyUnlimited, err := runOutage(ctx, cfg, unlimited, admissionEngines)
	if err != nil {
		return err
	}
	r.add("retry_amplification_outage", allFaulty.amplification, "ratio", LowerIsBetter).setBaseline(allFaultyUnlimited.amplification)
	oneFaulty, oneFaultyUnlimited := allFaulty, allFaultyUnlimited
	if !cfg.Quick {
		if oneFaulty, err = runOutage(ctx, cfg, limited, 1); err != nil {
			return err
		}
		if oneFaultyUnlimited, err = runOutage(ctx, cfg, unlimited, 1); err != nil {
			return err
		}
		r.add("retry_amplification_sick_endpoint", oneFaulty.amplification, "ratio", LowerIsBetter).setBaseline(oneFaultyUnlimited.amplification)
		r.add("answered_with_sick_endpoint", oneFaulty.answered, "ratio", HigherIsBetter).setBaseline(oneFaultyUnlimited.answered)
	}
	r.addBounded("retry_amplification", max(oneFaulty.amplification, allFaulty.amplification), "ratio", LowerIsBetter, retryAmplificationBound).
		setBaseline(max(oneFaultyUnlimited.amplification, allFaultyUnlimited.amplification))
	r.addBounded("recovery_seconds", max(oneFaulty.recovery, allFaulty.recovery).Seconds(), "s", LowerIsBetter, recoveryBoundSeconds).
		setBaseline(max(oneFaultyUnlimited.recovery, allFaultyUnlimited.recovery).Seconds())
	return nil
}

// outageResult contains the results of a run with faulty endpoints.
type outageResult struct {
	// amplification is the number of runs per request during the fault.
	amplification float64
	// recovery is the time from the end of the fault until requests succeed again.
	recovery time.Duration
	// answered is the share of successful requests among those that end during the fault.
	answered float64
}

// requestSample records the end of a request.
type requestSample struct {
	endedAt time.Time
	ok      bool
}

// runOutage lets the given number of engines truncate all responses for a while, and
// keeps sending requests during the recovery.
func runOutage(ctx context.Context, cfg Config, configureEntry func(*entryserver.Config), faulty int) (res outageResult, err error) {
	err = withTestbed(ctx, cfg, admissionTopology(), deployer.Options{ConfigureEntry: configureEntry}, func(ctx context.Context, tb *testbed) error {
		faultDuration, observeDuration := outageDuration, recoveryDuration
		if cfg.Quick {
			faultDuration, observeDuration = outageQuickDuration, recoveryQuickDuration
		}
		ctx, cancel := context.WithTimeout(ctx, faultDuration+observeDuration)
		defer cancel()
		tb.setFaults(faulty, emulator.EndpointFaults{TruncationRate: 1})
		var mu sync.Mutex
		var samples []requestSample
		var faultEnd time.Time
		sent, sentDuring, runsDuring := 0, 0, 0
		faultTimer := time.AfterFunc(faultDuration, func() {
			mu.Lock()
			defer mu.Unlock()
			runsDuring, _ = tb.countRuns()
			sentDuring = sent
			tb.setFaults(faulty, emulator.EndpointFaults{})
			faultEnd = time.Now()
		})
		defer faultTimer.Stop()
		err := runOpenLoop(ctx, retryRequestsPerSecond, cfg.Seed, func(i int, _ time.Time) {
			mu.Lock()
			sent++
			mu.Unlock()
			reply, err := tb.sendModelRequest(i, deployer.WorkspaceName(i), retryDeadline, promptBody(i, i, admissionTokens))
			mu.Lock()
			defer mu.Unlock()
			samples = append(samples, requestSample{endedAt: time.Now(), ok: err == nil && reply.Complete && reply.Outcome == entryserver.OutcomeAnswered})
		})
		if err != nil {
			return err
		}
		res.amplification = float64(runsDuring) / float64(max(sentDuring, 1))
		res.recovery = timeToRecovery(samples, faultEnd)
		ok := 0
		ended := 0
		for _, s := range samples {
			if s.endedAt.After(faultEnd) {
				break
			}
			ended++
			if s.ok {
				ok++
			}
		}
		res.answered = float64(ok) / float64(max(ended, 1))
		return nil
	})
	return res, err
}

// setFaults sets the faults of the first n endpoints.
func (tb *testbed) setFaults(n int, f emulator.EndpointFaults) {
	for _, e := range tb.Endpoints[:n] {
		e.Emulator.SetFaults(f)
	}
}

// timeToRecovery returns the time from the end of the fault to the end of the first
// window in which at least recoveredShare of the requests succeed. If there is none, it
// counts up to the end of the window after the last sample.
func timeToRecovery(samples []requestSample, faultEnd time.Time) time.Duration {
	for start := faultEnd; ; start = start.Add(recoveryWindow) {
		ok, n, hasLater := 0, 0, false
		for _, s := range samples {
			hasLater = hasLater || s.endedAt.After(start)
			if s.endedAt.Before(start) || s.endedAt.After(start.Add(recoveryWindow)) {
				continue
			}
			n++
			if s.ok {
				ok++
			}
		}
		if (n > 0 && float64(ok)/float64(n) >= recoveredShare) || !hasLater {
			return start.Add(recoveryWindow).Sub(faultEnd)
		}
	}
}
