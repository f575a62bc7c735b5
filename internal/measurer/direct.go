package measurer

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"flamingoledge.org/flamingoledge/internal/stager"
)

const (
	// directSize, directChunk and the rates are those of a deployment whose entries
	// call its endpoints directly: 96 chunks, links of 7.3 Mbit/s, 26 Mbit/s between
	// regions and an origin of 4.38 Mbit/s or of an instance's rate.
	directSize         = 96 * directChunk
	directChunk        = 24576
	directInstanceRate = 7.3e6 / 8
	directRegionRate   = 26e6 / 8
	directSlowOrigin   = 4.38e6 / 8
	directTimeout      = 60 * time.Second
	// directBound is what an endpoint may take over the least time.
	directBound = 1.3
	// directNewer is how long after a version the newer one is named.
	directNewer = 2 * time.Second
	// directNewerCopies bounds what the origin sends for both: one copy of the newer
	// one and what the older one had got in its time, with a tenth more.
	directNewerCopies = 1.1 * (1 + directSlowOrigin*2/directSize)
)

func direct(perRegion int, originRate float64, seed uint64) swarmConfig {
	planning := stager.PlannerConfig()
	return swarmConfig{
		regions:                []string{"a", "b", "c"},
		perRegion:              perRegion,
		weightsBytes:           directSize,
		chunkBytes:             directChunk,
		originBytesPerSecond:   originRate,
		instanceBytesPerSecond: directInstanceRate,
		regionRate:             directRegionRate,
		planning:               &planning,
		seed:                   seed,
		timeout:                directTimeout,
	}
}

// measureDirect measures a new version for the sidecars of a deployment without
// control instances, and two that are named soon after each other.
func measureDirect(ctx context.Context, cfg Config, r *Report) error {
	shapes := map[string]swarmConfig{"direct_27": direct(9, directInstanceRate, cfg.Seed)}
	if !cfg.Quick {
		shapes["direct_75"] = direct(25, directSlowOrigin, cfg.Seed)
	}
	for name, sc := range shapes {
		d, err := distribute(ctx, cfg, sc)
		if err != nil {
			return err
		}
		r.bounded(name+"_time_over_floor", d.taken.Seconds()/sc.floor().Seconds(), "ratio", LowerIsBetter, directBound)
		r.bounded(name+"_origin_copies", d.copies, "copies", LowerIsBetter, originTolerance)
	}
	if cfg.Quick {
		return nil
	}
	return measureDirectNewer(ctx, cfg, r)
}

// measureDirectNewer names a newer version while the first one is on its way, which
// is given up.
func measureDirectNewer(ctx context.Context, cfg Config, r *Report) error {
	sc := direct(25, directSlowOrigin, cfg.Seed)
	s, err := newSwarm(ctx, sc)
	if err != nil {
		return err
	}
	defer s.close()
	first, cancel := context.WithTimeout(ctx, directNewer)
	defer cancel()
	s.run(first, cfg)
	if err = s.putVersion(ctx, generated(sc.weightsBytes, cfg.Seed+1)); err != nil {
		return err
	}
	for _, n := range s.nodes {
		n.prepare()
	}
	taken := s.run(ctx, cfg)
	if n := s.unfinished(); n > 0 {
		return eris.Errorf("%d instances did not finish the newer version", n)
	}
	r.bounded("direct_75_newer_time_over_floor", taken.Seconds()/sc.floor().Seconds(), "ratio", LowerIsBetter, directBound)
	r.bounded("direct_75_newer_origin_copies", s.originCopies(), "copies", LowerIsBetter, directNewerCopies)
	return nil
}
