package sidecarserver

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"flamingoledge.org/flamingoledge/internal/refuser"
)

// exclusivePollInterval is how often an attempt that waits for exclusive use of the
// endpoint checks whether it is idle.
const exclusivePollInterval = 2 * time.Millisecond

// admission admits attempts to the endpoint and counts those in progress. Admitting
// and withdrawing take the same lock, so that no attempt is admitted to a version
// that has drained.
type admission struct {
	mu         sync.Mutex
	allowed    map[string]struct{}
	running    map[string]int
	total      int
	limit      int
	leaving    bool
	superseded bool
	// exclusive counts the attempts that wait for exclusive use of the endpoint or
	// have it.
	exclusive int
}

func newAdmission() *admission {
	return &admission{allowed: map[string]struct{}{}, running: map[string]int{}}
}

// admit admits an attempt or returns the reason why not. The caller must release
// an admitted attempt.
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

// rejectReason returns why no attempt at a version may be admitted, or "". The
// caller must hold mu.
func (a *admission) rejectReason(version string) (reason string) {
	_, ok := a.allowed[version]
	switch {
	case a.superseded:
		return refuser.ReasonSuperseded
	case a.leaving:
		return refuser.ReasonDraining
	case !ok:
		return refuser.ReasonVersionNotServed
	}
	return ""
}

// admitExclusive waits until no other attempt is in progress or ctx ends, and then
// admits the attempt. While it waits and until releaseExclusive, admit rejects
// other attempts.
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
			return refuser.ReasonExclusiveTimeout
		case <-time.After(exclusivePollInterval):
		}
	}
}

// tryAdmitExclusive admits the attempt if nothing is in progress.
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

// releaseExclusive ends an attempt's exclusive use of the endpoint, or its wait
// for it.
func (a *admission) releaseExclusive() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.exclusive--
}

// release ends an admitted attempt.
func (a *admission) release(version string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running[version]--
	a.total--
}

// allow admits new attempts at a version.
func (a *admission) allow(version string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.allowed[version] = struct{}{}
}

// withdraw stops new attempts at a version and reports whether it was allowed.
func (a *admission) withdraw(version string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, ok := a.allowed[version]
	delete(a.allowed, version)
	return ok
}

// allowedVersions returns the versions that attempts are admitted to.
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

// inProgress returns the number of running attempts at a version, and in total.
func (a *admission) inProgress(version string) (n, total int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.running[version], a.total
}

// setLimit limits the attempts in progress; 0 means no limit.
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

// isAccepting reports whether new attempts may be admitted at all.
func (a *admission) isAccepting() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.leaving && !a.superseded
}
