package forwarder

import (
	"context"
	"fmt"
	"net/http"
	"slices"

	"flamingoledge.org/flamingoledge/pkg/balancer"
)

// replacement is an attempt that is to replace one whose endpoint has fallen silent. A sound
// endpoint may pause and go on, so both run until one of them has output. If its own endpoint
// falls silent too, another one replaces it in the same way.
type replacement struct {
	// call is a copy of the call, which belongs to the replacement.
	call   *call
	cancel context.CancelCauseFunc
	// isSent is set when the request is about to be sent. The mutex of the silence watch
	// protects it.
	isSent bool
	// sendsBefore is the number of sends of the request before this one, triedBefore that of
	// the endpoints that were tried.
	sendsBefore, triedBefore int

	// done is closed at the end. attempt is set then if it has replaced the silent one.
	done    chan struct{}
	attempt *attempt
}

// newReplacement returns the replacement of an attempt; c is a copy of its call.
func newReplacement(c call) *replacement {
	rep := &replacement{call: &c, sendsBefore: c.sendCount, triedBefore: len(c.triedEndpoints), done: make(chan struct{})}
	c.triedEndpoints = slices.Clone(c.triedEndpoints)
	c.ctx, rep.cancel = context.WithCancelCause(c.ctx)
	return rep
}

// withTried returns a copy of a call for attempts at other endpoints than those before and the
// given one.
func (c *call) withTried(endpoint string) call {
	next := *c
	next.triedEndpoints = append(slices.Clone(c.triedEndpoints), endpoint)
	next.suspects.probed = nil
	next.watched = nil
	return next
}

// mayRepeat reports whether a call that may have run may be sent once more.
func (c *call) mayRepeat() bool { return c.isRetryable() && c.sendCount < c.maxSends() }

// maxSends is the limit of the sends of a call.
func (c *call) maxSends() int { return min(c.route.MaxAttempts, maxSendCount) }

// runReplacement waits for a free slot at another endpoint and sends the request there. The
// silent attempt is canceled once the other one has output, and goes on if there is none.
func (f *Forwarder) runReplacement(w *watchedAttempt, rep *replacement, r balancer.Request) {
	defer close(rep.done)
	defer func() {
		if cause := recover(); cause != nil {
			f.recordPanic(rep.call, cause)
		}
	}()
	a := f.sendReplacement(w, rep, r)
	if a != nil && f.replace(w, rep, a) {
		rep.attempt = a
		return
	}
	for ; a != nil; a = f.awaitReplacement(rep.call) {
		f.discardAttempt(a)
	}
	f.silence.recordFailedReplacement(w, rep)
}

// discardAttempt ends an attempt whose answer is not used.
func (f *Forwarder) discardAttempt(a *attempt) {
	a.call.unknownOutcome = fmt.Errorf("an answer with status %d was not used", a.answer.Status)
	result := balancer.ResultCanceled
	if a.answer.Status >= http.StatusInternalServerError {
		result = balancer.ResultFailed
	}
	f.endAttempt(a, result)
	a.body.release(&f.answerMemory)
}

// sendReplacement returns an attempt with an answer that can be forwarded, or nil.
func (f *Forwarder) sendReplacement(w *watchedAttempt, rep *replacement, r balancer.Request) *attempt {
	c := rep.call
	if !f.mayRepeatAfterCrash(c) {
		return nil
	}
	dp := f.dispatchers.get(c.service)
	d, err := dp.awaitDecision(c.ctx, nil, f.cfg.Clock, r)
	if err != nil || d.Outcome != balancer.OutcomeStarted {
		return nil
	}
	p := f.checkAllowed(c, f.cfg.RoutingState())
	if p != nil || f.isEvacuated(d.Endpoint) || !f.mayBegin(c, d.Endpoint, f.cfg.Clock()) || !f.startSending(w, rep) {
		dp.recordEnd(f.cfg.Clock(), d.Endpoint.ID, d.ID, balancer.ResultCanceled)
		return nil
	}
	a, fail := f.sendAttempt(c, d)
	if fail != nil {
		f.recordFailure(c, d, fail)
		a.body.release(&f.answerMemory)
		return f.awaitReplacement(c)
	}
	return a
}

