package sidecarserver

import (
	"sync"
	"sync/atomic"
	"time"

	"flamingoledge.org/flamingoledge/internal/messenger"
	"flamingoledge.org/flamingoledge/pkg/claimer"
)

// maxStoredResultBytes bounds the cached results for repeated keys. A result that
// was evicted is reported as lost.
const maxStoredResultBytes = 16 << 20

// result is the outcome of an execution.
type result struct {
	outcome messenger.Outcome
	reason  string
	owner   string
	data    []byte
}

// execution is one run under an idempotency key. Other attempts that have the key
// wait for done to be closed.
type execution struct {
	key        claimer.Key
	bodyDigest string
	startedAt  time.Time
	done       chan struct{}
	result     result
	phase      atomic.Int32
}

// Phases of an execution. It changes once from phaseClaiming to one of the others.
const (
	phaseClaiming int32 = iota
	phaseRunning
	phaseAbandoned
)

// tryStart starts the run and reports true, unless the execution was abandoned.
func (e *execution) tryStart() bool { return e.phase.CompareAndSwap(phaseClaiming, phaseRunning) }

// tryAbandon prevents the run from starting. It reports false if the run has
// already started.
func (e *execution) tryAbandon() bool {
	return e.phase.CompareAndSwap(phaseClaiming, phaseAbandoned) || e.phase.Load() == phaseAbandoned
}

// executions contains this sidecar's runs under idempotency keys, running ones and
// those whose results are cached.
type executions struct {
	mu          sync.Mutex
	byKey       map[claimer.Key]*execution
	oldestFirst []*execution
	storedBytes int
}

func newExecutions() *executions { return &executions{byKey: map[claimer.Key]*execution{}} }

// join returns the execution under a key. If created is true, it is a new one that
// the caller must finish.
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

// finish sets the result of an execution. If the call was not run or its key is
// claimed by another instance, the execution is removed so that the key can be
// tried again.
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

// expire evicts the executions that started longer than window ago; their keys are
// rejected for their age.
func (x *executions) expire(now time.Time, window time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for len(x.oldestFirst) > 0 && now.Sub(x.oldestFirst[0].startedAt) > window {
		x.evictOldest()
	}
}

// evictOldest removes the oldest result; the caller must hold mu. The claim in the
// log still prevents the key from running again.
func (x *executions) evictOldest() {
	e := x.oldestFirst[0]
	x.oldestFirst = x.oldestFirst[1:]
	x.storedBytes -= len(e.result.data)
	delete(x.byKey, e.key)
}
