package transferrer

import (
	"bytes"
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/pkg/assembler"
	"flamingoledge.org/flamingoledge/pkg/chunker"
	"flamingoledge.org/flamingoledge/pkg/pacer"
	"flamingoledge.org/flamingoledge/pkg/planner"
)

const (
	eventQueueSize = 1024
	// planInterval is how often time alone makes the planner decide again.
	planInterval = 20 * time.Millisecond
	// reconnectAfter is the pause before a lost peer is dialled again.
	reconnectDelay = 300 * time.Millisecond
	// progressInterval is the time between progress lines in the log.
	progressInterval = 2 * time.Second
	// stallFactor times the chunk timeout without a reply ends a link.
	stallTimeouts = 3
)

// Config configures a Transfer.
type Config struct {
	Assembly *assembler.Assembly
	Planner  planner.Config
	// Members is the first list of members; SetMembers renews it.
	Members []planner.Member
	Dial    DialFunc
	Origin  Origin
	// OriginTimeout bounds one read of the origin.
	OriginTimeout time.Duration
	// DownloadPacer paces what is asked for, CrossRegionPacer what is asked of other regions; nil
	// paces nothing.
	DownloadPacer    *pacer.Pacer
	CrossRegionPacer *pacer.Pacer
	// Submit runs a task on the pool of traffic goroutines.
	Submit func(func()) error
	Logger *zap.Logger
}

// Origin reads the origin of weights.
type Origin interface {
	// ReadAt fills buf with the bytes at offset of the weights named by digest.
	ReadAt(ctx context.Context, digest string, offset int64, buf []byte) error
}

// Stats says where the chunks of a transfer came from.
type Stats struct {
	FromOrigin      int
	FromOwnRegion   int
	FromOtherRegion int
	Corrupt         int
	Bytes           int64
}

// Transfer fetches one version until it is complete.
type Transfer struct {
	cfg     Config
	events  chan event
	done    chan struct{}
	planner *planner.Planner
	links   map[string]*link
	stats   Stats

	mu      sync.Mutex
	regions map[string]string
}

// New returns a transfer that does not run yet.
func New(cfg Config) *Transfer {
	return &Transfer{cfg: cfg, events: make(chan event, eventQueueSize), done: make(chan struct{}), links: map[string]*link{}}
}

// SetMembers hands over a newer list of members.
func (t *Transfer) SetMembers(members []planner.Member) {
	t.post(event{kind: eventMembersChanged, members: members})
}

// post hands an event to the run loop. Events wait while the loop is busy; after
// its end they are dropped.
func (t *Transfer) post(e event) {
	select {
	case t.events <- e:
	case <-t.done:
	}
}

// Run fetches chunks until all are held or ctx ends.
func (t *Transfer) Run(ctx context.Context) (Stats, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer close(t.done)
	now := time.Now()
	t.planner = planner.New(t.cfg.Planner, now, t.cfg.Assembly.Held())
	t.setMembers(t.cfg.Members)
	t.connect(ctx, now)
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	progress := now
	for !t.planner.Complete() {
		t.startFetches(ctx, time.Now())
		select {
		case <-ctx.Done():
			return t.stats, ctx.Err()
		case e := <-t.events:
			t.handleQueued(e)
		case now = <-ticker.C:
			t.closeStalledLinks(now)
			t.connect(ctx, now)
			if now.Sub(progress) >= progressInterval {
				progress = now
				t.logProgress(logger.RolloutProgress)
			}
		}
	}
	t.logProgress(logger.RolloutProgress)
	return t.stats, nil
}

// handleAll handles an event and those that wait behind it.
func (t *Transfer) handleQueued(e event) {
	for {
		t.handle(time.Now(), e)
		select {
		case e = <-t.events:
		default:
			return
		}
	}
}

func (t *Transfer) handle(now time.Time, e event) {
	switch e.kind {
	case eventMembersChanged:
		t.setMembers(e.members)
	case eventChunksAnnounced:
		for _, i := range e.indexes {
			t.planner.AddPeerChunk(e.peer, int(i))
		}
	case eventChunkReceived:
		t.countDone(e)
		t.recordReply(now, e.fetch)
		t.planner.RecordSuccess(now, e.fetch)
	case eventFetchFailed:
		t.logFailure(e)
		t.recordReply(now, e.fetch)
		t.planner.RecordFailure(now, e.fetch, e.reason)
	case eventLinkClosed:
		t.planner.RemovePeer(e.peer)
		if l := t.links[e.peer]; l != nil {
			l.closed = true
			l.startedAt = now
			l.cancel()
		}
	}
}

