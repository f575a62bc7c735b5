package entryserver

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/internal/synchronizer"
	"flamingoledge.org/flamingoledge/pkg/provider"
	"flamingoledge.org/flamingoledge/pkg/ranker"
	"flamingoledge.org/flamingoledge/pkg/snapshotter"
)

const (
	snapshotCheckInterval = 250 * time.Millisecond
	snapshotTimeout       = 2 * time.Second
)

// DefaultSnapshotConfig returns the default intervals between snapshots.
func DefaultSnapshotConfig() snapshotter.Config {
	return snapshotter.Config{RecordInterval: 256, TimeInterval: time.Minute, RankDelay: 2 * time.Second}
}

// writeSnapshots appends snapshots when they are due. The ranks of the entries stagger
// their appends, so that usually only one entry writes.
func (s *Server) writeSnapshots(ctx context.Context) {
	ticker := time.NewTicker(snapshotCheckInterval)
	defer ticker.Stop()
	state := snapshotter.State{}.WithSnapshot(time.Now(), 0)
	next := uint64(1)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		v := s.board.View()
		if !v.configuration.Ready {
			continue
		}
		var due bool
		state, due = state.Decide(s.cfg.Snapshots, time.Now(), v.configuration.State.LastOffset(), s.rankAmongEntries(v))
		if !due {
			continue
		}
		// Another entry may have written the snapshot in the meantime.
		state, next = s.readNewSnapshots(ctx, state, next)
		if state.LastOffset() >= v.configuration.State.LastOffset() {
			continue
		}
		if s.appendSnapshot(ctx, v.configuration) {
			state = state.WithSnapshot(time.Now(), v.configuration.State.LastOffset())
		}
	}
}

// rankAmongEntries returns the rank of this entry among the live entries for the
// current through-offset, starting at 0.
func (s *Server) rankAmongEntries(v *state) int {
	var names []string
	for _, i := range v.instances {
		if i.Role == provider.RoleEntry && i.State == provider.InstanceLive {
			names = append(names, i.Name)
		}
	}
	ranked := ranker.Top("snapshot/"+strconv.FormatUint(v.configuration.State.LastOffset(), 10), names, len(names))
	return max(slices.Index(ranked, s.cfg.Instance), 0)
}

// readNewSnapshots reads the snapshots of the log from offset next on, which other
// entries may have written.
func (s *Server) readNewSnapshots(ctx context.Context, state snapshotter.State, next uint64) (snapshotter.State, uint64) {
	page, err := s.cfg.Log.Read(ctx, provider.StreamSnapshots, next, synchronizer.PageLimit, 0)
	if err != nil {
		return state, next
	}
	if snap, ok := synchronizer.NewestSnapshot(page.Records); ok {
		state = state.WithSnapshot(time.Now(), snap.ThroughOffset)
	}
	return state, max(next, page.Next)
}

// appendSnapshot appends a snapshot to the log and reports whether that succeeded.
func (s *Server) appendSnapshot(ctx context.Context, configuration synchronizer.Configuration) bool {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	data, err := json.Marshal(configuration.Snapshot())
	if err != nil {
		return false
	}
	if _, err = s.cfg.Log.Append(ctx, provider.StreamSnapshots, data); err != nil {
		return false
	}
	logger.Log(s.cfg.Logger, logger.SnapshotWritten,
		zap.Uint64("through_offset", configuration.State.LastOffset()), zap.Int("bytes", len(data)))
	return true
}
