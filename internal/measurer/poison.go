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
	poisonDeathsBound = 3
	poisonInnocents   = 50
	poisonSends       = 8
	poisonDeadline    = 10 * time.Second
	poisonTokens      = 60
	convictionSeeds   = 1000
)

// measurePoison sends a body that crashes its endpoint again and again among
// requests that do not.
func measurePoison(ctx context.Context, cfg Config, r *Report) error {
	t := engines(8, 16, deployer.Service{FirstToken: 10 * time.Millisecond, TokenInterval: 10 * time.Millisecond})
	err := withRig(ctx, cfg, t, deployer.Options{}, func(_ context.Context, rg *rig) error {
		var wg sync.WaitGroup
		var innocents tally
		for i := range poisonInnocents {
			wg.Go(func() {
				body := prompt(i, i, poisonTokens)
				reply, err := rg.ask(i, deployer.WorkspaceName(i), poisonDeadline, body)
				innocents.add(reply, err, err != nil || isOwn(reply, body))
			})
		}
		time.Sleep(200 * time.Millisecond)
		convicted := rg.sendPoison()
		wg.Wait()
		deaths := 0
		for _, e := range rg.Endpoints {
			deaths += e.StandIn.Crashes()
		}
		r.bounded("poison_deaths", float64(deaths), "endpoints", LowerIsBetter, poisonDeathsBound)
		r.bounded("poison_innocents_answered", float64(innocents.answered)/poisonInnocents, "ratio", HigherIsBetter, 1)
		r.bounded("poison_convicted", convicted, "ratio", HigherIsBetter, 1)
		return nil
	})
	if err != nil {
		return err
	}
	r.bounded("innocent_convictions", float64(innocentConvictions(cfg.Seed)), "requests", LowerIsBetter, 0)
	return nil
}

// sendPoison sends the crashing body over all entries and returns 1 if it was
// convicted in the end.
func (r *rig) sendPoison() float64 {
	body, err := json.Marshal(emulator.Prompt{Prompt: emulator.CrashMarker, Tokens: 1})
	if err != nil {
		return 0
	}
	for i := range poisonSends {
		reply, err := r.ask(i, deployer.WorkspaceName(0), poisonDeadline, body)
		if err == nil && reply.Code == entryserver.CodeConvicted {
			return 1
		}
	}
	return 0
}

// innocentConvictions counts harmless requests that a fold of seeded histories
// convicts: a crashing request among fifty, sent again and again, and an endpoint
// that now and then dies by itself.
func innocentConvictions(seed uint64) (convictions int) {
	for s := range uint64(convictionSeeds) {
		convictions += convictedInnocents(rand.New(rand.NewPCG(seed, s)))
	}
	return convictions
}

// verdictRun is one seeded history of deaths, folded as it happens.
type verdictRun struct {
	rng    *rand.Rand
	ledger *quarantiner.Ledger
	offset uint64
	epoch  uint64
}

const (
	// maxDeathsDrawn bounds the deaths of one history.
	maxDeathsDrawn = 6
	// maxCompany is how many harmless requests run beside the crashing one.
	maxCompany = 16
	// naturalDeath is the chance that an endpoint dies by itself in between.
	naturalDeath = 0.1
	poison       = poisonInnocents
)

func convictedInnocents(rng *rand.Rand) (n int) {
	v := &verdictRun{rng: rng, ledger: quarantiner.New(quarantiner.Config{Retention: time.Hour})}
	for range maxDeathsDrawn {
		if v.standing(poison) == quarantiner.StandingConvicted {
			break
		}
		v.die(append(v.company(), poison)...)
		if rng.Float64() < naturalDeath {
			v.die(rng.IntN(poisonInnocents))
		}
		v.clearSuspects()
	}
	for i := range poisonInnocents {
		if v.standing(i) == quarantiner.StandingConvicted {
			n++
		}
	}
	return n
}

func (v *verdictRun) standing(i int) quarantiner.Standing {
	st, _ := v.ledger.Standing(v.fingerprint(i))
	return st
}

func (v *verdictRun) fingerprint(i int) quarantiner.Fingerprint {
	return quarantiner.Fingerprint(fmt.Sprint("request-", i))
}

// company draws the harmless requests that run beside the crashing one, which a
// suspect does not have.
func (v *verdictRun) company() (is []int) {
	if v.standing(poison) != quarantiner.StandingClear {
		return nil
	}
	for _, i := range v.rng.Perm(poisonInnocents)[:v.rng.IntN(maxCompany)] {
		if v.standing(i) == quarantiner.StandingClear {
			is = append(is, i)
		}
	}
	return is
}

func (v *verdictRun) die(is ...int) {
	v.epoch++
	e := quarantiner.Event{Kind: quarantiner.KindDeath, Endpoint: "e", Epoch: v.epoch}
	for _, i := range is {
		e.Fingerprints = append(e.Fingerprints, v.fingerprint(i))
	}
	v.apply(e)
}

// clearSuspects lets the harmless suspects run alone and end well.
func (v *verdictRun) clearSuspects() {
	for i := range poisonInnocents {
		if v.standing(i) == quarantiner.StandingSuspect {
			v.apply(quarantiner.Event{Kind: quarantiner.KindCleared, Fingerprints: []quarantiner.Fingerprint{v.fingerprint(i)}})
		}
	}
}

func (v *verdictRun) apply(e quarantiner.Event) {
	data, err := e.Encode()
	if err != nil {
		return
	}
	v.offset++
	now := time.Unix(int64(v.offset), 0)
	record := provider.Record{Offset: v.offset, AppendedAt: now, Data: data}
	v.ledger.Apply(now, provider.Page{FirstRetained: 1, Next: v.offset + 1, Records: []provider.Record{record}})
}
