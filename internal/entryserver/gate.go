package entryserver

import (
	"sync"
	"time"

	"flamingoledge.org/flamingoledge/pkg/admitter"
)

// gates contains the admission gate of each service.
type gates struct {
	maxWaiting int

	mu        sync.Mutex
	byService map[string]*gate
}

func (g *gates) forService(service string) *gate {
	g.mu.Lock()
	defer g.mu.Unlock()
	q := g.byService[service]
	if q == nil {
		if g.byService == nil {
			g.byService = map[string]*gate{}
		}
		q = &gate{queue: admitter.New(admitter.Config{MaxWaiting: g.maxWaiting}), waiters: map[uint64]chan bool{}}
		g.byService[service] = q
	}
	return q
}

// gate is the admission queue of one service, with the goroutines that wait in it.
type gate struct {
	mu      sync.Mutex
	queue   *admitter.Queue
	waiters map[uint64]chan bool
	lastID  uint64
}

// acquire blocks until the request is admitted, refused or past its deadline. Every
// admitted request must call release.
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
	case admitted := <-started:
		return admissionVerdict(admitted)
	case <-timer.C:
		return g.abandon(r.ID, started)
	}
}

// abandon removes a request from the queue at its deadline, unless it was admitted in
// the meantime.
func (g *gate) abandon(id uint64, started <-chan bool) admitter.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.Abandon(id) {
		delete(g.waiters, id)
		return admitter.VerdictLate
	}
	return admissionVerdict(<-started)
}

// admissionVerdict returns the verdict for the value received from a waiter's channel.
func admissionVerdict(admitted bool) admitter.Verdict {
	if admitted {
		return admitter.VerdictAdmitted
	}
	return admitter.VerdictLate
}

// release ends an admitted request that took elapsed.
func (g *gate) release(now time.Time, limit int, workspace string, elapsed time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.notifyWaiters(g.queue.Release(now, workspace, elapsed))
	g.notifyWaiters(g.queue.SetLimit(now, limit))
}

// notifyWaiters wakes the goroutines of the requests that were started or became late.
// The caller holds mu.
func (g *gate) notifyWaiters(started, late []uint64) {
	for _, id := range started {
		g.signal(id, true)
	}
	for _, id := range late {
		g.signal(id, false)
	}
}

func (g *gate) signal(id uint64, admitted bool) {
	g.waiters[id] <- admitted
	delete(g.waiters, id)
}
