package entryserver

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"flamingoledge.org/flamingoledge/internal/messenger"
)

// updateInterval is the interval at which a control stream checks whether the counts
// of serving sidecars or the demand have changed.
const updateInterval = time.Second

// keepAliveInterval is the interval at which unchanged counts are sent again, to show
// that the entry is alive.
const keepAliveInterval = 4 * time.Second

// hasSameCounts reports whether two updates contain the same serving and demand counts.
func hasSameCounts(a, b *messenger.Update) bool {
	return slices.EqualFunc(a.GetServing(), b.GetServing(), equalVersionCounts) && slices.EqualFunc(a.GetDemand(), b.GetDemand(), equalDemand)
}

func equalVersionCounts(a, b *messenger.VersionCount) bool {
	return a.GetVersionDigest() == b.GetVersionDigest() && a.GetSidecars() == b.GetSidecars()
}

// Attach implements messenger.DRPCControlServer. It serves the control stream of one
// sidecar until the stream ends.
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

// receiveHeartbeats posts the heartbeats of a stream and passes the latest through-offset
// of the sidecar to sendUpdates.
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

// expandBrief completes a brief heartbeat with the fields of the previous heartbeat.
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

// sendUpdates sends accepted records as soon as the sidecar lacks any. Every
// updateInterval it sends the counts of serving sidecars and the demand, if they have
// changed or keepAliveInterval has passed.
func (s *Server) sendUpdates(ctx context.Context, stream messenger.DRPCControl_AttachStream, sidecarOffsets <-chan uint64) error {
	ticker := time.NewTicker(updateInterval)
	defer ticker.Stop()
	var sentThrough uint64
	var lastSent *messenger.Update
	lastSentAt := time.Now()
	for {
		configChanged := s.configChanged.Wait()
		v := s.board.View()
		if v.configuration.Ready && v.configuration.State.LastOffset() > sentThrough {
			u := v.configuration.Update(sentThrough)
			u.Entry = s.cfg.Instance
			u.Serving = servingCounts(v)
			if err := stream.Send(u); err != nil {
				return err
			}
			sentThrough = u.GetThroughOffset()
		}
		select {
		case <-ctx.Done():
			return nil
		case offset := <-sidecarOffsets:
			sentThrough = offset
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

// State implements messenger.DRPCControlServer. It returns the accepted records above
// the requested offset.
func (s *Server) State(_ context.Context, req *messenger.StateRequest) (*messenger.Update, error) {
	return s.board.View().configuration.UpdateFor(req)
}
