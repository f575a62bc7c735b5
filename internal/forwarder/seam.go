// Package forwarder takes callers' requests and sends each to an endpoint: it
// finds route and workspace, waits for a place, begins attempts, passes answers
// on and says what is certain about requests without one. It knows HTTP but no
// names of a platform; those come through Translator.
package forwarder

import (
	"net/http"
	"time"
)

// RequestInfo is what the headers of a request say.
type RequestInfo struct {
	RequestID string
	// Deadline is how long the caller waits; 0 if it did not tell.
	Deadline time.Duration
	Key      string
	// LastEventID is the last event that the caller has of a resumed stream.
	LastEventID string
	// PromptTokens and MaxAnswerTokens are token counts, AnswerTokensHint is the caller's estimate
	// of the answer's tokens. They are 0 if not told.
	PromptTokens     int
	MaxAnswerTokens  int
	AnswerTokensHint int
	Model            string
}

// Attempt is what one attempt adds to the caller's headers.
type Attempt struct {
	Workspace string
	Endpoint  string
	// Version is the version of the weights that must run it; 0 for any.
	Version  uint64
	Deadline time.Duration
	Priority int
	// LastEventID is set to go on after that event.
	LastEventID string
}

// ResponseInfo is what the head of an endpoint's answer says.
type ResponseInfo struct {
	RequestID string
	// Signed says that the endpoint vouches for the answer.
	Signed bool
	// NotRun says that the endpoint certainly did not run the request.
	NotRun bool
	// Running and Queued are the endpoint's load if HasLoad.
	Running int
	Queued  int
	HasLoad bool
}

// Translator is the seam to a platform's names.
type Translator interface {
	// RequestInfo decodes a caller's headers.
	RequestInfo(h http.Header) RequestInfo
	// Headers returns the headers of an attempt from the caller's.
	Headers(h http.Header, a Attempt) http.Header
	// ResponseInfo decodes the head of an answer.
	ResponseInfo(status int, h http.Header) ResponseInfo
}
