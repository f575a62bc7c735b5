package switcher

import "time"

const (
	// NoticePeriod is the time before a switch in which an endpoint gets only requests that
	// are expected to end by then. It is about half of the time that a long request takes:
	// over a longer one, slots stay empty for want of short requests.
	NoticePeriod = 600 * time.Millisecond
	// maxOverdue is how long an announced switch counts after its time. Reports arrive up to
	// 100 ms late; an endpoint that has not switched by then could not.
	maxOverdue = 250 * time.Millisecond
	// waitFactor times the expected time until a slot is free is what a request must be able to
	// wait. If slots become free at random, one takes longer in 5 of 100 cases.
	waitFactor = 3
	// maxSlotWait bounds that time, as callers wait longer for the first output.
	maxSlotWait = 150 * time.Millisecond
	// switchAtPrecision is the precision of SwitchAt.
	switchAtPrecision = 5 * time.Millisecond
)

// IsNear reports whether an announced switch is near; the zero time stands for none.
func IsNear(now, switchAt time.Time) bool {
	return !switchAt.IsZero() && !now.Before(switchAt.Add(-NoticePeriod)) && now.Before(switchAt.Add(maxOverdue))
}

// Outlasts reports whether a request that would end at an expected time delays a switch that is
// near: the endpoint's other slots stay empty until the request has ended. busyUntil is when
// the last of the requests that run there already is expected to end; one that ends before it
// delays nothing.
func Outlasts(now, switchAt, busyUntil, end time.Time) bool {
	return IsNear(now, switchAt) && end.After(switchAt) && end.After(busyUntil)
}

// SwitchAt returns when the endpoint is due to switch from the version that it serves to
// another one, by what is known now. It returns false if no switch is due, or if a version
// that has not arrived yet is worth waiting for. The
// time moves with what is learned: one that is fixed some time before makes switches bunch, as
// the share of the peers that are complete is not known then.
func SwitchAt(now time.Time, s State) (time.Time, bool) {
	newestComplete, ok := s.newestComplete()
	if !ok || s.Loaded == 0 {
		return time.Time{}, false
	}
	newest := s.NamedVersions[len(s.NamedVersions)-1]
	first := s.firstNewerThanLoaded(newest)
	at := now
	if turn := s.turn(now, first, newestComplete); turn.After(now) {
		at = s.settledTurn(now, turn, first, newestComplete)
	}
	if newestComplete < newest.Version && s.isWorthWaiting(at, first) {
		return time.Time{}, false
	}
	return at, true
}

// settledTurn returns when the endpoint's turn comes, which is not after turn, the one known
// now: the turn comes forward while the endpoint learns that its peers are not complete.
func (s State) settledTurn(now, turn time.Time, n NamedVersion, version uint64) time.Time {
	for low := now; turn.Sub(low) > switchAtPrecision; {
		middle := low.Add(turn.Sub(low) / 2)
		if middle.Before(s.turn(middle, n, version)) {
			low = middle
		} else {
			turn = middle
		}
	}
	return turn
}

// MayWait reports whether a request that would delay a switch leaves a free slot of the endpoint
// to shorter ones: another slot is expected after wait, and even if that takes much longer, the
// request starts in time. wait is 0 if unknown.
func MayWait(now, startBy time.Time, wait time.Duration) bool {
	wait *= waitFactor
	return wait > 0 && wait <= maxSlotWait && now.Add(wait).Before(startBy)
}
