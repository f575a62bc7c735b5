// Package snapshotter decides when a process appends a snapshot of the accepted
// configuration. Entries are ranked for each snapshot and wait according to their
// rank, so that usually only the first one writes it and the next one takes over if
// the first one has failed.
package snapshotter

import "time"

// Config configures when snapshots are written.
type Config struct {
	// RecordInterval is the number of new offsets after which a snapshot is due.
	RecordInterval uint64
	// TimeInterval is the time after which a snapshot is due if there are new
	// offsets.
	TimeInterval time.Duration
	// RankDelay is how long each rank waits for the previous one.
	RankDelay time.Duration
}

// State is the latest snapshot known to a process. It is immutable. The zero value
// has no snapshot.
type State struct {
	// lastOffset is the highest offset that a snapshot in the log includes.
	lastOffset uint64
	seenAt     time.Time
	// dueSince is when a new snapshot became due, zero if none is due.
	dueSince time.Time
}

// WithSnapshot returns the state after a snapshot was read from the log or appended.
// A snapshot up to a lower offset, for example by a writer that was paused, is
// ignored.
func (s State) WithSnapshot(now time.Time, lastOffset uint64) State {
	if lastOffset < s.lastOffset {
		return s
	}
	return State{lastOffset: lastOffset, seenAt: now}
}

// LastOffset returns the highest offset that a known snapshot includes.
func (s State) LastOffset() uint64 { return s.lastOffset }

// Decide reports whether a process of the given rank, whose configuration includes
// the log up to lastOffset, writes a snapshot now.
func (s State) Decide(cfg Config, now time.Time, lastOffset uint64, rank int) (State, bool) {
	if !s.isDue(cfg, now, lastOffset) {
		s.dueSince = time.Time{}
		return s, false
	}
	if s.dueSince.IsZero() {
		s.dueSince = now
	}
	return s, now.Sub(s.dueSince) >= time.Duration(rank)*cfg.RankDelay
}

func (s State) isDue(cfg Config, now time.Time, lastOffset uint64) bool {
	if lastOffset <= s.lastOffset {
		return false
	}
	return lastOffset-s.lastOffset >= cfg.RecordInterval || now.Sub(s.seenAt) >= cfg.TimeInterval
}
