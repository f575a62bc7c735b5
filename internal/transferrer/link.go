package transferrer

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc"

	"flamingoledge.org/flamingoledge/internal/messenger"
	"flamingoledge.org/flamingoledge/internal/sleeper"
	"flamingoledge.org/flamingoledge/pkg/chunker"
	"flamingoledge.org/flamingoledge/pkg/planner"
)

// eventKind is the kind of an event of a transfer.
type eventKind int

// Kinds of events.
const (
	eventChunksAnnounced eventKind = iota + 1
	eventChunkReceived
	eventFetchFailed
	eventLinkClosed
	eventMembersChanged
	eventArchiveRead
)

// event is posted to the run loop by links, origin reads and the owner of the transfer.
// All kinds share one type so that posting does not allocate.
type event struct {
	kind    eventKind
	peer    string
	indexes []uint32
	fetch   planner.Fetch
	bytes   int
	reason  planner.Failure
	err     error
	members []planner.Member
	read    archiveRead
}

// link is the client side of the exchange with one peer.
type link struct {
	peer string
	// requestQueue contains the indexes of chunks to request from the peer.
	requestQueue chan uint32
	// wanted is the set of chunks that the peer is asked to announce; nil for all.
	// Changed sets are sent through wantedUpdates.
	wanted        chunker.IndexSet
	wantedUpdates chan chunker.IndexSet
	cancel        context.CancelFunc
	closed        bool
	// changedAt is when the link was opened or, if closed is set, closed.
	changedAt time.Time
	// outstanding is the number of chunks requested and not yet answered.
	outstanding int
	lastReply   time.Time

	// mu guards requestedAt, when the chunks that have not arrived were requested.
	mu          sync.Mutex
	requestedAt map[uint32]time.Time
}

// recordRequest records that a chunk is requested from the peer.
func (l *link) recordRequest(now time.Time, index uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requestedAt[index] = now
}

// latency returns how long after its request a chunk arrives; ok is false if it was not
// requested.
func (l *link) latency(now time.Time, index uint32) (d time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ok := l.requestedAt[index]
	delete(l.requestedAt, index)
	return now.Sub(at), ok
}

// runLink exchanges chunks with a peer until ctx ends or the connection fails.
func (t *Transfer) runLink(ctx context.Context, l *link) {
	err := t.exchangeChunks(ctx, l)
	t.post(event{kind: eventLinkClosed, peer: l.peer, err: err})
}

// exchangeChunks connects to a peer and handles its replies until the stream ends.
func (t *Transfer) exchangeChunks(ctx context.Context, l *link) error {
	conn, err := t.cfg.Dial(ctx, l.peer)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	stream, err := messenger.NewDRPCTransferClient(conn).Exchange(ctx)
	if err != nil {
		return err
	}
	handshake := &messenger.ChunkRequest{
		VersionDigest: t.cfg.Assembly.VersionDigest(), Instance: t.cfg.Planner.Self.Instance, Wanted: l.wanted,
	}
	if err = stream.Send(handshake); err != nil {
		return err
	}
	go t.sendRequests(ctx, l, stream)
	return t.receiveReplies(l, stream)
}

// sendRequests sends the planner's requests to the peer, limited by the pacers.
func (t *Transfer) sendRequests(ctx context.Context, l *link, stream messenger.DRPCTransfer_ExchangeClient) {
	req := &messenger.ChunkRequest{}
	for {
		req.Wanted, req.Ask = nil, false
		select {
		case <-ctx.Done():
			return
		case req.Wanted = <-l.wantedUpdates:
		case req.Index = <-l.requestQueue:
			req.Ask = true
			if !sleeper.Sleep(ctx, t.reservePeerFetch(l.peer, int(req.GetIndex()))) {
				return
			}
			l.recordRequest(time.Now(), req.GetIndex())
		}
		if err := stream.Send(req); err != nil {
			return
		}
	}
}

// receiveReplies handles replies until the stream ends.
func (t *Transfer) receiveReplies(l *link, stream messenger.DRPCTransfer_ExchangeClient) error {
	receiver, ok := stream.(replyReceiver)
	if !ok {
		return eris.New("exchange stream does not implement RecvMsg")
	}
	reply := &messenger.ChunkReply{}
	for {
		if err := receiver.RecvMsg(reply); err != nil {
			return err
		}
		t.handleReply(l, reply)
		reply.Data = nil
	}
}

// replyReceiver is implemented by the generated client streams. Receiving into the same
// message each time leaves a chunk's buffer as the only allocation.
type replyReceiver interface {
	RecvMsg(*messenger.ChunkReply) error
}

// handleReply posts the event for a reply and stores the chunk that it carries.
func (t *Transfer) handleReply(l *link, reply *messenger.ChunkReply) {
	f := planner.Fetch{Index: int(reply.GetIndex()), Peer: l.peer}
	switch {
	case reply.GetMissing():
		t.post(event{kind: eventFetchFailed, fetch: f, reason: planner.FailureMissing})
	case reply.Data != nil:
		if d, ok := l.latency(time.Now(), reply.GetIndex()); ok && t.cfg.RecordLatency != nil {
			t.cfg.RecordLatency(l.peer, d)
		}
		t.storeChunk(f, reply.GetData())
	default:
		t.post(event{kind: eventChunksAnnounced, peer: l.peer, indexes: slices.Clone(reply.GetGained())})
	}
}

// storeChunk verifies a chunk, stores it in the assembly and posts the result.
func (t *Transfer) storeChunk(f planner.Fetch, data []byte) {
	if _, err := t.cfg.Assembly.Put(f.Index, data); err != nil {
		t.post(event{kind: eventFetchFailed, fetch: f, reason: planner.FailureCorrupt, err: err})
		return
	}
	t.post(event{kind: eventChunkReceived, fetch: f, bytes: len(data)})
}

// fetchFromOrigin reads one chunk from the origin.
func (t *Transfer) fetchFromOrigin(ctx context.Context, f planner.Fetch) {
	ctx, cancel := context.WithTimeout(ctx, t.cfg.OriginTimeout)
	defer cancel()
	m := t.cfg.Assembly.Manifest()
	if !sleeper.Sleep(ctx, t.cfg.DownloadPacer.Reserve(time.Now(), m.ChunkLen(f.Index))) {
		t.post(event{kind: eventFetchFailed, fetch: f, reason: planner.FailureUnavailable, err: ctx.Err()})
		return
	}
	buf := make([]byte, m.ChunkLen(f.Index))
	if err := t.cfg.Origin.ReadAt(ctx, m.WeightsDigest, m.ChunkOffset(f.Index), buf); err != nil {
		t.post(event{kind: eventFetchFailed, fetch: f, reason: planner.FailureUnavailable, err: err})
		return
	}
	t.storeChunk(f, buf)
}

// reservePeerFetch reserves bandwidth for a chunk and returns how long to wait before
// requesting it from a peer.
func (t *Transfer) reservePeerFetch(peer string, index int) time.Duration {
	now, n := time.Now(), t.cfg.Assembly.Manifest().ChunkLen(index)
	d := t.cfg.DownloadPacer.Reserve(now, n)
	if t.isRemote(peer) {
		d = max(d, t.cfg.CrossRegionPacer.Reserve(now, n))
	}
	return d
}

// isCorrupt reports whether err is caused by a chunk with the wrong digest.
func isCorrupt(err error) bool {
	var ce *chunker.ChunkError
	return errors.As(err, &ce)
}

// DialFunc opens a connection to an instance's sidecar.
type DialFunc func(ctx context.Context, instance string) (drpc.Conn, error)
