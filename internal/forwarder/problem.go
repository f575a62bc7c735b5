package forwarder

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/logger"
)

// Code identifies a kind of problem to client programs.
type Code string

// Problem codes.
const (
	CodeBadRequest         Code = "bad_request"
	CodeBodyTooLarge       Code = "body_too_large"
	CodeBodyTimeout        Code = "body_timeout"
	CodeNoMemory           Code = "no_memory"
	CodeNoRoute            Code = "no_route"
	CodeUnknownKey         Code = "unknown_key"
	CodeNoConfiguration    Code = "no_configuration"
	CodeStaleConfiguration Code = "stale_configuration"
	CodeConvicted          Code = "convicted"
	CodeBusy               Code = "busy"
	CodeNoEndpoint         Code = "no_endpoint"
	CodeStopping           Code = "stopping"
	CodeDeadline           Code = "deadline"
	CodeUnknownOutcome     Code = "outcome_unknown"
	CodeTimeout            Code = "timeout"
	CodeCallerDisconnected Code = "caller_left"
)

// Problem is the final result of a request that has no answer from an endpoint.
type Problem struct {
	Status  int
	Code    Code
	Message string
	// RetryAfter is the delay after which the caller may retry; 0 if it should not.
	RetryAfter time.Duration
	// CallerDisconnected is set if the caller no longer reads the answer.
	CallerDisconnected bool
	// ClosesConnection is set if the rest of the request is not read.
	ClosesConnection bool
}

// Error implements error.
func (p *Problem) Error() string { return fmt.Sprintf("%s: %s", p.Code, p.Message) }

// notRun returns a refusal that guarantees that the request has not run and will not
// run.
func notRun(code Code, retryAfter time.Duration, format string, args ...any) *Problem {
	return &Problem{Status: http.StatusServiceUnavailable, Code: code, RetryAfter: retryAfter, Message: fmt.Sprintf(format, args...)}
}

type problemBody struct {
	Error problemDetail `json:"error"`
}

type problemDetail struct {
	Code      Code   `json:"code"`
	Message   string `json:"message"`
	RequestID string `json:"request_id,omitempty"`
}

// writeProblem logs a problem and sends it to the caller. It panics with
// http.ErrAbortHandler if an answer has already begun or the caller disconnected.
func (f *Forwarder) writeProblem(w http.ResponseWriter, c *call, p *Problem) {
	f.cfg.Metrics.Add("refused_"+string(p.Code), 1)
	fields := append(f.logFields(c), zap.String("code", string(p.Code)), zap.Int("status", p.Status),
		zap.Duration("retry_after", p.RetryAfter), zap.String("reason", p.Message))
	event := logger.RequestRefused
	if p.Status == http.StatusBadGateway || p.Status == http.StatusGatewayTimeout {
		event = logger.RequestUnknown
	}
	logger.Log(f.cfg.Logger, event, fields...)
	if p.RetryAfter > 0 && c.route != nil && c.fingerprint != 0 {
		f.startEstimator.recordRefusal(c)
	}
	if c.headerSent || p.CallerDisconnected {
		// The connection closes before the end of the body, so that the caller cannot
		// take the answer as complete. HTTP/1.0 has no other end than that of the connection.
		if !c.request.ProtoAtLeast(1, 1) {
			c.conn.ResetOnClose()
		}
		panic(http.ErrAbortHandler)
	}
	body, err := json.Marshal(problemBody{Error: problemDetail{Code: p.Code, Message: p.Message, RequestID: c.RequestID}})
	if err != nil {
		body = nil
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if p.ClosesConnection {
		h.Set("Connection", "close")
	}
	if p.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(p.RetryAfter.Seconds(), 'f', 2, 64))
	}
	rc := http.NewResponseController(w)
	_ = rc.SetWriteDeadline(time.Now().Add(writeTimeout))
	if c.body == nil && !p.ClosesConnection {
		_ = rc.SetReadDeadline(time.Now().Add(unreadTimeout))
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(body)
}

// recoverHandler logs a panic of the handler, which is a fault of this program, and reports
// an unknown outcome to the caller. An http.ErrAbortHandler is raised again.
func (f *Forwarder) recoverHandler(w http.ResponseWriter, c *call) {
	cause := recover()
	if cause == nil {
		return
	}
	if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(http.ErrAbortHandler)
	}
	f.recordPanic(c, cause)
	f.writeProblem(w, c, &Problem{Status: http.StatusBadGateway, Code: CodeUnknownOutcome, Message: "internal error; the request may have run"})
}

// recordPanic counts and logs a fault of this program.
func (f *Forwarder) recordPanic(c *call, cause any) {
	f.cfg.Metrics.Add("handler_panics", 1)
	logger.Log(f.cfg.Logger, logger.HandlerPanicked, append(f.logFields(c), zap.Any("panic", cause), zap.Stack("stack"))...)
}

// logFields returns the log fields that identify a call and its state.
func (f *Forwarder) logFields(c *call) []zap.Field {
	now := f.cfg.Clock()
	fields := []zap.Field{
		zap.String("request_id", c.RequestID), zap.Uint64("config_version", c.configVersion),
		zap.Duration("config_age", c.configAge), zap.Duration("taken", now.Sub(c.receivedAt)),
	}
	if c.route != nil {
		fields = append(fields, zap.String("route", c.route.Name), zap.String("service", c.service))
	}
	if c.workspace != nil {
		fields = append(fields, zap.String("workspace", c.workspace.Name))
	}
	if c.sendCount > 0 {
		fields = append(fields, zap.String("endpoint", c.endpoint), zap.Int("sends", c.sendCount), zap.Duration("silence", now.Sub(c.lastOutputAt)))
	}
	return fields
}
