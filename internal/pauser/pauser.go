// Package pauser pauses a goroutine for a time that its context can cut short.
package pauser

import (
	"context"
	"time"
)

// Pause waits for d. It returns false if ctx ended first; nothing to wait for is
// true.
func Pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
