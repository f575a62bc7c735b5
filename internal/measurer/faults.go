package measurer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"flamingoledge.org/flamingoledge/internal/emulator"
	"flamingoledge.org/flamingoledge/pkg/planner"
)

const (
	faultInstances   = 30
	faultOriginBound = 2.0
	// usualLag is how long the list of instances lags without a fault.
	usualLag = 200 * time.Millisecond
	// longLag is how long it lags as a fault.
	longLag = 3 * time.Second
	// stallFor is how long a stalled link passes nothing.
	stallFor = 5 * time.Second
	// corruptShare is the share of chunks with a flipped byte.
	corruptShare = 0.01
	// faultShare is the share of instances that die or stall.
	faultShare = 0.1
)

// fault is something that happens during a distribution.
type fault string

// Faults.
const (
	faultDie     fault = "die"
	faultStall   fault = "stall"
	faultCorrupt fault = "corrupt"
	faultOrigin  fault = "origin_down"
	faultReplace fault = "replace"
	faultLag     fault = "list_lag"
)

func allFaults() []fault {
	return []fault{faultDie, faultStall, faultCorrupt, faultOrigin, faultReplace, faultLag}
}

// combinations returns each fault alone and all pairs.
func combinations() [][]fault {
	var cs [][]fault
	fs := allFaults()
	for i, a := range fs {
		cs = append(cs, []fault{a})
		for _, b := range fs[i+1:] {
			cs = append(cs, []fault{a, b})
		}
	}
	return cs
}

func measureFaults(ctx context.Context, cfg Config, r *Report) error {
	cs := combinations()
	if cfg.Quick {
		cs = [][]fault{{faultDie, faultCorrupt}}
	}
	worst, unfinished, wrong := 0.0, 0, 0
	slowest := 0.0
	for i, c := range cs {
		run, err := runFaults(ctx, cfg, c, cfg.Seed+uint64(i))
		if err != nil {
			return err
		}
		cfg.say("faults %v: %.2f s, origin %.3f copies, unfinished %d, wrong %d", c, run.taken.Seconds(), run.copies, run.unfinished, run.wrong)
		worst, slowest = max(worst, run.copies), max(slowest, run.overFloor)
		unfinished += run.unfinished
		wrong += run.wrong
	}
	r.bounded("faults_origin_copies", worst, "copies", LowerIsBetter, faultOriginBound)
	r.bounded("faults_unfinished", float64(unfinished), "instances", LowerIsBetter, 0)
	r.bounded("faults_wrong_bytes", float64(wrong), "instances", LowerIsBetter, 0)
	r.add("faults_slowest_over_floor", slowest, "ratio", LowerIsBetter)
	r.add("faults_combinations", float64(len(cs)), "runs", HigherIsBetter)
	return nil
}

// faultRun is one distribution under faults.
type faultRun struct {
	swarm *swarm
	cfg   Config
	kinds map[fault]bool
	rng   *rand.Rand
	lag   time.Duration

	taken      time.Duration
	copies     float64
	overFloor  float64
	unfinished int
	wrong      int
}

func runFaults(ctx context.Context, cfg Config, kinds []fault, seed uint64) (*faultRun, error) {
	sc := oneRegion(faultInstances, true, seed)
	sc.weightsBytes /= 2
	sc.window /= 2
	sc = cfg.scaled(sc)
	sc.timeout = 60 * time.Second
	f := &faultRun{cfg: cfg, kinds: map[fault]bool{}, rng: rand.New(rand.NewPCG(seed, 3)), lag: usualLag}
	for _, k := range kinds {
		f.kinds[k] = true
	}
	if f.kinds[faultCorrupt] {
		sc.corrupt = corruptShare
	}
	if f.kinds[faultLag] {
		f.lag = longLag
	}
	s, err := newSwarm(ctx, sc)
	if err != nil {
		return nil, err
	}
	defer s.close()
	f.swarm = s
	f.run(ctx)
	f.copies = s.originCopies()
	f.overFloor = f.taken.Seconds() / sc.floor().Seconds()
	f.unfinished = s.unfinished()
	for _, n := range s.nodes {
		if n.done.Load() && !n.holds(s.weights) {
			f.wrong++
		}
	}
	return f, nil
}

// run distributes the version while the faults happen, and the version that
// replaces it, if that is one of them.
func (f *faultRun) run(ctx context.Context) {
	floor := f.swarm.cfg.floor()
	started := time.Now()
	var wg sync.WaitGroup
	wg.Go(func() { f.inject(floor) })
	if f.kinds[faultReplace] {
		first, cancel := context.WithTimeout(ctx, floor/3)
		f.swarm.run(first, f.cfg)
		cancel()
		if f.swarm.putVersion(ctx, nextVersion(f.swarm.cfg, f.swarm.cfg.seed)) == nil {
			for _, n := range f.swarm.nodes {
				n.prepare()
			}
		}
	}
	f.swarm.run(ctx, f.cfg)
	f.taken = time.Since(started)
	wg.Wait()
}

// inject makes the faults happen at their times.
func (f *faultRun) inject(floor time.Duration) {
	if f.kinds[faultCorrupt] {
		f.swarm.platform.SetFaults(emulator.PlatformFaults{OriginCorrupt: corruptShare})
	}
	time.Sleep(floor / 10)
	if f.kinds[faultOrigin] {
		f.swarm.platform.SetFaults(emulator.PlatformFaults{StoreDown: true})
	}
	time.Sleep(floor / 10)
	victims := f.rng.Perm(len(f.swarm.nodes))[:int(faultShare*float64(len(f.swarm.nodes)))]
	for _, i := range victims {
		if f.kinds[faultStall] {
			f.swarm.network.Stall(f.swarm.nodes[(i+1)%len(f.swarm.nodes)].member.Instance, time.Now().Add(stallFor))
		}
		if f.kinds[faultDie] {
			f.swarm.nodes[i].kill()
		}
	}
	time.Sleep(f.lag)
	f.tellMembers()
	time.Sleep(floor / 5)
	if f.kinds[faultOrigin] {
		f.swarm.platform.SetFaults(emulator.PlatformFaults{OriginRefuse: 0.3})
	}
}

// tellMembers gives the list of live nodes to all.
func (f *faultRun) tellMembers() {
	var members []planner.Member
	for _, n := range f.swarm.nodes {
		if !n.isDead() {
			members = append(members, n.member)
		}
	}
	for _, n := range f.swarm.nodes {
		n.setMembers(members)
	}
	f.swarm.setMembers(members)
}
