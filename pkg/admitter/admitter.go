// Package admitter decides whether a request starts now, is queued or is refused.
// Workspaces share a concurrency limit by weighted fair queueing, so that the requests
// of a workspace that exceeds its share delay only each other and not those of other
// workspaces.
package admitter

import (
	"math"
	"time"
)

// Config configures a Queue.
type Config struct {
	// Limit is the maximum number of requests in progress.
	Limit int
	// MaxWaiting is the maximum number of queued requests per workspace.
	MaxWaiting int
}

// Request describes a request to be admitted.
type Request struct {
	ID        uint64
	Workspace string
	// Weight is the relative share of the workspace, at least 1.
	Weight int
	// Priority lowers the cost that a request adds to the virtual time of its
	// workspace; 0 is the lowest priority.
	Priority int
	Deadline time.Time
}

// Verdict is the result of offering a request.
type Verdict string

// Verdicts.
const (
	// VerdictAdmitted means that the request starts now.
	VerdictAdmitted Verdict = "admitted"
	// VerdictQueued means that the request waits for its turn.
	VerdictQueued Verdict = "queued"
	// VerdictLate means that the request can't be run before its deadline.
	VerdictLate Verdict = "late"
	// VerdictFull means that the workspace has MaxWaiting queued requests.
	VerdictFull Verdict = "full"
)

const (
	// serviceTimeSmoothing is the weight of a new sample in the moving average of the
	// service time.
	serviceTimeSmoothing = 0.1
	// withinShareSmoothing is the weight of a new sample in the moving average of the
	// number of requests of workspaces within their share.
	withinShareSmoothing = 0.02
	// minLimitForReserve is the lowest limit at which slots are reserved.
	minLimitForReserve = 4
)

// Queue is the admission queue of one service. It is not safe for concurrent use.
type Queue struct {
	cfg             Config
	running         int
	waiting         int
	workspaces      map[string]*workspaceQueue
	waitersByID     map[uint64]*waiter
	virtualTime     float64
	meanServiceTime time.Duration
	// withinShare is the moving average of the number of requests in progress of
	// workspaces that have not used up their share.
	withinShare float64
}

// workspaceQueue holds the queued requests of one workspace. It exists while the
// workspace has requests or its virtual finish time is in the future.
type workspaceQueue struct {
	name    string
	weight  int
	running int
	queue   []*waiter
	// finish is the virtual finish time of the latest request.
	finish float64
}

// waiter is a queued request.
type waiter struct {
	request Request
	// start is the virtual start time.
	start float64
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	return &Queue{cfg: cfg, workspaces: map[string]*workspaceQueue{}, waitersByID: map[uint64]*waiter{}}
}

// Running returns the number of requests in progress.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of queued requests.
func (q *Queue) Waiting() int { return q.waiting }

// Offer admits, queues or refuses a request. The ID of a queued request is returned by a
// later call of Release or SetLimit, unless Abandon removes it first.
func (q *Queue) Offer(now time.Time, r Request) Verdict {
	if !now.Before(r.Deadline) {
		return VerdictLate
	}
	ws := q.workspaceFor(r)
	defer q.removeIfIdle(ws)
	q.updateWithinShare()
	if len(ws.queue) == 0 && q.canStart(ws) {
		q.virtualTime = ws.nextStart(q.virtualTime, r)
		q.start(ws)
		return VerdictAdmitted
	}
	if len(ws.queue) >= q.cfg.MaxWaiting {
		return VerdictFull
	}
	if now.Add(q.expectedWait(ws) + q.meanServiceTime).After(r.Deadline) {
		return VerdictLate
	}
	w := &waiter{request: r, start: ws.nextStart(q.virtualTime, r)}
	ws.queue = append(ws.queue, w)
	q.waitersByID[r.ID] = w
	q.waiting++
	return VerdictQueued
}

// Release records the end of a workspace's request, serviceTime after its admission. It
// returns the queued requests that start now and those that can no longer be run before
// their deadline.
func (q *Queue) Release(now time.Time, workspace string, serviceTime time.Duration) (started, late []uint64) {
	q.running--
	if ws := q.workspaces[workspace]; ws != nil {
		ws.running--
		defer q.removeIfIdle(ws)
	}
	if q.meanServiceTime == 0 {
		q.meanServiceTime = serviceTime
	}
	q.meanServiceTime += time.Duration(serviceTimeSmoothing * float64(serviceTime-q.meanServiceTime))
	return q.startWaiting(now)
}

// SetLimit changes the limit. It returns the same as Release.
func (q *Queue) SetLimit(now time.Time, limit int) (started, late []uint64) {
	q.cfg.Limit = limit
	return q.startWaiting(now)
}

// Abandon removes a request from the queue, for example because its caller has
// disconnected. It returns false if the request is not queued.
func (q *Queue) Abandon(id uint64) bool {
	w := q.waitersByID[id]
	if w == nil {
		return false
	}
	ws := q.workspaces[w.request.Workspace]
	for i, other := range ws.queue {
		if other == w {
			ws.queue = append(ws.queue[:i], ws.queue[i+1:]...)
			break
		}
	}
	q.removeWaiter(w)
	q.removeIfIdle(ws)
	return true
}

