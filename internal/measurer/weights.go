package measurer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
)

const (
	weightsSize      = 4 << 20
	weightsChunk     = 16 << 10
	weightsWindow    = 8 * time.Second
	weightsTimeout   = 90 * time.Second
	weightsTakeover  = time.Second
	regionInstances  = 64
	originTolerance  = 1.10
	oneRegionBound   = 1.30
	doublingBound    = 1.15
	threeRegionBound = 1.35
	thinLinkBound    = 1.10
	nextVersionBound = 0.25
	// sharedChunks is the share of chunks that a next version has in common.
	sharedChunks = 0.80
	// growthWindow leaves processor time for the largest size on one machine.
	growthWindow = 16 * time.Second
	// quickThinCopies is what a thin link carries in the window of a quick run.
	quickThinCopies = 0.6
	// quickDivisor divides sizes and windows alike, so that rates stay.
	quickDivisor = 2
)

// scaled returns a configuration for a quick run, if that is wanted.
func (c Config) scaled(sc swarmConfig) swarmConfig {
	if c.Quick {
		sc.weightsBytes /= quickDivisor
		sc.chunkBytes /= quickDivisor
		sc.window /= quickDivisor
	}
	return sc
}

func oneRegion(n int, shared bool, seed uint64) swarmConfig {
	return swarmConfig{
		regions:      []string{"a"},
		perRegion:    n,
		weightsBytes: weightsSize,
		chunkBytes:   weightsChunk,
		window:       weightsWindow,
		shared:       shared,
		originRanks:  2,
		eagerRanks:   1,
		takeover:     weightsTakeover,
		seed:         seed,
		timeout:      weightsTimeout,
	}
}

// distribution is what one run of a swarm measured.
type distribution struct {
	taken  time.Duration
	copies float64
	swarm  *swarm
}

// distribute runs one swarm. Its network can still be read after the end.
func distribute(ctx context.Context, cfg Config, sc swarmConfig) (d distribution, err error) {
	s, err := newSwarm(ctx, sc)
	if err != nil {
		return d, err
	}
	defer s.close()
	d = distribution{taken: s.run(ctx, cfg), copies: s.originCopies(), swarm: s}
	if n := s.unfinished(); n > 0 {
		return d, eris.Errorf("%d of %d instances did not finish", n, sc.instances())
	}
	cfg.say("%d instances in %d regions, shared links %v: %.2f s, floor %.2f s, origin %.3f copies",
		sc.instances(), len(sc.regions), sc.shared, d.taken.Seconds(), sc.floor().Seconds(), d.copies)
	return d, nil
}

func measureWeights(ctx context.Context, cfg Config, r *Report) error {
	for _, measure := range []func(context.Context, Config, *Report) error{
		measureOneRegion,
		measureGrowth,
		measureThreeRegions,
		measureNextVersion,
		measureDirect,
		measureBaselines,
		measureFaults,
		measureLive,
	} {
		if err := measure(ctx, cfg, r); err != nil {
			return err
		}
	}
	return nil
}

// measureOneRegion measures both readings of an instance's link; the harder one
// carries the row.
func measureOneRegion(ctx context.Context, cfg Config, r *Report) error {
	worstRatio, worstCopies := 0.0, 0.0
	for _, shared := range cfg.readings() {
		sc := cfg.scaled(oneRegion(regionInstances, shared, cfg.Seed))
		d, err := distribute(ctx, cfg, sc)
		if err != nil {
			return err
		}
		ratio := d.taken.Seconds() / sc.floor().Seconds()
		worstRatio, worstCopies = max(worstRatio, ratio), max(worstCopies, d.copies)
		r.add("one_region_64_time_over_floor_"+reading(shared), ratio, "ratio", LowerIsBetter)
	}
	r.bounded("one_region_64_time_over_floor", worstRatio, "ratio", LowerIsBetter, oneRegionBound)
	r.bounded("one_region_64_origin_copies", worstCopies, "copies", LowerIsBetter, originTolerance)
	return nil
}

// readings returns both readings of an instance's link, or the harder one for a
// quick run.
func (c Config) readings() []bool {
	if c.Quick {
		return []bool{true}
	}
	return []bool{false, true}
}

func reading(shared bool) string {
	if shared {
		return "both_ways_together"
	}
	return "each_way"
}

// measureGrowth doubles the number of instances and keeps all rates.
func measureGrowth(ctx context.Context, cfg Config, r *Report) error {
	sizes := []int{8, 16, 32, 64, 128, 256}
	if cfg.Quick {
		sizes = sizes[:2]
	}
	worst := 0.0
	for _, shared := range cfg.readings() {
		var before time.Duration
		for _, n := range sizes {
			sc := oneRegion(n, shared, cfg.Seed)
			sc.window = growthWindow
			if cfg.Quick {
				sc.weightsBytes /= 4
				sc.chunkBytes /= 4
				sc.window /= 8
			}
			d, err := distribute(ctx, cfg, sc)
			if err != nil {
				return err
			}
			if before > 0 {
				worst = max(worst, d.taken.Seconds()/before.Seconds())
			}
			before = d.taken
			r.add("time_to_"+count(n)+"_seconds_"+reading(shared), d.taken.Seconds(), "s", LowerIsBetter)
		}
	}
	r.bounded("doubling_growth", worst, "ratio", LowerIsBetter, doublingBound)
	return nil
}

