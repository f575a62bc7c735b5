package forwarder

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/exchanger"
	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/pkg/balancer"
)

// writeTimeout bounds how long a caller may take no bytes.
const writeTimeout = 10 * time.Second

// writeHead passes the head of an answer on.
func (f *Forwarder) writeHead(w http.ResponseWriter, c *call, a *attempt, length int) {
	h := w.Header()
	for k, v := range exchanger.EndToEndHeaders(a.answer.Header) {
		h[k] = v
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.Itoa(length))
	}
	if f.leaving.Load() {
		h.Set("Connection", "close")
	}
	c.headSent = true
	w.WriteHeader(a.answer.Status)
}

// deliverWhole passes an answer on that was read as a whole.
func (f *Forwarder) deliverWhole(w http.ResponseWriter, c *call, a *attempt) {
	result := balancer.ResultAnswered
	if a.answer.Status >= http.StatusInternalServerError {
		result = balancer.ResultFailed
	}
	f.end(a, result)
	f.writeHead(w, c, a, len(a.body))
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	//nolint:gosec // An endpoint's answer goes to its caller unchanged, whatever it is.
	_, err := w.Write(a.body)
	f.logAnswered(c, a, err)
}

// deliverStream passes a stream on as it comes. One that breaks off goes on at
// another endpoint where that is allowed; else the connection ends without the
// end of the body.
func (f *Forwarder) deliverStream(w http.ResponseWriter, c *call, a *attempt) {
	f.writeHead(w, c, a, -1)
	rc := http.NewResponseController(w)
	es, err := a.first, error(nil)
	for {
		if werr := f.passOn(w, rc, c, es); werr != nil {
			f.end(a, balancer.ResultLeft)
			f.refuse(w, c, &Problem{Code: CodeCallerLeft, Message: werr.Error(), CallerLeft: true})
		}
		if a.events.done {
			f.end(a, balancer.ResultAnswered)
			f.logAnswered(c, a, nil)
			return
		}
		if es, err = a.events.next(); err == nil || errors.Is(err, io.EOF) {
			continue
		}
		if a = f.resume(w, c, a, err); a == nil {
			return
		}
		es = a.first
	}
}

func (f *Forwarder) passOn(w http.ResponseWriter, rc *http.ResponseController, c *call, es events) error {
	if len(es.data) == 0 {
		return nil
	}
	_ = rc.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := w.Write(es.data); err != nil {
		return err
	}
	c.passedOn += es.count
	if es.last != "" {
		c.LastEvent = es.last
	}
	return rc.Flush()
}

// resume goes on with a stream that broke off, at another endpoint with the same
// version. It does not return if that can't be.
func (f *Forwarder) resume(w http.ResponseWriter, c *call, a *attempt, cause error) *attempt {
	fail := f.brokenOff(c, a, cause)
	f.end(a, fail.result)
	c.unknown = fail
	c.tried = append(c.tried, a.endpoint.ID)
	logger.Log(f.cfg.Logger, logger.AttemptFailed, append(f.describe(c),
		zap.Bool("may_have_run", true), zap.Int("events", c.passedOn), zap.String("cause", fail.Error()))...)
	if p := f.mayRetry(c, fail); p != nil {
		f.refuse(w, c, p)
		return nil
	}
	next, p := f.obtain(c)
	if p != nil {
		f.refuse(w, c, p)
		return nil
	}
	if next.events == nil {
		f.end(next, balancer.ResultFailed)
		f.refuse(w, c, &Problem{Status: http.StatusBadGateway, Code: CodeUnknownOutcome, Message: "the stream can't go on"})
		return nil
	}
	logger.Log(f.cfg.Logger, logger.AnswerResumed, append(f.describe(c), zap.Int("events", c.passedOn), zap.String("last_event", c.LastEvent))...)
	return next
}

func (f *Forwarder) logAnswered(c *call, a *attempt, err error) {
	f.cfg.Metrics.Add("answered", 1)
	taken := f.cfg.Clock().Sub(c.arrived)
	f.latency.note(c, taken)
	fields := append(f.describe(c), zap.Int("status", a.answer.Status), zap.Int("events", c.passedOn), zap.Duration("waited", c.waited))
	if err != nil {
		fields = append(fields, zap.Error(err))
	}
	logger.Log(f.cfg.Logger, logger.RequestAnswered, fields...)
}
