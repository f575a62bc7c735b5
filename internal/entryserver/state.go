package entryserver

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/internal/messenger"
	"flamingoledge.org/flamingoledge/internal/synchronizer"
	"flamingoledge.org/flamingoledge/pkg/provider"
	"flamingoledge.org/flamingoledge/pkg/router"
)

// state is the control state of an entry. The control goroutine replaces its values
// and never modifies them in place.
type state struct {
	configuration synchronizer.Configuration
	sidecars      map[string]sidecar
	instances     []provider.Instance
	table         *router.Table
	// switchedOffsets contains, by model, the offset of the record whose version
	// enough endpoints served at some time.
	switchedOffsets map[string]uint64
	// entries is the number of live entries in the platform's instance list.
	entries int
}

// sidecar is an attached sidecar with its last heartbeat that changed more than the
// load.
type sidecar struct {
	heartbeat *messenger.Heartbeat
	joinedAt  time.Time
	liveness  *liveness
}

// liveness contains the values that change with every heartbeat. They are updated in
// place, so that a brief heartbeat does not cause a rebuild of the sidecars and the
// routing table.
type liveness struct {
	seenAt  atomic.Int64
	running atomic.Int64
}

func (l *liveness) record(now time.Time, h *messenger.Heartbeat) {
	l.seenAt.Store(now.UnixNano())
	l.running.Store(int64(h.GetLoad().GetRunning()))
}

// sinceLastHeartbeat returns the time since the last heartbeat.
func (l *liveness) sinceLastHeartbeat(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - l.seenAt.Load())
}

// Events that the controllers handle.
type (
	pageRead            struct{ page provider.Page }
	snapshotRead        struct{ snapshot synchronizer.Snapshot }
	updateReceived      struct{ update *messenger.Update }
	heartbeatReceived   struct{ heartbeat *messenger.Heartbeat }
	sidecarDisconnected struct{ instance, incarnation string }
	instancesRead       struct{ instances []provider.Instance }
)

// Actions that the controllers return.
type (
	logAction struct {
		event  logger.Event
		fields []zap.Field
	}
	// configurationChanged wakes up the control streams.
	configurationChanged struct{}
	// retentionGapFound requests a recovery from a snapshot or from peers, because
	// retention removed records that were not read yet.
	retentionGapFound struct{}
	// throughOffsetRegressed reports a bug: an event would have lowered the
	// through-offset.
	throughOffsetRegressed struct{ from, to uint64 }
)

// newLogAction returns an action that logs an event.
func newLogAction(e logger.Event, fields ...zap.Field) logAction {
	return logAction{event: e, fields: fields}
}
