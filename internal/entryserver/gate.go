package entryserver

import (
	"sync"
	"time"

	"flamingoledge.org/flamingoledge/pkg/admitter"
)

// gates holds the admission queue of each service.
type gates struct {
	maxWaiting int

	mu     sync.Mutex
	queues map[string]*gate
}

func (g *gates) forService(service string) *gate {
	g.mu.Lock()
	defer g.mu.Unlock()
	q := g.queues[service]
	if q == nil {
		if g.queues == nil {
			g.queues = map[string]*gate{}
		}
		q = &gate{queue: admitter.New(admitter.Config{MaxWaiting: g.maxWaiting}), waiters: map[uint64]chan bool{}}
		g.queues[service] = q
	}
	return q
}

// gate is one admission queue with the goroutines that wait in it.
type gate struct {
	mu      sync.Mutex
	queue   *admitter.Queue
	waiters map[uint64]chan bool
	lastID  uint64
}

// enter waits until the request may start. Each admitted request must leave.
func (g *gate) acquire(now time.Time, limit int, r admitter.Request) admitter.Verdict {
	g.mu.Lock()
	g.notifyWaiters(g.queue.SetLimit(now, limit))
	g.lastID++
	r.ID = g.lastID
	verdict := g.queue.Offer(now, r)
	if verdict != admitter.VerdictQueued {
		g.mu.Unlock()
		return verdict
	}
	started := make(chan bool, 1)
	g.waiters[r.ID] = started
	g.mu.Unlock()

	timer := time.NewTimer(r.Deadline.Sub(now))
	defer timer.Stop()
	select {
	case ok := <-started:
		return admissionVerdict(ok)
	case <-timer.C:
		return g.abandon(r.ID, started)
	}
}

// giveUp takes a request out at its deadline, unless it was just started.
func (g *gate) abandon(id uint64, started <-chan bool) admitter.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.Abandon(id) {
		delete(g.waiters, id)
		return admitter.VerdictLate
	}
	return admissionVerdict(<-started)
}

func admissionVerdict(ok bool) admitter.Verdict {
	if ok {
		return admitter.VerdictAdmitted
	}
	return admitter.VerdictLate
}

// leave ends a request that was admitted after it took some time.
func (g *gate) release(now time.Time, limit int, workspace string, elapsed time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.notifyWaiters(g.queue.Release(now, workspace, elapsed))
	g.notifyWaiters(g.queue.SetLimit(now, limit))
}

// wake tells the waiting goroutines; the caller holds mu.
func (g *gate) notifyWaiters(started, late []uint64) {
	for _, id := range started {
		g.signal(id, true)
	}
	for _, id := range late {
		g.signal(id, false)
	}
}

func (g *gate) signal(id uint64, ok bool) {
	g.waiters[id] <- ok
	delete(g.waiters, id)
}
