// Package planner decides which chunk of a version an instance fetches next and
// from which source. It is a state machine without a clock, sockets or goroutines:
// its owner passes events with the current time and performs the returned fetches.
// It is not safe for concurrent use.
//
// Inside a region, instances pull the rarest chunks from a bounded, regular set of
// neighbours. For each chunk and region, rendezvous hashing selects the few instances
// that may fetch the chunk from outside the region, so that each chunk crosses a slow
// link between regions and leaves the origin about once, without a tracker.
package planner

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"flamingoledge.org/flamingoledge/pkg/archiver"
	"flamingoledge.org/flamingoledge/pkg/chunker"
)

// Member is an instance that takes part in the distribution of a version.
type Member struct {
	Instance string
	Region   string
}

// Config configures a Planner.
type Config struct {
	Self          Member
	VersionDigest string
	Chunks        int
	// OriginRegion is the region of the origin.
	OriginRegion string
	// OriginRanks is how many instances of a region may fetch a given chunk from
	// the origin. It bounds the copies that the origin sends.
	OriginRanks int
	// OriginReaders is how many instances of the origin's region may read from the
	// origin; 0 means all. The limit keeps the origin's connections independent of
	// the fleet's size, and few reconnect at once after an outage of the origin.
	OriginReaders int
	// EagerRanks is how many of the OriginRanks instances fetch at once; the others
	// take over later.
	EagerRanks int
	// Neighbors is the maximum number of instances of Self's region to fetch from.
	Neighbors int
	// PeerWindow is the maximum number of chunks outstanding at one peer.
	PeerWindow int
	// OriginWindow is the maximum number of chunks outstanding at the origin.
	OriginWindow int
	// TotalWindow is the maximum number of outstanding chunks.
	TotalWindow int
	// SettleDelay is how long after the start nothing is fetched from outside the
	// region, so that neighbours can first announce their chunks. It is meant for
	// versions that other instances may already hold, and ends early once
	// settledContacts neighbours have announced what they hold.
	SettleDelay time.Duration
	// TakeoverAfter is how long an instance must receive no chunk at all before it
	// takes over from the instance of the previous rank.
	TakeoverAfter time.Duration
	// MaxOriginBackoff is the longest pause after failures of the origin; 0 means
	// defaultOriginBackoff.
	MaxOriginBackoff time.Duration
	// Archive is the layout of the version in the platform's store, which is read before the
	// origin; the zero value if it is not kept there. It requires a SettleDelay.
	Archive archiver.Layout
	// ChunkTimeout is how long a source may deliver nothing before the chunks
	// outstanding there are also requested from another peer.
	ChunkTimeout time.Duration
	// Rand breaks ties and jitters backoff. It must not be shared between planners.
	Rand *rand.Rand
}

// Fetch is a decision to fetch a chunk. An empty Peer means the origin.
type Fetch struct {
	Index int
	Peer  string
}

// FromOrigin reports whether the source is the origin.
func (f Fetch) FromOrigin() bool { return f.Peer == "" }

// storePeer is the Peer of chunks that come from the store.
const storePeer = "store"

// FromStore returns the Fetch of a chunk that was read from the store.
func FromStore(index int) Fetch { return Fetch{Index: index, Peer: storePeer} }

// FromStore reports whether the source is the store.
func (f Fetch) FromStore() bool { return f.Peer == storePeer }

// Failure is the reason why a fetch failed.
type Failure int

// Failures of a fetch.
const (
	// FailureMissing means that the peer does not hold the chunk.
	FailureMissing Failure = iota + 1
	// FailureCorrupt means that the digest of the received bytes did not match.
	FailureCorrupt
	// FailureUnavailable means that the source could not be reached.
	FailureUnavailable
)

const (
	// maxCorruptChunks is the number of corrupt chunks after which a peer is no
	// longer used.
	maxCorruptChunks = 3
	// maxInFlightPerChunk allows one hedged fetch in addition to the first.
	maxInFlightPerChunk = 2
	// slowPenalty is how long a peer is not used after a fetch from it stalled,
	// failed or was slow.
	slowPenalty = 2 * time.Second
	// defaultOriginBackoff is the default of Config.MaxOriginBackoff.
	defaultOriginBackoff = 10 * time.Second
	// originBackoffBase is the upper bound of the first pause.
	originBackoffBase = 200 * time.Millisecond
)

// peer is the state of an instance that has announced chunks.
type peer struct {
	member        Member
	held          chunker.IndexSet
	inFlight      int
	corruptChunks int
	slowUntil     time.Time
	// lastArrival is when the peer last delivered a chunk.
	lastArrival time.Time
}

