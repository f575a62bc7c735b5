package measurer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
)

const (
	weightsVersionBytes       = 4 << 20
	weightsChunkBytes         = 16 << 10
	weightsWindow             = 8 * time.Second
	weightsTimeout            = 90 * time.Second
	weightsTakeoverAfter      = time.Second
	regionInstances           = 64
	originCopiesBound         = 1.10
	oneRegionTimeRatioBound   = 1.30
	doublingTimeRatioBound    = 1.15
	threeRegionTimeRatioBound = 1.35
	regionLinkBytesRatioBound = 1.10
	nextVersionCopiesBound    = 0.25
	// sharedChunkShare is the share of chunks that the next version has in common with the
	// previous one.
	sharedChunkShare = 0.80
	// growthWindow is long enough that the largest swarm is not limited by the CPU of one
	// machine.
	growthWindow = 16 * time.Second
	// quickRegionLinkCopies is how many copies a link between regions carries in the window
	// of a quick run.
	quickRegionLinkCopies = 0.6
	// quickDivisor divides both sizes and windows, so that the rates stay the same.
	quickDivisor = 2
)

// scaledForQuick returns sc, scaled down in a quick run.
func (c Config) scaledForQuick(sc swarmConfig) swarmConfig {
	if c.Quick {
		sc.weightsBytes /= quickDivisor
		sc.chunkBytes /= quickDivisor
		sc.window /= quickDivisor
	}
	return sc
}

// oneRegionSwarm returns the configuration of a swarm of n instances in one region.
func oneRegionSwarm(n int, shared bool, seed uint64) swarmConfig {
	return swarmConfig{
		regions:       []string{"a"},
		perRegion:     n,
		weightsBytes:  weightsVersionBytes,
		chunkBytes:    weightsChunkBytes,
		window:        weightsWindow,
		shared:        shared,
		originRanks:   2,
		eagerRanks:    1,
		takeoverAfter: weightsTakeoverAfter,
		seed:          seed,
		timeout:       weightsTimeout,
	}
}

// distributionResult contains the results of a distribution.
type distributionResult struct {
	elapsed time.Duration
	copies  float64
	swarm   *swarm
}

// distribute runs a new swarm until all instances have the version. The swarm is closed
// on return, but the counters of its network remain readable.
func distribute(ctx context.Context, cfg Config, sc swarmConfig) (d distributionResult, err error) {
	s, err := newSwarm(ctx, sc)
	if err != nil {
		return d, err
	}
	defer s.close()
	d = distributionResult{elapsed: s.run(ctx, cfg), copies: s.originCopies(), swarm: s}
	if n := s.unfinished(); n > 0 {
		return d, eris.Errorf("%d of %d instances did not receive the version in time", n, sc.instances())
	}
	cfg.progressf("%d instances in %d regions, shared links %v: %.2f s, floor %.2f s, origin %.3f copies",
		sc.instances(), len(sc.regions), sc.shared, d.elapsed.Seconds(), sc.floor().Seconds(), d.copies)
	return d, nil
}

