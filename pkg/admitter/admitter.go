// Package admitter decides which request may start now, which waits and which
// is refused. Workspaces share a limit by weighted fair queueing, so that one
// that sends more than its share waits behind itself and not before the others.
package admitter

import (
	"math"
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
	// VerdictLate means that the request can't be run before its deadline.
	VerdictLate Verdict = "late"
	// VerdictFull means that the workspace has too many waiting.
	VerdictFull Verdict = "full"
)

const (
	// smoothing is the share of a new measurement in the mean service time.
	serviceTimeSmoothing = 0.1
	// withinSmoothing is the share of a new count in the mean number of requests
	// of workspaces within their share.
	withinShareSmoothing = 0.02
	// reserveFrom is the limit from which at least one place is reserved.
	minLimitForReserve = 4
)

// Queue is the admission state of one service. It has one owner at a time.
type Queue struct {
	cfg             Config
	running         int
	waiting         int
	workspaces      map[string]*workspaceQueue
	waitersByID     map[uint64]*waiter
	virtualTime     float64
	meanServiceTime time.Duration
	// within is the smoothed number of requests in progress of workspaces that
	// are not above their share.
	withinShare float64
}

// space is the state of one workspace. It exists while the workspace has
// requests.
type workspaceQueue struct {
	name    string
	weight  int
	running int
	queue   []*waiter
	// finish is the virtual time at which the last request's turn ends.
	finish float64
}

type waiter struct {
	request Request
	start   float64
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	return &Queue{cfg: cfg, workspaces: map[string]*workspaceQueue{}, waitersByID: map[uint64]*waiter{}}
}

// Running returns how many requests are in progress.
func (q *Queue) Running() int { return q.running }

// Waiting returns how many requests wait.
func (q *Queue) Waiting() int { return q.waiting }

// Offer takes a request. With VerdictQueued, its ID comes out of a later Release
// or SetLimit, unless it is abandoned first.
func (q *Queue) Offer(now time.Time, r Request) Verdict {
	if !now.Before(r.Deadline) {
		return VerdictLate
	}
	s := q.workspaceFor(r)
	defer q.removeIfIdle(s)
	q.updateWithinShare()
	if len(s.queue) == 0 && q.canStart(s) {
		q.virtualTime = s.nextStart(q.virtualTime, r)
		q.start(s)
		return VerdictAdmitted
	}
	if len(s.queue) >= q.cfg.MaxWaiting {
		return VerdictFull
	}
	if now.Add(q.expectedWait(s) + q.meanServiceTime).After(r.Deadline) {
		return VerdictLate
	}
	w := &waiter{request: r, start: s.nextStart(q.virtualTime, r)}
	s.queue = append(s.queue, w)
	q.waitersByID[r.ID] = w
	q.waiting++
	return VerdictQueued
}

// Release records that a workspace's request that was in progress ended, taken
// after it was admitted, and returns the requests that start now and those that
// can't be run before their deadline any more.
func (q *Queue) Release(now time.Time, workspace string, serviceTime time.Duration) (started, late []uint64) {
	q.running--
	if s := q.workspaces[workspace]; s != nil {
		s.running--
		defer q.removeIfIdle(s)
	}
	if q.meanServiceTime == 0 {
		q.meanServiceTime = serviceTime
	}
	q.meanServiceTime += time.Duration(serviceTimeSmoothing * float64(serviceTime-q.meanServiceTime))
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
	w := q.waitersByID[id]
	if w == nil {
		return false
	}
	s := q.workspaces[w.request.Workspace]
	for i, other := range s.queue {
		if other == w {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			break
		}
	}
	q.removeWaiter(w)
	q.removeIfIdle(s)
	return true
}

// stamp returns the virtual time at which the request would start if each
// workspace had its share of one server, and moves the workspace on by its cost.
func (s *workspaceQueue) nextStart(virtualTime float64, r Request) float64 {
	start := max(virtualTime, s.finish)
	s.finish = start + 1/float64(max(r.Weight, 1)*(1+max(r.Priority, 0)))
	return start
}

