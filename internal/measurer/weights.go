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
	// sharedChunkShare is the share of chunks that a next version has in common.
	sharedChunkShare = 0.80
	// growthWindow leaves processor time for the largest size on one machine.
	growthWindow = 16 * time.Second
	// quickRegionLinkCopies is what a thin link carries in the window of a quick run.
	quickRegionLinkCopies = 0.6
	// quickDivisor divides sizes and windows alike, so that rates stay.
	quickDivisor = 2
)

// scaledForQuick returns a configuration for a quick run, if that is wanted.
func (c Config) scaledForQuick(sc swarmConfig) swarmConfig {
	if c.Quick {
		sc.weightsBytes /= quickDivisor
		sc.chunkBytes /= quickDivisor
		sc.window /= quickDivisor
	}
	return sc
}

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

// distributionResult is what one run of a swarm measured.
type distributionResult struct {
	elapsed time.Duration
	copies  float64
	swarm   *swarm
}

// distribute runs one swarm. Its network can still be read after the end.
func distribute(ctx context.Context, cfg Config, sc swarmConfig) (d distributionResult, err error) {
	s, err := newSwarm(ctx, sc)
	if err != nil {
		return d, err
	}
	defer s.close()
	d = distributionResult{elapsed: s.run(ctx, cfg), copies: s.originCopies(), swarm: s}
	if n := s.unfinished(); n > 0 {
		return d, eris.Errorf("%d of %d instances did not finish", n, sc.instances())
	}
	cfg.progressf("%d instances in %d regions, shared links %v: %.2f s, floor %.2f s, origin %.3f copies",
		sc.instances(), len(sc.regions), sc.shared, d.elapsed.Seconds(), sc.floor().Seconds(), d.copies)
	return d, nil
}

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

// measureOneRegion measures both readings of an instance's link; the harder one
// carries the row.
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

// linkModes returns both readings of an instance's link, or the harder one for a
// quick run.
func (c Config) linkModes() []bool {
	if c.Quick {
		return []bool{true}
	}
	return []bool{false, true}
}

func linkModeLabel(shared bool) string {
	if shared {
		return "both_ways_together"
	}
	return "each_way"
}

// measureScaling doubles the number of instances and keeps all rates.
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

// threeRegionSwarm has thin links that carry half a copy in the window, so that they
// and not the instances' links limit the time.
func threeRegionSwarm(shared bool, seed uint64) swarmConfig {
	sc := oneRegionSwarm(16, shared, seed)
	sc.regions = []string{"a", "b", "c"}
	sc.regionBytesPerSecond = sc.rateForCopies(0.5)
	return sc
}

// twoPathFloor is the least time of the best plan over three regions: each remote
// region takes half of the copy from the origin's region and swaps it for the
// other half, so half a copy crosses each link; the fill is one chunk over two
// regionLinkSeconds links and its spread in a region.
func twoPathFloor(sc swarmConfig) time.Duration {
	half := float64(sc.weightsBytes) / 2
	chunk := float64(sc.chunkBytes)
	regionLinkSeconds := (half + 2*chunk) / sc.regionBytesPerSecond
	return max(time.Duration(regionLinkSeconds*float64(time.Second))+sc.fanOutTime(), sc.floor())
}

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
		h, err := distribute(ctx, cfg, preferTime)
		if err != nil {
			return err
		}
		preferBytesSeconds, preferTimeSeconds, preferTimeCopies = d.elapsed.Seconds(), h.elapsed.Seconds(), h.copies
	}
	r.addBounded("three_regions_time_over_floor", worstRatio, "ratio", LowerIsBetter, threeRegionTimeRatioBound)
	r.addBounded("three_regions_origin_copies", worstCopies, "copies", LowerIsBetter, originCopiesBound)
	r.addBounded("three_regions_thin_link_over_plan", worstRegionLink, "ratio", LowerIsBetter, regionLinkBytesRatioBound)
	r.add("three_regions_prefer_time_seconds", preferTimeSeconds, "s", LowerIsBetter).setBaseline(preferBytesSeconds)
	r.add("three_regions_prefer_time_origin_copies", preferTimeCopies, "copies", LowerIsBetter).setBaseline(worstCopies)
	return nil
}

// maxRegionLinkRatio returns the most that any thin link carried, over the half copy
// that the plan gives it. Nothing is planned towards the origin's region.
func maxRegionLinkRatio(s *swarm) (worst float64) {
	plannedBytes := float64(s.cfg.weightsBytes) / 2
	for _, from := range s.cfg.regions {
		for _, to := range s.cfg.regions[1:] {
			worst = max(worst, float64(s.network.RegionBytes(from, to))/plannedBytes)
		}
	}
	return worst
}

// measureNextVersion distributes a version that shares most of its chunks with
// the one that all instances hold.
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
		return eris.Errorf("%d instances did not finish the next version", n)
	}
	r.addBounded("next_version_origin_copies", s.originCopies()-copiesBefore, "copies", LowerIsBetter, nextVersionCopiesBound)
	r.add("next_version_seconds", elapsed.Seconds(), "s", LowerIsBetter)
	return nil
}

// nextVersion changes a fifth of the chunks, spread evenly.
func nextVersion(sc swarmConfig, seed uint64) []byte {
	w := generateWeights(sc.weightsBytes, seed)
	rng := rand.New(rand.NewPCG(seed, 2))
	chunks := sc.weightsBytes / sc.chunkBytes
	for _, i := range rng.Perm(chunks)[:int(float64(chunks)*(1-sharedChunkShare))] {
		w[i*sc.chunkBytes] ^= 0xff
	}
	return w
}