// startSending reports whether the request may be sent to another endpoint: its own one is
// still silent, and the budget has a retry.
func (f *Forwarder) startSending(w *watchedAttempt, rep *replacement) bool {
	sw := &f.silence
	sw.mu.Lock()
	defer sw.mu.Unlock()
	now := f.cfg.Clock()
	if _, isSilent := sw.detector.Silence(now, w.id); !isSilent || rep.call.ctx.Err() != nil {
		return false
	}
	rep.isSent = f.allowReplacement(now, rep.call, w.hasOutput)
	if rep.isSent {
		w.isSilent = true
		f.dispatchers.get(rep.call.service).recordSilence(now, w.endpoint, w.id)
		f.cfg.Metrics.Add("replacements_sent", 1)
	}
	return rep.isSent
}

// replace cancels a silent attempt in favor of a, unless it has output again. An answer that
// can't go on with the request replaces only an attempt that has ended.
func (f *Forwarder) replace(w *watchedAttempt, rep *replacement, a *attempt) bool {
	sw := &f.silence
	sw.mu.Lock()
	defer sw.mu.Unlock()
	if rep.call.ctx.Err() != nil {
		return false
	}
	if sw.attempts[w.id] == w {
		if !a.hasUsefulOutput() {
			return false
		}
		silence, _ := sw.detector.Silence(f.cfg.Clock(), w.id)
		w.replaced = true
		w.cancel(&silentEndpointError{silence: silence})
	}
	f.cfg.Metrics.Add("attempts_moved", 1)
	return true
}

// hasUsefulOutput reports whether the answer of an attempt succeeds where another attempt may
// still do so. A stream that is resumed may have no more events.
func (a *attempt) hasUsefulOutput() bool {
	if !isSuccess(a.answer.Status) {
		return false
	}
	return a.events == nil || a.firstEvents.count > 0 || a.events.atEnd && a.answer.IsFramed() && a.call.LastEventID != ""
}

// awaitReplacement returns the attempt with which a call goes on whose attempt has ended
// without a complete answer; nil if none replaces it. A replacement that is not sent yet is
// withdrawn, as what ended the attempt may concern the next one too.
func (f *Forwarder) awaitReplacement(c *call) (next *attempt) {
	w := c.watched
	if w == nil {
		return nil
	}
	c.watched = nil
	f.silence.withdrawUnsent(w)
	for _, rep := range w.replacements {
		<-rep.done
		c.recordReplacement(rep)
		if rep.attempt != nil {
			next = rep.attempt
			f.continueWith(c, rep)
		}
	}
	return next
}

// continueWith makes a call go on with the attempt of a replacement.
func (f *Forwarder) continueWith(c *call, rep *replacement) {
	a := rep.attempt
	a.call = c
	c.endpoint, c.sentAt, c.lastOutputAt = rep.call.endpoint, rep.call.sentAt, rep.call.lastOutputAt
	c.weightsVersion, c.suspects = rep.call.weightsVersion, rep.call.suspects
	c.watched = rep.call.watched
}

// recordReplacement adds the sends of a replacement that has ended to those of its call.
func (c *call) recordReplacement(rep *replacement) {
	if rep.call.unknownOutcome != nil {
		c.unknownOutcome = rep.call.unknownOutcome
	}
	c.sendCount += rep.call.sendCount - rep.sendsBefore
	c.triedEndpoints = append(c.triedEndpoints, rep.call.triedEndpoints[rep.triedBefore:]...)
	if c.suspects.probed == nil {
		c.suspects.probed = rep.call.suspects.probed
	}
}

// discardReplacement stops the replacement of an attempt and waits for its end.
func (c *call) discardReplacement() {
	if c.watched == nil {
		return
	}
	for _, rep := range c.watched.replacements {
		rep.cancel(context.Canceled)
		<-rep.done
	}
}

// withdrawUnsent cancels the replacement of an attempt that has ended if it is not sent yet.
func (sw *silenceWatch) withdrawUnsent(w *watchedAttempt) {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	if rep := w.running(); rep != nil && !rep.isSent {
		rep.cancel(context.Canceled)
	}
}

// recordFailedReplacement lets another replacement follow one that failed, if its call may be
// sent again.
func (sw *silenceWatch) recordFailedReplacement(w *watchedAttempt, rep *replacement) {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	w.call.sendCount = rep.call.sendCount
	w.call.triedEndpoints = slices.Clone(rep.call.triedEndpoints)
	w.call.suspects.probed = rep.call.suspects.probed
}
