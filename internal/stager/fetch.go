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
	"flamingoledge.org/flamingoledge/internal/pauser"
	"flamingoledge.org/flamingoledge/internal/transferrer"
	"flamingoledge.org/flamingoledge/pkg/assembler"
	"flamingoledge.org/flamingoledge/pkg/planner"
	"flamingoledge.org/flamingoledge/platform"
)

const (
	// originRanks bounds the copies that the origin sends when instances fail, and
	// neighbors how many are asked in the own region.
	originRanks = 3
	neighbors   = 6
	// originReaders keep the origin's link busy and each one's own link well below
	// its rate, with a handful of copies of what it reads to pass on.
	originReaders = 6
	// peerWindow and totalWindow keep a link of a few Mbit/s busy without a long
	// queue before live requests: a chunk takes some tens of milliseconds.
	peerWindow   = 2
	originWindow = 2
	totalWindow  = 6
	// takeoverAfter is how long no chunk may come before the next rank fetches
	// what another one should have brought.
	takeoverAfter = 600 * time.Millisecond
	// chunkTimeout is how long a source may deliver nothing.
	chunkTimeout = time.Second
	// originBackoff bounds the pause after failures of the origin. Everything waits
	// for it when it returns, and a refused connection costs next to nothing.
	originBackoff = 700 * time.Millisecond
	// originTimeout bounds one read of the origin, whose link all share.
	originTimeout = 4 * time.Second
	// settleTime is how long after its start a transfer of a version that others
	// may hold leaves the origin alone, and linkSettle how long neighbours have at
	// least to tell what they hold: some milliseconds, and some hundred where the
	// processors are busy with starting.
	settleTime = 500 * time.Millisecond
	linkSettle = 400 * time.Millisecond
	// fetchRetryWait is the pause after a transfer that failed as a whole.
	fetchRetryWait = 200 * time.Millisecond
)

// Planning returns how chunks are planned, without the transfer's own identity.
func Planning() planner.Config {
	return planner.Config{
		OriginRanks:   originRanks,
		OriginReaders: originReaders,
		EagerRanks:    1,
		Neighbors:     neighbors,
		PeerWindow:    peerWindow,
		OriginWindow:  originWindow,
		TotalWindow:   totalWindow,
		OriginBackoff: originBackoff,
		TakeoverAfter: takeoverAfter,
		ChunkTimeout:  chunkTimeout,
	}
}

// fetch is the fetching of one version.
type fetch struct {
	stager  *Stager
	model   string
	version uint64
	name    string
	plan    Plan
	cancel  context.CancelFunc
	// adopt says that the endpoint has the version loaded, so that its staged
	// chunks are read for others and nothing is fetched.
	adopt bool
	began time.Time
	// settle is how long after the beginning nothing is read from the origin.
	settle time.Duration

	mu       sync.Mutex
	members  []planner.Member
	held     *assembler.Assembly
	transfer *transferrer.Transfer
	done     bool
	doneAt   time.Time
}

func (s *Stager) newFetch(ctx context.Context, now time.Time, p Plan, adopt bool) *fetch {
	ctx, cancel := context.WithCancel(ctx)
	f := &fetch{
		stager: s, model: p.Model, version: p.Version, name: versionName(p.Model, p.Version), plan: p,
		cancel: cancel, adopt: adopt, began: now, members: s.carriers.at(now),
	}
	if p.Held || now.Sub(p.NamedAt) > adoptAfter {
		f.settle = settleTime
	}
	logger.Log(s.cfg.Logger, logger.RolloutStarted, zap.String("model", p.Model), zap.Uint64("version", p.Version),
		zap.Duration("named_age", now.Sub(p.NamedAt)), zap.Bool("adopt", adopt), zap.Int("members", len(p.Members)))
	go f.run(ctx)
	return f
}

func (f *fetch) isComplete() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.done
}

// completedAt is when the last chunk came.
func (f *fetch) completedAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.doneAt
}

func (f *fetch) assembly() *assembler.Assembly {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.held
}