// threeRegions has thin links that carry half a copy in the window, so that they
// and not the instances' links limit the time.
func threeRegions(shared bool, seed uint64) swarmConfig {
	sc := oneRegion(16, shared, seed)
	sc.regions = []string{"a", "b", "c"}
	sc.regionRate = sc.perWindow(0.5)
	return sc
}

// twoPathFloor is the least time of the best plan over three regions: each remote
// region takes half of the copy from the origin's region and swaps it for the
// other half, so half a copy crosses each link; the fill is one chunk over two
// thin links and its spread in a region.
func twoPathFloor(sc swarmConfig) time.Duration {
	half := float64(sc.weightsBytes) / 2
	chunk := float64(sc.chunkBytes)
	thin := (half + 2*chunk) / sc.regionRate
	return max(time.Duration(thin*float64(time.Second))+sc.spread(), sc.floor())
}

func measureThreeRegions(ctx context.Context, cfg Config, r *Report) error {
	worstRatio, worstCopies, worstThin, byBytes, byTime, price := 0.0, 0.0, 0.0, 0.0, 0.0, 0.0
	for _, shared := range cfg.readings() {
		sc := cfg.scaled(threeRegions(shared, cfg.Seed))
		if cfg.Quick {
			sc.regionRate = sc.perWindow(quickThinCopies)
		}
		d, err := distribute(ctx, cfg, sc)
		if err != nil {
			return err
		}
		worstRatio = max(worstRatio, d.taken.Seconds()/twoPathFloor(sc).Seconds())
		worstCopies = max(worstCopies, d.copies)
		worstThin = max(worstThin, thinOverPlan(d.swarm))
		hurried := sc
		hurried.takeover /= 2
		h, err := distribute(ctx, cfg, hurried)
		if err != nil {
			return err
		}
		byBytes, byTime, price = d.taken.Seconds(), h.taken.Seconds(), h.copies
	}
	r.bounded("three_regions_time_over_floor", worstRatio, "ratio", LowerIsBetter, threeRegionBound)
	r.bounded("three_regions_origin_copies", worstCopies, "copies", LowerIsBetter, originTolerance)
	r.bounded("three_regions_thin_link_over_plan", worstThin, "ratio", LowerIsBetter, thinLinkBound)
	r.add("three_regions_prefer_time_seconds", byTime, "s", LowerIsBetter).against(byBytes)
	r.add("three_regions_prefer_time_origin_copies", price, "copies", LowerIsBetter).against(worstCopies)
	return nil
}

// thinOverPlan returns the most that any thin link carried, over the half copy
// that the plan gives it. Nothing is planned towards the origin's region.
func thinOverPlan(s *swarm) (worst float64) {
	planned := float64(s.cfg.weightsBytes) / 2
	for _, from := range s.cfg.regions {
		for _, to := range s.cfg.regions[1:] {
			worst = max(worst, float64(s.network.RegionBytes(from, to))/planned)
		}
	}
	return worst
}

// measureNextVersion distributes a version that shares most of its chunks with
// the one that all instances hold.
func measureNextVersion(ctx context.Context, cfg Config, r *Report) error {
	sc := cfg.scaled(oneRegion(16, true, cfg.Seed))
	s, err := newSwarm(ctx, sc)
	if err != nil {
		return err
	}
	defer s.close()
	s.run(ctx, cfg)
	before := s.originCopies()
	if err = s.putVersion(ctx, nextVersion(sc, cfg.Seed)); err != nil {
		return err
	}
	for _, n := range s.nodes {
		n.prepare()
	}
	taken := s.run(ctx, cfg)
	if n := s.unfinished(); n > 0 {
		return eris.Errorf("%d instances did not finish the next version", n)
	}
	r.bounded("next_version_origin_copies", s.originCopies()-before, "copies", LowerIsBetter, nextVersionBound)
	r.add("next_version_seconds", taken.Seconds(), "s", LowerIsBetter)
	return nil
}

// nextVersion changes a fifth of the chunks, spread evenly.
func nextVersion(sc swarmConfig, seed uint64) []byte {
	w := generated(sc.weightsBytes, seed)
	rng := rand.New(rand.NewPCG(seed, 2))
	chunks := sc.weightsBytes / sc.chunkBytes
	for _, i := range rng.Perm(chunks)[:int(float64(chunks)*(1-sharedChunks))] {
		w[i*sc.chunkBytes] ^= 0xff
	}
	return w
}
