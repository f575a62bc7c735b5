package stager

import (
	"context"
	"slices"
	"time"

	"flamingoledge.org/flamingoledge/internal/messenger"
	"flamingoledge.org/flamingoledge/internal/sleeper"
	"flamingoledge.org/flamingoledge/pkg/chunker"
	"flamingoledge.org/flamingoledge/pkg/planner"
	"flamingoledge.org/flamingoledge/pkg/ranker"
	"flamingoledge.org/flamingoledge/platform"
)

const (
	// manifestRanks is how many instances read the manifest from the origin at
	// first, and manifestRetryDelay the pause between attempts to get it.
	manifestRanks      = 2
	manifestRetryDelay = 60 * time.Millisecond
	// manifestLateRetryDelay is the pause after manifestTakeoverDelay, when the origin is
	// likely to be away for longer. Each attempt opens a connection to the origin and to
	// several peers.
	manifestLateRetryDelay = 240 * time.Millisecond
	manifestTimeout        = 1500 * time.Millisecond
	// manifestTakeoverDelay is how long the first ranks have before
	// maxManifestReaders instances read from the origin, which accepts few
	// connections at a time.
	manifestTakeoverDelay = 1500 * time.Millisecond
	maxManifestReaders    = 6
)

// fetchManifest fetches the manifest. The first ranks read it from the origin and the
// others from them; after manifestTakeoverDelay further ranks also read from the origin.
func (f *fetch) fetchManifest(ctx context.Context) (m chunker.Manifest, err error) {
	startedAt := f.stager.cfg.Clock()
	for ctx.Err() == nil {
		ranked := ranker.Top(f.name, instanceNames(f.currentMembers()), maxManifestReaders)
		ownRank := slices.Index(ranked, f.stager.cfg.Self.Instance)
		waited := f.stager.cfg.Clock().Sub(startedAt)
		if ownRank == 0 || ownRank >= 0 && ownRank < manifestRanks && waited > originSettleDelay || ownRank >= 0 && waited > manifestTakeoverDelay {
			if m, err = f.fetchManifestFromOrigin(ctx); err == nil {
				return m, nil
			}
		}
		for _, peer := range ranked[:min(len(ranked), manifestRanks+1)] {
			if peer == f.stager.cfg.Self.Instance {
				continue
			}
			if m, err = f.fetchManifestFromPeer(ctx, peer); err == nil {
				return m, nil
			}
		}
		sleeper.Sleep(ctx, manifestRetry(waited))
	}
	return m, ctx.Err()
}

// manifestRetry returns the pause between attempts to get the manifest after a sidecar has
// waited for it for waited.
func manifestRetry(waited time.Duration) time.Duration {
	if waited > manifestTakeoverDelay {
		return manifestLateRetryDelay
	}
	return manifestRetryDelay
}

// fetchManifestFromOrigin reads the manifest from the origin.
func (f *fetch) fetchManifestFromOrigin(ctx context.Context) (chunker.Manifest, error) {
	ctx, cancel := context.WithTimeout(ctx, manifestTimeout)
	defer cancel()
	return platform.NewOriginClient(f.plan.Origin).Manifest(ctx, platform.NamedVersion{Model: f.model, Version: f.version}, f.plan.Chunks)
}

// fetchManifestFromPeer requests the manifest from another sidecar.
func (f *fetch) fetchManifestFromPeer(ctx context.Context, peer string) (m chunker.Manifest, err error) {
	ctx, cancel := context.WithTimeout(ctx, manifestTimeout)
	defer cancel()
	conn, err := f.stager.cfg.Dialer.Dial(ctx, peer)
	if err != nil {
		return m, err
	}
	defer func() { _ = conn.Close() }()
	reply, err := messenger.NewDRPCTransferClient(conn).Manifest(ctx, &messenger.ManifestRequest{VersionDigest: f.name})
	if err != nil {
		return m, err
	}
	return chunker.ParseManifest(reply.GetData(), chunker.Digest(reply.GetData()))
}

func instanceNames(ms []planner.Member) []string {
	out := make([]string, len(ms))
	for i, m := range ms {
		out[i] = m.Instance
	}
	return out
}
