package entryserver

import (
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
	kept      keeper.Kept
	sidecars  map[string]sidecar
	instances []provider.Instance
	table     *router.Table
	// switched holds, for each model, the record offset under which enough
	// endpoints were seen to serve the new version.
	switched map[string]uint64
	// entries counts the live entries of the platform's list.
	entries int
}

// sidecar is an attached sidecar as its last heartbeat describes it.
type sidecar struct {
	heartbeat *messenger.Heartbeat
	joinedAt  time.Time
	seenAt    time.Time
}

// Events of the blackboard.
type (
	pageRead       struct{ page provider.Page }
	snapshotRead   struct{ snapshot keeper.Snapshot }
	updateReceived struct{ update *messenger.Update }
	heartbeatCame  struct{ heartbeat *messenger.Heartbeat }
	sidecarGone    struct{ instance, incarnation string }
	instancesRead  struct{ instances []provider.Instance }
)

// Actions of the controllers.
type (
	logLine struct {
		event  logger.Event
		fields []zap.Field
	}
	// configurationChanged wakes the control streams.
	configurationChanged struct{}
	// gapFound asks for a state that does not come from the log's tail.
	gapFound struct{ gap *provider.GapError }
	// throughFell reports a defect: the configuration would have moved back.
	throughFell struct{ from, to uint64 }
)

func line(e logger.Event, fields ...zap.Field) logLine { return logLine{event: e, fields: fields} }
