// Package forwarder forwards callers' requests to endpoints. It resolves the route and
// the workspace, waits for a free slot, makes attempts and forwards the answer. For a
// request without an answer, it reports whether the request may have run. It handles
// HTTP only; the header names of a platform are left to a Translator.
package forwarder

import (
	"net/http"
	"time"

	"flamingoledge.org/flamingoledge/pkg/advisor"
)

// RequestInfo holds the values decoded from a request's headers.
type RequestInfo struct {
	RequestID string
	// Deadline is how long the caller waits for the answer; 0 if unknown.
	Deadline time.Duration
	Key      string
	// LastEventID is the ID of the last event that the caller received of a stream that
	// it resumes.
	LastEventID string
	// PromptTokens and MaxAnswerTokens are token counts, AnswerTokensHint is the
	// caller's estimate of the answer's tokens. They are 0 if unknown.
	PromptTokens     int
	MaxAnswerTokens  int
	AnswerTokensHint int
	Model            string
	// PromptParts identify the parts of the prompt that other requests may share, in order.
	PromptParts []string
}

// Attempt holds the values that an attempt adds to the caller's headers.
type Attempt struct {
	Workspace string
	Endpoint  string
	// Version is the weights version that must run the request; 0 for any.
	Version  uint64
	Deadline time.Duration
	Priority int
	// LastEventID is the ID of the event after which the endpoint resumes a stream;
	// empty to start at the beginning.
	LastEventID string
}

// ResponseInfo holds the values decoded from the status and headers of an endpoint's
// answer.
type ResponseInfo struct {
	RequestID string
	// Signed is set if the answer has the endpoint's signature.
	Signed bool
	// NotRun is set if the endpoint guarantees that it did not run the request.
	NotRun bool
	// Running and Queued are the endpoint's load if HasLoad is set. Slowdown is how long work
	// takes there now, with 1 as usual; 0 if unknown.
	Running  int
	Queued   int
	Slowdown float64
	HasLoad  bool
	// ColdLeft is how long the endpoint stays cold; 0 if the answer does not say.
	ColdLeft time.Duration
	// Advice is what the answer says about the requests that the endpoint accepts.
	Advice advisor.Answer
	// AdviceProblem names a header of Advice that is not plausible and was ignored; empty if
	// there is none.
	AdviceProblem string
}

// Translator converts between the platform's headers and the forwarder's types.
type Translator interface {
	// RequestInfo decodes the headers of a caller's request.
	RequestInfo(h http.Header) RequestInfo
	// Headers derives the headers of an attempt from those of the caller.
	Headers(h http.Header, a Attempt) http.Header
	// ResponseInfo decodes the head of an answer.
	ResponseInfo(status int, h http.Header) ResponseInfo
}
