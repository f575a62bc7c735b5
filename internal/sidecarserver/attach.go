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
	"flamingoledge.org/flamingoledge/internal/sleeper"
	"flamingoledge.org/flamingoledge/pkg/provider"
	"flamingoledge.org/flamingoledge/pkg/ranker"
)

const (
	// attachInterval is the time between evaluations of the selected entries.
	attachInterval = 200 * time.Millisecond
	// entryIdleTimeout is how long an entry may send nothing before its stream is
	// closed.
	entryIdleTimeout = 10 * time.Second
	// reattachDelay is the delay before a lost entry is dialed again.
	reattachDelay = 300 * time.Millisecond
)

// attachToEntries maintains control streams to the entries that rank first for
// this instance.
func (s *Server) attachToEntries(ctx context.Context) {
	ticker := time.NewTicker(attachInterval)
	defer ticker.Stop()
	streams := map[string]context.CancelFunc{}
	for {
		selected := s.selectEntries()
		for address, cancel := range streams {
			if _, ok := selected[address]; !ok {
				cancel()
				delete(streams, address)
			}
		}
		for address := range selected {
			if _, ok := streams[address]; ok {
				continue
			}
			sctx, cancel := context.WithCancel(ctx)
			streams[address] = cancel
			go s.maintainAttachment(sctx, address)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// selectEntries returns the addresses of the live entries to attach to.
func (s *Server) selectEntries() map[string]struct{} {
	addresses := map[string]string{}
	for _, i := range s.board.View().instances {
		if i.Role == provider.RoleEntry && i.State == provider.InstanceLive {
			addresses[i.Name] = i.Address
		}
	}
	selected := map[string]struct{}{}
	for _, name := range ranker.Top(s.cfg.Instance, slices.Collect(maps.Keys(addresses)), s.cfg.ControlEntries) {
		selected[addresses[name]] = struct{}{}
	}
	return selected
}

// maintainAttachment reopens the control stream to one entry until ctx ends.
func (s *Server) maintainAttachment(ctx context.Context, address string) {
	for ctx.Err() == nil {
		err := s.attachTo(ctx, address)
		if ctx.Err() == nil {
			logger.Log(s.cfg.Logger, logger.EntryLost, zap.String("entry", address), zap.Error(err))
		}
		sleeper.Sleep(ctx, reattachDelay)
	}
}

// attachTo opens one control stream and serves it until it ends.
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
	idleTimer := time.AfterFunc(entryIdleTimeout, cancel)
	defer idleTimer.Stop()
	for {
		var u *messenger.Update
		if u, err = stream.Recv(); err != nil {
			return err
		}
		idleTimer.Reset(entryIdleTimeout)
		if err = s.board.Send(ctx, updateReceived{update: u}); err != nil {
			return err
		}
	}
}

// sendHeartbeats sends a heartbeat after each change and at least once per
// heartbeat interval. If only load and offset differ from the last full heartbeat,
// it sends a brief one.
func (s *Server) sendHeartbeats(ctx context.Context, stream messenger.DRPCControl_AttachClient, full *messenger.Heartbeat) {
	ticker := time.NewTicker(s.cfg.HeartbeatInterval)
	defer ticker.Stop()
	for {
		notified := s.stateChanged.Wait()
		h := s.heartbeat()
		if differsOnlyInLoad(full, h) {
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
		case <-notified:
		case <-ticker.C:
		}
	}
}

// differsOnlyInLoad reports whether two heartbeats differ at most in load and
// offset.
func differsOnlyInLoad(a, b *messenger.Heartbeat) bool {
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

// heartbeat returns a full heartbeat with the current state.
func (s *Server) heartbeat() *messenger.Heartbeat {
	v := s.board.View()
	digest := v.configuration.State.Digest()
	_, running := s.admission.inProgress("")
	h := &messenger.Heartbeat{
		Instance:         s.cfg.Instance,
		Incarnation:      s.incarnation,
		AvailabilityZone: s.cfg.AvailabilityZone,
		Region:           s.cfg.Region,
		Address:          s.cfg.Address,
		Service:          s.cfg.Service,
		ThroughOffset:    v.configuration.State.LastOffset(),
		StateDigest:      digest[:],
		Leaving:          !s.admission.isAccepting() || !v.reachable,
		Load: &messenger.Load{
			Running:  uint32(running),
			Capacity: uint32(s.capacity(v)),
		},
	}
	for _, digest := range slices.Sorted(maps.Keys(v.progress)) {
		hv := v.progress[digest]
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

// capacity returns how many requests the endpoint runs concurrently: the limit in
// the service's record, or the endpoint's own report if the record sets none.
func (s *Server) capacity(v *state) int {
	if n := v.configuration.Config.Services[s.cfg.Service].Body.EndpointConcurrency; n > 0 {
		return n
	}
	return v.endpoint.Capacity
}
