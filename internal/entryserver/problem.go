package entryserver

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"flamingoledge.org/flamingoledge/pkg/interpreter"
)

// Outcome is reported to a caller and states whether its request was run.
type Outcome string

// Outcomes of a request.
const (
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun means that the request was definitely not run.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeRan means that the request was run and its answer was lost.
	OutcomeRan Outcome = "ran"
)

// Code is the machine-readable code of a problem.
type Code string

// Problem codes.
const (
	CodeBadRequest       Code = "bad_request"
	CodeUnknownPath      Code = "unknown_path"
	CodeUnknownWorkspace Code = "unknown_workspace"
	CodeUnknownService   Code = "unknown_service"
	CodeUnreadableRecord Code = "unreadable_record"
	CodeBodyTooLarge     Code = "body_too_large"
	CodeBodyTimeout      Code = "body_timeout"
	CodeNoMemory         Code = "no_memory"
	CodeKeyMissing       Code = "key_missing"
	CodeKeyRefused       Code = "key_refused"
	CodeKeyReused        Code = "key_reused"
	CodeNoConfiguration  Code = "no_configuration"
	CodeDraining         Code = "draining"
	CodeDeadline         Code = "deadline"
	CodeOverloaded       Code = "overloaded"
	CodeNoEndpoint       Code = "no_endpoint"
	CodeNotRun           Code = "not_run"
	CodeClaimUnavailable Code = "claim_unavailable"
	CodeOutcomeUnknown   Code = "outcome_unknown"
	CodeConvicted        Code = "convicted"
	CodeRanAnswerLost    Code = "ran_answer_lost"
)

// Problem is the error response to a request that has no complete answer.
type Problem struct {
	Status  int
	Code    Code
	Outcome Outcome
	Message string
	// RetryAfter is the time after which the caller should retry; 0 means that it
	// should not.
	RetryAfter time.Duration
	// ClosesConnection is set if the rest of the request is not read.
	ClosesConnection bool
}

// Error implements error.
func (p *Problem) Error() string { return fmt.Sprintf("%s: %s", p.Code, p.Message) }

type problemBody struct {
	Error problemDetail `json:"error"`
}

type problemDetail struct {
	Code             Code    `json:"code"`
	Outcome          Outcome `json:"outcome"`
	Message          string  `json:"message"`
	RequestID        string  `json:"request_id,omitempty"`
	RecordOffset     uint64  `json:"record_offset,omitempty"`
	RetryAfterMillis int64   `json:"retry_after_ms,omitempty"`
}

func writeProblem(ctx *fasthttp.RequestCtx, c *call, p *Problem) {
	detail := problemDetail{
		Code:             p.Code,
		Outcome:          p.Outcome,
		Message:          p.Message,
		RequestID:        c.requestID,
		RecordOffset:     c.target.RecordOffset,
		RetryAfterMillis: p.RetryAfter.Milliseconds(),
	}
	body, err := json.Marshal(problemBody{Error: detail})
	if err != nil {
		body = nil
	}
	ctx.Response.Reset()
	if p.ClosesConnection {
		ctx.SetConnectionClose()
	}
	writeTraceHeaders(ctx, c, p.Outcome)
	if p.RetryAfter > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(p.RetryAfter.Seconds()))))
	}
	ctx.SetStatusCode(p.Status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

func notRun(status int, code Code, retryAfter time.Duration, format string, args ...any) *Problem {
	return &Problem{Status: status, Code: code, Outcome: OutcomeNotRun, Message: fmt.Sprintf(format, args...), RetryAfter: retryAfter}
}

func badRequest(code Code, format string, args ...any) *Problem {
	return notRun(fasthttp.StatusBadRequest, code, 0, format, args...)
}

// resolveProblem returns the problem for an error of Config.Resolve.
func resolveProblem(err error) *Problem {
	var unreadable *interpreter.UnreadableSubjectError
	var unknown *interpreter.UnknownSubjectError
	switch {
	case errors.As(err, &unreadable):
		return notRun(fasthttp.StatusServiceUnavailable, CodeUnreadableRecord, unreadableRetryAfter, "%v", err)
	case errors.As(err, &unknown) && unknown.Service == "":
		return notRun(fasthttp.StatusNotFound, CodeUnknownWorkspace, 0, "%v", err)
	default:
		return notRun(fasthttp.StatusNotFound, CodeUnknownService, 0, "%v", err)
	}
}

// unreadableRetryAfter is the approximate time to replace a binary that does not
// support the schema of a record.
const unreadableRetryAfter = 30 * time.Second
