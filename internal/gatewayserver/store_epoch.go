package gatewayserver

import (
	"time"

	"flamingoledge.org/flamingoledge/pkg/controller"
)

const (
	// originalStoreEpoch is the epoch of a store that was never restored.
	originalStoreEpoch = 1
	// restoreGrace is how long after a restore operators and endpoints may take to write
	// again what the store has lost. Until then, a read may return outdated values.
	restoreGrace = 2100 * time.Millisecond
)

// storeEpoch is the highest known epoch of the platform's store.
type storeEpoch struct {
	number uint64
	// since is the earliest known time at which the store had this epoch; the zero time
	// if it had it from its start.
	since time.Time
}

// observe returns the epoch after the store's answer contained number. A process that has
// just started cannot tell when the store was restored, so it counts from now.
func (e storeEpoch) observe(now time.Time, number uint64) storeEpoch {
	if number <= e.number {
		return e
	}
	e = storeEpoch{number: number, since: now}
	if number <= originalStoreEpoch {
		e.since = time.Time{}
	}
	return e
}

// observePeer returns the epoch after a peer reported that it first saw number at since.
func (e storeEpoch) observePeer(since time.Time, number uint64) storeEpoch {
	if number > e.number || number == e.number && since.Before(e.since) {
		return storeEpoch{number: number, since: since}
	}
	return e
}

// isSettled reports whether a read that started at startedAt returned everything that was
// written before a restore.
func (e storeEpoch) isSettled(startedAt time.Time) bool {
	return !startedAt.Before(e.settledAt())
}

// settledAt returns the time from which on a read returns everything that was written
// before a restore.
func (e storeEpoch) settledAt() time.Time {
	if e.since.IsZero() {
		return time.Time{}
	}
	return e.since.Add(restoreGrace)
}

// storeController tracks the epoch of the store.
type storeController struct{}

// Handle implements controller.Controller.
func (storeController) Handle(now time.Time, s state, event controller.Event) (state, []controller.Action) {
	before := s.store.number
	switch e := event.(type) {
	case configRead:
		s.store = s.store.observe(now, e.epoch)
	case listRead:
		s.store = s.store.observe(now, e.epoch)
	case presenceReceived:
		s.store = s.store.observePeer(now.Add(-age(e.presence.GetStoreEpochAgeMs())), e.presence.GetStoreEpoch())
	}
	if before == 0 || s.store.number == before {
		return s, nil
	}
	return s, []controller.Action{namingsLost{}}
}
