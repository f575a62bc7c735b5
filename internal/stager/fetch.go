package stager

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"storj.io/drpc"

	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/internal/sleeper"
	"flamingoledge.org/flamingoledge/internal/transferrer"
	"flamingoledge.org/flamingoledge/pkg/assembler"
	"flamingoledge.org/flamingoledge/pkg/planner"
	"flamingoledge.org/flamingoledge/platform"
)

const (
	// originRanks limits the copies of a chunk that the origin sends when instances
	// fail, and neighbors is the number of peers to fetch from in the instance's
	// region.
	originRanks = 3
	neighbors   = 6
	// originReaders are enough to keep the origin's link busy while each reader's
	// own link stays well below its rate, so that it can also send a handful of
	// copies of the chunks that it reads.
	originReaders = 6
	// peerWindow and totalWindow keep a link of a few Mbit/s busy without queueing
	// long ahead of live requests: a chunk takes some tens of milliseconds.
	peerWindow   = 2
	originWindow = 2
	totalWindow  = 6
	// takeoverAfter is how long no chunk may arrive before the next rank fetches
	// the chunks of the previous one.
	takeoverAfter = 600 * time.Millisecond
	// chunkTimeout is how long a source may deliver nothing before its chunks are
	// requested elsewhere.
	chunkTimeout = time.Second
	// maxOriginBackoff is the longest pause after failures of the origin. It is short
	// because all transfers wait for the origin to recover, and a refused connection
	// costs almost nothing.
	maxOriginBackoff = 700 * time.Millisecond
	// originTimeout limits a single read from the origin, whose link all instances
	// share.
	originTimeout = 4 * time.Second
	// originSettleDelay is how long after its start a fetch does not use the origin
	// if other instances may hold the version, and minLinkSettleDelay the minimum time
	// that neighbors get to announce their chunks. Announcing takes a few
	// milliseconds, or a few hundred while the processors are busy with startup.
	originSettleDelay  = 500 * time.Millisecond
	minLinkSettleDelay = 400 * time.Millisecond
	// fetchRetryDelay is the pause after a failed attempt to fetch a version.
	fetchRetryDelay = 200 * time.Millisecond
)

// PlannerConfig returns the planner's limits and timeouts, without the fields that
// identify a particular transfer.
func PlannerConfig() planner.Config {
	return planner.Config{
		OriginRanks:      originRanks,
		OriginReaders:    originReaders,
		EagerRanks:       1,
		Neighbors:        neighbors,
		PeerWindow:       peerWindow,
		OriginWindow:     originWindow,
		TotalWindow:      totalWindow,
		MaxOriginBackoff: maxOriginBackoff,
		TakeoverAfter:    takeoverAfter,
		ChunkTimeout:     chunkTimeout,
	}
}

// fetch is the fetch of one version. It holds the version's chunks when it is done.
type fetch struct {
	stager  *Stager
	model   string
	version uint64
	name    string
	plan    Plan
	cancel  context.CancelFunc
	// adopt is set if the endpoint has already loaded the version. Its staged
	// chunks are read back to serve them to other instances, and nothing is fetched.
	adopt bool
	// readBack is the number of chunks that were staged before this process started.
	readBack  int
	startedAt time.Time
	// settleDelay is how long after startedAt no chunk is read from the origin.
	settleDelay time.Duration

	mu       sync.Mutex
	members  []planner.Member
	assembly *assembler.Assembly
	transfer *transferrer.Transfer
	// keeper keeps the chunks in the store; nil if they are not kept there.
	keeper *keeper
	done   bool
	doneAt time.Time
}

// newFetch returns a fetch of the planned version, which runs until ctx ends.
func (s *Stager) newFetch(ctx context.Context, now time.Time, p Plan, adopt bool) *fetch {
	ctx, cancel := context.WithCancel(ctx)
	f := &fetch{
		stager: s, model: p.Model, version: p.Version, name: versionName(p.Model, p.Version), plan: p,
		cancel: cancel, adopt: adopt, startedAt: now, members: s.recentMembers.current(now),
	}
	if p.Held || now.Sub(p.NamedAt) > adoptionAge {
		f.settleDelay = originSettleDelay
	}
	logger.Log(s.cfg.Logger, logger.RolloutStarted, zap.String("model", p.Model), zap.Uint64("version", p.Version),
		zap.Duration("named_age", now.Sub(p.NamedAt)), zap.Bool("adopt", adopt), zap.Int("members", len(p.Members)))
	go f.run(ctx)
	return f
}

// isComplete reports whether all chunks are held.
func (f *fetch) isComplete() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.done
}

// completedAt returns when the last chunk arrived.
func (f *fetch) completedAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.doneAt
}

// currentAssembly returns the assembly, or nil until the manifest is known.
func (f *fetch) currentAssembly() *assembler.Assembly {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.assembly
}

// heldShare returns the share of the chunks that are held.
func (f *fetch) heldShare() float64 {
	a := f.currentAssembly()
	if a == nil {
		return 0
	}
	return float64(a.HeldCount()) / float64(max(len(a.Manifest().Chunks), 1))
}

// setMembers replaces the instances to exchange chunks with.
func (f *fetch) setMembers(ms []planner.Member) {
	f.mu.Lock()
	f.members = ms
	t := f.transfer
	f.mu.Unlock()
	if t != nil {
		t.SetMembers(ms)
	}
}

func (f *fetch) currentMembers() []planner.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members
}

