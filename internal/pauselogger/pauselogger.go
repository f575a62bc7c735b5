// Package pauselogger logs the times in which a process did not run, for example because
// its instance was suspended. Without it, a suspended instance and one that is cut off look
// the same from outside.
package pauselogger

import (
	"context"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/internal/sleeper"
)

const (
	checkInterval = 250 * time.Millisecond
	// minPause is the shortest pause that is logged. A busy processor delays a check by
	// less.
	minPause = 500 * time.Millisecond
)

// Run logs each pause of the process until ctx ends. clock must include the time while the
// instance is suspended.
func Run(ctx context.Context, clock func() time.Time, l *zap.Logger) {
	expected := clock().Add(checkInterval)
	for sleeper.Sleep(ctx, checkInterval) {
		now := clock()
		if pause := now.Sub(expected); pause >= minPause {
			logger.Log(l, logger.ProcessPaused, zap.Duration("pause", pause))
		}
		expected = now.Add(checkInterval)
	}
}
