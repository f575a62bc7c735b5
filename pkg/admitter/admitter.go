// Package admitter decides which request may start now, which waits and which
// is refused. Workspaces share a limit by weighted fair queueing, so that one
// that sends more than its share waits behind itself and not before the others.
package admitter

import (
	"container/heap"
	"time"
)

// Config configures a Queue.
type Config struct {
	// Limit is how many requests are in progress at most.
	Limit int
	// MaxWaiting is how many requests of one workspace may wait.
	MaxWaiting int
}

// Request asks to start.
type Request struct {
	ID        uint64
	Workspace string
	// Weight is the workspace's share, from 1.
	Weight   int
	Priority int
	Deadline time.Time
}

// Verdict says what becomes of a request.
type Verdict string

// Verdicts.
const (
	VerdictAdmitted Verdict = "admitted"
	VerdictQueued   Verdict = "queued"
	// VerdictLate means that the request can't start before its deadline.
	VerdictLate Verdict = "late"
	// VerdictFull means that the workspace has too many waiting.
	VerdictFull Verdict = "full"
)

// smoothing is the share of a new measurement in the mean service time.
const smoothing = 0.1

// Queue is the admission state of one service. It has one owner at a time.
type Queue struct {
	cfg       Config
	running   int
	waiting   waiters
	byID      map[uint64]*waiter
	perSpace  map[string]int
	finish    map[string]float64
	virtual   float64
	meanTaken time.Duration
}

type waiter struct {
	request Request
	start   float64
	index   int
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	return &Queue{cfg: cfg, byID: map[uint64]*waiter{}, perSpace: map[string]int{}, finish: map[string]float64{}}
}

// Running returns how many requests are in progress.
func (q *Queue) Running() int { return q.running }

// Waiting returns how many requests wait.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Offer takes a request. With VerdictQueued, its ID comes out of a later Release
// or SetLimit, unless it is abandoned first.
func (q *Queue) Offer(now time.Time, r Request) Verdict {
	if !now.Before(r.Deadline) {
		return VerdictLate
	}
	if q.running < q.cfg.Limit && len(q.waiting) == 0 {
		q.running++
		q.virtual = q.stamp(r)
		return VerdictAdmitted
	}
	if q.perSpace[r.Workspace] >= q.cfg.MaxWaiting {
		return VerdictFull
	}
	if now.Add(q.expectedWait(r)).After(r.Deadline) {
		return VerdictLate
	}
	w := &waiter{request: r, start: q.stamp(r)}
	heap.Push(&q.waiting, w)
	q.byID[r.ID] = w
	q.perSpace[r.Workspace]++
	return VerdictQueued
}

// stamp returns the virtual time at which the request would start if each
// workspace had its share of one server, and moves the workspace on by its cost.
func (q *Queue) stamp(r Request) float64 {
	start := max(q.virtual, q.finish[r.Workspace])
	q.finish[r.Workspace] = start + 1/float64(max(r.Weight, 1)*(1+max(r.Priority, 0)))
	return start
}

// expectedWait estimates how long a new request waits: those of its own
// workspace go before it, and the other workspaces get their turns between.
func (q *Queue) expectedWait(r Request) time.Duration {
	if q.cfg.Limit < 1 {
		return 0
	}
	start := max(q.virtual, q.finish[r.Workspace])
	ahead := 0
	for _, w := range q.waiting {
		if w.start <= start {
			ahead++
		}
	}
	return q.meanTaken * time.Duration(ahead) / time.Duration(q.cfg.Limit)
}

// Release records that a request that was in progress ended after taken, and
// returns the requests that start now and those whose deadline passed.
func (q *Queue) Release(now time.Time, taken time.Duration) (started, late []uint64) {
	q.running--
	if q.meanTaken == 0 {
		q.meanTaken = taken
	}
	q.meanTaken += time.Duration(smoothing * float64(taken-q.meanTaken))
	return q.startWaiting(now)
}

// SetLimit changes the limit.
func (q *Queue) SetLimit(now time.Time, limit int) (started, late []uint64) {
	q.cfg.Limit = limit
	return q.startWaiting(now)
}

// Abandon takes a waiting request out, as when its caller is gone. It returns
// false if the request does not wait.
func (q *Queue) Abandon(id uint64) bool {
	w := q.byID[id]
	if w == nil {
		return false
	}
	heap.Remove(&q.waiting, w.index)
	q.forget(w)
	return true
}

func (q *Queue) startWaiting(now time.Time) (started, late []uint64) {
	for q.running < q.cfg.Limit && len(q.waiting) > 0 {
		w, ok := heap.Pop(&q.waiting).(*waiter)
		if !ok {
			break
		}
		q.forget(w)
		if !now.Before(w.request.Deadline) {
			late = append(late, w.request.ID)
			continue
		}
		q.virtual = max(q.virtual, w.start)
		q.running++
		started = append(started, w.request.ID)
	}
	if len(q.waiting) == 0 && q.running == 0 {
		clear(q.finish)
		q.virtual = 0
	}
	return started, late
}

func (q *Queue) forget(w *waiter) {
	delete(q.byID, w.request.ID)
	if q.perSpace[w.request.Workspace]--; q.perSpace[w.request.Workspace] <= 0 {
		delete(q.perSpace, w.request.Workspace)
	}
}

// waiters is a heap by virtual start time, then by arrival.
type waiters []*waiter

func (w waiters) Len() int { return len(w) }

func (w waiters) Less(i, j int) bool {
	if w[i].start != w[j].start {
		return w[i].start < w[j].start
	}
	return w[i].request.ID < w[j].request.ID
}

func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}

// Push implements heap.Interface.
func (w *waiters) Push(x any) {
	if v, ok := x.(*waiter); ok {
		v.index = len(*w)
		*w = append(*w, v)
	}
}

// Pop implements heap.Interface.
func (w *waiters) Pop() any {
	old := *w
	v := old[len(old)-1]
	*w = old[:len(old)-1]
	return v
}
