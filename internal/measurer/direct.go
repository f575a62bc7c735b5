package measurer

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"flamingoledge.org/flamingoledge/internal/stager"
)

const (
	// The sizes and rates are those of a deployment whose entries call its endpoints
	// directly: 96 chunks, instance links of 7.3 Mbit/s, 26 Mbit/s between regions, and
	// an origin link of 4.38 Mbit/s or of an instance's rate.
	directWeightsBytes             = 96 * directChunkBytes
	directChunkBytes               = 24576
	directInstanceBytesPerSecond   = 7.3e6 / 8
	directRegionBytesPerSecond     = 26e6 / 8
	directSlowOriginBytesPerSecond = 4.38e6 / 8
	directTimeout                  = 60 * time.Second
	// directTimeRatioBound limits the time of a distribution as a multiple of its floor.
	directTimeRatioBound = 1.3
	// directNewerDelay is the time between the starts of the first and the newer version.
	directNewerDelay = 2 * time.Second
	// directNewerCopiesBound limits the copies that the origin sends for both versions:
	// one copy of the newer one and what its link can carry for the older one during
	// directNewerDelay, plus a tenth.
	directNewerCopiesBound = 1.1 * (1 + directSlowOriginBytesPerSecond*2/directWeightsBytes)
)

// directSwarm returns the configuration of a swarm in three regions that uses the
// stager's planner configuration.
func directSwarm(perRegion int, originRate float64, seed uint64) swarmConfig {
	plannerConfig := stager.PlannerConfig()
	return swarmConfig{
		regions:                []string{"a", "b", "c"},
		perRegion:              perRegion,
		weightsBytes:           directWeightsBytes,
		chunkBytes:             directChunkBytes,
		originBytesPerSecond:   originRate,
		instanceBytesPerSecond: directInstanceBytesPerSecond,
		regionBytesPerSecond:   directRegionBytesPerSecond,
		plannerConfig:          &plannerConfig,
		seed:                   seed,
		timeout:                directTimeout,
	}
}

// measureDirect measures the distribution of a version to the sidecars of a deployment
// whose entries call its endpoints directly, and of two versions in quick succession.
func measureDirect(ctx context.Context, cfg Config, r *Report) error {
	configs := map[string]swarmConfig{"direct_27": directSwarm(9, directInstanceBytesPerSecond, cfg.Seed)}
	if !cfg.Quick {
		configs["direct_75"] = directSwarm(25, directSlowOriginBytesPerSecond, cfg.Seed)
	}
	for name, sc := range configs {
		d, err := distribute(ctx, cfg, sc)
		if err != nil {
			return err
		}
		r.addBounded(name+"_time_over_floor", d.elapsed.Seconds()/sc.floor().Seconds(), "ratio", LowerIsBetter, directTimeRatioBound)
		r.addBounded(name+"_origin_copies", d.copies, "copies", LowerIsBetter, originCopiesBound)
	}
	if cfg.Quick {
		return nil
	}
	return measureDirectNewerVersion(ctx, cfg, r)
}

// measureDirectNewerVersion aborts the distribution of a first version after
// directNewerDelay and measures that of a newer version, which starts then.
func measureDirectNewerVersion(ctx context.Context, cfg Config, r *Report) error {
	sc := directSwarm(25, directSlowOriginBytesPerSecond, cfg.Seed)
	s, err := newSwarm(ctx, sc)
	if err != nil {
		return err
	}
	defer s.close()
	firstCtx, cancel := context.WithTimeout(ctx, directNewerDelay)
	defer cancel()
	s.run(firstCtx, cfg)
	if err = s.putVersion(ctx, generateWeights(sc.weightsBytes, cfg.Seed+1)); err != nil {
		return err
	}
	for _, n := range s.nodes {
		n.resetAssembly()
	}
	elapsed := s.run(ctx, cfg)
	if n := s.unfinished(); n > 0 {
		return eris.Errorf("%d instances did not receive the newer version in time", n)
	}
	r.addBounded("direct_75_newer_time_over_floor", elapsed.Seconds()/sc.floor().Seconds(), "ratio", LowerIsBetter, directTimeRatioBound)
	r.addBounded("direct_75_newer_origin_copies", s.originCopies(), "copies", LowerIsBetter, directNewerCopiesBound)
	return nil
}
