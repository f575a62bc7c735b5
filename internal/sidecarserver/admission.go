package sidecarserver

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"flamingoledge.org/flamingoledge/internal/refuser"
)

// exclusivePollInterval is how often an attempt that must be alone looks whether it is.
const exclusivePollInterval = 2 * time.Millisecond

// admission lets attempts through to the endpoint. Entering and withdrawing take the
// same lock, so that a version that has drained can't be entered any more.
type admission struct {
	mu         sync.Mutex
	allowed    map[string]struct{}
	running    map[string]int
	total      int
	limit      int
	leaving    bool
	superseded bool
	// exclusive counts those that wait for the endpoint exclusive or have it.
	exclusive int
}

func newAdmission() *admission {
	return &admission{allowed: map[string]struct{}{}, running: map[string]int{}}
}

// admit lets an attempt pass or returns the reason why not. An attempt that
// passed must exit.
func (a *admission) admit(version string) (reason string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if reason = a.rejectReason(version); reason != "" {
		return reason
	}
	if a.exclusive > 0 || (a.limit > 0 && a.total >= a.limit) {
		return refuser.ReasonOverloaded
	}
	a.running[version]++
	a.total++
	return ""
}

// rejectReason says why no attempt at a version may enter; the caller holds mu.
func (a *admission) rejectReason(version string) (reason string) {
	_, ok := a.allowed[version]
	switch {
	case a.superseded:
		return refuser.ReasonSuperseded
	case a.leaving:
		return refuser.ReasonLeaving
	case !ok:
		return refuser.ReasonVersion
	}
	return ""
}

// admitExclusive lets an attempt pass when nothing else is in progress, and keeps
// others out until it exits. It waits for that until ctx ends.
func (a *admission) admitExclusive(ctx context.Context, version string) (reason string) {
	a.mu.Lock()
	a.exclusive++
	a.mu.Unlock()
	for {
		if reason, admitted := a.tryAdmitExclusive(version); admitted {
			return ""
		} else if reason != "" {
			a.releaseExclusive()
			return reason
		}
		select {
		case <-ctx.Done():
			a.releaseExclusive()
			return refuser.ReasonBusy
		case <-time.After(exclusivePollInterval):
		}
	}
}

func (a *admission) tryAdmitExclusive(version string) (reason string, admitted bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if reason = a.rejectReason(version); reason != "" || a.total > 0 {
		return reason, false
	}
	a.running[version]++
	a.total++
	return "", true
}

func (a *admission) releaseExclusive() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.exclusive--
}

func (a *admission) release(version string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running[version]--
	a.total--
}

func (a *admission) allow(version string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.allowed[version] = struct{}{}
}

// withdraw stops new attempts at a version and returns whether it was allowed.
func (a *admission) withdraw(version string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, ok := a.allowed[version]
	delete(a.allowed, version)
	return ok
}

// allowedVersions returns the versions that attempts may enter for.
func (a *admission) allowedVersions() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Collect(maps.Keys(a.allowed))
}

func (a *admission) isAllowed(version string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, ok := a.allowed[version]
	return ok
}

// inProgress returns how many attempts run at a version, and in all.
func (a *admission) inProgress(version string) (n, total int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.running[version], a.total
}

func (a *admission) setLimit(limit int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limit = limit
}

func (a *admission) startLeaving() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = true
}

func (a *admission) setSuperseded() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.superseded = true
}

// isAccepting tells whether the guard takes new attempts at all.
func (a *admission) isAccepting() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.leaving && !a.superseded
}