// heldShare is the share of the chunks that are held.
func (f *fetch) heldShare() float64 {
	a := f.assembly()
	if a == nil {
		return 0
	}
	return float64(a.Count()) / float64(max(len(a.Manifest().Chunks), 1))
}

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

// run fetches until every chunk is held.
func (f *fetch) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.try(ctx)
		if err == nil && !f.isComplete() {
			// The endpoint did not let its chunks be read.
			return
		}
		if err == nil {
			logger.Log(f.stager.cfg.Logger, logger.ChunksComplete, zap.Uint64("version", f.version),
				zap.Bool("adopted", f.adopt), zap.Duration("taken", f.stager.cfg.Clock().Sub(f.began)))
			return
		}
		if ctx.Err() == nil {
			logger.Log(f.stager.cfg.Logger, logger.OriginUnavailable, zap.Uint64("version", f.version), zap.Error(err))
		}
		pauser.Pause(ctx, fetchRetryWait)
	}
}

func (f *fetch) try(ctx context.Context) error {
	a := f.assembly()
	if a == nil {
		m, err := f.manifest(ctx)
		if err != nil {
			return err
		}
		a = assembler.New(f.name, m)
		f.takeStaged(ctx, a)
		f.stager.cfg.Store.Put(a)
		f.mu.Lock()
		f.held = a
		f.mu.Unlock()
	}
	if f.adopt && !a.Complete() {
		return nil
	}
	if err := f.transferAll(ctx, a); err != nil {
		return err
	}
	f.mu.Lock()
	f.done, f.doneAt = true, f.stager.cfg.Clock()
	f.mu.Unlock()
	return nil
}

// takeStaged reads the chunks that lie at the endpoint already, as after a restart
// of this process.
func (f *fetch) takeStaged(ctx context.Context, a *assembler.Assembly) {
	taken := 0
	for i := range a.Manifest().Chunks {
		if ctx.Err() != nil {
			return
		}
		data, err := f.stager.cfg.Endpoint.ReadStagedChunk(f.model, i)
		if err != nil {
			// Nothing lies there, or nobody answers; the chunk is fetched.
			if i == taken {
				return
			}
			continue
		}
		if _, err = a.Put(i, data); err == nil {
			taken++
		}
	}
}

// settleLeft is the rest of the settle time.
func (f *fetch) settleLeft() time.Duration {
	if f.settle == 0 {
		return 0
	}
	return max(f.settle-f.stager.cfg.Clock().Sub(f.began), linkSettle)
}

func (f *fetch) transferAll(ctx context.Context, a *assembler.Assembly) error {
	if a.Complete() {
		return nil
	}
	s := f.stager
	origin := platform.NewOriginClient(f.plan.Origin)
	pc := Planning()
	pc.Self, pc.VersionDigest, pc.Chunks = s.cfg.Self, f.name, len(a.Manifest().Chunks)
	pc.OriginRegion, pc.SettleTime = f.plan.OriginRegion, f.settleLeft()
	pc.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	t := transferrer.New(transferrer.Config{
		Assembly: a,
		Planner:  pc,
		Members:  f.currentMembers(),
		Dial: func(ctx context.Context, instance string) (drpc.Conn, error) {
			return s.cfg.Dialer.Dial(ctx, instance)
		},
		Origin:        &originReader{origin: origin, named: platform.NamedVersion{Model: f.model, Version: f.version}, chunkBytes: a.Manifest().ChunkBytes},
		OriginTimeout: originTimeout,
		Down:          s.cfg.Down,
		Submit:        func(task func()) error { go task(); return nil },
		Logger:        s.cfg.Logger,
	})
	f.mu.Lock()
	f.transfer = t
	f.mu.Unlock()
	_, err := t.Run(ctx)
	return err
}

// originReader reads chunks of one version by their offset.
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
		return eris.Errorf("the origin sent %d bytes of %d", len(data), len(buf))
	}
	copy(buf, data)
	return nil
}