// Planner plans the fetches of one version for one instance.
type Planner struct {
	cfg Config
	// lastProgress is when a chunk last arrived, initially the start time.
	lastProgress time.Time
	// settleUntil is the end of Config.SettleDelay.
	settleUntil time.Time
	// contacts are the instances of the region that have announced what they hold.
	contacts map[string]struct{}

	members           []Member
	instancesByRegion map[string][]string
	paths             []path
	// neighbors are the instances of Self's region to fetch from.
	neighbors []Peer
	// readersByRegion caches originReaders until the members change.
	readersByRegion map[string][]string
	// readersByChunk caches rankedReaders in the same way.
	readersByChunk [][]string
	// otherRegions are the regions with members, other than the origin's.
	otherRegions []string
	// externalChunks are the chunks that this instance may fetch from outside the
	// region, in the order in which they are tried.
	externalChunks []int

	peers map[string]*peer
	// names lists the peers in a stable order, so that decisions depend only on
	// events and the random source.
	names     []string
	held      chunker.IndexSet
	heldCount int
	// copies counts the peers that hold each chunk.
	copies []uint16
	// withheldSince is when canFetchLocally first withheld each chunk, by index.
	withheldSince []time.Time
	// requested is the set of chunks with an active fetch.
	requested     chunker.IndexSet
	activeFetches map[int]activeFetches
	inFlight      int

	// fetchBuf, usablePeers and otherPeers are reused by each call of NextFetches.
	fetchBuf    []Fetch
	usablePeers []string
	otherPeers  []string
	// lastHedgeCheck is the time of the last check for stalled fetches.
	lastHedgeCheck time.Time

	archive archiveState

	originInFlight    int
	originFailures    int
	originPausedUntil time.Time
	// meanLatency is the moving average of the time from the request of a chunk to
	// its arrival, over all peers.
	meanLatency time.Duration
}

// New returns a planner that starts at now and already holds the chunks in held.
func New(cfg Config, now time.Time, held chunker.IndexSet) *Planner {
	return &Planner{
		cfg:          cfg,
		lastProgress: now,
		settleUntil:  now.Add(cfg.SettleDelay),
		contacts:     map[string]struct{}{},

		peers:         map[string]*peer{},
		held:          held.Clone(),
		heldCount:     held.Len(),
		copies:        make([]uint16, cfg.Chunks),
		withheldSince: make([]time.Time, cfg.Chunks),
		requested:     chunker.NewIndexSet(cfg.Chunks),
		activeFetches: map[int]activeFetches{},
		archive:       newArchiveState(cfg),
		meanLatency:   initialLatency,
	}
}

// Complete reports whether all chunks are held.
func (p *Planner) Complete() bool { return p.heldCount == p.cfg.Chunks }

// AddPeerChunk records that a peer holds a chunk.
func (p *Planner) AddPeerChunk(name string, index int) {
	pr := p.peer(name)
	if index < 0 || index >= p.cfg.Chunks || pr.held.Has(index) {
		return
	}
	pr.held.Add(index)
	p.copies[index]++
}

// RemovePeer removes a peer and its active fetches, whose chunks are planned again.
func (p *Planner) RemovePeer(name string) {
	pr := p.peers[name]
	if pr == nil {
		return
	}
	for i := range p.cfg.Chunks {
		if pr.held.Has(i) {
			p.copies[i]--
		}
	}
	for _, i := range slices.Sorted(maps.Keys(p.activeFetches)) {
		p.finishFetch(i, name)
	}
	delete(p.peers, name)
	p.names = slices.DeleteFunc(p.names, func(n string) bool { return n == name })
}

// RecordSuccess records that the chunk of f was received and verified.
func (p *Planner) RecordSuccess(now time.Time, f Fetch) {
	p.lastProgress = now
	if f.FromOrigin() {
		p.originFailures = 0
	} else if pr := p.peers[f.Peer]; pr != nil {
		pr.lastArrival = now
		p.recordLatency(now, pr, f)
	}
	p.finishFetch(f.Index, f.Peer)
	if p.held.Has(f.Index) {
		return
	}
	p.held.Add(f.Index)
	p.heldCount++
}

// RecordFailure records that a fetch failed. After a failure of the origin nothing is
// read from it for a while; a peer is not used for slowPenalty if it was unavailable.
func (p *Planner) RecordFailure(now time.Time, f Fetch, reason Failure) {
	p.finishFetch(f.Index, f.Peer)
	if f.FromOrigin() {
		p.pauseOrigin(now)
		return
	}
	pr := p.peers[f.Peer]
	if pr == nil {
		return
	}
	switch reason {
	case FailureMissing:
		p.removePeerChunk(pr, f.Index)
	case FailureCorrupt:
		p.removePeerChunk(pr, f.Index)
		pr.corruptChunks++
	case FailureUnavailable:
		pr.slowUntil = now.Add(slowPenalty)
	}
}

// removePeerChunk records that a peer does not hold a chunk.
func (p *Planner) removePeerChunk(pr *peer, index int) {
	if !pr.held.Has(index) {
		return
	}
	pr.held.Remove(index)
	p.copies[index]--
}

// pauseOrigin suspends reads from the origin with exponential backoff and full jitter.
func (p *Planner) pauseOrigin(now time.Time) {
	maxBackoff := p.cfg.MaxOriginBackoff
	if maxBackoff <= 0 {
		maxBackoff = defaultOriginBackoff
	}
	ceiling := min(originBackoffBase<<min(p.originFailures, 10), maxBackoff)
	p.originFailures++
	p.originPausedUntil = now.Add(time.Duration(p.cfg.Rand.Int64N(int64(ceiling))))
}

// peer returns the state of a peer and creates it if needed.
func (p *Planner) peer(name string) *peer {
	pr := p.peers[name]
	if pr == nil {
		pr = &peer{
			member: Member{Instance: name, Region: p.regionOf(name)},
			held:   chunker.NewIndexSet(p.cfg.Chunks),
		}
		p.peers[name] = pr
		p.names = append(p.names, name)
	}
	return pr
}
