package sidecarserver

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"flamingoledge.org/flamingoledge/internal/refuser"
)

// alonePoll is how often an attempt that must be alone looks whether it is.
const alonePoll = 2 * time.Millisecond

// guard lets attempts through to the endpoint. Entering and withdrawing take the
// same lock, so that a version that has drained can't be entered any more.
type guard struct {
	mu         sync.Mutex
	allowed    map[string]struct{}
	running    map[string]int
	total      int
	limit      int
	leaving    bool
	superseded bool
	// alone counts those that wait for the endpoint alone or have it.
	alone int
}

func newGuard() *guard {
	return &guard{allowed: map[string]struct{}{}, running: map[string]int{}}
}

// enter lets an attempt pass or returns the reason why not. An attempt that
// passed must exit.
func (g *guard) enter(version string) (reason string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if reason = g.closedTo(version); reason != "" {
		return reason
	}
	if g.alone > 0 || (g.limit > 0 && g.total >= g.limit) {
		return refuser.ReasonOverloaded
	}
	g.running[version]++
	g.total++
	return ""
}

// closedTo says why no attempt at a version may enter; the caller holds mu.
func (g *guard) closedTo(version string) (reason string) {
	_, ok := g.allowed[version]
	switch {
	case g.superseded:
		return refuser.ReasonSuperseded
	case g.leaving:
		return refuser.ReasonDraining
	case !ok:
		return refuser.ReasonVersionNotServed
	}
	return ""
}

// enterAlone lets an attempt pass when nothing else is in progress, and keeps
// others out until it exits. It waits for that until ctx ends.
func (g *guard) enterAlone(ctx context.Context, version string) (reason string) {
	g.mu.Lock()
	g.alone++
	g.mu.Unlock()
	for {
		if reason, entered := g.tryAlone(version); entered {
			return ""
		} else if reason != "" {
			g.exitAlone()
			return reason
		}
		select {
		case <-ctx.Done():
			g.exitAlone()
			return refuser.ReasonExclusiveTimeout
		case <-time.After(alonePoll):
		}
	}
}

func (g *guard) tryAlone(version string) (reason string, entered bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if reason = g.closedTo(version); reason != "" || g.total > 0 {
		return reason, false
	}
	g.running[version]++
	g.total++
	return "", true
}

func (g *guard) exitAlone() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.alone--
}

func (g *guard) exit(version string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running[version]--
	g.total--
}

func (g *guard) allow(version string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.allowed[version] = struct{}{}
}

// withdraw stops new attempts at a version and returns whether it was allowed.
func (g *guard) withdraw(version string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, ok := g.allowed[version]
	delete(g.allowed, version)
	return ok
}

// allowedVersions returns the versions that attempts may enter for.
func (g *guard) allowedVersions() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Collect(maps.Keys(g.allowed))
}

func (g *guard) isAllowed(version string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, ok := g.allowed[version]
	return ok
}

// inProgress returns how many attempts run at a version, and in all.
func (g *guard) inProgress(version string) (n, total int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running[version], g.total
}

func (g *guard) setLimit(limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = limit
}

func (g *guard) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
}

func (g *guard) supersede() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.superseded = true
}

// isOpen tells whether the guard takes new attempts at all.
func (g *guard) isOpen() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.leaving && !g.superseded
}
