package transferrer

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"flamingoledge.org/flamingoledge/internal/messenger"
	"flamingoledge.org/flamingoledge/internal/sleeper"
	"flamingoledge.org/flamingoledge/pkg/assembler"
	"flamingoledge.org/flamingoledge/pkg/chunker"
	"flamingoledge.org/flamingoledge/pkg/pacer"
)

const (
	// announceInterval is the time between announcements of new chunks to a peer.
	announceInterval = 10 * time.Millisecond
	// versionWaitTimeout is how long an exchange waits for a version that this
	// process does not yet fetch.
	versionWaitTimeout = 2 * time.Second
	// maxQueuedRequests is the maximum number of requests queued for one peer.
	maxQueuedRequests = 1024
)

// Server implements the transfer service, which serves chunks to other sidecars.
type Server struct {
	Store *Store
	// UploadPacer limits the rate of sent chunks; nil means no limit.
	UploadPacer *pacer.Pacer
}

var _ messenger.DRPCTransferServer = (*Server)(nil)

// Exchange implements messenger.DRPCTransferServer. It serves the chunks of one version
// to one peer.
func (s *Server) Exchange(stream messenger.DRPCTransfer_ExchangeStream) error {
	handshake, err := stream.Recv()
	if err != nil {
		return eris.Wrap(err, "transfer hello")
	}
	// If the version is unknown here, this instance is likely to start fetching it
	// shortly, while a rejected peer would reconnect only much later.
	a := s.Store.Await(stream.Context(), handshake.GetVersionDigest(), versionWaitTimeout)
	if a == nil {
		return eris.Errorf("version %s is not held here", handshake.GetVersionDigest())
	}
	defer s.Store.beginExchange(a, handshake.GetInstance())()
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	e := exchange{
		assembly:      a,
		stream:        stream,
		uploadPacer:   s.UploadPacer,
		requests:      make(chan uint32, maxQueuedRequests),
		wantedUpdates: make(chan chunker.IndexSet, 1),
		wanted:        handshake.GetWanted(),
	}
	go func() {
		defer cancel()
		e.receive(ctx)
	}()
	return e.serve(ctx)
}

// exchange is the server side of the exchange with one peer.
type exchange struct {
	assembly    *assembler.Assembly
	stream      messenger.DRPCTransfer_ExchangeStream
	uploadPacer *pacer.Pacer
	requests    chan uint32
	// wantedUpdates carries changed sets of chunks that the peer wants announced.
	wantedUpdates chan chunker.IndexSet
	// wanted is the set of chunks to announce; nil for all.
	wanted chunker.IndexSet
	// announced is the set of held chunks at the last announcement.
	announced      chunker.IndexSet
	announcedCount int
}

// receive passes the peer's requests to serve until the stream or ctx ends.
func (e *exchange) receive(ctx context.Context) {
	receiver, ok := e.stream.(requestReceiver)
	if !ok {
		return
	}
	req := &messenger.ChunkRequest{}
	for {
		if err := receiver.RecvMsg(req); err != nil {
			return
		}
		if req.Wanted != nil {
			select {
			case e.wantedUpdates <- req.GetWanted():
			case <-ctx.Done():
				return
			}
		}
		if !req.GetAsk() {
			continue
		}
		select {
		case e.requests <- req.GetIndex():
		case <-ctx.Done():
			return
		}
	}
}

// requestReceiver is implemented by the generated server streams.
type requestReceiver interface {
	RecvMsg(*messenger.ChunkRequest) error
}

// serve sends requested chunks and announces new ones until ctx ends.
func (e *exchange) serve(ctx context.Context) error {
	e.announced = chunker.NewIndexSet(len(e.assembly.Manifest().Chunks))
	if err := e.announceChunks(); err != nil {
		return err
	}
	if e.announcedCount == 0 {
		// The peer need not wait for announcements if nothing is held here yet.
		if err := e.stream.Send(&messenger.ChunkReply{}); err != nil {
			return err
		}
	}
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	var reply messenger.ChunkReply
	for {
		select {
		case <-ctx.Done():
			return nil
		case i := <-e.requests:
			reply.Index, reply.Data = i, e.assembly.Chunk(int(i))
			reply.Missing = reply.Data == nil
			if !sleeper.Sleep(ctx, e.uploadPacer.Reserve(time.Now(), len(reply.GetData()))) {
				return nil
			}
			if err := e.stream.Send(&reply); err != nil {
				return err
			}
		case e.wanted = <-e.wantedUpdates:
			e.announced = chunker.NewIndexSet(len(e.assembly.Manifest().Chunks))
			e.announcedCount = 0
			ticker.Reset(announceInterval)
		case <-ticker.C:
			if err := e.announceChunks(); err != nil {
				return err
			}
			if e.announcedCount == len(e.assembly.Manifest().Chunks) {
				ticker.Stop()
			}
		}
	}
}

// announceChunks announces the wanted chunks that arrived since the last announcement.
func (e *exchange) announceChunks() error {
	if e.assembly.HeldCount() == e.announcedCount {
		return nil
	}
	held := e.assembly.HeldChunks()
	var reply messenger.ChunkReply
	for i := range e.assembly.Manifest().Chunks {
		if held.Has(i) && !e.announced.Has(i) && (e.wanted == nil || e.wanted.Has(i)) {
			reply.Gained = append(reply.Gained, uint32(i))
		}
	}
	e.announced = held
	e.announcedCount = held.Len()
	if len(reply.GetGained()) == 0 {
		return nil
	}
	return e.stream.Send(&reply)
}

// Manifest implements messenger.DRPCTransferServer.
func (s *Server) Manifest(_ context.Context, req *messenger.ManifestRequest) (*messenger.ManifestReply, error) {
	a := s.Store.Get(req.GetVersionDigest())
	if a == nil {
		return nil, eris.Errorf("version %s is not held here", req.GetVersionDigest())
	}
	data, err := a.Manifest().Encode()
	if err != nil {
		return nil, eris.Wrap(err, "encode manifest")
	}
	return &messenger.ManifestReply{Data: data}, nil
}
