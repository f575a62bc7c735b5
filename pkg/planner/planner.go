// Package planner decides which chunk of a version an instance fetches next and
// from whom. It is a state machine without clock, sockets or goroutines: one
// owner feeds it events with the present time and performs the fetches it names.
//
// Inside a region, instances pull the rarest chunks from a bounded, regular set
// of neighbours. Rendezvous ranks name, for each chunk and region, the few
// instances that may fetch it from outside the region, so that each chunk
// crosses a thin link and leaves the origin about once without a tracker.
package planner

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

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
	// OriginRegion is where the origin is.
	OriginRegion string
	// OriginRanks is how many instances of a region may fetch a given chunk
	// from the origin; it bounds the copies drawn from there.
	OriginRanks int
	// OriginReaders is how many instances of the origin's region may read from it,
	// so that its connections do not grow with the fleet and that few come at once
	// when it was away; 0 is all.
	OriginReaders int
	// EagerRanks of them fetch at once; the others take over later.
	EagerRanks int
	// Neighbors bounds how many instances of the own region are asked.
	Neighbors int
	// PeerWindow bounds the chunks outstanding at one peer.
	PeerWindow int
	// OriginWindow bounds the chunks outstanding at the origin.
	OriginWindow int
	// TotalWindow bounds all outstanding chunks.
	TotalWindow int
	// SettleDelay is how long after the start nothing is fetched from outside the
	// region, so that neighbours can tell what they hold. It is for versions that
	// others may hold already.
	SettleDelay time.Duration
	// TakeoverAfter is how long a rank must see no progress at all before it
	// takes over from the one before it.
	TakeoverAfter time.Duration
	// MaxOriginBackoff bounds the pause after failures of the origin; 0 is
	// defaultOriginBackoff.
	MaxOriginBackoff time.Duration
	// ChunkTimeout is how long a source may deliver nothing before what is
	// outstanding there is hedged.
	ChunkTimeout time.Duration
	// Rand breaks ties; it must not be shared.
	Rand *rand.Rand
}

// Fetch is a decision to fetch a chunk. An empty Peer means the origin.
type Fetch struct {
	Index int
	Peer  string
}

// FromOrigin tells whether the fetch goes to the origin.
func (f Fetch) FromOrigin() bool { return f.Peer == "" }

// Failure says why a fetch failed.
type Failure int

// Failures of a fetch.
const (
	// FailureMissing means that the peer does not hold the chunk.
	FailureMissing Failure = iota + 1
	// FailureCorrupt means that the bytes had another digest.
	FailureCorrupt
	// FailureUnavailable means that the source could not be reached.
	FailureUnavailable
)

const (
	// maxStrikes is how many corrupt chunks a peer may send before it is shunned.
	maxCorruptChunks = 3
	// maxInFlightPerChunk allows one hedge besides the first fetch.
	maxInFlightPerChunk = 2
	// slowPenalty is how long a peer that let a fetch time out gets no more.
	slowPenalty = 2 * time.Second
	// defaultOriginBackoff bounds the pause after failures of the origin.
	defaultOriginBackoff = 10 * time.Second
	// originBackoffBase is the ceiling of the first pause.
	originBackoffBase = 200 * time.Millisecond
)

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
	// lastProgress is when a chunk last arrived, at first the start.
	lastProgress time.Time
	// settledAt is when fetches from outside the region begin.
	settleUntil time.Time

	members           []Member
	instancesByRegion map[string][]string
	paths             []path
	// local are the neighbours of the own region.
	neighbors []Peer
	// readers are the instances of each region that may read from the origin.
	readersByRegion map[string][]string
	// remote are the regions other than the origin's.
	otherRegions []string
	// outside lists the chunks that self may fetch from outside the region.
	externalChunks []int

	peers map[string]*peer
	// names lists the peers in a stable order, so that decisions depend on
	// events and the random source only.
	names     []string
	held      chunker.IndexSet
	heldCount int
	// copies counts the peers that hold each chunk.
	copies []uint16
	// seenAt is when a copy of each chunk was first seen before its turn.
	firstSeenAt   []time.Time
	requested     chunker.IndexSet
	activeFetches map[int]activeFetches
	inFlight      int

	// planned and usables are used again by each Next.
	fetchBuf    []Fetch
	usablePeers []string
	// hedgedAt is when stalled fetches were last looked for.
	lastHedgeCheck time.Time

	originInFlight    int
	originFailures    int
	originPausedUntil time.Time
	// latency is the mean time from asking a peer for a chunk to its arrival.
	meanLatency time.Duration
}

// New returns a planner that starts at now with the chunks already held.
func New(cfg Config, now time.Time, held chunker.IndexSet) *Planner {
	return &Planner{
		cfg:           cfg,
		lastProgress:  now,
		settleUntil:   now.Add(cfg.SettleDelay),
		peers:         map[string]*peer{},
		held:          held.Clone(),
		heldCount:     held.Len(),
		copies:        make([]uint16, cfg.Chunks),
		firstSeenAt:   make([]time.Time, cfg.Chunks),
		requested:     chunker.NewIndexSet(cfg.Chunks),
		activeFetches: map[int]activeFetches{},
	}
}

// Complete tells whether every chunk is held.
func (p *Planner) Complete() bool { return p.heldCount == p.cfg.Chunks }

// AddPeerChunk records one more chunk that a peer holds.
func (p *Planner) AddPeerChunk(name string, index int) {
	pr := p.peer(name)
	if index < 0 || index >= p.cfg.Chunks || pr.held.Has(index) {
		return
	}
	pr.held.Add(index)
	p.copies[index]++
}

// RemovePeer forgets a peer; its fetches are planned again.
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

// RecordSuccess records that chunk index is verified and held.
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

// RecordFailure records that a fetch failed.
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

func (p *Planner) removePeerChunk(pr *peer, index int) {
	if !pr.held.Has(index) {
		return
	}
	pr.held.Remove(index)
	p.copies[index]--
}

// pauseOrigin backs off with full jitter.
func (p *Planner) pauseOrigin(now time.Time) {
	maxBackoff := p.cfg.MaxOriginBackoff
	if maxBackoff <= 0 {
		maxBackoff = defaultOriginBackoff
	}
	ceiling := min(originBackoffBase<<min(p.originFailures, 10), maxBackoff)
	p.originFailures++
	p.originPausedUntil = now.Add(time.Duration(p.cfg.Rand.Int64N(int64(ceiling))))
}

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