// run fetches until all chunks are held or ctx ends.
func (f *fetch) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.attempt(ctx)
		if err == nil && !f.isComplete() {
			// The chunks could not be read back from the endpoint.
			return
		}
		if err == nil {
			logger.Log(f.stager.cfg.Logger, logger.ChunksComplete, zap.Uint64("version", f.version),
				zap.Bool("adopted", f.adopt), zap.Int("read_back", f.readBack), zap.Duration("taken", f.stager.cfg.Clock().Sub(f.startedAt)))
			return
		}
		if ctx.Err() == nil {
			logger.Log(f.stager.cfg.Logger, logger.OriginUnavailable, zap.Uint64("version", f.version), zap.Error(err))
		}
		sleeper.Sleep(ctx, fetchRetryDelay)
	}
}

// attempt fetches the manifest and the missing chunks once. An adopting fetch does not
// fetch chunks.
func (f *fetch) attempt(ctx context.Context) error {
	a := f.currentAssembly()
	if a == nil {
		m, err := f.fetchManifest(ctx)
		if err != nil {
			return err
		}
		a = assembler.New(f.name, m)
		f.readStaged(ctx, a)
		f.stager.cfg.Store.Put(a)
		f.mu.Lock()
		f.assembly = a
		f.keeper = f.newKeeper(a)
		f.mu.Unlock()
		if f.keeper != nil {
			go f.keeper.run(ctx, a)
		}
	}
	if f.adopt && !a.IsComplete() {
		return nil
	}
	if err := f.transferMissing(ctx, a); err != nil {
		return err
	}
	f.mu.Lock()
	f.done, f.doneAt = true, f.stager.cfg.Clock()
	f.mu.Unlock()
	return nil
}

// readStaged reads back the chunks that are already staged at the endpoint, for example
// after a restart of this process. Chunks were staged in the order in which they arrived, so
// any of them may be missing.
func (f *fetch) readStaged(ctx context.Context, a *assembler.Assembly) {
	for i := range a.Manifest().Chunks {
		if ctx.Err() != nil {
			return
		}
		data, err := f.stager.cfg.Endpoint.ReadStagedChunk(f.model, i)
		if err != nil {
			// The chunk is fetched instead, and all others too if the endpoint does not
			// answer.
			if !platform.IsNotStaged(err) && i == f.readBack {
				return
			}
			continue
		}
		if _, err = a.Put(i, data); err == nil {
			f.readBack++
		}
	}
}

// remainingSettleDelay returns the rest of the settle delay, but at least
// minLinkSettleDelay; 0 if there is no settle delay.
func (f *fetch) remainingSettleDelay() time.Duration {
	if f.settleDelay == 0 {
		return 0
	}
	return max(f.settleDelay-f.stager.cfg.Clock().Sub(f.startedAt), minLinkSettleDelay)
}

// transferMissing transfers the missing chunks from peers and the origin.
func (f *fetch) transferMissing(ctx context.Context, a *assembler.Assembly) error {
	if a.IsComplete() {
		return nil
	}
	s := f.stager
	origin := platform.NewOriginClient(f.plan.Origin)
	pc := PlannerConfig()
	pc.Self, pc.VersionDigest, pc.Chunks = s.cfg.Self, f.name, len(a.Manifest().Chunks)
	pc.OriginRegion, pc.SettleDelay = f.plan.OriginRegion, f.remainingSettleDelay()
	pc.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	cfg := transferrer.Config{
		Assembly: a,
		Planner:  pc,
		Members:  f.currentMembers(),
		Dial: func(ctx context.Context, instance string) (drpc.Conn, error) {
			return s.cfg.Dialer.Dial(ctx, instance)
		},
		Origin:        &originReader{origin: origin, named: platform.NamedVersion{Model: f.model, Version: f.version}, chunkBytes: a.Manifest().ChunkBytes},
		OriginTimeout: originTimeout,
		DownloadPacer: s.cfg.DownloadPacer,
		RecordLatency: s.cfg.RecordLatency,
		RecordChunk:   s.cfg.RecordChunk,
		Submit:        func(task func()) error { go task(); return nil },
		Logger:        s.cfg.Logger,
	}
	if f.readsStore() {
		defer f.keeper.reader.Close()
		cfg.Archive, cfg.ArchiveTimeout, cfg.Planner.Archive = f.keeper, f.keeper.timeout, f.keeper.layout
	}
	t := transferrer.New(cfg)
	f.mu.Lock()
	f.transfer = t
	f.mu.Unlock()
	_, err := t.Run(ctx)
	return err
}

// readsStore reports whether chunks are read from the store before the origin. A version that
// was named a moment ago is not there yet.
func (f *fetch) readsStore() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.keeper != nil && f.settleDelay > 0
}

// originReader implements transferrer.Origin for one version. The platform's origin
// addresses chunks by index instead of offset.
type originReader struct {
	origin     *platform.OriginClient
	named      platform.NamedVersion
	chunkBytes int
}

// ReadAt implements transferrer.Origin.
func (o *originReader) ReadAt(ctx context.Context, _ string, offset int64, buf []byte) error {
	data, err := o.origin.Chunk(ctx, o.named, int(offset/int64(o.chunkBytes)))
	if err != nil {
		return err
	}
	if len(data) != len(buf) {
		return eris.Errorf("origin sent %d bytes, want %d", len(data), len(buf))
	}
	copy(buf, data)
	return nil
}