// nextStart returns the virtual start time of a request, which is when it would start
// if each workspace had its share of a single server. It advances the finish time of
// the workspace by the cost of the request.
func (ws *workspaceQueue) nextStart(virtualTime float64, r Request) float64 {
	start := max(virtualTime, ws.finish)
	ws.finish = start + 1/float64(max(r.Weight, 1)*(1+max(r.Priority, 0)))
	return start
}

// workspaceFor returns the queue of a request's workspace, creating it if needed.
func (q *Queue) workspaceFor(r Request) *workspaceQueue {
	ws := q.workspaces[r.Workspace]
	if ws == nil {
		ws = &workspaceQueue{name: r.Workspace}
		q.workspaces[r.Workspace] = ws
	}
	ws.weight = max(r.Weight, 1)
	return ws
}

// removeIfIdle removes a workspace without requests, unless its virtual finish time is
// in the future while other workspaces have requests.
func (q *Queue) removeIfIdle(ws *workspaceQueue) {
	if ws.running == 0 && len(ws.queue) == 0 && (ws.finish <= q.virtualTime || q.running+q.waiting == 0) {
		delete(q.workspaces, ws.name)
	}
}

// removeWaiter removes a request from the index and the count of queued requests.
func (q *Queue) removeWaiter(w *waiter) {
	delete(q.waitersByID, w.request.ID)
	q.waiting--
}

// start counts a request of the workspace as running.
func (q *Queue) start(ws *workspaceQueue) {
	q.running++
	ws.running++
}

// canStart reports whether a slot is free for the next request of a workspace. A
// workspace that has used up its share may not use the reserved slots.
func (q *Queue) canStart(ws *workspaceQueue) bool {
	limit := q.cfg.Limit
	if q.hasUsedShare(ws) {
		limit -= q.reservedSlots()
	}
	return q.running < limit
}

// reservedSlots returns the number of slots reserved for workspaces within their share,
// so that these don't have to wait for a slot. The number of slots that they use
// fluctuates by about its square root.
func (q *Queue) reservedSlots() int {
	if q.cfg.Limit < minLimitForReserve {
		return 0
	}
	return min(int(math.Ceil(math.Sqrt(q.withinShare)))+1, q.cfg.Limit/2)
}

// updateWithinShare updates the moving average of requests in progress of workspaces
// within their share.
func (q *Queue) updateWithinShare() {
	n := 0
	for _, ws := range q.workspaces {
		if !q.hasUsedShare(ws) {
			n += ws.running
		}
	}
	q.withinShare += withinShareSmoothing * (float64(n) - q.withinShare)
}

// hasUsedShare reports whether a workspace has at least its share of the limit in
// progress. The limit is shared by the workspaces that currently have requests.
func (q *Queue) hasUsedShare(ws *workspaceQueue) bool {
	weights := 0
	for _, other := range q.workspaces {
		if other == ws || other.running > 0 || len(other.queue) > 0 {
			weights += other.weight
		}
	}
	return ws.running*weights >= q.cfg.Limit*ws.weight
}

// expectedWait estimates how long a new request of a workspace waits. Ahead of it are
// the queued requests of all workspaces with the same or an earlier virtual start.
func (q *Queue) expectedWait(ws *workspaceQueue) time.Duration {
	if q.cfg.Limit < 1 {
		return 0
	}
	virtualStart := max(q.virtualTime, ws.finish)
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

// startWaiting starts the queued requests for which a slot is free, in the order of
// their virtual start times.
func (q *Queue) startWaiting(now time.Time) (started, late []uint64) {
	for ws := q.nextWorkspace(); ws != nil; ws = q.nextWorkspace() {
		w := ws.queue[0]
		ws.queue = ws.queue[1:]
		q.removeWaiter(w)
		if !now.Add(q.meanServiceTime).Before(w.request.Deadline) {
			late = append(late, w.request.ID)
			q.removeIfIdle(ws)
			continue
		}
		q.virtualTime = max(q.virtualTime, w.start)
		q.start(ws)
		started = append(started, w.request.ID)
	}
	return started, late
}

// nextWorkspace returns the workspace whose first queued request has the earliest virtual
// start among those that may start a request, or nil if there is none.
func (q *Queue) nextWorkspace() (next *workspaceQueue) {
	for _, ws := range q.workspaces {
		if len(ws.queue) == 0 || !q.canStart(ws) {
			continue
		}
		if next == nil || ws.isBefore(next) {
			next = ws
		}
	}
	return next
}

// isBefore orders workspaces by the virtual start time of their first queued request, and
// by request ID if these are equal.
func (ws *workspaceQueue) isBefore(other *workspaceQueue) bool {
	a, b := ws.queue[0], other.queue[0]
	if a.start != b.start {
		return a.start < b.start
	}
	return a.request.ID < b.request.ID
}
