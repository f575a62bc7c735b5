package measurer

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"flamingoledge.org/flamingoledge/internal/deployer"
	"flamingoledge.org/flamingoledge/internal/emulator"
	"flamingoledge.org/flamingoledge/internal/entryserver"
	"flamingoledge.org/flamingoledge/pkg/provider"
	"flamingoledge.org/flamingoledge/pkg/quarantiner"
)

const (
	poisonCrashesBound = 3
	harmlessRequests   = 50
	poisonSends        = 8
	poisonDeadline     = 10 * time.Second
	poisonTokens       = 60
	historySeeds       = 1000
)

// measurePoison repeatedly sends a request that crashes its endpoint, concurrently with
// harmless requests.
func measurePoison(ctx context.Context, cfg Config, r *Report) error {
	t := engineTopology(8, 16, deployer.Service{FirstTokenDelay: 10 * time.Millisecond, TokenInterval: 10 * time.Millisecond})
	err := withTestbed(ctx, cfg, t, deployer.Options{}, func(_ context.Context, tb *testbed) error {
		var wg sync.WaitGroup
		var harmless outcomeCounts
		for i := range harmlessRequests {
			wg.Go(func() {
				body := promptBody(i, i, poisonTokens)
				reply, err := tb.sendModelRequest(i, deployer.WorkspaceName(i), poisonDeadline, body)
				harmless.add(reply, err, err != nil || isExpectedStream(reply, body))
			})
		}
		time.Sleep(200 * time.Millisecond)
		convicted := tb.sendPoison()
		wg.Wait()
		crashes := 0
		for _, e := range tb.Endpoints {
			crashes += e.Emulator.CrashCount()
		}
		r.addBounded("poison_deaths", float64(crashes), "endpoints", LowerIsBetter, poisonCrashesBound)
		r.addBounded("poison_innocents_answered", float64(harmless.answered)/harmlessRequests, "ratio", HigherIsBetter, 1)
		r.addBounded("poison_convicted", convicted, "ratio", HigherIsBetter, 1)
		return nil
	})
	if err != nil {
		return err
	}
	r.addBounded("innocent_convictions", float64(harmlessConvictions(cfg.Seed)), "requests", LowerIsBetter, 0)
	return nil
}

// sendPoison sends the crashing request through all entries in turn, until it is
// convicted. It returns 1 if it was, else 0.
func (tb *testbed) sendPoison() float64 {
	body, err := json.Marshal(emulator.Prompt{Prompt: emulator.CrashMarker, Tokens: 1})
	if err != nil {
		return 0
	}
	for i := range poisonSends {
		reply, err := tb.sendModelRequest(i, deployer.WorkspaceName(0), poisonDeadline, body)
		if err == nil && reply.Code == entryserver.CodeConvicted {
			return 1
		}
	}
	return 0
}

// harmlessConvictions counts the harmless requests that the ledger convicts over seeded
// histories. In each, a crashing request is sent repeatedly among fifty harmless ones,
// and an endpoint sometimes crashes for another reason.
func harmlessConvictions(seed uint64) (convictions int) {
	for s := range uint64(historySeeds) {
		convictions += countConvictedHarmless(rand.New(rand.NewPCG(seed, s)))
	}
	return convictions
}

// crashHistory generates a history of crashes and applies each event to a ledger.
type crashHistory struct {
	rng    *rand.Rand
	ledger *quarantiner.Ledger
	offset uint64
	epoch  uint64
}

const (
	// maxCrashRounds limits the crashes of one history that the poison request causes.
	maxCrashRounds = 6
	// maxConcurrentHarmless limits the harmless requests that run on the same endpoint as
	// the crashing one.
	maxConcurrentHarmless = 16
	// spontaneousCrashProbability is the probability, in each round, of a crash that the
	// poison request does not cause.
	spontaneousCrashProbability = 0.1
	// poisonIndex is the index of the crashing request, after the harmless ones.
	poisonIndex = harmlessRequests
)

// countConvictedHarmless runs one history and counts the harmless requests that are
// convicted at its end.
func countConvictedHarmless(rng *rand.Rand) (n int) {
	h := &crashHistory{rng: rng, ledger: quarantiner.New(quarantiner.Config{Retention: time.Hour})}
	for range maxCrashRounds {
		if h.standingOf(poisonIndex) == quarantiner.StandingConvicted {
			break
		}
		h.recordCrash(append(h.concurrentHarmless(), poisonIndex)...)
		if rng.Float64() < spontaneousCrashProbability {
			h.recordCrash(rng.IntN(harmlessRequests))
		}
		h.clearSuspects()
	}
	for i := range harmlessRequests {
		if h.standingOf(i) == quarantiner.StandingConvicted {
			n++
		}
	}
	return n
}

func (h *crashHistory) standingOf(i int) quarantiner.Standing {
	st, _ := h.ledger.Standing(h.fingerprint(i))
	return st
}

func (h *crashHistory) fingerprint(i int) quarantiner.Fingerprint {
	return quarantiner.Fingerprint(fmt.Sprint("request-", i))
}

// concurrentHarmless draws the harmless requests that run on the same endpoint as the
// crashing one. There are none once the crashing request is a suspect, because suspects
// run alone.
func (h *crashHistory) concurrentHarmless() (indices []int) {
	if h.standingOf(poisonIndex) != quarantiner.StandingClear {
		return nil
	}
	for _, i := range h.rng.Perm(harmlessRequests)[:h.rng.IntN(maxConcurrentHarmless)] {
		if h.standingOf(i) == quarantiner.StandingClear {
			indices = append(indices, i)
		}
	}
	return indices
}

// recordCrash applies a crash of an endpoint that runs the given requests.
func (h *crashHistory) recordCrash(indices ...int) {
	h.epoch++
	e := quarantiner.Event{Kind: quarantiner.KindDeath, Endpoint: "e", Epoch: h.epoch}
	for _, i := range indices {
		e.Fingerprints = append(e.Fingerprints, h.fingerprint(i))
	}
	h.apply(e)
}

// clearSuspects clears the harmless suspects, as after a successful run alone.
func (h *crashHistory) clearSuspects() {
	for i := range harmlessRequests {
		if h.standingOf(i) == quarantiner.StandingSuspect {
			h.apply(quarantiner.Event{Kind: quarantiner.KindCleared, Fingerprints: []quarantiner.Fingerprint{h.fingerprint(i)}})
		}
	}
}

func (h *crashHistory) apply(e quarantiner.Event) {
	data, err := e.Encode()
	if err != nil {
		return
	}
	h.offset++
	now := time.Unix(int64(h.offset), 0)
	record := provider.Record{Offset: h.offset, AppendedAt: now, Data: data}
	h.ledger.Apply(now, provider.Page{FirstRetained: 1, Next: h.offset + 1, Records: []provider.Record{record}})
}
