package entryserver

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/internal/synchronizer"
	"flamingoledge.org/flamingoledge/pkg/acceptor"
	"flamingoledge.org/flamingoledge/pkg/controller"
	"flamingoledge.org/flamingoledge/pkg/provider"
)

// configurationController applies log pages, snapshots and peer updates to the
// accepted configuration.
type configurationController struct{}

// Handle implements controller.Controller.
func (configurationController) Handle(_ time.Time, s state, e controller.Event) (state, []controller.Action) {
	before := s.configuration
	var actions []controller.Action
	switch e := e.(type) {
	case pageRead:
		s, actions = withPage(s, e.page)
	case snapshotRead:
		var err error
		if s.configuration, err = before.WithSnapshot(e.snapshot); err != nil {
			return s, []controller.Action{newLogAction(logger.StateRefused, zap.Error(err))}
		}
	case updateReceived:
		var err error
		if s.configuration, err = before.WithUpdate(e.update); err != nil {
			return s, []controller.Action{newLogAction(logger.StateRefused, zap.Error(err))}
		}
	default:
		return s, nil
	}
	from, to := before.State.LastOffset(), s.configuration.State.LastOffset()
	if to < from {
		s.configuration = before
		return s, []controller.Action{throughOffsetRegressed{from: from, to: to}}
	}
	if to == from {
		return s, actions
	}
	actions = append(actions, synchronizer.UnreadableLogActions(before, s.configuration, newLogAction)...)
	return s, append(actions, configurationChanged{})
}

func withPage(s state, page provider.Page) (state, []controller.Action) {
	next, outcomes, err := s.configuration.WithPage(page)
	var gap *provider.GapError
	if errors.As(err, &gap) {
		return s, []controller.Action{newLogAction(logger.RetentionGap, zap.Error(err)), retentionGapFound{}}
	}
	s.configuration = next
	actions := make([]controller.Action, 0, len(outcomes)+1)
	for _, o := range outcomes {
		actions = append(actions, outcomeLogAction(o))
	}
	return s, actions
}

func outcomeLogAction(o acceptor.Outcome) logAction {
	event := logger.RecordRejected
	if o.Verdict == acceptor.VerdictAccepted {
		event = logger.RecordAccepted
	}
	return newLogAction(event,
		zap.Uint64("record_offset", o.Offset),
		zap.String("record_id", o.RecordID),
		zap.String("subject", o.Subject),
		zap.Stringer("verdict", o.Verdict),
		zap.Uint64("winner_offset", o.WinnerOffset),
		zap.String("problem", o.Problem))
}
