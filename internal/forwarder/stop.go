package forwarder

import (
	"sync"
	"sync/atomic"
	"time"

	"flamingoledge.org/flamingoledge/pkg/balancer"
	"flamingoledge.org/flamingoledge/pkg/quiescer"
)

// stoppingRetryAfter is the time after which the caller of a request that is refused because of a
// stop may come back. Another entry can serve it at once.
const stoppingRetryAfter = 10 * time.Millisecond

// stopState tells whether and since when the process stops. It is safe for concurrent use.
type stopState struct {
	current atomic.Pointer[quiescer.Stop]
	once    sync.Once
	begun   chan struct{}
}

// StartDraining makes the forwarder close the caller's connection after each further answer, and
// refuse the requests that it can't answer before the process ends.
func (f *Forwarder) StartDraining(stop quiescer.Stop) {
	f.stopping.once.Do(func() {
		f.stopping.current.Store(&stop)
		close(f.stopping.begun)
	})
}

// isStopping reports whether StartDraining has been called.
func (f *Forwarder) isStopping() bool { return f.stopping.current.Load() != nil }

// latestStart returns the time until which a call may be passed on, and false if that is not
// limited by a stop of this process.
func (f *Forwarder) latestStart(c *call) (at time.Time, limited bool) {
	stop := f.stopping.current.Load()
	if stop == nil {
		return time.Time{}, false
	}
	return stop.LatestStart(quiescer.Request{ReceivedAt: c.readAt, Deadline: c.answerDeadline, ExpectedTime: f.expectedTime(c)})
}

// expectedTime returns how long the answer to a call is expected to take; 0 if unknown.
func (f *Forwarder) expectedTime(c *call) time.Duration {
	switch {
	case c.engine != nil:
		// Each event that a resumed stream has delivered holds the tokens of a pass.
		tokens := max(c.answerTokens(), c.MaxAnswerTokens) - c.deliveredEvents*c.engine.Stride
		return slotTime(c, max(tokens, 1))
	case c.isStream():
		return 0
	default:
		return f.firstByteEstimator.estimate(c)
	}
}

// checkStop refuses a call that can't be answered before this process ends.
func (f *Forwarder) checkStop(c *call, now time.Time) *Problem {
	at, limited := f.latestStart(c)
	if !limited || now.Before(at) {
		return nil
	}
	return notRun(CodeStopping, stoppingRetryAfter, "the entry stops and the answer may take longer, %d ms after the last start", now.Sub(at).Milliseconds())
}

// withinStop limits the time until which a request may wait by the stop of this process.
func (f *Forwarder) withinStop(c *call, r balancer.Request) balancer.Request {
	if at, limited := f.latestStart(c); limited && at.Before(r.StartBy) {
		r.StartBy = at
	}
	return r
}

// stopBegun returns a channel that is closed when a stop begins, or nil if it has begun.
func (f *Forwarder) stopBegun() <-chan struct{} {
	if f.isStopping() {
		return nil
	}
	return f.stopping.begun
}
