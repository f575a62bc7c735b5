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
	"flamingoledge.org/flamingoledge/internal/pauser"
	"flamingoledge.org/flamingoledge/internal/transferrer"
	"flamingoledge.org/flamingoledge/pkg/assembler"
	"flamingoledge.org/flamingoledge/pkg/chunker"
	"flamingoledge.org/flamingoledge/pkg/planner"
)

const (
	// fetchRetryWait is the pause before a failed fetch begins again.
	fetchRetryWait = 300 * time.Millisecond
	// manifestPeers is how many peers are asked for a manifest before the store.
	manifestPeers   = 2
	manifestTimeout = 5 * time.Second
	// hurriedTakeover divides the takeover time where time is preferred.
	hurriedTakeover = 2
)

// fetch is the fetching of one version until every chunk and the digest of the
// whole are verified.
type fetch struct {
	server *Server
	cancel context.CancelFunc

	mu       sync.Mutex
	desired  desiredVersion
	held     *assembler.Assembly
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
		err := f.try(ctx)
		if err == nil {
			return
		}
		if ctx.Err() == nil {
			logger.Log(f.server.cfg.Logger, logger.OriginUnavailable, zap.String("version_digest", f.version()), zap.Error(err))
		}
		pauser.Pause(ctx, fetchRetryWait+time.Duration(rand.Int64N(int64(fetchRetryWait))))
	}
}

func (f *fetch) version() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.desired.versionDigest
}

func (f *fetch) try(ctx context.Context) error {
	a := f.server.store.Get(f.version())
	if a == nil {
		m, err := f.manifest(ctx)
		if err != nil {
			return err
		}
		a = assembler.New(f.version(), m)
		reused := f.server.store.Put(a)
		logger.Log(f.server.cfg.Logger, logger.RolloutStarted,
			zap.String("version_digest", f.version()), zap.Int("chunks", len(m.Chunks)), zap.Int("reused", reused),
			zap.Uint64("record_offset", f.desired.recordOffset))
	}
	if _, err := f.begin(a).Run(ctx); err != nil {
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
	f.server.changed.Notify()
	return nil
}

// begin makes the transfer of an assembly's missing chunks.
func (f *fetch) begin(a *assembler.Assembly) *transferrer.Transfer {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held = a
	f.transfer = transferrer.New(transferrer.Config{
		Assembly:         a,
		Planner:          f.plannerConfig(a.Manifest()),
		DownloadPacer:    f.server.down,
		CrossRegionPacer: pace(f.server.cfg.Transfer.RegionBytesPerSecond / float64(f.membersHere())),
		Members:          f.desired.members,
		Dial:             f.server.dialInstance,
		Origin:           f.server.cfg.Origin,
		OriginTimeout:    f.server.cfg.Transfer.OriginTimeout,
		Submit:           f.server.pool.Submit,
		Logger:           f.server.cfg.Logger,
	})
	return f.transfer
}

// membersHere counts the members of the own region, which share its links to
// other regions; the caller holds mu.
func (f *fetch) membersHere() (n int) {
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
		cfg.TakeoverAfter /= hurriedTakeover
	}
	return cfg
}

// manifest asks a few peers and then the platform's store.
func (f *fetch) manifest(ctx context.Context) (chunker.Manifest, error) {
	ctx, cancel := context.WithTimeout(ctx, manifestTimeout)
	defer cancel()
	version := f.version()
	for _, peer := range f.somePeers() {
		if m, err := f.manifestFrom(ctx, peer, version); err == nil {
			return m, nil
		}
	}
	data, err := f.server.cfg.Origin.Manifest(ctx, version)
	if err != nil {
		return chunker.Manifest{}, err
	}
	return chunker.ParseManifest(data, version)
}

func (f *fetch) somePeers() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for _, m := range f.desired.members {
		if m.Instance != f.server.cfg.Instance {
			names = append(names, m.Instance)
		}
	}
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:min(len(names), manifestPeers)]
}

func (f *fetch) manifestFrom(ctx context.Context, peer, version string) (m chunker.Manifest, err error) {
	conn, err := f.server.dialInstance(ctx, peer)
	if err != nil {
		return m, err
	}
	defer func() { _ = conn.Close() }()
	reply, err := messenger.NewDRPCTransferClient(conn).Manifest(ctx, &messenger.ManifestRequest{VersionDigest: version})
	if err != nil {
		return m, eris.Wrapf(err, "manifest from %s", peer)
	}
	return chunker.ParseManifest(reply.GetData(), version)
}

// setMembers hands a newer list of members to the transfer.
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
	return f.held
}

func (f *fetch) weightsDigest() string { return f.assembly().Manifest().WeightsDigest }

func (f *fetch) progress() (held, total int) {
	a := f.assembly()
	if a == nil {
		return 0, 0
	}
	return a.HeldCount(), len(a.Manifest().Chunks)
}
