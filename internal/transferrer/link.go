package transferrer

import (
	"context"
	"errors"
	"time"

	"storj.io/drpc"

	"flamingoledge.org/flamingoledge/internal/messenger"
	"flamingoledge.org/flamingoledge/pkg/chunker"
	"flamingoledge.org/flamingoledge/pkg/planner"
)

// Events that links and origin reads post to the transfer.
type (
	peerHolds struct {
		peer string
		held chunker.IndexSet
	}
	peerGained struct {
		peer    string
		indexes []uint32
	}
	fetchDone struct {
		fetch planner.Fetch
		bytes int
	}
	fetchFailed struct {
		fetch planner.Fetch
		why   planner.Failure
		err   error
	}
	peerGone struct {
		peer string
		err  error
	}
)

// link is the exchange with one peer.
type link struct {
	peer    string
	outbox  chan uint32
	cancel  context.CancelFunc
	gone    bool
	started time.Time
	// outstanding counts the chunks asked for and not yet answered.
	outstanding int
	lastReply   time.Time
}

// runLink exchanges with a peer until ctx ends or the connection fails.
func (t *Transfer) runLink(ctx context.Context, l *link) {
	err := t.exchangeWith(ctx, l)
	t.post(peerGone{peer: l.peer, err: err})
}

func (t *Transfer) exchangeWith(ctx context.Context, l *link) error {
	conn, err := t.cfg.Dial(ctx, l.peer)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	stream, err := messenger.NewDRPCTransferClient(conn).Exchange(ctx)
	if err != nil {
		return err
	}
	hello := &messenger.ChunkRequest{VersionDigest: t.cfg.Assembly.VersionDigest(), Instance: t.cfg.Planner.Self.Instance}
	if err = stream.Send(hello); err != nil {
		return err
	}
	go t.sendRequests(ctx, l, stream)
	return t.receiveReplies(l, stream)
}

// sendRequests sends what the planner asks of the peer, as many as wait at once.
func (t *Transfer) sendRequests(ctx context.Context, l *link, stream messenger.DRPCTransfer_ExchangeClient) {
	req := &messenger.ChunkRequest{}
	for {
		req.Indexes = req.Indexes[:0]
		select {
		case <-ctx.Done():
			return
		case i := <-l.outbox:
			req.Indexes = append(req.Indexes, i)
		}
		for more := true; more; {
			select {
			case i := <-l.outbox:
				req.Indexes = append(req.Indexes, i)
			default:
				more = false
			}
		}
		if err := stream.Send(req); err != nil {
			return
		}
	}
}

func (t *Transfer) receiveReplies(l *link, stream messenger.DRPCTransfer_ExchangeClient) error {
	for {
		reply, err := stream.Recv()
		if err != nil {
			return err
		}
		t.handleReply(l, reply)
	}
}

func (t *Transfer) handleReply(l *link, reply *messenger.ChunkReply) {
	f := planner.Fetch{Index: int(reply.GetIndex()), Peer: l.peer}
	switch {
	case reply.GetMissing():
		t.post(fetchFailed{fetch: f, why: planner.FailureMissing})
	case reply.Data != nil:
		t.keep(f, reply.GetData())
	case reply.Held != nil:
		t.post(peerHolds{peer: l.peer, held: reply.GetHeld()})
	default:
		t.post(peerGained{peer: l.peer, indexes: reply.GetGained()})
	}
}

// keep verifies a chunk and puts it in the assembly.
func (t *Transfer) keep(f planner.Fetch, data []byte) {
	if _, err := t.cfg.Assembly.Put(f.Index, data); err != nil {
		t.post(fetchFailed{fetch: f, why: planner.FailureCorrupt, err: err})
		return
	}
	t.post(fetchDone{fetch: f, bytes: len(data)})
}

// fetchFromOrigin reads one chunk from the origin.
func (t *Transfer) fetchFromOrigin(ctx context.Context, f planner.Fetch) {
	ctx, cancel := context.WithTimeout(ctx, t.cfg.OriginTimeout)
	defer cancel()
	m := t.cfg.Assembly.Manifest()
	buf := make([]byte, m.ChunkLen(f.Index))
	if err := t.cfg.Origin.ReadAt(ctx, m.WeightsDigest, m.ChunkOffset(f.Index), buf); err != nil {
		t.post(fetchFailed{fetch: f, why: planner.FailureUnavailable, err: err})
		return
	}
	t.keep(f, buf)
}

func isCorrupt(err error) bool {
	var ce *chunker.ChunkError
	return errors.As(err, &ce)
}

// Dialer opens a connection to an instance's sidecar.
type Dialer func(ctx context.Context, instance string) (drpc.Conn, error)
