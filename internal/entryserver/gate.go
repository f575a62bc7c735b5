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

func (g *gates) of(service string) *gate {
	g.mu.Lock()
	defer g.mu.Unlock()
	q := g.queues[service]
	if q == nil {
		if g.queues == nil {
			g.queues = map[string]*gate{}
		}
		q = &gate{queue: admitter.New(admitter.Config{MaxWaiting: g.maxWaiting}), waiting: map[uint64]chan bool{}}
		g.queues[service] = q
	}
	return q
}

// gate is one admission queue with the goroutines that wait in it.
type gate struct {
	mu      sync.Mutex
	queue   *admitter.Queue
	waiting map[uint64]chan bool
	lastID  uint64
}

// enter waits until the request may start. Each admitted request must leave.
func (g *gate) enter(now time.Time, limit int, r admitter.Request) admitter.Verdict {
	g.mu.Lock()
	g.wake(g.queue.SetLimit(now, limit))
	g.lastID++
	r.ID = g.lastID
	verdict := g.queue.Offer(now, r)
	if verdict != admitter.VerdictQueued {
		g.mu.Unlock()
		return verdict
	}
	started := make(chan bool, 1)
	g.waiting[r.ID] = started
	g.mu.Unlock()

	timer := time.NewTimer(r.Deadline.Sub(now))
	defer timer.Stop()
	select {
	case ok := <-started:
		return admittedOrLate(ok)
	case <-timer.C:
		return g.giveUp(r.ID, started)
	}
}

// giveUp takes a request out at its deadline, unless it was just started.
func (g *gate) giveUp(id uint64, started <-chan bool) admitter.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.Abandon(id) {
		delete(g.waiting, id)
		return admitter.VerdictLate
	}
	return admittedOrLate(<-started)
}

func admittedOrLate(ok bool) admitter.Verdict {
	if ok {
		return admitter.VerdictAdmitted
	}
	return admitter.VerdictLate
}

// leave ends a request that was admitted after it took some time.
func (g *gate) leave(now time.Time, limit int, workspace string, taken time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wake(g.queue.Release(now, workspace, taken))
	g.wake(g.queue.SetLimit(now, limit))
}

// wake tells the waiting goroutines; the caller holds mu.
func (g *gate) wake(started, late []uint64) {
	for _, id := range started {
		g.tell(id, true)
	}
	for _, id := range late {
		g.tell(id, false)
	}
}

func (g *gate) tell(id uint64, ok bool) {
	g.waiting[id] <- ok
	delete(g.waiting, id)
}
