package forwarder

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"flamingoledge.org/flamingoledge/pkg/balancer"
	"flamingoledge.org/flamingoledge/pkg/detector"
	"flamingoledge.org/flamingoledge/pkg/retrier"
)

// silentEndpointError is the cause of canceling an attempt whose endpoint has fallen silent,
// after its replacement has output.
type silentEndpointError struct{ silence time.Duration }

// Error implements error.
func (e *silentEndpointError) Error() string {
	return fmt.Sprintf("no output for %d ms", e.silence.Milliseconds())
}

// watchedAttempt is an attempt that another one may replace if its endpoint falls silent.
type watchedAttempt struct {
	id       uint64
	endpoint string
	// call is a copy of the call as an attempt at another endpoint would continue it.
	call      call
	hasOutput bool
	// isSilent is set while the dispatcher counts the endpoint as silent.
	isSilent bool
	// isDelivering is set while output is sent to the caller and none is read.
	isDelivering bool
	cancel       context.CancelCauseFunc
	// replacements are the attempts to replace this one. Only the last one may be running.
	replacements []*replacement
	// replaced is set once the attempt has been canceled in favor of the last replacement.
	replaced bool
}

// running returns the replacement that is running; nil if there is none.
func (w *watchedAttempt) running() *replacement {
	if len(w.replacements) == 0 {
		return nil
	}
	last := w.replacements[len(w.replacements)-1]
	select {
	case <-last.done:
		return nil
	default:
		return last
	}
}

// silenceWatch holds the attempts whose requests may run more than once.
type silenceWatch struct {
	mu       sync.Mutex
	detector *detector.Detector
	attempts map[uint64]*watchedAttempt
	nextScan time.Time
}

// silenceScanInterval is the time between checks for silent attempts.
const silenceScanInterval = 100 * time.Millisecond

func newSilenceWatch() silenceWatch {
	return silenceWatch{detector: detector.New(), attempts: map[uint64]*watchedAttempt{}}
}

// watch returns a context for an attempt that is canceled if the request goes on at another
// endpoint. Attempts that must not be repeated are not watched. end has to be called for
// each watched attempt.
func (sw *silenceWatch) watch(now time.Time, c *call, d balancer.Decision) context.Context {
	c.watched = nil
	next := c.withTried(d.Endpoint.ID)
	next.sendCount++
	if !next.mayRepeat() {
		return c.ctx
	}
	ctx, cancel := context.WithCancelCause(c.ctx)
	c.watched = &watchedAttempt{id: d.ID, endpoint: d.Endpoint.ID, call: next, cancel: cancel}
	sw.mu.Lock()
	defer sw.mu.Unlock()
	sw.detector.Start(now, d.ID, next.idleTimeout(now))
	sw.attempts[d.ID] = c.watched
	return ctx
}

// recordOutput records that a part of an attempt's answer has arrived, and stops the attempt
// that was to replace it. It returns false if that one has replaced it already; the output
// must not be used then. wasSilent is set if the endpoint had fallen silent.
func (sw *silenceWatch) recordOutput(now time.Time, id uint64) (ok, wasSilent bool) {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	w := sw.attempts[id]
	if w == nil {
		return true, false
	}
	if w.replaced {
		return false, false
	}
	wasSilent, w.isSilent = w.isSilent, false
	w.hasOutput, w.isDelivering = true, true
	sw.detector.RecordOutput(now, id)
	if rep := w.running(); rep != nil {
		rep.cancel(context.Canceled)
	}
	return true, wasSilent
}

// recordDelivery records that the output that was read has been sent to the caller.
func (sw *silenceWatch) recordDelivery(now time.Time, id uint64, c *call) {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	w := sw.attempts[id]
	if w == nil {
		return
	}
	w.isDelivering = false
	w.call.LastEventID, w.call.deliveredEvents, w.call.endsWithID = c.LastEventID, c.deliveredEvents, c.endsWithID
	w.call.mediaType, w.call.suspects.answerBegun = c.mediaType, c.suspects.answerBegun
	sw.detector.RecordOutput(now, id)
}

// end stops watching an attempt.
func (sw *silenceWatch) end(id uint64) {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	if w := sw.attempts[id]; w != nil {
		delete(sw.attempts, id)
		sw.detector.End(id)
		w.cancel(nil)
	}
}

// sendCount returns the number of sends of a call with those of replacements, and whether one
// of these is still running.
func (sw *silenceWatch) sendCount(c *call) (n int, isRunning bool) {
	if c.watched == nil {
		return c.sendCount, false
	}
	sw.mu.Lock()
	defer sw.mu.Unlock()
	n = c.sendCount
	for _, rep := range c.watched.replacements {
		if rep.isSent {
			n++
		}
	}
	return n, c.watched.running() != nil
}

// replaceSilent starts to replace each attempt whose endpoint has fallen silent.
func (f *Forwarder) replaceSilent(now time.Time) {
	sw := &f.silence
	sw.mu.Lock()
	defer sw.mu.Unlock()
	if now.Before(sw.nextScan) {
		return
	}
	sw.nextScan = now.Add(silenceScanInterval)
	for _, s := range sw.detector.Check(now) {
		w := sw.attempts[s.ID]
		if w.isDelivering || w.replaced || w.running() != nil || !w.call.mayRepeat() {
			continue
		}
		rep := newReplacement(w.call)
		r := f.replacementRequest(rep.call, now, s)
		if !r.StartBy.After(now) {
			rep.cancel(nil)
			continue
		}
		w.replacements = append(slices.DeleteFunc(w.replacements, func(r *replacement) bool { return !r.isSent }), rep)
		go f.runReplacement(w, rep, r)
	}
}

// allowReplacement takes a retry from the budget for the replacement of an attempt.
func (f *Forwarder) allowReplacement(now time.Time, c *call, hasOutput bool) bool {
	budget := f.retryBudgets.get(now, c.service)
	allow := budget.AllowRetry
	if hasOutput {
		allow = budget.AllowResume
	}
	_, refusal := allow(now, c.answerDeadline, c.sendCount)
	return refusal == retrier.RefusalNone
}

// replacementRequest returns the balancer's description of the request of a silent attempt.
// It may wait until its caller is about to give up.
func (f *Forwarder) replacementRequest(c *call, now time.Time, s detector.Silence) balancer.Request {
	r := f.newBalancerRequest(c, now)
	r.Resumed, r.Late = true, true
	r.StartBy = now.Add(c.idleTimeout(now) - s.Duration - r.FirstOutputDelay)
	return r
}

// idleTimeout returns how long the caller waits for the next output.
func (c *call) idleTimeout(now time.Time) time.Duration {
	left := c.answerDeadline.Sub(now)
	if c.isStream() && c.route.IdleTimeout > 0 {
		return min(left, c.route.IdleTimeout)
	}
	return left
}
