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
	// eventQueueSize is the number of events that may wait for the run loop.
	eventQueueSize = 1024
	// planInterval is the time between runs of the planner if no event arrives.
	planInterval = 20 * time.Millisecond
	// reconnectDelay is the pause before a peer whose link has closed is dialed again.
	reconnectDelay = 300 * time.Millisecond
	// progressInterval is the time between progress events in the log.
	progressInterval = 2 * time.Second
	// stallTimeouts is the number of chunk timeouts without a reply after which a
	// link is closed.
	stallTimeouts = 3
)

// Config configures a Transfer.
type Config struct {
	Assembly *assembler.Assembly
	Planner  planner.Config
	// Members is the initial list of members; SetMembers replaces it.
	Members []planner.Member
	Dial    DialFunc
	Origin  Origin
	// OriginTimeout limits a single read from the origin.
	OriginTimeout time.Duration
	// Archive reads the version from the platform's store; nil if Planner.Archive keeps
	// nothing.
	Archive Archive
	// ArchiveTimeout limits a single read from the store.
	ArchiveTimeout time.Duration
	// DownloadPacer limits the rate of all requested chunks, and CrossRegionPacer that
	// of chunks requested from other regions; nil means no limit.
	DownloadPacer    *pacer.Pacer
	CrossRegionPacer *pacer.Pacer
	// RecordLatency is called for each chunk from a peer; it may be nil.
	RecordLatency RecordLatencyFunc
	// RecordChunk is called for each verified chunk that was fetched; it may be nil.
	RecordChunk func(source Source, bytes int)
	// Submit runs a task on another goroutine. It returns an error if it does not
	// accept the task.
	Submit func(func()) error
	Logger *zap.Logger
}

// RecordLatencyFunc records how long after its request a chunk arrived from a peer. It must
// be safe for concurrent use.
type RecordLatencyFunc func(peer string, latency time.Duration)

// Origin reads weights from the origin.
type Origin interface {
	// ReadAt fills buf with the bytes at offset of the weights with the given digest.
	ReadAt(ctx context.Context, digest string, offset int64, buf []byte) error
}

// Archive reads the chunks of a version from the platform's store. It is not used
// concurrently.
type Archive interface {
	// ReadChunks returns the chunks from first to before end that a partition contains, by
	// index. They are not verified.
	ReadChunks(ctx context.Context, partition, first, end int) (map[int][]byte, error)
	// Contains reports whether a partition contains chunks of the version.
	Contains(ctx context.Context, partition int) (bool, error)
	// RecordDamaged records that chunks of a partition are missing or corrupt.
	RecordDamaged(partition int)
}

// Source is the kind of source that a chunk came from.
type Source string

// Sources.
const (
	SourcePeer   Source = "peer"
	SourceStore  Source = "store"
	SourceOrigin Source = "origin"
)

// Stats counts the chunks of a transfer by their source, the corrupt chunks and the
// bytes.
type Stats struct {
	FromOrigin      int
	FromStore       int
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

	// mu guards regions, the region of each member.
	mu      sync.Mutex
	regions map[string]string
}

// New returns a transfer that does not run yet.
func New(cfg Config) *Transfer {
	return &Transfer{cfg: cfg, events: make(chan event, eventQueueSize), done: make(chan struct{}), links: map[string]*link{}}
}

// SetMembers replaces the list of members. It is safe for concurrent use.
func (t *Transfer) SetMembers(members []planner.Member) {
	t.post(event{kind: eventMembersChanged, members: members})
}

// post sends an event to the run loop. It blocks while the queue is full and drops the
// event if the loop has ended.
func (t *Transfer) post(e event) {
	select {
	case t.events <- e:
	case <-t.done:
	}
}

// Run fetches chunks until all are held or ctx ends. It must be called at most once.
func (t *Transfer) Run(ctx context.Context) (Stats, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer close(t.done)
	now := time.Now()
	t.planner = planner.New(t.cfg.Planner, now, t.cfg.Assembly.HeldChunks())
	t.setMembers(t.cfg.Members)
	t.connect(ctx, now)
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	lastProgressLog := now
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
			if now.Sub(lastProgressLog) >= progressInterval {
				lastProgressLog = now
				t.logProgress(logger.RolloutProgress)
			}
		}
	}
	t.logProgress(logger.RolloutProgress)
	return t.stats, nil
}

