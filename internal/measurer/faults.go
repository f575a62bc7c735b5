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
	faultInstances         = 30
	faultOriginCopiesBound = 2.0
	// defaultListLag is how long the list of instances lags without a fault.
	defaultListLag = 200 * time.Millisecond
	// faultListLag is how long it lags as a fault.
	faultListLag = 3 * time.Second
	// stallDuration is how long a stalled link passes nothing.
	stallDuration = 5 * time.Second
	// corruptChunkShare is the share of chunks with a flipped byte.
	corruptChunkShare = 0.01
	// faultyInstanceShare is the share of instances that die or stall.
	faultyInstanceShare = 0.1
)

// faultKind is something that happens during a distribution.
type faultKind string

// Faults.
const (
	faultDie     faultKind = "die"
	faultStall   faultKind = "stall"
	faultCorrupt faultKind = "corrupt"
	faultOrigin  faultKind = "origin_down"
	faultReplace faultKind = "replace"
	faultLag     faultKind = "list_lag"
)

func allFaultKinds() []faultKind {
	return []faultKind{faultDie, faultStall, faultCorrupt, faultOrigin, faultReplace, faultLag}
}

// faultCombinations returns each fault alone and all pairs.
func faultCombinations() [][]faultKind {
	var combinations [][]faultKind
	kinds := allFaultKinds()
	for i, a := range kinds {
		combinations = append(combinations, []faultKind{a})
		for _, b := range kinds[i+1:] {
			combinations = append(combinations, []faultKind{a, b})
		}
	}
	return combinations
}

func measureFaults(ctx context.Context, cfg Config, r *Report) error {
	combinations := faultCombinations()
	if cfg.Quick {
		combinations = [][]faultKind{{faultDie, faultCorrupt}}
	}
	maxCopies, unfinished, corrupted := 0.0, 0, 0
	maxTimeOverFloor := 0.0
	for i, kinds := range combinations {
		run, err := runFaults(ctx, cfg, kinds, cfg.Seed+uint64(i))
		if err != nil {
			return err
		}
		cfg.progressf("faults %v: %.2f s, origin %.3f copies, unfinished %d, wrong %d", kinds, run.elapsed.Seconds(), run.copies, run.unfinished, run.corrupted)
		maxCopies, maxTimeOverFloor = max(maxCopies, run.copies), max(maxTimeOverFloor, run.timeOverFloor)
		unfinished += run.unfinished
		corrupted += run.corrupted
	}
	r.addBounded("faults_origin_copies", maxCopies, "copies", LowerIsBetter, faultOriginCopiesBound)
	r.addBounded("faults_unfinished", float64(unfinished), "instances", LowerIsBetter, 0)
	r.addBounded("faults_wrong_bytes", float64(corrupted), "instances", LowerIsBetter, 0)
	r.add("faults_slowest_over_floor", maxTimeOverFloor, "ratio", LowerIsBetter)
	r.add("faults_combinations", float64(len(combinations)), "runs", HigherIsBetter)
	return nil
}

// faultRun is one distribution under faults.
type faultRun struct {
	swarm   *swarm
	cfg     Config
	kinds   map[faultKind]bool
	rng     *rand.Rand
	listLag time.Duration

	elapsed       time.Duration
	copies        float64
	timeOverFloor float64
	unfinished    int
	corrupted     int
}

func runFaults(ctx context.Context, cfg Config, kinds []faultKind, seed uint64) (*faultRun, error) {
	sc := oneRegionSwarm(faultInstances, true, seed)
	sc.weightsBytes /= 2
	sc.window /= 2
	sc = cfg.scaledForQuick(sc)
	sc.timeout = 60 * time.Second
	f := &faultRun{cfg: cfg, kinds: map[faultKind]bool{}, rng: rand.New(rand.NewPCG(seed, 3)), listLag: defaultListLag}
	for _, k := range kinds {
		f.kinds[k] = true
	}
	if f.kinds[faultCorrupt] {
		sc.corruptShare = corruptChunkShare
	}
	if f.kinds[faultLag] {
		f.listLag = faultListLag
	}
	s, err := newSwarm(ctx, sc)
	if err != nil {
		return nil, err
	}
	defer s.close()
	f.swarm = s
	f.run(ctx)
	f.copies = s.originCopies()
	f.timeOverFloor = f.elapsed.Seconds() / sc.floor().Seconds()
	f.unfinished = s.unfinished()
	for _, n := range s.nodes {
		if n.verified.Load() && !n.hasWeights(s.weights) {
			f.corrupted++
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
	wg.Go(func() { f.injectFaults(floor) })
	if f.kinds[faultReplace] {
		first, cancel := context.WithTimeout(ctx, floor/3)
		f.swarm.run(first, f.cfg)
		cancel()
		if f.swarm.putVersion(ctx, nextVersion(f.swarm.cfg, f.swarm.cfg.seed)) == nil {
			for _, n := range f.swarm.nodes {
				n.resetAssembly()
			}
		}
	}
	f.swarm.run(ctx, f.cfg)
	f.elapsed = time.Since(started)
	wg.Wait()
}

// injectFaults makes the faults happen at their times.
func (f *faultRun) injectFaults(floor time.Duration) {
	if f.kinds[faultCorrupt] {
		f.swarm.platform.SetFaults(emulator.PlatformFaults{OriginCorrupt: corruptChunkShare})
	}
	time.Sleep(floor / 10)
	if f.kinds[faultOrigin] {
		f.swarm.platform.SetFaults(emulator.PlatformFaults{StoreDown: true})
	}
	time.Sleep(floor / 10)
	victims := f.rng.Perm(len(f.swarm.nodes))[:int(faultyInstanceShare*float64(len(f.swarm.nodes)))]
	for _, i := range victims {
		if f.kinds[faultStall] {
			f.swarm.network.Stall(f.swarm.nodes[(i+1)%len(f.swarm.nodes)].member.Instance, time.Now().Add(stallDuration))
		}
		if f.kinds[faultDie] {
			f.swarm.nodes[i].kill()
		}
	}
	time.Sleep(f.listLag)
	f.updateMembers()
	time.Sleep(floor / 5)
	if f.kinds[faultOrigin] {
		f.swarm.platform.SetFaults(emulator.PlatformFaults{OriginRefuse: 0.3})
	}
}

// updateMembers gives the list of live nodes to all.
func (f *faultRun) updateMembers() {
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
