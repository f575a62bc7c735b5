package measurer

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"flamingoledge.org/flamingoledge/internal/stager"
)

const (
	// directWeightsBytes, directChunkBytes and the rates are those of a deployment whose entries
	// call its endpoints directly: 96 chunks, links of 7.3 Mbit/s, 26 Mbit/s between
	// regions and an origin of 4.38 Mbit/s or of an instance's rate.
	directWeightsBytes             = 96 * directChunkBytes
	directChunkBytes               = 24576
	directInstanceBytesPerSecond   = 7.3e6 / 8
	directRegionBytesPerSecond     = 26e6 / 8
	directSlowOriginBytesPerSecond = 4.38e6 / 8
	directTimeout                  = 60 * time.Second
	// directTimeRatioBound is what an endpoint may take over the least time.
	directTimeRatioBound = 1.3
	// directNewerDelay is how long after a version the newer one is named.
	directNewerDelay = 2 * time.Second
	// directNewerCopiesBound bounds what the origin sends for both: one copy of the newer
	// one and what the older one had got in its time, with a tenth more.
	directNewerCopiesBound = 1.1 * (1 + directSlowOriginBytesPerSecond*2/directWeightsBytes)
)

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

// measureDirect measures a new version for the sidecars of a deployment without
// control instances, and two that are named soon after each other.
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

// measureDirectNewerVersion names a newer version while the first one is on its way, which
// is given up.
func measureDirectNewerVersion(ctx context.Context, cfg Config, r *Report) error {
	sc := directSwarm(25, directSlowOriginBytesPerSecond, cfg.Seed)
	s, err := newSwarm(ctx, sc)
	if err != nil {
		return err
	}
	defer s.close()
	first, cancel := context.WithTimeout(ctx, directNewerDelay)
	defer cancel()
	s.run(first, cfg)
	if err = s.putVersion(ctx, generateWeights(sc.weightsBytes, cfg.Seed+1)); err != nil {
		return err
	}
	for _, n := range s.nodes {
		n.resetAssembly()
	}
	elapsed := s.run(ctx, cfg)
	if n := s.unfinished(); n > 0 {
		return eris.Errorf("%d instances did not finish the newer version", n)
	}
	r.addBounded("direct_75_newer_time_over_floor", elapsed.Seconds()/sc.floor().Seconds(), "ratio", LowerIsBetter, directTimeRatioBound)
	r.addBounded("direct_75_newer_origin_copies", s.originCopies(), "copies", LowerIsBetter, directNewerCopiesBound)
	return nil
}
