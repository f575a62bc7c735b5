package forwarder

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"flamingoledge.org/flamingoledge/internal/exchanger"
	"flamingoledge.org/flamingoledge/pkg/balancer"
	"flamingoledge.org/flamingoledge/pkg/resolver"
	"flamingoledge.org/flamingoledge/pkg/retrier"
)

// attempt is one send of a call to an endpoint, with the answer as far as it was
// read.
type attempt struct {
	gate     *gate
	request  uint64
	endpoint balancer.Endpoint
	answer   *exchanger.Response
	// body is a whole answer, events the stream of one that is passed on as it
	// comes, with first read already.
	body   []byte
	events *eventReader
	first  events
	ended  bool
}

// obtain makes attempts until one has an answer to pass on or there is a final
// word.
func (f *Forwarder) obtain(c *call) (*attempt, *Problem) {
	for {
		d, p := f.place(c)
		if p != nil {
			return nil, p
		}
		a, fail := f.send(c, d)
		if fail == nil {
			return a, nil
		}
		f.noteFailure(c, d, fail)
		if p = f.mayRetry(c, fail); p != nil {
			return nil, p
		}
	}
}

// lateWait is how long a request waits that can't meet its objective any more; it
// gets the places that the others leave.
const lateWait = 120 * time.Millisecond

// send sends a call to an endpoint and reads its answer as far as needed to know
// that it can be passed on.
func (f *Forwarder) send(c *call, d balancer.Decision) (a *attempt, fail *failure) {
	a = &attempt{gate: f.gates.of(c.service), request: d.ID, endpoint: d.Endpoint}
	now := f.cfg.Clock()
	c.endpoint, c.sentAt = d.Endpoint.ID, now
	if c.engine != nil && c.weights == 0 {
		c.weights = d.Endpoint.Version
	}
	f.logRoute(c, d)
	at := Attempt{
		Endpoint:  d.Endpoint.ID,
		Version:   c.weights,
		Deadline:  c.answerBy.Sub(now),
		Priority:  c.priority(),
		LastEvent: c.LastEvent,
	}
	if c.workspace != nil {
		at.Workspace = c.workspace.Name
	}
	ctx, begun := f.untilBegun(c, d.Endpoint, now)
	defer begun()
	answer, err := f.cfg.Pool.Exchange(ctx, exchanger.Request{
		Address:         d.Endpoint.Address,
		Method:          c.request.Method,
		Target:          c.target,
		Host:            c.request.Host,
		Header:          f.cfg.Translator.Headers(c.request.Header, at),
		Body:            c.body,
		NewConn:         !c.route.MayRepeat(),
		MatchesResponse: func(h http.Header) bool { return f.cfg.Translator.Head(0, h).RequestID == c.RequestID },
	})
	if err != nil {
		return a, notBegunOr(ctx, f.transportFailure(c, a, err))
	}
	c.sends++
	a.answer = answer
	if fail = f.judge(c, a); fail != nil {
		answer.Close()
		return a, notBegunOr(ctx, fail)
	}
	began := f.cfg.Clock()
	f.paces.note(c, began.Sub(now))
	a.gate.began(began, a.endpoint.ID, a.request)
	return a, nil
}

// judge reads an answer until it is known whether it can be passed on.
func (f *Forwarder) judge(c *call, a *attempt) *failure {
	head := f.cfg.Translator.Head(a.answer.Status, a.answer.Header)
	if head.LoadTold {
		now := f.cfg.Clock()
		a.gate.report(now, now, a.endpoint.ID, balancer.Load{Running: head.Running, Queued: head.Queued})
	}
	status := a.answer.Status
	switch {
	case head.NotRun && status >= http.StatusBadRequest:
		return &failure{result: balancer.ResultRefused, sent: true, cause: fmt.Errorf("endpoint refused with status %d", status)}
	case isPromise(status):
		// Without the endpoint's word that it did not run, this would promise
		// too much.
		return &failure{result: balancer.ResultFailed, sent: true, mayHaveRun: true, cause: fmt.Errorf("endpoint failed with status %d", status)}
	case isSuccess(status) && !head.Signed:
		return &failure{result: balancer.ResultFailed, sent: true, mayHaveRun: true, cause: errors.New("the answer is not signed")}
	case isSuccess(status) && c.isStream():
		a.events = newEventReader(a.answer, c.LastEvent)
		var err error
		if a.first, err = a.events.next(); err != nil && !errors.Is(err, io.EOF) {
			return f.brokenOff(c, a, err)
		}
		return nil
	default:
		return f.readWhole(c, a)
	}
}

// readWhole reads an answer that is passed on as a whole. A safe request that the
// endpoint failed is repeated where the budget allows.
func (f *Forwarder) readWhole(c *call, a *attempt) *failure {
	var err error
	if a.body, err = io.ReadAll(io.LimitReader(a.answer, maxWholeBytes)); err != nil {
		return f.brokenOff(c, a, err)
	}
	if a.answer.Status < http.StatusInternalServerError || c.route.Kind != resolver.KindSafe || c.sends >= c.route.MaxAttempts {
		return nil
	}
	now := f.cfg.Clock()
	if _, why := f.budgets.of(now, c.service).Retry(now, c.answerBy, c.sends); why != retrier.RefusalNone {
		return nil
	}
	return &failure{result: balancer.ResultFailed, mayHaveRun: true, sent: true, cause: errRepeatable}
}

// maxWholeBytes bounds an answer that is read before it is passed on.
const maxWholeBytes = 32 << 20

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// isPromise tells whether callers take a status for the promise that the request
// has not run.
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// end ends an attempt at its endpoint, once.
func (f *Forwarder) end(a *attempt, r balancer.Result) {
	if a.ended {
		return
	}
	a.ended = true
	if a.answer != nil {
		a.answer.Close()
	}
	a.gate.ended(f.cfg.Clock(), a.endpoint.ID, a.request, r)
}
