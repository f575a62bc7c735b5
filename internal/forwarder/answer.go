package forwarder

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/pkg/balancer"
)

// writeTimeout bounds each write to a caller, which may have stopped reading.
const writeTimeout = 10 * time.Second

// writeHeader sends the status and headers of an attempt's answer to the caller. A
// negative length omits Content-Length.
func (f *Forwarder) writeHeader(w http.ResponseWriter, c *call, a *attempt, length int) {
	h := w.Header()
	for k, v := range a.header {
		h[k] = v
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.Itoa(length))
	}
	if f.isStopping() {
		h.Set("Connection", "close")
	}
	c.headerSent, c.mediaType = true, mediaType(a.header)
	w.WriteHeader(a.answer.Status)
}

// deliverBuffered sends an answer that was read completely to the caller.
func (f *Forwarder) deliverBuffered(w http.ResponseWriter, c *call, a *attempt) {
	result := balancer.ResultAnswered
	if a.answer.Status >= http.StatusInternalServerError {
		result = balancer.ResultFailed
	}
	f.endAttempt(a, result)
	defer a.body.release(&f.answerMemory)
	length := len(a.body.data)
	if c.request.Method == http.MethodHead {
		length = int(a.answer.Length)
	}
	f.writeHeader(w, c, a, length)
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	//nolint:gosec // The endpoint's answer is forwarded to its caller unchanged.
	_, err := w.Write(a.body.data)
	f.logAnswered(c, a, err)
}

// deliverStream forwards a stream event by event. If the stream is interrupted, it is
// resumed on another endpoint if the route allows that. Otherwise, the connection is
// closed before the end of the body.
func (f *Forwarder) deliverStream(w http.ResponseWriter, c *call, a *attempt) {
	f.writeHeader(w, c, a, -1)
	rc := http.NewResponseController(w)
	batch, err := a.firstEvents, error(nil)
	for {
		if writeErr := f.writeEvents(w, rc, c, batch); writeErr != nil {
			f.endAttempt(a, balancer.ResultCanceled)
			f.writeProblem(w, c, &Problem{Code: CodeCallerDisconnected, Message: writeErr.Error(), CallerDisconnected: true})
		}
		f.silence.recordDelivery(f.cfg.Clock(), a.request, c)
		if a.events.atEnd {
			if a.events.hasEvents && a.answer.IsFramed() {
				f.recordSoundAnswer(c)
			}
			f.endAttempt(a, balancer.ResultAnswered)
			f.logAnswered(c, a, nil)
			return
		}
		batch, err = a.events.next()
		if isOutput := err == nil || errors.Is(err, io.EOF); isOutput && f.recordOutput(a, f.cfg.Clock()) {
			if batch.count > 0 {
				f.recordSoundAnswer(c)
			}
			continue
		}
		if a = f.resumeStream(w, c, a, err); a == nil {
			return
		}
		batch = a.firstEvents
	}
}

// writeEvents sends a batch of events to the caller.
func (f *Forwarder) writeEvents(w http.ResponseWriter, rc *http.ResponseController, c *call, batch events) error {
	if len(batch.data) == 0 {
		return nil
	}
	_ = rc.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := w.Write(batch.data); err != nil {
		return err
	}
	c.deliveredEvents += batch.count
	if batch.count > 0 {
		c.endsWithID = batch.endsWithID
	}
	if batch.lastID != "" {
		c.LastEventID = batch.lastID
	}
	return rc.Flush()
}

// resumeStream resumes an interrupted stream on another endpoint with the same
// version. If that fails, writeProblem aborts the handler and resumeStream does not
// return.
func (f *Forwarder) resumeStream(w http.ResponseWriter, c *call, a *attempt, cause error) *attempt {
	fail := f.interruptedAnswer(c, a, cause)
	f.endAttempt(a, fail.result)
	c.unknownOutcome = fail
	c.triedEndpoints = append(c.triedEndpoints, a.endpoint.ID)
	logger.Log(f.cfg.Logger, logger.AttemptFailed, append(f.logFields(c),
		zap.Bool("may_have_run", true), zap.Int("events", c.deliveredEvents), zap.String("cause", fail.Error()))...)
	next := f.awaitReplacement(c)
	if next == nil {
		p := f.prepareRetry(c, fail)
		if p == nil {
			next, p = f.runAttempts(c)
		}
		if p != nil {
			f.writeProblem(w, c, p)
			return nil
		}
	}
	if next.events == nil {
		f.endAttempt(next, balancer.ResultFailed)
		next.body.release(&f.answerMemory)
		f.writeProblem(w, c, &Problem{Status: http.StatusBadGateway, Code: CodeUnknownOutcome, Message: "the stream can't go on"})
		return nil
	}
	logger.Log(f.cfg.Logger, logger.AnswerResumed, append(f.logFields(c), zap.Int("events", c.deliveredEvents), zap.String("last_event", c.LastEventID))...)
	return next
}

// logAnswered counts and logs an answer that was sent to the caller; err is the error
// of the write, if any.
func (f *Forwarder) logAnswered(c *call, a *attempt, err error) {
	f.cfg.Metrics.Add("answered", 1)
	elapsed := f.cfg.Clock().Sub(c.receivedAt)
	f.latency.observe(c, elapsed)
	fields := append(f.logFields(c), zap.Int("status", a.answer.Status), zap.Int("events", c.deliveredEvents), zap.Duration("waited", c.waitTime))
	if err != nil {
		fields = append(fields, zap.Error(err))
	}
	logger.Log(f.cfg.Logger, logger.RequestAnswered, fields...)
}
