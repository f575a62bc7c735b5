package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"flamingoledge.org/flamingoledge/internal/exchanger"
	"flamingoledge.org/flamingoledge/pkg/balancer"
	"flamingoledge.org/flamingoledge/pkg/resolver"
	"flamingoledge.org/flamingoledge/pkg/retrier"
)

// attempt is one attempt to run a call on an endpoint, with the part of the answer
// that was read.
type attempt struct {
	call       *call
	dispatcher *dispatcher
	// ctx is the context of the exchange, whose cause says why the attempt was canceled.
	ctx context.Context
	// request is the ID by which the dispatcher identifies the call.
	request  uint64
	endpoint balancer.Endpoint
	answer   *exchanger.Response
	// header holds the end-to-end headers of the answer.
	header http.Header
	// body is an answer that was read completely. events reads a streamed answer, of
	// which firstEvents has already been read.
	body        bufferedBody
	events      *eventReader
	firstEvents events
	ended       bool
}

// runAttempts makes attempts until one has an answer to forward or no other attempt is
// allowed.
func (f *Forwarder) runAttempts(c *call) (a *attempt, p *Problem) {
	// failed is the last attempt whose answer is a failure.
	var failed *attempt
	defer func() {
		if failed != nil && a != failed {
			failed.body.release(&f.answerMemory)
		}
	}()
	for {
		d, p := f.acquireEndpoint(c)
		if p != nil {
			return failed.unless(p)
		}
		a, fail := f.sendAttempt(c, d)
		if fail == nil {
			return a, nil
		}
		f.recordFailure(c, d, fail)
		if fail.hasAnswer {
			if failed != nil {
				failed.body.release(&f.answerMemory)
			}
			a.ended, failed = true, a
		}
		if next := f.awaitReplacement(c); next != nil {
			return next, nil
		}
		if p = f.prepareRetry(c, fail); p != nil {
			return failed.unless(p)
		}
	}
}

// unless returns an attempt whose answer is a failure instead of a problem, or the problem if
// there is no such attempt or nobody to answer.
func (a *attempt) unless(p *Problem) (*attempt, *Problem) {
	if a == nil || p.CallerDisconnected {
		return nil, p
	}
	return a, nil
}

// maxLateWait bounds the queueing time of a request that can no longer meet its
// latency objective. It gets only the slots that other requests leave free. See lateWait for
// callers that were refused before.
const maxLateWait = 120 * time.Millisecond

// sendAttempt sends a call to an endpoint and reads its answer until it is known
// whether it can be forwarded.
func (f *Forwarder) sendAttempt(c *call, d balancer.Decision) (a *attempt, fail *failure) {
	now := f.cfg.Clock()
	a = &attempt{call: c, dispatcher: f.dispatchers.get(c.service), request: d.ID, endpoint: d.Endpoint}
	defer func() {
		if fail != nil {
			if !fail.hasAnswer {
				a.body.release(&f.answerMemory)
			}
			f.silence.end(a.request)
		}
	}()
	c.endpoint, c.sentAt, c.lastOutputAt = d.Endpoint.ID, now, now
	if c.engine != nil && c.weightsVersion == 0 {
		c.weightsVersion = d.Endpoint.Version
	}
	f.logRoute(c, d, now)
	info := Attempt{
		Endpoint:    d.Endpoint.ID,
		Version:     c.weightsVersion,
		Deadline:    c.answerDeadline.Sub(now),
		Priority:    c.endpointPriority(),
		LastEventID: c.LastEventID,
	}
	if c.workspace != nil {
		info.Workspace = c.workspace.Name
	}
	delivery := f.newDelivery(c, d.Endpoint)
	var markBegun func()
	a.ctx, markBegun = f.contextUntilBegun(f.silence.watch(now, c, d), c, d, delivery, now)
	defer markBegun()
	if delivery == nil {
		delivery = &exchanger.Delivery{}
	}
	var endDelivery func()
	a.ctx, endDelivery = f.undelivered.add(a.ctx, a.request, d.Endpoint, delivery)
	answer, err := f.cfg.Pool.Exchange(a.ctx, exchanger.Request{
		Address: d.Endpoint.Address,
		Method:  c.request.Method,
		Target:  c.target,
		Host:    c.request.Host,
		Header:  f.cfg.Translator.Headers(c.request.Header, info),
		Body:    c.body.Parts(),
		NewConn: !c.route.IsRetryable() || c.RequestID == "",
		MatchesResponse: func(h http.Header) bool {
			return f.cfg.Translator.ResponseInfo(0, exchanger.EndToEndHeaders(h)).RequestID == c.RequestID
		},
		Delivery: delivery,
	})
	endDelivery()
	if err != nil {
		return a, f.transportFailure(c, a, err)
	}
	c.sendCount++
	a.answer, a.header = answer, exchanger.EndToEndHeaders(answer.Header)
	if fail = f.checkAnswer(c, a); fail != nil {
		answer.Close()
		return a, fail
	}
	firstOutputAt := f.cfg.Clock()
	if !f.recordOutput(a, firstOutputAt) {
		answer.Close()
		return a, f.interruptedAnswer(c, a, context.Cause(a.ctx))
	}
	f.firstByteEstimator.observe(c, firstOutputAt.Sub(now))
	f.recordLateness(c, now, firstOutputAt)
	a.dispatcher.recordFirstOutput(firstOutputAt, a.endpoint.ID, a.request)
	return a, nil
}

