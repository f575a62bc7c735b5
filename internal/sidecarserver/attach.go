package sidecarserver

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/internal/messenger"
	"flamingoledge.org/flamingoledge/internal/pauser"
	"flamingoledge.org/flamingoledge/pkg/provider"
	"flamingoledge.org/flamingoledge/pkg/ranker"
)

const (
	// attachInterval is how often the choice of entries is looked at again.
	attachInterval = 200 * time.Millisecond
	// entrySilence is how long an entry may send nothing before it is given up.
	entrySilence = 10 * time.Second
	// reattachAfter is the pause before a lost entry is dialled again.
	reattachAfter = 300 * time.Millisecond
)

// attach keeps control streams to the entries that rank first for this instance.
func (s *Server) attach(ctx context.Context) {
	ticker := time.NewTicker(attachInterval)
	defer ticker.Stop()
	streams := map[string]context.CancelFunc{}
	for {
		wanted := s.wantedEntries()
		for address, cancel := range streams {
			if _, ok := wanted[address]; !ok {
				cancel()
				delete(streams, address)
			}
		}
		for address := range wanted {
			if _, ok := streams[address]; ok {
				continue
			}
			sctx, cancel := context.WithCancel(ctx)
			streams[address] = cancel
			go s.keepAttached(sctx, address)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// wantedEntries returns the addresses of the entries to be attached to.
func (s *Server) wantedEntries() map[string]struct{} {
	addresses := map[string]string{}
	for _, i := range s.board.View().instances {
		if i.Role == provider.RoleEntry && i.State == provider.InstanceLive {
			addresses[i.Name] = i.Address
		}
	}
	wanted := map[string]struct{}{}
	for _, name := range ranker.Top(s.cfg.Instance, slices.Collect(maps.Keys(addresses)), s.cfg.ControlEntries) {
		wanted[addresses[name]] = struct{}{}
	}
	return wanted
}

func (s *Server) keepAttached(ctx context.Context, address string) {
	for ctx.Err() == nil {
		err := s.attachTo(ctx, address)
		if ctx.Err() == nil {
			logger.Log(s.cfg.Logger, logger.EntryLost, zap.String("entry", address), zap.Error(err))
		}
		pauser.Pause(ctx, reattachAfter)
	}
}

// attachTo holds one control stream until it ends.
func (s *Server) attachTo(ctx context.Context, address string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := s.cfg.Dialer.Dial(ctx, address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	stream, err := messenger.NewDRPCControlClient(conn).Attach(ctx)
	if err != nil {
		return err
	}
	full := s.heartbeat()
	if err = stream.Send(full); err != nil {
		return err
	}
	logger.Log(s.cfg.Logger, logger.EntryReached, zap.String("entry", address))
	go func() {
		defer cancel()
		s.sendHeartbeats(ctx, stream, full)
	}()
	silence := time.AfterFunc(entrySilence, cancel)
	defer silence.Stop()
	for {
		var u *messenger.Update
		if u, err = stream.Recv(); err != nil {
			return err
		}
		silence.Reset(entrySilence)
		if err = s.board.Send(ctx, updateReceived{update: u}); err != nil {
			return err
		}
	}
}

// sendHeartbeats tells the entry what is new at once, and else now and then. What
// the entry has from the last full heartbeat is left out.
func (s *Server) sendHeartbeats(ctx context.Context, stream messenger.DRPCControl_AttachClient, full *messenger.Heartbeat) {
	ticker := time.NewTicker(s.cfg.HeartbeatInterval)
	defer ticker.Stop()
	for {
		news := s.changed.Wait()
		h := s.heartbeat()
		if isOnlyLoad(full, h) {
			h = &messenger.Heartbeat{Brief: true, ThroughOffset: h.GetThroughOffset(), Load: h.GetLoad()}
		} else {
			full = h
		}
		if err := stream.Send(h); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-news:
		case <-ticker.C:
		}
	}
}

// isOnlyLoad tells whether two heartbeats differ in load and offset only.
func isOnlyLoad(a, b *messenger.Heartbeat) bool {
	if a.GetLeaving() != b.GetLeaving() || len(a.GetHeld()) != len(b.GetHeld()) {
		return false
	}
	for i, v := range a.GetHeld() {
		if !proto.Equal(v, b.GetHeld()[i]) {
			return false
		}
	}
	return true
}

func (s *Server) heartbeat() *messenger.Heartbeat {
	v := s.board.View()
	digest := v.kept.State.Digest()
	_, running := s.guard.inProgress("")
	h := &messenger.Heartbeat{
		Instance:         s.cfg.Instance,
		Incarnation:      s.incarnation,
		AvailabilityZone: s.cfg.AvailabilityZone,
		Region:           s.cfg.Region,
		Address:          s.cfg.Address,
		Service:          s.cfg.Service,
		ThroughOffset:    v.kept.State.LastOffset(),
		StateDigest:      digest[:],
		Leaving:          !s.guard.isOpen() || !v.reachable,
		Load: &messenger.Load{
			Running:  uint32(running),
			Capacity: uint32(s.capacity(v)),
		},
	}
	for _, digest := range slices.Sorted(maps.Keys(v.held)) {
		hv := v.held[digest]
		h.Held = append(h.Held, &messenger.HeldVersion{
			Model:         hv.model,
			VersionDigest: digest,
			ChunksHeld:    uint32(hv.chunks),
			ChunksTotal:   uint32(hv.total),
			Serving:       hv.serving,
		})
	}
	return h
}

// capacity is how many requests the endpoint runs at a time: what the record in
// force says, or what the endpoint reports.
func (s *Server) capacity(v *state) int {
	if n := v.kept.Config.Services[s.cfg.Service].Body.EndpointConcurrency; n > 0 {
		return n
	}
	return v.endpoint.Capacity
}
