package gatewayserver

import (
	"time"

	"flamingoledge.org/flamingoledge/pkg/controller"
)

const (
	// minPause is the shortest time between two events that counts as a pause of the
	// process. There is one every tickInterval, and a busy processor delays it by less.
	minPause = 500 * time.Millisecond
	// promptRead is how soon a read returns what the store had when it started.
	promptRead = 500 * time.Millisecond
)

// pause is a time in which this process handled no events, for example because its instance
// was suspended. It is the zero value once a read of the configuration that started later
// has been handled.
type pause struct{ from, until time.Time }

// covers reports whether what a read of the store returned may have been written during the
// pause.
func (p pause) covers(now time.Time, e configRead) bool {
	switch {
	case p.until.IsZero() || e.source != sourceStore:
		return false
	case e.failedAt.Sub(p.until) >= minPause:
		// The store was away after the pause.
		return false
	case e.startedAt.Before(p.until):
		return true
	default:
		return now.Sub(e.startedAt) <= promptRead
	}
}

// pauseController tracks the pauses of the process.
type pauseController struct{}

// Handle implements controller.Controller.
func (pauseController) Handle(now time.Time, s state, _ controller.Event) (state, []controller.Action) {
	if s.hasPaused(now) {
		if s.pause.until.IsZero() {
			s.pause.from = s.handledAt
		}
		s.pause.until = now
	}
	s.handledAt = now
	return s, nil
}

// hasUnreadPause reports whether the process has paused and has not read the configuration
// since.
func (s *Server) hasUnreadPause() bool {
	v := s.board.View()
	return v.pause != (pause{}) || v.hasPaused(s.cfg.Clock())
}

// hasPaused reports whether the process has paused since the last event.
func (s *state) hasPaused(now time.Time) bool {
	return !s.handledAt.IsZero() && now.Sub(s.handledAt) >= minPause
}
