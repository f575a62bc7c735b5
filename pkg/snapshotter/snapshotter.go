// Package snapshotter decides when a process appends a snapshot of the accepted
// configuration. Entries rank themselves for each snapshot and wait by rank, so
// that usually one of them writes it and another one steps in when that is gone.
package snapshotter

import "time"

// Config configures the decision.
type Config struct {
	// RecordInterval is after how many new offsets a snapshot is due.
	RecordInterval uint64
	// TimeInterval is after what time a snapshot is due if there is anything new.
	TimeInterval time.Duration
	// RankDelay is how long each rank waits for the one before it.
	RankDelay time.Duration
}

// State is what a process knows of snapshots. It is immutable; the zero value
// knows of none.
type State struct {
	// lastOffset is the highest lastOffset-offset of a snapshot in the log.
	lastOffset uint64
	seenAt     time.Time
	// dueSince is when a new snapshot became due, zero if none is.
	dueSince time.Time
}

// WithSnapshot returns the state after a snapshot was seen in the log, or appended.
// A lower through-offset, as of a writer that was paused, changes nothing.
func (s State) WithSnapshot(now time.Time, lastOffset uint64) State {
	if lastOffset < s.lastOffset {
		return s
	}
	return State{lastOffset: lastOffset, seenAt: now}
}

// LastOffset returns the highest through-offset seen.
func (s State) LastOffset() uint64 { return s.lastOffset }

// Decide tells whether a process of the given rank writes a snapshot now, when
// its configuration reaches through.
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