// measureWeights runs the experiments on the distribution of weights.
func measureWeights(ctx context.Context, cfg Config, r *Report) error {
	for _, measure := range []func(context.Context, Config, *Report) error{
		measureOneRegion,
		measureScaling,
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

// measureOneRegion measures both modes of an instance's link. The bounded rows contain
// the worse result.
func measureOneRegion(ctx context.Context, cfg Config, r *Report) error {
	worstRatio, worstCopies := 0.0, 0.0
	for _, shared := range cfg.linkModes() {
		sc := cfg.scaledForQuick(oneRegionSwarm(regionInstances, shared, cfg.Seed))
		d, err := distribute(ctx, cfg, sc)
		if err != nil {
			return err
		}
		ratio := d.elapsed.Seconds() / sc.floor().Seconds()
		worstRatio, worstCopies = max(worstRatio, ratio), max(worstCopies, d.copies)
		r.add("one_region_64_time_over_floor_"+linkModeLabel(shared), ratio, "ratio", LowerIsBetter)
	}
	r.addBounded("one_region_64_time_over_floor", worstRatio, "ratio", LowerIsBetter, oneRegionTimeRatioBound)
	r.addBounded("one_region_64_origin_copies", worstCopies, "copies", LowerIsBetter, originCopiesBound)
	return nil
}

// linkModes returns the values of swarmConfig.shared to measure: both, or only the
// more demanding one in a quick run.
func (c Config) linkModes() []bool {
	if c.Quick {
		return []bool{true}
	}
	return []bool{false, true}
}

// linkModeLabel returns the suffix of row names for a value of swarmConfig.shared.
func linkModeLabel(shared bool) string {
	if shared {
		return "both_ways_together"
	}
	return "each_way"
}

// measureScaling repeatedly doubles the number of instances at constant link rates, and
// measures how much the time grows.
func measureScaling(ctx context.Context, cfg Config, r *Report) error {
	sizes := []int{8, 16, 32, 64, 128, 256}
	if cfg.Quick {
		sizes = sizes[:2]
	}
	worst := 0.0
	for _, shared := range cfg.linkModes() {
		var previous time.Duration
		for _, n := range sizes {
			sc := oneRegionSwarm(n, shared, cfg.Seed)
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
			if previous > 0 {
				worst = max(worst, d.elapsed.Seconds()/previous.Seconds())
			}
			previous = d.elapsed
			r.add("time_to_"+formatCount(n)+"_seconds_"+linkModeLabel(shared), d.elapsed.Seconds(), "s", LowerIsBetter)
		}
	}
	r.addBounded("doubling_growth", worst, "ratio", LowerIsBetter, doublingTimeRatioBound)
	return nil
}

// threeRegionSwarm returns the configuration of a swarm in three regions. A link between
// regions carries half a copy in the window, so that these links limit the time and not
// those of the instances.
func threeRegionSwarm(shared bool, seed uint64) swarmConfig {
	sc := oneRegionSwarm(16, shared, seed)
	sc.regions = []string{"a", "b", "c"}
	sc.regionBytesPerSecond = sc.rateForCopies(0.5)
	return sc
}

// twoPathFloor returns the time of the best plan for three regions. Each remote region
// fetches half of the copy from the origin's region and the other half from the other
// remote region, so half a copy crosses each link between regions. Filling the pipeline
// takes the time of one chunk over two such links and of its fan-out in a region.
func twoPathFloor(sc swarmConfig) time.Duration {
	half := float64(sc.weightsBytes) / 2
	chunk := float64(sc.chunkBytes)
	regionLinkSeconds := (half + 2*chunk) / sc.regionBytesPerSecond
	return max(time.Duration(regionLinkSeconds*float64(time.Second))+sc.fanOutTime(), sc.floor())
}

// measureThreeRegions measures a swarm in three regions, and what a shorter takeover
// time gains in time and costs in copies from the origin.
func measureThreeRegions(ctx context.Context, cfg Config, r *Report) error {
	worstRatio, worstCopies, worstRegionLink, preferBytesSeconds, preferTimeSeconds, preferTimeCopies := 0.0, 0.0, 0.0, 0.0, 0.0, 0.0
	for _, shared := range cfg.linkModes() {
		sc := cfg.scaledForQuick(threeRegionSwarm(shared, cfg.Seed))
		if cfg.Quick {
			sc.regionBytesPerSecond = sc.rateForCopies(quickRegionLinkCopies)
		}
		d, err := distribute(ctx, cfg, sc)
		if err != nil {
			return err
		}
		worstRatio = max(worstRatio, d.elapsed.Seconds()/twoPathFloor(sc).Seconds())
		worstCopies = max(worstCopies, d.copies)
		worstRegionLink = max(worstRegionLink, maxRegionLinkRatio(d.swarm))
		preferTime := sc
		preferTime.takeoverAfter /= 2
		preferTimeResult, err := distribute(ctx, cfg, preferTime)
		if err != nil {
			return err
		}
		preferBytesSeconds, preferTimeSeconds, preferTimeCopies = d.elapsed.Seconds(), preferTimeResult.elapsed.Seconds(), preferTimeResult.copies
	}
	r.addBounded("three_regions_time_over_floor", worstRatio, "ratio", LowerIsBetter, threeRegionTimeRatioBound)
	r.addBounded("three_regions_origin_copies", worstCopies, "copies", LowerIsBetter, originCopiesBound)
	r.addBounded("three_regions_thin_link_over_plan", worstRegionLink, "ratio", LowerIsBetter, regionLinkBytesRatioBound)
	r.add("three_regions_prefer_time_seconds", preferTimeSeconds, "s", LowerIsBetter).setBaseline(preferBytesSeconds)
	r.add("three_regions_prefer_time_origin_copies", preferTimeCopies, "copies", LowerIsBetter).setBaseline(worstCopies)
	return nil
}

// maxRegionLinkRatio returns the largest number of bytes that a link between regions
// carried, as a multiple of the planned half copy. Links to the origin's region are left
// out, because nothing is planned for them.
func maxRegionLinkRatio(s *swarm) (worst float64) {
	plannedBytes := float64(s.cfg.weightsBytes) / 2
	for _, from := range s.cfg.regions {
		for _, to := range s.cfg.regions[1:] {
			worst = max(worst, float64(s.network.RegionBytes(from, to))/plannedBytes)
		}
	}
	return worst
}

// measureNextVersion distributes a version that shares most of its chunks with the one
// that all instances already have.
func measureNextVersion(ctx context.Context, cfg Config, r *Report) error {
	sc := cfg.scaledForQuick(oneRegionSwarm(16, true, cfg.Seed))
	s, err := newSwarm(ctx, sc)
	if err != nil {
		return err
	}
	defer s.close()
	s.run(ctx, cfg)
	copiesBefore := s.originCopies()
	if err = s.putVersion(ctx, nextVersion(sc, cfg.Seed)); err != nil {
		return err
	}
	for _, n := range s.nodes {
		n.resetAssembly()
	}
	elapsed := s.run(ctx, cfg)
	if n := s.unfinished(); n > 0 {
		return eris.Errorf("%d instances did not receive the next version in time", n)
	}
	r.addBounded("next_version_origin_copies", s.originCopies()-copiesBefore, "copies", LowerIsBetter, nextVersionCopiesBound)
	r.add("next_version_seconds", elapsed.Seconds(), "s", LowerIsBetter)
	return nil
}

// nextVersion returns the weights of the seed in which all chunks but sharedChunkShare of
// them, drawn at random, are changed.
func nextVersion(sc swarmConfig, seed uint64) []byte {
	w := generateWeights(sc.weightsBytes, seed)
	rng := rand.New(rand.NewPCG(seed, 2))
	chunks := sc.weightsBytes / sc.chunkBytes
	for _, i := range rng.Perm(chunks)[:int(float64(chunks)*(1-sharedChunkShare))] {
		w[i*sc.chunkBytes] ^= 0xff
	}
	return w
}
