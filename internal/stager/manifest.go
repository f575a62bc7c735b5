package stager

import (
	"context"
	"slices"
	"time"

	"flamingoledge.org/flamingoledge/internal/messenger"
	"flamingoledge.org/flamingoledge/internal/pauser"
	"flamingoledge.org/flamingoledge/pkg/chunker"
	"flamingoledge.org/flamingoledge/pkg/planner"
	"flamingoledge.org/flamingoledge/pkg/ranker"
	"flamingoledge.org/flamingoledge/platform"
)

const (
	// manifestRanks is how many instances read the manifest from the origin, and
	// manifestPause the wait between tries to get it.
	manifestRanks   = 2
	manifestPause   = 60 * time.Millisecond
	manifestTimeout = 1500 * time.Millisecond
	// manifestTakeover is how long the first ranks have before manifestAskers ask the
	// origin, which takes few connections at a time.
	manifestTakeover = 1500 * time.Millisecond
	manifestAskers   = 6
)

// manifest gets the manifest: the first ranks from the origin, the others from
// them, and from the origin too when that takes long.
func (f *fetch) manifest(ctx context.Context) (m chunker.Manifest, err error) {
	first := f.stager.cfg.Clock()
	for ctx.Err() == nil {
		ranked := ranker.Top(f.name, names(f.currentMembers()), manifestAskers)
		own := slices.Index(ranked, f.stager.cfg.Self.Instance)
		waited := f.stager.cfg.Clock().Sub(first)
		if own == 0 || own >= 0 && own < manifestRanks && waited > settleTime || own >= 0 && waited > manifestTakeover {
			if m, err = f.originManifest(ctx); err == nil {
				return m, nil
			}
		}
		for _, peer := range ranked[:min(len(ranked), manifestRanks+1)] {
			if peer == f.stager.cfg.Self.Instance {
				continue
			}
			if m, err = f.peerManifest(ctx, peer); err == nil {
				return m, nil
			}
		}
		pauser.Pause(ctx, manifestPause)
	}
	return m, ctx.Err()
}

func (f *fetch) originManifest(ctx context.Context) (chunker.Manifest, error) {
	ctx, cancel := context.WithTimeout(ctx, manifestTimeout)
	defer cancel()
	return platform.NewOriginClient(f.plan.Origin).Manifest(ctx, platform.NamedVersion{Model: f.model, Version: f.version}, f.plan.Chunks)
}

// peerManifest asks another sidecar.
func (f *fetch) peerManifest(ctx context.Context, peer string) (m chunker.Manifest, err error) {
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

func names(ms []planner.Member) []string {
	out := make([]string, len(ms))
	for i, m := range ms {
		out[i] = m.Instance
	}
	return out
}