// checkAnswer reads an answer until it is known whether it can be forwarded. It returns
// nil if it can.
func (f *Forwarder) checkAnswer(c *call, a *attempt) *failure {
	info := f.cfg.Translator.ResponseInfo(a.answer.Status, a.header)
	if info.HasLoad {
		now := f.cfg.Clock()
		a.dispatcher.updateLoad(now, now, a.endpoint.ID, balancer.Load{Running: info.Running, Queued: info.Queued, Slowdown: info.Slowdown})
	}
	if info.ColdLeft > 0 {
		a.dispatcher.recordCold(f.cfg.Clock(), a.endpoint.ID, a.endpoint.Born, info.ColdLeft)
	}
	f.recordAdvice(a, info)
	status := a.answer.Status
	switch {
	case info.NotRun && a.answer.MayRefuse():
		return f.readRefusal(c, a)
	case info.NotRun:
		return f.interruptedAnswer(c, a, invalidAnswer("status %d of a request that was not run", status))
	case impliesNotRun(status):
		// Callers would take the status as a guarantee that the request has not run,
		// but the endpoint does not confirm that.
		result := balancer.ResultFailed
		if info.Advice.Backoff > 0 {
			result = balancer.ResultRefused
		}
		return &failure{result: result, sent: true, mayHaveRun: true, cause: fmt.Errorf("endpoint failed with status %d", status)}
	case isSuccess(status) && !info.Signed:
		return &failure{result: balancer.ResultFailed, sent: true, mayHaveRun: true, cause: errors.New("the answer is not signed")}
	case isSuccess(status) && !acceptsEncoding(c.request.Header, a.header.Get("Content-Encoding")):
		return f.interruptedAnswer(c, a, invalidAnswer("encoded with %q, which the caller did not ask for", a.header.Get("Content-Encoding")))
	case isSuccess(status) && c.isStream():
		return f.readFirstEvents(c, a)
	default:
		return f.bufferAnswer(c, a)
	}
}

// readRefusal reads an answer by which the endpoint guarantees that it did not run the request. The
// guarantee counts only if the answer is whole and nothing follows it.
func (f *Forwarder) readRefusal(c *call, a *attempt) *failure {
	if err := a.body.readAll(a.answer, &f.answerMemory); err != nil {
		return f.interruptedAnswer(c, a, err)
	}
	status := a.answer.Status
	if a.answer.IsFollowed() {
		return f.interruptedAnswer(c, a, invalidAnswer("bytes after a refusal with status %d", status))
	}
	result := balancer.ResultRefused
	if status == http.StatusMisdirectedRequest {
		result = balancer.ResultMisdirected
	}
	return &failure{result: result, sent: true, cause: fmt.Errorf("endpoint refused with status %d", status)}
}

// invalidAnswer returns the error of an answer that can't be the endpoint's answer to the request.
func invalidAnswer(format string, args ...any) error {
	return &exchanger.InvalidResponseError{Cause: fmt.Errorf(format, args...)}
}

