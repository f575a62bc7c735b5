package transferrer

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"flamingoledge.org/flamingoledge/internal/messenger"
	"flamingoledge.org/flamingoledge/internal/pauser"
	"flamingoledge.org/flamingoledge/pkg/assembler"
	"flamingoledge.org/flamingoledge/pkg/chunker"
	"flamingoledge.org/flamingoledge/pkg/pacer"
)

const (
	// gainInterval is how often new chunks are told to a peer.
	gainInterval = 10 * time.Millisecond
	// awaitVersion is how long a peer waits for a version that is not held yet.
	awaitVersion = 2 * time.Second
	// maxQueuedRequests bounds what one peer may have asked for.
	maxQueuedRequests = 1024
)

// Server serves chunks to other sidecars.
type Server struct {
	Store *Store
	// UploadPacer paces what is sent; nil paces nothing.
	UploadPacer *pacer.Pacer
}

var _ messenger.DRPCTransferServer = (*Server)(nil)

// Exchange implements the transfer service for one peer and version.
func (s *Server) Exchange(stream messenger.DRPCTransfer_ExchangeStream) error {
	hello, err := stream.Recv()
	if err != nil {
		return eris.Wrap(err, "transfer hello")
	}
	// An instance that learned of the version a little later begins to fetch it
	// soon; a refused peer would try again much later.
	a := s.Store.Await(stream.Context(), hello.GetVersionDigest(), awaitVersion)
	if a == nil {
		return eris.Errorf("version %s is not held here", hello.GetVersionDigest())
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	e := exchange{
		assembly: a,
		stream:   stream,
		up:       s.UploadPacer,
		requests: make(chan uint32, maxQueuedRequests),
		wants:    make(chan chunker.IndexSet, 1),
		wanted:   hello.GetWanted(),
	}
	go func() {
		defer cancel()
		e.receive(ctx)
	}()
	return e.serve(ctx)
}

type exchange struct {
	assembly *assembler.Assembly
	stream   messenger.DRPCTransfer_ExchangeStream
	up       *pacer.Pacer
	requests chan uint32
	// wants carries newer sets of chunks that the peer wants to hear of.
	wants   chan chunker.IndexSet
	wanted  chunker.IndexSet
	told    chunker.IndexSet
	toldLen int
}

func (e *exchange) receive(ctx context.Context) {
	into, ok := e.stream.(requestReceiver)
	if !ok {
		return
	}
	req := &messenger.ChunkRequest{}
	for {
		if err := into.RecvMsg(req); err != nil {
			return
		}
		if req.Wanted != nil {
			select {
			case e.wants <- req.GetWanted():
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

// requestReceiver is implemented by the generated streams.
type requestReceiver interface {
	RecvMsg(*messenger.ChunkRequest) error
}

func (e *exchange) serve(ctx context.Context) error {
	e.told = chunker.NewIndexSet(len(e.assembly.Manifest().Chunks))
	if err := e.tellGains(); err != nil {
		return err
	}
	ticker := time.NewTicker(gainInterval)
	defer ticker.Stop()
	var reply messenger.ChunkReply
	for {
		select {
		case <-ctx.Done():
			return nil
		case i := <-e.requests:
			reply.Index, reply.Data = i, e.assembly.Chunk(int(i))
			reply.Missing = reply.Data == nil
			if !pauser.Pause(ctx, e.up.Reserve(time.Now(), len(reply.GetData()))) {
				return nil
			}
			if err := e.stream.Send(&reply); err != nil {
				return err
			}
		case e.wanted = <-e.wants:
			e.told = chunker.NewIndexSet(len(e.assembly.Manifest().Chunks))
			e.toldLen = 0
			ticker.Reset(gainInterval)
		case <-ticker.C:
			if err := e.tellGains(); err != nil {
				return err
			}
			if e.toldLen == len(e.assembly.Manifest().Chunks) {
				ticker.Stop()
			}
		}
	}
}

// tellGains tells the peer which chunks have come since it was last told.
func (e *exchange) tellGains() error {
	if e.assembly.Count() == e.toldLen {
		return nil
	}
	held := e.assembly.Held()
	var reply messenger.ChunkReply
	for i := range e.assembly.Manifest().Chunks {
		if held.Has(i) && !e.told.Has(i) && (e.wanted == nil || e.wanted.Has(i)) {
			reply.Gained = append(reply.Gained, uint32(i))
		}
	}
	e.told = held
	e.toldLen = held.Len()
	if len(reply.GetGained()) == 0 {
		return nil
	}
	return e.stream.Send(&reply)
}

// Manifest implements the transfer service.
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
