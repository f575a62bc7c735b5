package entryserver

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"flamingoledge.org/flamingoledge/internal/messenger"
)

// updateInterval is how often it is looked whether the counts of serving sidecars
// or the demand have changed.
const updateInterval = time.Second

// aliveInterval is how often a control stream without any news shows that the
// entry is alive.
const keepAliveInterval = 4 * time.Second

// isSameNews tells whether two updates carry the same counts.
func hasSameCounts(a, b *messenger.Update) bool {
	return slices.EqualFunc(a.GetServing(), b.GetServing(), equalVersionCounts) && slices.EqualFunc(a.GetDemand(), b.GetDemand(), equalDemand)
}

func equalVersionCounts(a, b *messenger.VersionCount) bool {
	return a.GetVersionDigest() == b.GetVersionDigest() && a.GetSidecars() == b.GetSidecars()
}

// Attach implements the control service for one sidecar.
func (s *Server) Attach(stream messenger.DRPCControl_AttachStream) error {
	first, err := stream.Recv()
	if err != nil {
		return eris.Wrap(err, "attach")
	}
	s.board.Post(heartbeatReceived{heartbeat: first})
	defer func() {
		disconnected := sidecarDisconnected{instance: first.GetInstance(), incarnation: first.GetIncarnation()}
		_ = s.board.Send(context.WithoutCancel(stream.Context()), disconnected)
	}()
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	sidecarOffsets := make(chan uint64, 1)
	sidecarOffsets <- first.GetThroughOffset()
	go func() {
		defer cancel()
		s.receiveHeartbeats(stream, first, sidecarOffsets)
	}()
	return s.sendUpdates(ctx, stream, sidecarOffsets)
}

func (s *Server) receiveHeartbeats(stream messenger.DRPCControl_AttachStream, full *messenger.Heartbeat, sidecarOffsets chan uint64) {
	for {
		h, err := stream.Recv()
		if err != nil {
			return
		}
		if h.GetBrief() {
			h = expandBrief(full, h)
		}
		full = h
		s.board.Post(heartbeatReceived{heartbeat: h})
		select {
		case <-sidecarOffsets:
		default:
		}
		sidecarOffsets <- h.GetThroughOffset()
	}
}

// completed fills a brief heartbeat from the one before it.
func expandBrief(full, brief *messenger.Heartbeat) *messenger.Heartbeat {
	return &messenger.Heartbeat{
		Instance:         full.GetInstance(),
		Incarnation:      full.GetIncarnation(),
		AvailabilityZone: full.GetAvailabilityZone(),
		Region:           full.GetRegion(),
		Address:          full.GetAddress(),
		Service:          full.GetService(),
		Held:             full.GetHeld(),
		Leaving:          full.GetLeaving(),
		Brief:            true,
		ThroughOffset:    brief.GetThroughOffset(),
		Load:             brief.GetLoad(),
	}
}

// sendUpdates sends the accepted records that the sidecar lacks as soon as there
// are any, and the counts of serving sidecars now and then.
func (s *Server) sendUpdates(ctx context.Context, stream messenger.DRPCControl_AttachStream, sidecarOffsets <-chan uint64) error {
	ticker := time.NewTicker(updateInterval)
	defer ticker.Stop()
	var through uint64
	var lastSent *messenger.Update
	lastSentAt := time.Now()
	for {
		configChanged := s.configChanged.Wait()
		v := s.board.View()
		if v.configuration.Ready && v.configuration.State.Through() > through {
			u := v.configuration.Update(through)
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
		case offset := <-sidecarOffsets:
			through = offset
		case <-configChanged:
		case <-ticker.C:
			u := &messenger.Update{Entry: s.cfg.Instance, Serving: servingCounts(s.board.View()), Demand: s.demand.modelCounts()}
			if hasSameCounts(u, lastSent) && time.Since(lastSentAt) < keepAliveInterval {
				continue
			}
			lastSent, lastSentAt = u, time.Now()
			if err := stream.Send(u); err != nil {
				return err
			}
		}
	}
}

// State implements the control service: it gives the accepted records.
func (s *Server) State(_ context.Context, req *messenger.StateRequest) (*messenger.Update, error) {
	return s.board.View().configuration.UpdateFor(req)
}
