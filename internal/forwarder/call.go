package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"flamingoledge.org/flamingoledge/pkg/resolver"
)

// call is one caller's request on its way.
type call struct {
	RequestInfo

	request *http.Request
	target  string
	body    []byte
	ctx     context.Context
	cancel  context.CancelFunc

	arrived time.Time
	// began is when the caller first sent the request, as far as its deadline
	// tells; repeats have less time left.
	began time.Time
	// answerBy is when the caller or the route wants the final answer.
	answerBy time.Time

	route       *resolver.Route
	service     string
	engine      *resolver.Engine
	workspace   *resolver.Workspace
	keyed       bool
	version     uint64 // the configuration's
	proofAge    time.Duration
	fingerprint uint64

	// sends counts the endpoints that the request was sent to, tried names them.
	sends int
	tried []string
	// weights is the version that the request is pinned to; 0 for any.
	weights  uint64
	endpoint string
	sentAt   time.Time
	waited   time.Duration
	// unknown is set once an attempt may have run without an answer.
	unknown error
	// passedOn counts the events that the caller has.
	passedOn int
	headSent bool
}

// take reads a request as far as needed to know whether and where it may run.
func (f *Forwarder) take(w http.ResponseWriter, r *http.Request) (c *call, p *Problem) {
	now := f.cfg.Clock()
	c = &call{RequestInfo: f.cfg.Translator.RequestInfo(r.Header), request: r, arrived: now, target: r.RequestURI, cancel: func() {}}
	b := f.cfg.RoutingState()
	if b.Table == nil {
		return c, notRun(CodeNoConfiguration, unknownRetryAfter, "no configuration is known yet")
	}
	c.version = b.Table.Configuration().Version
	c.proofAge = now.Sub(b.ConfirmedAt)
	if c.route = b.Table.Route(r.Host, r.URL.Path); c.route == nil {
		return c, f.deny(c, http.StatusNotFound, CodeNoRoute, "no route for this host and path")
	}
	if b.Table.NeedsKey(c.route) {
		c.keyed = true
		if c.workspace = b.Table.Workspace(c.Key); c.workspace == nil {
			return c, f.deny(c, http.StatusUnauthorized, CodeUnknownKey, "the key is not known")
		}
	}
	c.service = c.route.Pick(xxhash.Sum64String(c.RequestID))
	if s := b.Table.Service(c.service); s != nil {
		c.engine = s.Engine
	}
	f.patience.note(c)
	c.answerBy = now.Add(c.Deadline)
	if c.Deadline <= 0 {
		c.answerBy = now.Add(defaultDeadline)
	}
	if c.route.Timeout > 0 && now.Add(c.route.Timeout).Before(c.answerBy) {
		c.answerBy = now.Add(c.route.Timeout)
	}
	if p = f.readBody(w, c, b.Table.Configuration().Limits.MaxBodyBytes); p != nil {
		return c, p
	}
	if p = f.mayStart(c, b); p != nil {
		return c, p
	}
	c.ctx, c.cancel = context.WithTimeout(r.Context(), c.answerBy.Sub(f.cfg.Clock()))
	return c, nil
}

// deny refuses a request by the configuration. One that may be out of date denies
// nothing.
func (f *Forwarder) deny(c *call, status int, code Code, message string) *Problem {
	if c.proofAge > f.cfg.Bounds.Configuration {
		return notRun(CodeStaleConfiguration, unknownRetryAfter, "%s, but the configuration may be out of date", message)
	}
	return &Problem{Status: status, Code: code, Message: message}
}

// mayStart checks what must hold right before each attempt.
func (f *Forwarder) mayStart(c *call, b *RoutingState) *Problem {
	now := f.cfg.Clock()
	c.proofAge = now.Sub(b.ConfirmedAt)
	if c.keyed && c.proofAge > f.cfg.Bounds.Revocation {
		return notRun(CodeStaleConfiguration, unknownRetryAfter, "it is not certain that the key is still valid")
	}
	if c.keyed && b.Table.Workspace(c.Key) == nil {
		return f.deny(c, http.StatusUnauthorized, CodeUnknownKey, "the key is not known")
	}
	if f.cfg.Crashes.IsConvicted(c.fingerprint) {
		return notRun(CodeConvicted, convictedRetryAfter, "endpoints broke down under equal requests")
	}
	return nil
}

const (
	// defaultDeadline holds for callers that tell none.
	defaultDeadline = 30 * time.Second
	// unknownRetryAfter is about how long a start or a lost store takes.
	unknownRetryAfter = 500 * time.Millisecond
	// convictedRetryAfter is how long a conviction lasts.
	convictedRetryAfter = 30 * time.Second
	// bodyTimeout bounds the reading of a body.
	bodyTimeout = 10 * time.Second
)

func (f *Forwarder) readBody(w http.ResponseWriter, c *call, limit int) *Problem {
	most := f.cfg.MaxBodyBytes
	if limit > 0 {
		most = int64(limit)
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, c.request.Body, most))
	_ = rc.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &Problem{Status: http.StatusRequestEntityTooLarge, Code: CodeBodyTooLarge, Message: err.Error()}
	case err != nil:
		return &Problem{Status: http.StatusBadRequest, Code: CodeBadRequest, Message: err.Error(), CallerDisconnected: true}
	}
	c.body = body
	h := xxhash.New()
	_, _ = h.WriteString(c.Key + "\x00" + c.request.Host + c.target + "\x00")
	_, _ = h.Write(body)
	c.fingerprint = h.Sum64()
	return nil
}

// isStream tells whether the answer is passed on event by event.
func (c *call) isStream() bool { return c.route.Kind == resolver.KindStreaming }

// prompt is the number of the prompt's tokens, the usual one if it is not told.
func (c *call) prompt() int {
	if c.PromptTokens > 0 || c.engine == nil {
		return c.PromptTokens
	}
	return c.engine.UsualPrompt
}

// priority is the workspace's, or else the route's.
func (c *call) priority() int {
	if c.workspace != nil && c.workspace.HasPriority {
		return c.workspace.Priority
	}
	return c.route.Priority
}

// patience learns how long callers of a route wait, from which repeats are known:
// they have less time left.
type patience struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

// note sets when the call's first attempt began.
func (p *patience) note(c *call) {
	c.began = c.arrived
	if c.Deadline <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.longest == nil {
		p.longest = map[string]time.Duration{}
	}
	longest := max(p.longest[c.route.Name], c.Deadline)
	p.longest[c.route.Name] = longest
	c.began = c.arrived.Add(c.Deadline - longest)
}