// readFirstEvents reads the first events of a streamed answer.
func (f *Forwarder) readFirstEvents(c *call, a *attempt) *failure {
	isResumption := c.deliveredEvents > 0
	if isResumption && !c.isResumedBy(a) {
		return f.interruptedAnswer(c, a, invalidAnswer("status %d of type %q does not resume a stream", a.answer.Status, a.header.Get("Content-Type")))
	}
	a.events = newEventReader(a.answer, c.LastEventID, isResumption)
	var err error
	if a.firstEvents, err = a.events.next(); err != nil && !errors.Is(err, io.EOF) {
		return f.interruptedAnswer(c, a, err)
	}
	if a.events.atEnd && a.firstEvents.count == 0 && !c.isEndedBy(a) {
		return f.interruptedAnswer(c, a, errNoFirstEvent)
	}
	return nil
}

// isResumedBy reports whether an answer can go on with the stream that the caller has a part of.
func (c *call) isResumedBy(a *attempt) bool {
	mediaType := mediaType(a.header)
	return a.answer.Status == http.StatusOK && (mediaType == "" || c.mediaType == "" || mediaType == c.mediaType)
}

// isEndedBy reports whether an answer without an event is the end of a stream, rather than that of an
// endpoint which crashed before the first event or of something else than a stream.
func (c *call) isEndedBy(a *attempt) bool {
	return a.answer.IsFramed() && (c.mediaType == "" || mediaType(a.header) == c.mediaType)
}

// mediaType returns the media type of an answer without its parameters, in lower case.
func mediaType(h http.Header) string {
	name, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// bufferAnswer reads an answer completely before it is forwarded. A safe request that
// failed on the endpoint is retried if the retry budget allows it.
func (f *Forwarder) bufferAnswer(c *call, a *attempt) *failure {
	if a.answer.Length > maxAnswerBytes && c.request.Method != http.MethodHead {
		return f.interruptedAnswer(c, a, answerTooLarge())
	}
	if err := a.body.readAll(a.answer, &f.answerMemory); err != nil {
		return f.interruptedAnswer(c, a, err)
	}
	if isSuccess(a.answer.Status) {
		f.recordSoundAnswer(c)
	}
	if a.answer.Status < http.StatusInternalServerError {
		return nil
	}
	sends, isReplacing := f.silence.sendCount(c)
	if isReplacing {
		return &failure{result: balancer.ResultFailed, mayHaveRun: true, sent: true, hasAnswer: true, cause: fmt.Errorf("endpoint failed with status %d", a.answer.Status)}
	}
	if c.route.Kind != resolver.KindSafe || sends >= c.route.MaxAttempts {
		return nil
	}
	now := f.cfg.Clock()
	if _, refusal := f.retryBudgets.get(now, c.service).AllowRetry(now, c.answerDeadline, c.sendCount); refusal != retrier.RefusalNone {
		return nil
	}
	return &failure{result: balancer.ResultFailed, mayHaveRun: true, sent: true, hasAnswer: true, cause: errRetryGranted}
}

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// acceptsEncoding reports whether the sender of a request asked for a content encoding. Without
// Accept-Encoding, it wants none.
func acceptsEncoding(request http.Header, encoding string) bool {
	if encoding == "" || strings.EqualFold(encoding, "identity") {
		return true
	}
	for _, list := range request["Accept-Encoding"] {
		for name := range strings.SplitSeq(list, ",") {
			if name, _, _ = strings.Cut(name, ";"); strings.EqualFold(strings.TrimSpace(name), encoding) {
				return true
			}
		}
	}
	return false
}

// impliesNotRun reports whether callers take a status as a guarantee that the request
// has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// endAttempt closes the answer of an attempt and records its result with the
// dispatcher. Further calls have no effect.
func (f *Forwarder) endAttempt(a *attempt, r balancer.Result) {
	if a.ended {
		return
	}
	a.ended = true
	if a.answer != nil {
		a.answer.Close()
	}
	f.silence.end(a.request)
	a.dispatcher.recordEnd(f.cfg.Clock(), a.endpoint.ID, a.request, r)
}

// recordOutput records that a part of an attempt's answer has arrived. It returns false if the
// call goes on with another attempt, so that the part must not be used.
func (f *Forwarder) recordOutput(a *attempt, now time.Time) bool {
	ok, wasSilent := f.silence.recordOutput(now, a.request)
	if !ok {
		return false
	}
	a.call.lastOutputAt = now
	if wasSilent {
		a.dispatcher.recordFirstOutput(now, a.endpoint.ID, a.request)
	}
	return true
}
