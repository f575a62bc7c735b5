package measurer

import (
	"context"
	"fmt"
	"time"
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
)

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

// distribute runs one swarm and returns what it measured.
func distribute(ctx context.Context, cfg Config, sc swarmConfig) (taken time.Duration, copies float64, err error) {
	s, err := newSwarm(ctx, sc)
	if err != nil {
		return 0, 0, err
	}
	defer s.close()
	if taken, err = s.run(ctx, cfg); err != nil {
		return 0, 0, err
	}
	if n := s.unfinished(); n > 0 {
		return 0, 0, fmt.Errorf("%d of %d instances did not finish", n, sc.instances())
	}
	copies = s.originCopies()
	cfg.say("%d instances in %d regions, shared links %v: %.2f s, floor %.2f s, origin %.3f copies",
		sc.instances(), len(sc.regions), sc.shared, taken.Seconds(), sc.floor().Seconds(), copies)
	return taken, copies, nil
}

func measureWeights(ctx context.Context, cfg Config, r *Report) error {
	return measureOneRegion(ctx, cfg, r)
}

// measureOneRegion measures both readings of an instance's link; the harder one
// carries the row.
func measureOneRegion(ctx context.Context, cfg Config, r *Report) error {
	worstRatio, worstCopies := 0.0, 0.0
	for _, shared := range []bool{false, true} {
		sc := oneRegion(regionInstances, shared, cfg.Seed)
		taken, copies, err := distribute(ctx, cfg, sc)
		if err != nil {
			return err
		}
		ratio := taken.Seconds() / sc.floor().Seconds()
		worstRatio, worstCopies = max(worstRatio, ratio), max(worstCopies, copies)
		name := "each_way"
		if shared {
			name = "both_ways_together"
		}
		r.add("one_region_64_time_over_floor_"+name, ratio, "ratio", Lower)
	}
	r.bounded("one_region_64_time_over_floor", worstRatio, "ratio", Lower, oneRegionBound)
	r.bounded("one_region_64_origin_copies", worstCopies, "copies", Lower, originTolerance)
	return nil
}
