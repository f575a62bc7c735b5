package forwarder

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"flamingoledge.org/flamingoledge/pkg/advisor"
	"flamingoledge.org/flamingoledge/pkg/balancer"
	"flamingoledge.org/flamingoledge/pkg/shedder"
)

// dispatchers holds the dispatcher of each service.
type dispatchers struct {
	cfg balancer.Config

	mu        sync.Mutex
	byService map[string]*dispatcher
}

// get returns the dispatcher of a service and creates it on first use.
func (ds *dispatchers) get(service string) *dispatcher {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	dp := ds.byService[service]
	if dp == nil {
		if ds.byService == nil {
			ds.byService = map[string]*dispatcher{}
		}
		dp = &dispatcher{balancer: balancer.New(ds.cfg), waiters: map[uint64]chan balancer.Decision{}, retryTimes: newRetryTimes()}
		ds.byService[service] = dp
	}
	return dp
}

func (ds *dispatchers) services() (names []string) {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	for name := range ds.byService {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (ds *dispatchers) each(fn func(*dispatcher)) {
	for _, name := range ds.services() {
		fn(ds.get(name))
	}
}

// dispatcher makes requests of one service wait for the decisions of its balancer.
type dispatcher struct {
	mu       sync.Mutex
	balancer *balancer.Balancer
	waiters  map[uint64]chan balancer.Decision
	fleet    shedder.Fleet
	// freeSlots is the number of free slots of all endpoints at freeSlotsAt.
	freeSlots   int
	freeSlotsAt time.Time
	// retryTimes has a lock of its own.
	retryTimes *retryTimes
}

// errRevised reports that a request was taken back from the queue, because how long it may wait has
// changed.
var errRevised = errors.New("the request has to be offered again")

// awaitDecision offers a request to the balancer and waits for its decision until ctx
// ends. A request that is queued when revised is closed has to be offered again.
func (dp *dispatcher) awaitDecision(ctx context.Context, revised <-chan struct{}, clock func() time.Time, r balancer.Request) (balancer.Decision, error) {
	dp.mu.Lock()
	now := clock()
	d := dp.balancer.Offer(now, r)
	if d.Outcome != balancer.OutcomeQueued {
		dp.mu.Unlock()
		return d, nil
	}
	ch := make(chan balancer.Decision, 1)
	dp.waiters[r.ID] = ch
	dp.mu.Unlock()
	expiry := time.NewTimer(r.StartBy.Sub(now))
	defer expiry.Stop()
	for {
		select {
		case d = <-ch:
			return d, nil
		case <-expiry.C:
			dp.expire(clock())
			// The timer's clock stops while the instance is suspended, so it may
			// differ slightly from clock. If the request has not expired yet,
			// check again soon.
			expiry.Reset(expiryRetryInterval)
		case <-revised:
			if dp.abandon(r.ID) {
				return d, errRevised
			}
			return <-ch, nil
		case <-ctx.Done():
			if !dp.abandon(r.ID) {
				d = <-ch
				if d.Outcome == balancer.OutcomeStarted {
					dp.recordEnd(clock(), d.Endpoint.ID, r.ID, balancer.ResultCanceled)
				}
			}
			return d, ctx.Err()
		}
	}
}

// expiryRetryInterval is the delay before expiry is checked again.
const expiryRetryInterval = 5 * time.Millisecond

func (dp *dispatcher) expire(now time.Time) {
	dp.mu.Lock()
	defer dp.mu.Unlock()
	dp.notifyWaiters(dp.balancer.Expire(now))
}

// abandon removes a waiting request. It returns false if the request has already been
// decided.
func (dp *dispatcher) abandon(id uint64) bool {
	dp.mu.Lock()
	defer dp.mu.Unlock()
	if !dp.balancer.Abandon(id) {
		return false
	}
	delete(dp.waiters, id)
	return true
}

func (dp *dispatcher) recordFirstOutput(now time.Time, endpoint string, request uint64) {
	dp.mu.Lock()
	defer dp.mu.Unlock()
	dp.notifyWaiters(dp.balancer.RecordFirstOutput(now, endpoint, request))
}

func (dp *dispatcher) recordSilence(now time.Time, endpoint string, request uint64) {
	dp.mu.Lock()
	defer dp.mu.Unlock()
	dp.balancer.RecordSilence(now, endpoint, request)
}

func (dp *dispatcher) recordEnd(now time.Time, endpoint string, request uint64, r balancer.Result) {
	dp.mu.Lock()
	defer dp.mu.Unlock()
	dp.notifyWaiters(dp.balancer.RecordEnd(now, endpoint, request, r))
}

func (dp *dispatcher) updateLoad(now, at time.Time, endpoint string, l balancer.Load) {
	dp.mu.Lock()
	defer dp.mu.Unlock()
	dp.notifyWaiters(dp.balancer.UpdateLoad(now, at, endpoint, l, rand.Uint64()))
}

// recordAnswer records what an endpoint says in an answer. It returns the advice before and
// after.
func (dp *dispatcher) recordAnswer(now time.Time, endpoint string, born int64, answer advisor.Answer) (before, after advisor.Advice) {
	dp.mu.Lock()
	defer dp.mu.Unlock()
	before, after = dp.balancer.RecordAnswer(now, endpoint, born, answer, rand.Uint64())
	if before != after {
		dp.notifyWaiters(dp.balancer.RefuseUnservable(now))
	}
	return before, after
}

// recordCold records how long an endpoint says that it stays cold.
func (dp *dispatcher) recordCold(now time.Time, endpoint string, born int64, left time.Duration) {
	dp.mu.Lock()
	defer dp.mu.Unlock()
	dp.balancer.RecordCold(now, endpoint, born, left)
}

func (dp *dispatcher) endedBackoffs(now time.Time) []string {
	dp.mu.Lock()
	defer dp.mu.Unlock()
	return dp.balancer.EndedBackoffs(now)
}

func (dp *dispatcher) retryWaiting(now time.Time) {
	dp.mu.Lock()
	defer dp.mu.Unlock()
	if len(dp.waiters) > 0 {
		dp.notifyWaiters(dp.balancer.RetryWaiting(now))
		// A start may have used up what an endpoint accepts.
		dp.notifyWaiters(dp.balancer.RefuseUnservable(now))
	}
}

func (dp *dispatcher) setEndpoints(now time.Time, endpoints []balancer.Endpoint) {
	dp.mu.Lock()
	defer dp.mu.Unlock()
	dp.notifyWaiters(dp.balancer.SetEndpoints(now, endpoints))
	dp.notifyWaiters(dp.balancer.RefuseUnservable(now))
}

func (dp *dispatcher) readyWait(now time.Time, r balancer.Request) time.Duration {
	dp.mu.Lock()
	defer dp.mu.Unlock()
	return dp.balancer.ReadyWait(now, r)
}

func (dp *dispatcher) setSenders(n int) {
	dp.mu.Lock()
	defer dp.mu.Unlock()
	dp.balancer.SetSenders(n)
}

// notifyWaiters sends decisions to the requests that wait for them; the caller holds mu.
func (dp *dispatcher) notifyWaiters(decisions []balancer.Decision) {
	for _, d := range decisions {
		if ch := dp.waiters[d.ID]; ch != nil {
			delete(dp.waiters, d.ID)
			ch <- d
		}
	}
}
