package sidecarserver

import (
	"sync"
	"sync/atomic"
	"time"

	"flamingoledge.org/flamingoledge/internal/messenger"
	"flamingoledge.org/flamingoledge/pkg/claimer"
)

// maxStoredResultBytes bounds the answers that are kept for repeated keys. An
// older answer that no longer fits is reported as lost.
const maxStoredResultBytes = 16 << 20

// result is how an execution ended.
type result struct {
	outcome messenger.Outcome
	reason  string
	owner   string
	data    []byte
}

// execution is one run under an idempotency key; others with the key wait for it.
type execution struct {
	key        claimer.Key
	bodyDigest string
	startedAt  time.Time
	done       chan struct{}
	result     result
	phase      atomic.Int32
}

// Phases of an execution. It leaves the first one once, to either of the others.
const (
	phaseClaiming int32 = iota
	phaseRunning
	phaseAbandoned
)

// tryStart tells whether the run may tryStart, which it may unless it was given up.
func (e *execution) tryStart() bool { return e.phase.CompareAndSwap(phaseClaiming, phaseRunning) }

// tryAbandon tells whether the run will certainly not begin.
func (e *execution) tryAbandon() bool {
	return e.phase.CompareAndSwap(phaseClaiming, phaseAbandoned) || e.phase.Load() == phaseAbandoned
}

// executions holds the runs under idempotency keys of this sidecar.
type executions struct {
	mu          sync.Mutex
	byKey       map[claimer.Key]*execution
	oldestFirst []*execution
	storedBytes int
}

func newExecutions() *executions { return &executions{byKey: map[claimer.Key]*execution{}} }

// join returns the execution under a key; created tells whether it is a new one,
// which the caller must finish.
func (x *executions) join(now time.Time, key claimer.Key, bodyDigest string) (e *execution, created bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if e = x.byKey[key]; e != nil {
		return e, false
	}
	e = &execution{key: key, bodyDigest: bodyDigest, startedAt: now, done: make(chan struct{})}
	x.byKey[key] = e
	return e, true
}

// finish ends an execution. What was not run, or is claimed elsewhere, is
// forgotten, so that the key can be tried again.
func (x *executions) finish(e *execution, r result) {
	x.mu.Lock()
	defer x.mu.Unlock()
	e.result = r
	close(e.done)
	if r.outcome == messenger.Outcome_OUTCOME_NOT_RUN || r.owner != "" {
		delete(x.byKey, e.key)
		return
	}
	x.oldestFirst = append(x.oldestFirst, e)
	x.storedBytes += len(r.data)
	for x.storedBytes > maxStoredResultBytes && len(x.oldestFirst) > 1 {
		x.evictOldest()
	}
}

// expire forgets the executions whose keys are refused for their age.
func (x *executions) expire(now time.Time, window time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for len(x.oldestFirst) > 0 && now.Sub(x.oldestFirst[0].startedAt) > window {
		x.evictOldest()
	}
}

// evictOldest drops the oldest answer; the caller holds mu. The claim in the
// log still keeps its key from running again.
func (x *executions) evictOldest() {
	e := x.oldestFirst[0]
	x.oldestFirst = x.oldestFirst[1:]
	x.storedBytes -= len(e.result.data)
	delete(x.byKey, e.key)
}
