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
	amplificationBound = 1.25
	recoveryBound      = 5.0

	retryRate        = 100.0
	retryDeadline    = 2 * time.Second
	outageTime       = 3 * time.Second
	outageQuickTime  = 1200 * time.Millisecond
	recoveryTime     = 6 * time.Second
	recoveryQuick    = time.Second
	recoveryWindow   = 250 * time.Millisecond
	recoveredShare   = 0.95
	unlimitedRatio   = 1000
	unlimitedRetries = 1e6
)

// measureRetries compares runs with and without the ratio budget, with one sick
// endpoint and with an outage of all.
func measureRetries(ctx context.Context, cfg Config, r *Report) error {
	budget := func(*entryserver.Config) {}
	unlimited := func(c *entryserver.Config) {
		c.Retries.Ratio = unlimitedRatio
		c.Retries.MinPerSecond = unlimitedRetries
	}
	full, err := outage(ctx, cfg, budget, limitEngines)
	if err != nil {
		return err
	}
	fullUnlimited, err := outage(ctx, cfg, unlimited, limitEngines)
	if err != nil {
		return err
	}
	r.add("retry_amplification_outage", full.amplification, "ratio", LowerIsBetter).against(fullUnlimited.amplification)
	sick, sickUnlimited := full, fullUnlimited
	if !cfg.Quick {
		if sick, err = outage(ctx, cfg, budget, 1); err != nil {
			return err
		}
		if sickUnlimited, err = outage(ctx, cfg, unlimited, 1); err != nil {
			return err
		}
		r.add("retry_amplification_sick_endpoint", sick.amplification, "ratio", LowerIsBetter).against(sickUnlimited.amplification)
		r.add("answered_with_sick_endpoint", sick.answered, "ratio", HigherIsBetter).against(sickUnlimited.answered)
	}
	r.bounded("retry_amplification", max(sick.amplification, full.amplification), "ratio", LowerIsBetter, amplificationBound).
		against(max(sickUnlimited.amplification, fullUnlimited.amplification))
	r.bounded("recovery_seconds", max(sick.recovery, full.recovery).Seconds(), "s", LowerIsBetter, recoveryBound).
		against(max(sickUnlimited.recovery, fullUnlimited.recovery).Seconds())
	return nil
}

// outageResult is what one run with failing endpoints measured.
type outageResult struct {
	amplification float64
	recovery      time.Duration
	answered      float64
}

// sample is one request's end.
type sample struct {
	at time.Time
	ok bool
}

// outage makes so many engines cut off every answer for a while.
func outage(ctx context.Context, cfg Config, entry func(*entryserver.Config), sick int) (res outageResult, err error) {
	err = withRig(ctx, cfg, limitTopology(), deployer.Options{Entry: entry}, func(ctx context.Context, rg *rig) error {
		length, after := outageTime, recoveryTime
		if cfg.Quick {
			length, after = outageQuickTime, recoveryQuick
		}
		ctx, cancel := context.WithTimeout(ctx, length+after)
		defer cancel()
		rg.setFaults(sick, emulator.EndpointFaults{Truncate: 1})
		var mu sync.Mutex
		var samples []sample
		var healed time.Time
		sent, sentDuring, runsDuring := 0, 0, 0
		heal := time.AfterFunc(length, func() {
			mu.Lock()
			defer mu.Unlock()
			runsDuring, _ = rg.runs()
			sentDuring = sent
			rg.setFaults(sick, emulator.EndpointFaults{})
			healed = time.Now()
		})
		defer heal.Stop()
		err := openLoop(ctx, retryRate, cfg.Seed, func(i int, _ time.Time) {
			mu.Lock()
			sent++
			mu.Unlock()
			reply, err := rg.ask(i, deployer.WorkspaceName(i), retryDeadline, prompt(i, i, limitTokens))
			mu.Lock()
			defer mu.Unlock()
			samples = append(samples, sample{at: time.Now(), ok: err == nil && reply.Whole && reply.Outcome == entryserver.OutcomeAnswered})
		})
		if err != nil {
			return err
		}
		res.amplification = float64(runsDuring) / float64(max(sentDuring, 1))
		res.recovery = recoveredAfter(samples, healed)
		ok := 0
		ended := 0
		for _, s := range samples {
			if s.at.After(healed) {
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

func (r *rig) setFaults(n int, f emulator.EndpointFaults) {
	for _, e := range r.Endpoints[:n] {
		e.StandIn.SetFaults(f)
	}
}

// recoveredAfter returns how long after the fault's end the requests of a window
// are answered again.
func recoveredAfter(samples []sample, healed time.Time) time.Duration {
	for start := healed; ; start = start.Add(recoveryWindow) {
		ok, n, later := 0, 0, false
		for _, s := range samples {
			later = later || s.at.After(start)
			if s.at.Before(start) || s.at.After(start.Add(recoveryWindow)) {
				continue
			}
			n++
			if s.ok {
				ok++
			}
		}
		if (n > 0 && float64(ok)/float64(n) >= recoveredShare) || !later {
			return start.Add(recoveryWindow).Sub(healed)
		}
	}
}
