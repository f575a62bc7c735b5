package forwarder

import (
	"slices"
	"sync"
	"time"

	"flamingoledge.org/flamingoledge/pkg/balancer"
	"flamingoledge.org/flamingoledge/pkg/scheduler"
	"flamingoledge.org/flamingoledge/pkg/shedder"
)

// maxKeptWait bounds the queueing time of a request that comes back at a time with a kept
// place. It can't meet its objective any more, and a slot is expected within a block of times.
const maxKeptWait = 400 * time.Millisecond

// retryTimes gives the refused callers of one service times to come back.
type retryTimes struct {
	mu        sync.Mutex
	scheduler *scheduler.Scheduler
	// firsts are the rates of first attempts by priority.
	firsts map[int]scheduler.Rate
}

func newRetryTimes() *retryTimes {
	return &retryTimes{scheduler: scheduler.New(), firsts: map[int]scheduler.Rate{}}
}

// recordFirst records a first attempt.
func (rt *retryTimes) recordFirst(now time.Time, priority int) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.firsts[priority] = rt.firsts[priority].WithEvent(now)
}

// returnAfter returns when the caller of a refused request should come back. shares are the
// admitted shares of the priorities; those that are missing are admitted as a whole.
func (rt *retryTimes) returnAfter(now time.Time, priority int, r scheduler.Refusal, shares []shedder.PriorityShare) (delay time.Duration, kept bool) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	for p, rate := range rt.firsts {
		r.Demand += rate.PerSecond(now) * admittedShare(p, priority, shares)
	}
	return rt.scheduler.ReturnAfter(now, r)
}

// admittedShare returns the share of the first attempts of priority p that starts before a
// request of another priority: all that are as urgent, and what is admitted of the others.
func admittedShare(p, priority int, shares []shedder.PriorityShare) float64 {
	if p <= priority {
		return 1
	}
	for _, s := range shares {
		if s.Priority == p {
			return s.Share
		}
	}
	return 1
}

// recordOffer records a call that is about to wait for its first endpoint.
func (f *Forwarder) recordOffer(c *call, dp *dispatcher) {
	if c.sendCount == 0 && c.deliveredEvents == 0 && !c.isRepeat() {
		dp.retryTimes.recordFirst(f.cfg.Clock(), c.priority())
	}
}

// isRepeat reports whether the caller was refused before and sent the request again.
func (c *call) isRepeat() bool { return c.firstSentAt.Before(c.receivedAt) }

// isPunctual reports whether the caller comes back at a time at which a place is kept for it.
func (c *call) isPunctual() bool { return c.isPunctualAfter(c.receivedAt.Sub(c.firstSentAt)) }

// isPunctualAfter is isPunctual for a call that was first sent some time before.
func (c *call) isPunctualAfter(sinceFirst time.Duration) bool {
	return c.fingerprint != 0 && scheduler.IsPunctual(c.receivedAt, scheduler.Return{Fingerprint: c.fingerprint, Left: c.Deadline, SinceFirst: sinceFirst})
}

// lateWait returns how long a call that can't meet its objective any more may be queued. A
// caller that was refused before waits longer, unless first attempts that are as urgent are
// refused: these take all slots that become free, also those at which it could start.
func (f *Forwarder) lateWait(c *call, now time.Time) time.Duration {
	wait := maxLateWait
	if c.isRepeat() && f.dispatchers.get(c.service).admitsAll(now, c.priority()) {
		wait = max(wait, scheduler.ReturnWait(scheduler.Return{Fingerprint: c.fingerprint, Left: c.Deadline, SinceFirst: c.receivedAt.Sub(c.firstSentAt)}))
	}
	return min(wait, c.answerDeadline.Sub(now)/4)
}

// admitsAll reports whether all first attempts are admitted that are as urgent as a priority,
// and whether the queue has room for requests that may stay in it for long.
func (dp *dispatcher) admitsAll(now time.Time, priority int) bool {
	dp.mu.Lock()
	defer dp.mu.Unlock()
	return dp.balancer.Waiting() < maxWaiting/2 && !slices.ContainsFunc(dp.balancer.Shares(now), func(s shedder.PriorityShare) bool {
		return s.Priority <= priority && s.Share < 1
	})
}

// retryAfter returns when the caller of a refused call should come back. Where no endpoint
// accepts a request, the balancer knows when one will.
func (f *Forwarder) retryAfter(c *call, dp *dispatcher, d balancer.Decision) retryTime {
	if d.Outcome != balancer.OutcomeBusy || c.fingerprint == 0 || c.Deadline <= 0 {
		return retryTime{delay: d.RetryAfter}
	}
	now := f.cfg.Clock()
	freed, shares := dp.capacity(now)
	delay, kept := dp.retryTimes.returnAfter(now, c.priority(), scheduler.Refusal{
		Fingerprint: c.fingerprint, Left: c.receivedAt.Add(c.Deadline).Sub(now), Waiting: d.Waiting, Freed: freed,
	}, shares)
	if delay <= 0 {
		return retryTime{delay: d.RetryAfter}
	}
	return retryTime{delay: delay, kept: kept}
}

// capacity returns how many slots per second are freed, and the admitted shares.
func (dp *dispatcher) capacity(now time.Time) (freed float64, shares []shedder.PriorityShare) {
	dp.mu.Lock()
	defer dp.mu.Unlock()
	return dp.balancer.FreedPerSecond(), dp.balancer.Shares(now)
}
