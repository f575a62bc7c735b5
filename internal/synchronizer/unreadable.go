package synchronizer

import (
	"cmp"
	"maps"
	"slices"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/pkg/controller"
	"flamingoledge.org/flamingoledge/pkg/interpreter"
)

// UnreadableLogActions returns a log action for each record that became unreadable
// between two configurations. newLogAction returns the caller's action for logging an
// event.
func UnreadableLogActions[A controller.Action](before, after Configuration, newLogAction func(logger.Event, ...zap.Field) A) []controller.Action {
	unreadable := slices.SortedFunc(maps.Values(after.Config.Unreadable), func(a, b interpreter.Unreadable) int {
		return cmp.Compare(a.Offset, b.Offset)
	})
	var actions []controller.Action
	for _, u := range unreadable {
		if before.Config.Unreadable[u.Subject].Offset == u.Offset {
			continue
		}
		actions = append(actions, newLogAction(logger.RecordUnreadable,
			zap.String("subject", u.Subject), zap.Uint64("record_offset", u.Offset), zap.Error(u.Reason)))
	}
	return actions
}