// handleQueued handles an event and all events that are queued after it.
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
		t.planner.RecordPeerContact(e.peer)
	case eventChunkReceived:
		t.countChunk(e)
		t.recordReply(now, e.fetch)
		t.planner.RecordSuccess(now, e.fetch)
	case eventArchiveRead:
		t.handleArchiveRead(e)
	case eventFetchFailed:
		t.logFailure(e)
		t.recordReply(now, e.fetch)
		t.planner.RecordFailure(now, e.fetch, e.reason)
	case eventLinkClosed:
		t.planner.RemovePeer(e.peer)
		if l := t.links[e.peer]; l != nil {
			l.closed = true
			l.changedAt = now
			l.cancel()
		}
	}
}

// setMembers passes the list of members to the planner and records their regions.
func (t *Transfer) setMembers(members []planner.Member) {
	t.planner.SetMembers(members)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.regions = make(map[string]string, len(members))
	for _, m := range members {
		t.regions[m.Instance] = m.Region
	}
}

// isRemote reports whether a peer is in another region.
func (t *Transfer) isRemote(peer string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.regions[peer] != t.cfg.Planner.Self.Region
}

// connect opens missing links to the planner's peers and updates the open ones.
func (t *Transfer) connect(ctx context.Context, now time.Time) {
	for _, p := range t.planner.Peers(now) {
		name := p.Instance
		l := t.links[name]
		if l != nil && !l.closed {
			l.updateWanted(p.Wanted)
			continue
		}
		if l != nil && now.Sub(l.changedAt) < reconnectDelay {
			continue
		}
		lctx, cancel := context.WithCancel(ctx)
		l = &link{
			peer:          name,
			requestQueue:  make(chan uint32, maxQueuedRequests),
			requestedAt:   map[uint32]time.Time{},
			wantedUpdates: make(chan chunker.IndexSet, 1),
			wanted:        p.Wanted,
			cancel:        cancel,
			changedAt:     now,
			lastReply:     now,
		}
		t.links[name] = l
		go t.runLink(lctx, l)
	}
}

// updateWanted sends the peer the set of chunks to announce, if it has changed. If the
// previous change is still queued, a later call tries again.
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

// startFetches starts the fetches that the planner returns.
func (t *Transfer) startFetches(ctx context.Context, now time.Time) {
	t.startArchiveRead(ctx, now)
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

// recordReply updates the link on which a fetch was answered.
func (t *Transfer) recordReply(now time.Time, f planner.Fetch) {
	if l := t.links[f.Peer]; l != nil {
		l.outstanding--
		l.lastReply = now
	}
}

// closeStalledLinks closes links with outstanding chunks on which no reply arrived for
// stallTimeouts chunk timeouts.
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

func (t *Transfer) countChunk(e event) {
	t.stats.Bytes += int64(e.bytes)
	source := SourcePeer
	switch {
	case e.fetch.FromOrigin():
		source = SourceOrigin
		t.stats.FromOrigin++
	case e.fetch.FromStore():
		source = SourceStore
		t.stats.FromStore++
	case t.isRemote(e.fetch.Peer):
		t.stats.FromOtherRegion++
	default:
		t.stats.FromOwnRegion++
	}
	if t.cfg.RecordChunk != nil {
		t.cfg.RecordChunk(source, e.bytes)
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
		zap.Int("held", t.cfg.Assembly.HeldCount()),
		zap.Int("chunks", t.cfg.Planner.Chunks),
		zap.Int("from_origin", t.stats.FromOrigin),
		zap.Int("from_store", t.stats.FromStore),
		zap.Int("from_own_region", t.stats.FromOwnRegion),
		zap.Int("from_other_region", t.stats.FromOtherRegion),
		zap.Int("peers", len(t.links)))
}