func (t *Transfer) setMembers(members []planner.Member) {
	t.planner.SetMembers(members)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.regions = make(map[string]string, len(members))
	for _, m := range members {
		t.regions[m.Instance] = m.Region
	}
}

func (t *Transfer) isRemote(peer string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.regions[peer] != t.cfg.Planner.Self.Region
}

// connect opens the links that the planner wants and that are not open.
func (t *Transfer) connect(ctx context.Context, now time.Time) {
	for _, p := range t.planner.Peers(now) {
		name := p.Instance
		l := t.links[name]
		if l != nil && !l.closed {
			l.updateWanted(p.Wanted)
			continue
		}
		if l != nil && now.Sub(l.startedAt) < reconnectDelay {
			continue
		}
		lctx, cancel := context.WithCancel(ctx)
		l = &link{
			peer:          name,
			requestQueue:  make(chan uint32, maxQueuedRequests),
			wantedUpdates: make(chan chunker.IndexSet, 1),
			wanted:        p.Wanted,
			cancel:        cancel,
			startedAt:     now,
			lastReply:     now,
		}
		t.links[name] = l
		go t.runLink(lctx, l)
	}
}

// want asks the peer to tell of another set of chunks, if it changed.
func (l *link) updateWanted(wanted chunker.IndexSet) {
	if bytes.Equal(l.wanted, wanted) {
		return
	}
	select {
	case l.wantedUpdates <- wanted:
		l.wanted = wanted
	default:
	}
}

func (t *Transfer) startFetches(ctx context.Context, now time.Time) {
	for _, f := range t.planner.NextFetches(now) {
		if f.FromOrigin() {
			t.startOriginFetch(ctx, f)
			continue
		}
		l := t.links[f.Peer]
		if l.outstanding == 0 {
			l.lastReply = now
		}
		l.outstanding++
		select {
		case l.requestQueue <- uint32(f.Index):
		default:
			l.outstanding--
			t.planner.RecordFailure(now, f, planner.FailureUnavailable)
		}
	}
}

func (t *Transfer) startOriginFetch(ctx context.Context, f planner.Fetch) {
	if err := t.cfg.Submit(func() { t.fetchFromOrigin(ctx, f) }); err != nil {
		t.planner.RecordFailure(time.Now(), f, planner.FailureUnavailable)
	}
}

func (t *Transfer) recordReply(now time.Time, f planner.Fetch) {
	if l := t.links[f.Peer]; l != nil {
		l.outstanding--
		l.lastReply = now
	}
}

// dropStalled ends the links that owe chunks and deliver nothing.
func (t *Transfer) closeStalledLinks(now time.Time) {
	for name, l := range t.links {
		if l.closed || l.outstanding <= 0 || now.Sub(l.lastReply) < stallTimeouts*t.cfg.Planner.ChunkTimeout {
			continue
		}
		logger.Log(t.cfg.Logger, logger.FetchStalled, zap.String("peer", name), zap.Int("outstanding", l.outstanding))
		l.lastReply = now
		l.cancel()
	}
}

func (t *Transfer) countDone(e event) {
	t.stats.Bytes += int64(e.bytes)
	switch {
	case e.fetch.FromOrigin():
		t.stats.FromOrigin++
	case t.isRemote(e.fetch.Peer):
		t.stats.FromOtherRegion++
	default:
		t.stats.FromOwnRegion++
	}
}

func (t *Transfer) logFailure(e event) {
	switch {
	case isCorrupt(e.err):
		t.stats.Corrupt++
		logger.Log(t.cfg.Logger, logger.ChunkCorrupt, zap.Int("chunk", e.fetch.Index), zap.String("peer", e.fetch.Peer), zap.Error(e.err))
	case e.fetch.FromOrigin():
		logger.Log(t.cfg.Logger, logger.OriginUnavailable, zap.Int("chunk", e.fetch.Index), zap.Error(e.err))
	}
}

func (t *Transfer) logProgress(e logger.Event) {
	logger.Log(t.cfg.Logger, e,
		zap.String("version_digest", t.cfg.Assembly.VersionDigest()),
		zap.Int("held", t.cfg.Assembly.Count()),
		zap.Int("chunks", t.cfg.Planner.Chunks),
		zap.Int("from_origin", t.stats.FromOrigin),
		zap.Int("from_own_region", t.stats.FromOwnRegion),
		zap.Int("from_other_region", t.stats.FromOtherRegion),
		zap.Int("peers", len(t.links)))
}
