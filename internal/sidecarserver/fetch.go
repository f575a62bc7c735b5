package sidecarserver

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/internal/messenger"
	"flamingoledge.org/flamingoledge/internal/sleeper"
	"flamingoledge.org/flamingoledge/internal/transferrer"
	"flamingoledge.org/flamingoledge/pkg/assembler"
	"flamingoledge.org/flamingoledge/pkg/chunker"
	"flamingoledge.org/flamingoledge/pkg/planner"
)

const (
	// fetchRetryWait is the minimum delay before a failed fetch is retried; a random
	// delay of up to the same length is added.
	fetchRetryWait = 300 * time.Millisecond
	// maxManifestPeers is how many peers are asked for a manifest before the
	// platform's store is.
	maxManifestPeers = 2
	manifestTimeout  = 5 * time.Second
	// preferTimeTakeoverDivisor shortens the takeover timeout of versions whose
	// record prefers time over origin traffic.
	preferTimeTakeoverDivisor = 2
)

// fetch downloads one version. It is ready when every chunk and the digest of the
// complete weights have been verified.
type fetch struct {
	server *Server
	cancel context.CancelFunc

	mu       sync.Mutex
	desired  desiredVersion
	current  *assembler.Assembly
	transfer *transferrer.Transfer
	ready    bool
}

func (r *rollout) startFetch(ctx context.Context, d desiredVersion) *fetch {
	ctx, cancel := context.WithCancel(ctx)
	f := &fetch{server: r.server, cancel: cancel, desired: d}
	go f.run(ctx)
	return f
}

func (f *fetch) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.fetchOnce(ctx)
		if err == nil {
			return
		}
		if ctx.Err() == nil {
			logger.Log(f.server.cfg.Logger, logger.OriginUnavailable, zap.String("version_digest", f.version()), zap.Error(err))
		}
		sleeper.Sleep(ctx, fetchRetryWait+time.Duration(rand.Int64N(int64(fetchRetryWait))))
	}
}

func (f *fetch) version() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.desired.versionDigest
}

// fetchOnce makes one attempt to get the manifest, all chunks and the verification
// of the complete weights.
func (f *fetch) fetchOnce(ctx context.Context) error {
	a := f.server.store.Get(f.version())
	if a == nil {
		m, err := f.fetchManifest(ctx)
		if err != nil {
			return err
		}
		a = assembler.New(f.version(), m)
		reused := f.server.store.Put(a)
		logger.Log(f.server.cfg.Logger, logger.RolloutStarted,
			zap.String("version_digest", f.version()), zap.Int("chunks", len(m.Chunks)), zap.Int("reused", reused),
			zap.Uint64("record_offset", f.desired.recordOffset))
	}
	if _, err := f.startTransfer(a).Run(ctx); err != nil {
		return err
	}
	if err := a.VerifyWeights(); err != nil {
		f.server.store.Remove(f.version())
		return err
	}
	logger.Log(f.server.cfg.Logger, logger.ChunksComplete, zap.String("version_digest", f.version()))
	f.mu.Lock()
	f.ready = true
	f.transfer = nil
	f.mu.Unlock()
	f.server.stateChanged.Notify()
	return nil
}

// startTransfer creates the transfer of an assembly's missing chunks.
func (f *fetch) startTransfer(a *assembler.Assembly) *transferrer.Transfer {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = a
	f.transfer = transferrer.New(transferrer.Config{
		Assembly:         a,
		Planner:          f.plannerConfig(a.Manifest()),
		DownloadPacer:    f.server.downlink,
		CrossRegionPacer: newLinkPacer(f.server.cfg.Transfer.RegionBytesPerSecond / float64(f.countRegionMembers())),
		Members:          f.desired.members,
		Dial:             f.server.dialInstance,
		Origin:           f.server.cfg.Origin,
		OriginTimeout:    f.server.cfg.Transfer.OriginTimeout,
		Submit:           f.server.workerPool.Submit,
		Logger:           f.server.cfg.Logger,
	})
	return f.transfer
}

// countRegionMembers counts the members in this sidecar's region, which share its
// links to other regions. The caller must hold mu.
func (f *fetch) countRegionMembers() (n int) {
	for _, m := range f.desired.members {
		if m.Region == f.server.cfg.Region {
			n++
		}
	}
	return max(n, 1)
}

func (f *fetch) plannerConfig(m chunker.Manifest) planner.Config {
	t := f.server.cfg.Transfer
	cfg := planner.Config{
		Self:          f.server.member(),
		VersionDigest: f.desired.versionDigest,
		Chunks:        len(m.Chunks),
		OriginRegion:  f.server.cfg.OriginRegion,
		OriginRanks:   max(int(f.desired.originCopies), 1),
		EagerRanks:    1,
		Neighbors:     t.Neighbors,
		PeerWindow:    t.PeerWindow,
		OriginWindow:  t.OriginWindow,
		TotalWindow:   t.TotalWindow,
		TakeoverAfter: t.TakeoverAfter,
		ChunkTimeout:  t.chunkTimeout(m.ChunkBytes),
		Rand:          rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	if f.desired.preferTime {
		cfg.TakeoverAfter /= preferTimeTakeoverDivisor
	}
	return cfg
}

// fetchManifest requests the manifest from a few peers and then from the
// platform's store.
func (f *fetch) fetchManifest(ctx context.Context) (chunker.Manifest, error) {
	ctx, cancel := context.WithTimeout(ctx, manifestTimeout)
	defer cancel()
	version := f.version()
	for _, peer := range f.randomPeers() {
		if m, err := f.manifestFromPeer(ctx, peer, version); err == nil {
			return m, nil
		}
	}
	data, err := f.server.cfg.Origin.Manifest(ctx, version)
	if err != nil {
		return chunker.Manifest{}, err
	}
	return chunker.ParseManifest(data, version)
}

// randomPeers returns up to maxManifestPeers other members in random order.
func (f *fetch) randomPeers() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for _, m := range f.desired.members {
		if m.Instance != f.server.cfg.Instance {
			names = append(names, m.Instance)
		}
	}
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:min(len(names), maxManifestPeers)]
}

func (f *fetch) manifestFromPeer(ctx context.Context, peer, version string) (m chunker.Manifest, err error) {
	conn, err := f.server.dialInstance(ctx, peer)
	if err != nil {
		return m, err
	}
	defer func() { _ = conn.Close() }()
	reply, err := messenger.NewDRPCTransferClient(conn).Manifest(ctx, &messenger.ManifestRequest{VersionDigest: version})
	if err != nil {
		return m, eris.Wrapf(err, "get manifest from %s", peer)
	}
	return chunker.ParseManifest(reply.GetData(), version)
}

// setMembers updates the members, also in a running transfer.
func (f *fetch) setMembers(members []planner.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if slices.Equal(f.desired.members, members) {
		return
	}
	f.desired.members = members
	if f.transfer != nil {
		f.transfer.SetMembers(members)
	}
}

func (f *fetch) isReady() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ready
}

func (f *fetch) assembly() *assembler.Assembly {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

func (f *fetch) weightsDigest() string { return f.assembly().Manifest().WeightsDigest }

// chunkCounts returns the number of verified chunks and of all chunks, or zeros if
// the manifest is not known yet.
func (f *fetch) chunkCounts() (held, total int) {
	a := f.assembly()
	if a == nil {
		return 0, 0
	}
	return a.HeldCount(), len(a.Manifest().Chunks)
}
