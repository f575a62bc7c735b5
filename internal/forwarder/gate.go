package forwarder

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"flamingoledge.org/flamingoledge/pkg/balancer"
)

// gates holds the gate of each service.
type gates struct {
	cfg balancer.Config

	mu     sync.Mutex
	byName map[string]*gate
}

func (g *gates) of(service string) *gate {
	g.mu.Lock()
	defer g.mu.Unlock()
	one := g.byName[service]
	if one == nil {
		if g.byName == nil {
			g.byName = map[string]*gate{}
		}
		one = &gate{balancer: balancer.New(g.cfg), waiting: map[uint64]chan balancer.Decision{}}
		g.byName[service] = one
	}
	return one
}

func (g *gates) services() (names []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name := range g.byName {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (g *gates) each(do func(*gate)) {
	for _, name := range g.services() {
		do(g.of(name))
	}
}

// gate lets requests of one service wait for what its balancer decides.
type gate struct {
	mu       sync.Mutex
	balancer *balancer.Balancer
	waiting  map[uint64]chan balancer.Decision
}

// enter waits for a decision on a request, until ctx ends.
func (g *gate) enter(ctx context.Context, clock func() time.Time, r balancer.Request) (balancer.Decision, error) {
	g.mu.Lock()
	now := clock()
	d := g.balancer.Offer(now, r)
	if d.Outcome != balancer.OutcomeQueued {
		g.mu.Unlock()
		return d, nil
	}
	ch := make(chan balancer.Decision, 1)
	g.waiting[r.ID] = ch
	g.mu.Unlock()
	expiry := time.NewTimer(r.StartBy.Sub(now))
	defer expiry.Stop()
	for {
		select {
		case d = <-ch:
			return d, nil
		case <-expiry.C:
			g.expire(clock())
			// The timer's clock stands still while the instance is suspended;
			// both may differ by a little.
			expiry.Reset(expiryRepeat)
		case <-ctx.Done():
			if !g.abandon(r.ID) {
				d = <-ch
				if d.Outcome == balancer.OutcomeStarted {
					g.ended(clock(), d.Endpoint.ID, r.ID, balancer.ResultCanceled)
				}
			}
			return d, ctx.Err()
		}
	}
}

// expiryRepeat is the pause before expiry is looked at again.
const expiryRepeat = 5 * time.Millisecond

func (g *gate) expire(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.balancer.Expire(now))
}

func (g *gate) abandon(id uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.balancer.Abandon(id) {
		return false
	}
	delete(g.waiting, id)
	return true
}

func (g *gate) began(now time.Time, endpoint string, request uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.balancer.RecordFirstOutput(now, endpoint, request))
}

func (g *gate) ended(now time.Time, endpoint string, request uint64, r balancer.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.balancer.RecordEnd(now, endpoint, request, r))
}

func (g *gate) report(now, at time.Time, endpoint string, l balancer.Load) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.balancer.UpdateLoad(now, at, endpoint, l, rand.Uint64()))
}

func (g *gate) wake(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.waiting) > 0 {
		g.deliver(g.balancer.RetryWaiting(now))
	}
}

func (g *gate) setEndpoints(now time.Time, endpoints []balancer.Endpoint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.balancer.SetEndpoints(now, endpoints))
}

func (g *gate) setSharers(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.SetSenders(n)
}

// deliver wakes the requests that were decided; the caller holds mu.
func (g *gate) deliver(ds []balancer.Decision) {
	for _, d := range ds {
		if ch := g.waiting[d.ID]; ch != nil {
			delete(g.waiting, d.ID)
			ch <- d
		}
	}
}
