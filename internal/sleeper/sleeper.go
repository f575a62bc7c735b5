// Package sleeper implements a sleep that a context can cancel.
package sleeper

import (
	"context"
	"time"
)

// Sleep pauses for d. It returns false if ctx ends first. It returns true at once if d
// is not positive, whatever the state of ctx.
func Sleep(ctx context.Context, d time.Duration) bool {
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