func (q *Queue) workspaceFor(r Request) *workspaceQueue {
	s := q.workspaces[r.Workspace]
	if s == nil {
		s = &workspaceQueue{name: r.Workspace}
		q.workspaces[r.Workspace] = s
	}
	s.weight = max(r.Weight, 1)
	return s
}

// forgetIdle drops a workspace without requests, unless its turn lies ahead.
func (q *Queue) removeIfIdle(s *workspaceQueue) {
	if s.running == 0 && len(s.queue) == 0 && (s.finish <= q.virtualTime || q.running+q.waiting == 0) {
		delete(q.workspaces, s.name)
	}
}

func (q *Queue) removeWaiter(w *waiter) {
	delete(q.waitersByID, w.request.ID)
	q.waiting--
}

func (q *Queue) start(s *workspaceQueue) {
	q.running++
	s.running++
}

// mayStart tells whether there is a place for a workspace's next request. Above
// its share, it may not take the reserved ones.
func (q *Queue) canStart(s *workspaceQueue) bool {
	limit := q.cfg.Limit
	if q.hasUsedShare(s) {
		limit -= q.reservedSlots()
	}
	return q.running < limit
}

// reserve is how many places workspaces above their share leave to the others, so
// that these need not wait for one. The number in use by the others varies about
// as its square root.
func (q *Queue) reservedSlots() int {
	if q.cfg.Limit < minLimitForReserve {
		return 0
	}
	return min(int(math.Ceil(math.Sqrt(q.withinShare)))+1, q.cfg.Limit/2)
}

// noteWithin counts the requests in progress within shares.
func (q *Queue) updateWithinShare() {
	n := 0
	for _, s := range q.workspaces {
		if !q.hasUsedShare(s) {
			n += s.running
		}
	}
	q.withinShare += withinShareSmoothing * (float64(n) - q.withinShare)
}

// isAboveShare tells whether a workspace has its share of the limit in progress,
// which it shares with those that have requests now.
func (q *Queue) hasUsedShare(s *workspaceQueue) bool {
	weights := 0
	for _, other := range q.workspaces {
		if other == s || other.running > 0 || len(other.queue) > 0 {
			weights += other.weight
		}
	}
	return s.running*weights >= q.cfg.Limit*s.weight
}

// expectedWait estimates how long a new request waits: those of its own
// workspace go before it, and the other workspaces get their turns between.
func (q *Queue) expectedWait(s *workspaceQueue) time.Duration {
	if q.cfg.Limit < 1 {
		return 0
	}
	virtualStart := max(q.virtualTime, s.finish)
	ahead := 0
	for _, other := range q.workspaces {
		for _, w := range other.queue {
			if w.start > virtualStart {
				break
			}
			ahead++
		}
	}
	return q.meanServiceTime * time.Duration(ahead) / time.Duration(q.cfg.Limit)
}

// startWaiting starts the waiting requests that there is a place for, the
// earliest turn first.
func (q *Queue) startWaiting(now time.Time) (started, late []uint64) {
	for s := q.nextWorkspace(); s != nil; s = q.nextWorkspace() {
		w := s.queue[0]
		s.queue = s.queue[1:]
		q.removeWaiter(w)
		if !now.Add(q.meanServiceTime).Before(w.request.Deadline) {
			late = append(late, w.request.ID)
			q.removeIfIdle(s)
			continue
		}
		q.virtualTime = max(q.virtualTime, w.start)
		q.start(s)
		started = append(started, w.request.ID)
	}
	return started, late
}

// nextSpace returns the workspace whose turn it is among those that may start a
// request, nil if there is none.
func (q *Queue) nextWorkspace() (next *workspaceQueue) {
	for _, s := range q.workspaces {
		if len(s.queue) == 0 || !q.canStart(s) {
			continue
		}
		if next == nil || s.isBefore(next) {
			next = s
		}
	}
	return next
}

// isBefore orders by turn, and by arrival where turns are the same.
func (s *workspaceQueue) isBefore(other *workspaceQueue) bool {
	a, b := s.queue[0], other.queue[0]
	if a.start != b.start {
		return a.start < b.start
	}
	return a.request.ID < b.request.ID
}
