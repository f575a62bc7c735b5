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
	// defaultListLag is the lag of the list of instances without a fault.
	defaultListLag = 200 * time.Millisecond
	// faultListLag is its lag under faultLag.
	faultListLag = 3 * time.Second
	// stallDuration is how long a stalled link transmits nothing.
	stallDuration = 5 * time.Second
	// corruptChunkShare is the share of chunks with a flipped byte.
	corruptChunkShare = 0.01
	// faultyInstanceShare is the share of instances that crash or stall.
	faultyInstanceShare = 0.1
)

// faultKind is a fault that is injected into a distribution.
type faultKind string

// The kinds of faults.
const (
	// faultDie crashes instances.
	faultDie faultKind = "die"
	// faultStall stalls the links of instances for stallDuration.
	faultStall faultKind = "stall"
	// faultCorrupt flips bytes in chunks from the origin and from instances.
	faultCorrupt faultKind = "corrupt"
	// faultOrigin takes the origin down, and later lets it refuse a share of the reads.
	faultOrigin faultKind = "origin_down"
	// faultReplace replaces the version during its distribution.
	faultReplace faultKind = "replace"
	// faultLag delays the list of instances by faultListLag.
	faultLag faultKind = "list_lag"
)

func allFaultKinds() []faultKind {
	return []faultKind{faultDie, faultStall, faultCorrupt, faultOrigin, faultReplace, faultLag}
}

// faultCombinations returns each kind of fault alone and all pairs of kinds.
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

// measureFaults distributes a version under each combination of faults and adds the
// worst results.
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
		cfg.progressf("faults %v: %.2f s, origin %.3f copies, unfinished %d, corrupted %d", kinds, run.elapsed.Seconds(), run.copies, run.unfinished, run.corrupted)
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

// faultRun is a distribution under faults and its results.
type faultRun struct {
	swarm   *swarm
	cfg     Config
	kinds   map[faultKind]bool
	rng     *rand.Rand
	listLag time.Duration

	elapsed       time.Duration
	copies        float64
	timeOverFloor float64
	// unfinished is the number of live instances without the version.
	unfinished int
	// corrupted is the number of instances that verified the version but hold other bytes.
	corrupted int
}

// runFaults distributes a version under the given faults.
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

// run distributes the version while the faults are injected. With faultReplace it
// aborts the distribution after a third of the floor and distributes the next version.
func (f *faultRun) run(ctx context.Context) {
	floor := f.swarm.cfg.floor()
	started := time.Now()
	var wg sync.WaitGroup
	wg.Go(func() { f.injectFaults(floor) })
	if f.kinds[faultReplace] {
		firstCtx, cancel := context.WithTimeout(ctx, floor/3)
		f.swarm.run(firstCtx, f.cfg)
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

// injectFaults injects the faults at fixed shares of the floor, and updates the list of
// members once it would show the crashes.
func (f *faultRun) injectFaults(floor time.Duration) {
	if f.kinds[faultCorrupt] {
		f.swarm.platform.SetFaults(emulator.PlatformFaults{OriginCorruptionRate: corruptChunkShare})
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
		f.swarm.platform.SetFaults(emulator.PlatformFaults{OriginRefusalRate: 0.3})
	}
}

// updateMembers sets the live nodes as the members on all nodes and on the swarm.
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
