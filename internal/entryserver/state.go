package entryserver

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/keeper"
	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/internal/messenger"
	"flamingoledge.org/flamingoledge/pkg/provider"
	"flamingoledge.org/flamingoledge/pkg/router"
)

// state is the entry's blackboard. Its values are never changed in place.
type state struct {
	configuration keeper.Configuration
	sidecars      map[string]sidecar
	instances     []provider.Instance
	table         *router.Table
	// switched holds, for each model, the record offset under which enough
	// endpoints were seen to serve the new version.
	switchedOffsets map[string]uint64
	// entries counts the live entries of the platform's list.
	entries int
}

// sidecar is an attached sidecar as its last heartbeat with news describes it.
type sidecar struct {
	heartbeat *messenger.Heartbeat
	joinedAt  time.Time
	liveness  *liveness
}

// pulse is what changes with every heartbeat. It is kept apart, so that a
// heartbeat without news renews neither the sidecars nor the table.
type liveness struct {
	seenAt  atomic.Int64
	running atomic.Int64
}

func (p *liveness) record(now time.Time, h *messenger.Heartbeat) {
	p.seenAt.Store(now.UnixNano())
	p.running.Store(int64(h.GetLoad().GetRunning()))
}

// silence is how long ago the last heartbeat came.
func (p *liveness) sinceLastHeartbeat(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - p.seenAt.Load())
}

// Events of the blackboard.
type (
	pageRead            struct{ page provider.Page }
	snapshotRead        struct{ snapshot keeper.Snapshot }
	updateReceived      struct{ update *messenger.Update }
	heartbeatReceived   struct{ heartbeat *messenger.Heartbeat }
	sidecarDisconnected struct{ instance, incarnation string }
	instancesRead       struct{ instances []provider.Instance }
)

// Actions of the controllers.
type (
	logAction struct {
		event  logger.Event
		fields []zap.Field
	}
	// configurationChanged wakes the control streams.
	configurationChanged struct{}
	// gapFound asks for a state that does not come from the log's tail.
	retentionGapFound struct{}
	// throughFell reports a defect: the configuration would have moved back.
	throughOffsetRegressed struct{ from, to uint64 }
)

func newLogAction(e logger.Event, fields ...zap.Field) logAction {
	return logAction{event: e, fields: fields}
}
