package transferrer

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc"

	"flamingoledge.org/flamingoledge/internal/messenger"
	"flamingoledge.org/flamingoledge/internal/pauser"
	"flamingoledge.org/flamingoledge/pkg/chunker"
	"flamingoledge.org/flamingoledge/pkg/planner"
)

// eventKind says what an event of a transfer is about.
type eventKind int

// Kinds of events.
const (
	eventChunksAnnounced eventKind = iota + 1
	eventChunkReceived
	eventFetchFailed
	eventLinkClosed
	eventMembersChanged
)

// event is what links, origin reads and the owner post to the run loop. It is one
// type for all kinds, so that posting it allocates nothing.
type event struct {
	kind    eventKind
	peer    string
	indexes []uint32
	fetch   planner.Fetch
	bytes   int
	reason  planner.Failure
	err     error
	members []planner.Member
}

// link is the exchange with one peer.
type link struct {
	peer         string
	requestQueue chan uint32
	// wanted is what the peer is asked to tell of; nil for everything. Newer
	// sets go through wants.
	wanted        chunker.IndexSet
	wantedUpdates chan chunker.IndexSet
	cancel        context.CancelFunc
	closed        bool
	startedAt     time.Time
	// outstanding counts the chunks asked for and not yet answered.
	outstanding int
	lastReply   time.Time
}

// runLink exchanges with a peer until ctx ends or the connection fails.
func (t *Transfer) runLink(ctx context.Context, l *link) {
	err := t.exchangeChunks(ctx, l)
	t.post(event{kind: eventLinkClosed, peer: l.peer, err: err})
}

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

// sendRequests sends what the planner asks of the peer, at the pace of the links.
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
			if !pauser.Pause(ctx, t.reservePeerFetch(l.peer, int(req.GetIndex()))) {
				return
			}
		}
		if err := stream.Send(req); err != nil {
			return
		}
	}
}

func (t *Transfer) receiveReplies(l *link, stream messenger.DRPCTransfer_ExchangeClient) error {
	receiver, ok := stream.(replyReceiver)
	if !ok {
		return eris.New("the stream can't receive into a message")
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

// replyReceiver is implemented by the generated streams. Receiving into the same
// message leaves a chunk's buffer as the only allocation.
type replyReceiver interface {
	RecvMsg(*messenger.ChunkReply) error
}

func (t *Transfer) handleReply(l *link, reply *messenger.ChunkReply) {
	f := planner.Fetch{Index: int(reply.GetIndex()), Peer: l.peer}
	switch {
	case reply.GetMissing():
		t.post(event{kind: eventFetchFailed, fetch: f, reason: planner.FailureMissing})
	case reply.Data != nil:
		t.storeChunk(f, reply.GetData())
	default:
		t.post(event{kind: eventChunksAnnounced, peer: l.peer, indexes: slices.Clone(reply.GetGained())})
	}
}

// keep verifies a chunk and puts it in the assembly.
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
	if !pauser.Pause(ctx, t.cfg.DownloadPacer.Reserve(time.Now(), m.ChunkLen(f.Index))) {
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

// paceFetch returns how long to wait before a chunk is asked of a peer.
func (t *Transfer) reservePeerFetch(peer string, index int) time.Duration {
	now, n := time.Now(), t.cfg.Assembly.Manifest().ChunkLen(index)
	d := t.cfg.DownloadPacer.Reserve(now, n)
	if t.isRemote(peer) {
		d = max(d, t.cfg.CrossRegionPacer.Reserve(now, n))
	}
	return d
}

func isCorrupt(err error) bool {
	var ce *chunker.ChunkError
	return errors.As(err, &ce)
}

// DialFunc opens a connection to an instance's sidecar.
type DialFunc func(ctx context.Context, instance string) (drpc.Conn, error)
