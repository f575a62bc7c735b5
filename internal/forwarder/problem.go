package forwarder

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/logger"
)

// Code names a problem for programs.
type Code string

// Codes of problems.
const (
	CodeBadRequest         Code = "bad_request"
	CodeBodyTooLarge       Code = "body_too_large"
	CodeNoRoute            Code = "no_route"
	CodeUnknownKey         Code = "unknown_key"
	CodeNoConfiguration    Code = "no_configuration"
	CodeStaleConfiguration Code = "stale_configuration"
	CodeConvicted          Code = "convicted"
	CodeBusy               Code = "busy"
	CodeNoEndpoint         Code = "no_endpoint"
	CodeDeadline           Code = "deadline"
	CodeUnknownOutcome     Code = "outcome_unknown"
	CodeTimeout            Code = "timeout"
	CodeCallerDisconnected Code = "caller_left"
)

// Problem is the final word on a request without an answer of an endpoint.
type Problem struct {
	Status  int
	Code    Code
	Message string
	// RetryAfter tells when to come back; 0 means not to.
	RetryAfter time.Duration
	// CallerDisconnected says that nobody reads the answer.
	CallerDisconnected bool
}

// Error implements error.
func (p *Problem) Error() string { return fmt.Sprintf("%s: %s", p.Code, p.Message) }

// notRun is a refusal that promises that the request has not run and will not.
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

// refuse gives the caller the final word and logs what it was decided by.
func (f *Forwarder) refuse(w http.ResponseWriter, c *call, p *Problem) {
	f.cfg.Metrics.Add("refused_"+string(p.Code), 1)
	fields := append(f.describe(c), zap.String("code", string(p.Code)), zap.Int("status", p.Status),
		zap.Duration("retry_after", p.RetryAfter), zap.String("reason", p.Message))
	event := logger.RequestRefused
	if p.Status == http.StatusBadGateway || p.Status == http.StatusGatewayTimeout {
		event = logger.RequestUnknown
	}
	logger.Log(f.cfg.Logger, event, fields...)
	if c.headSent || p.CallerDisconnected {
		// The connection ends without the end of the body, so that nobody can
		// take the answer for whole.
		panic(http.ErrAbortHandler)
	}
	body, err := json.Marshal(problemBody{Error: problemDetail{Code: p.Code, Message: p.Message, RequestID: c.RequestID}})
	if err != nil {
		body = nil
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if p.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(p.RetryAfter.Seconds(), 'f', 2, 64))
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(body)
}

// describe returns what identifies a call in the log.
func (f *Forwarder) describe(c *call) []zap.Field {
	fields := []zap.Field{
		zap.String("request_id", c.RequestID), zap.Uint64("config_version", c.version),
		zap.Duration("config_age", c.proofAge), zap.Duration("taken", f.cfg.Clock().Sub(c.arrived)),
	}
	if c.route != nil {
		fields = append(fields, zap.String("route", c.route.Name), zap.String("service", c.service))
	}
	if c.workspace != nil {
		fields = append(fields, zap.String("workspace", c.workspace.Name))
	}
	if c.sends > 0 {
		fields = append(fields, zap.String("endpoint", c.endpoint), zap.Int("sends", c.sends))
	}
	return fields
}
