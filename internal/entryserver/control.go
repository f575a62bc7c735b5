package entryserver

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"flamingoledge.org/flamingoledge/internal/messenger"
)

// updateInterval is how often a control stream without news gets the counts of
// serving sidecars.
const updateInterval = time.Second

// Attach implements the control service for one sidecar.
func (s *Server) Attach(stream messenger.DRPCControl_AttachStream) error {
	first, err := stream.Recv()
	if err != nil {
		return eris.Wrap(err, "attach")
	}
	s.board.Post(heartbeatCame{heartbeat: first})
	defer func() {
		gone := sidecarGone{instance: first.GetInstance(), incarnation: first.GetIncarnation()}
		_ = s.board.Send(context.WithoutCancel(stream.Context()), gone)
	}()
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	has := make(chan uint64, 1)
	has <- first.GetThroughOffset()
	go func() {
		defer cancel()
		s.receiveHeartbeats(stream, has)
	}()
	return s.sendUpdates(ctx, stream, has)
}

func (s *Server) receiveHeartbeats(stream messenger.DRPCControl_AttachStream, has chan uint64) {
	for {
		h, err := stream.Recv()
		if err != nil {
			return
		}
		s.board.Post(heartbeatCame{heartbeat: h})
		select {
		case <-has:
		default:
		}
		has <- h.GetThroughOffset()
	}
}

// sendUpdates sends the accepted records that the sidecar lacks as soon as there
// are any, and the counts of serving sidecars now and then.
func (s *Server) sendUpdates(ctx context.Context, stream messenger.DRPCControl_AttachStream, has <-chan uint64) error {
	ticker := time.NewTicker(updateInterval)
	defer ticker.Stop()
	var through uint64
	for {
		changed := s.changed.wait()
		v := s.board.View()
		if v.kept.Ready && v.kept.State.Through() > through {
			u := v.kept.Update(through)
			u.Entry = s.cfg.Instance
			u.Serving = servingCounts(v)
			if err := stream.Send(u); err != nil {
				return err
			}
			through = u.GetThroughOffset()
		}
		select {
		case <-ctx.Done():
			return nil
		case h := <-has:
			through = h
		case <-changed:
		case <-ticker.C:
			u := &messenger.Update{Entry: s.cfg.Instance, Serving: servingCounts(s.board.View())}
			if err := stream.Send(u); err != nil {
				return err
			}
		}
	}
}

// State implements the control service: it gives the accepted records.
func (s *Server) State(_ context.Context, req *messenger.StateRequest) (*messenger.Update, error) {
	v := s.board.View()
	if !v.kept.Ready {
		return nil, eris.New("no configuration yet")
	}
	return v.kept.Update(req.GetAboveOffset()), nil
}
