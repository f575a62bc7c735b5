package forwarder

import (
	"context"
	"errors"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"flamingoledge.org/flamingoledge/internal/drainer"
	"flamingoledge.org/flamingoledge/internal/receiver"
	"flamingoledge.org/flamingoledge/pkg/estimator"
	"flamingoledge.org/flamingoledge/pkg/resolver"
)

// call is the state of one caller's request.
type call struct {
	RequestInfo

	request *http.Request
	target  string
	// conn is the connection of the caller; nil if there is no account of it.
	conn   *receiver.Conn
	body   *receiver.Body
	ctx    context.Context
	cancel context.CancelFunc

	receivedAt time.Time
	// readAt is when the request had been read completely.
	readAt time.Time
	// firstSentAt is when the caller first sent the request, as estimated.
	firstSentAt time.Time
	// answerDeadline is the earlier of the route's timeout and the caller's deadline,
	// for which defaultDeadline is the default.
	answerDeadline time.Time

	route         *resolver.Route
	service       string
	engine        *resolver.Engine
	workspace     *resolver.Workspace
	requiresKey   bool
	configVersion uint64
	configAge     time.Duration
	fingerprint   uint64
	// isFirst is set if the call came on a reused connection: callers send repeats on new ones.
	isFirst  bool
	suspects suspects

	// sendCount is how many endpoints were sent the request. triedEndpoints are the
	// IDs of these and of the endpoints that could not be reached.
	sendCount      int
	triedEndpoints []string
	// weightsVersion is the weights version that the request is pinned to; 0 for any.
	weightsVersion uint64
	endpoint       string
	sentAt         time.Time
	// lastOutputAt is when the endpoint of the current attempt last sent a part of the
	// answer, or when the request was sent to it.
	lastOutputAt time.Time
	waitTime     time.Duration
	// isAdmitted is set once an endpoint was chosen for the call. Another attempt of it is
	// not subject to admission again.
	isAdmitted bool
	// unknownOutcome is the failure of the last attempt that may have run without
	// delivering a complete answer; nil if there was none.
	unknownOutcome error
	// deliveredEvents counts the events that were sent to the caller.
	deliveredEvents int
	// endsWithID is set if the last of them has an ID, after which a stream can be resumed.
	endsWithID bool
	headerSent bool
	// mediaType is the media type of the answer that was begun; empty if it has none.
	mediaType string
	// watched is the current attempt while it may be replaced by another one; nil if it may not.
	watched *watchedAttempt
}

// regions returns the regions whose endpoints may run the request; nil for all. Both the route
// and the workspace may restrict them.
func (c *call) regions() []string {
	if c.workspace == nil || c.workspace.Regions == nil {
		return c.route.Regions
	}
	if c.route.Regions == nil {
		return c.workspace.Regions
	}
	common := []string{}
	for _, region := range c.route.Regions {
		if slices.Contains(c.workspace.Regions, region) {
			common = append(common, region)
		}
	}
	return common
}

func (f *Forwarder) newCall(r *http.Request) *call {
	return &call{
		RequestInfo: f.cfg.Translator.RequestInfo(r.Header), request: r, receivedAt: f.cfg.Clock(), target: r.RequestURI,
		ctx: r.Context(), cancel: func() {}, isFirst: drainer.IsReused(r.Context()), conn: receiver.FromContext(r.Context()),
	}
}

// readRequest reads a caller's request, resolves its route, workspace and service, and
// checks whether it may run.
func (f *Forwarder) readRequest(w http.ResponseWriter, c *call) (p *Problem) {
	now, r := c.receivedAt, c.request
	state := f.cfg.RoutingState()
	if state.Table == nil {
		return notRun(CodeNoConfiguration, noConfigRetryAfter, "no configuration is known yet")
	}
	c.configVersion = state.Table.Configuration().Version
	c.configAge = now.Sub(state.ConfirmedAt)
	if c.route = state.Table.Route(r.Host, r.URL.Path); c.route == nil {
		return f.deny(c, http.StatusNotFound, CodeNoRoute, "no route for this host and path")
	}
	if state.Table.NeedsKey(c.route) {
		c.requiresKey = true
		if c.workspace = state.Table.Workspace(c.Key); c.workspace == nil {
			return f.deny(c, http.StatusUnauthorized, CodeUnknownKey, "the key is not known")
		}
	}
	c.service = c.route.PickService(xxhash.Sum64String(c.RequestID))
	if s := state.Table.Service(c.service); s != nil {
		c.engine = s.Engine
	}
	c.answerDeadline = now.Add(c.Deadline)
	if c.Deadline <= 0 {
		c.answerDeadline = now.Add(defaultDeadline)
	}
	if c.route.Timeout > 0 && now.Add(c.route.Timeout).Before(c.answerDeadline) {
		c.answerDeadline = now.Add(c.route.Timeout)
	}
	if p = f.readBody(w, c, state.Table.Configuration().Limits.MaxBodyBytes); p != nil {
		return p
	}
	c.readAt = f.cfg.Clock()
	f.startEstimator.estimate(c)
	c.ctx, c.cancel = context.WithTimeout(r.Context(), c.answerDeadline.Sub(f.cfg.Clock()))
	if p = f.checkAllowed(c, state); p != nil {
		c.cancel()
		return p
	}
	return nil
}

// deny refuses a request that the configuration does not allow. If the configuration
// may be out of date, the refusal is temporary: the caller may retry.
func (f *Forwarder) deny(c *call, status int, code Code, message string) *Problem {
	if c.configAge > f.cfg.Bounds.Configuration {
		return notRun(CodeStaleConfiguration, noConfigRetryAfter, "%s, but the configuration may be out of date", message)
	}
	return &Problem{Status: status, Code: code, Message: message}
}

// checkAllowed checks the conditions that must hold immediately before each attempt.
func (f *Forwarder) checkAllowed(c *call, state *RoutingState) *Problem {
	if p := f.checkStop(c, f.cfg.Clock()); p != nil {
		return p
	}
	// A retry may follow a crash sooner than the probe of the endpoint finds it. The wait
	// comes first, so that the time that it takes counts in the ages checked below.
	if err := f.cfg.Crashes.AwaitProbes(c.ctx, c.suspects.keys); err != nil {
		return f.canceledProblem(c)
	}
	now := f.cfg.Clock()
	if p := f.checkStop(c, now); p != nil {
		return p
	}
	c.configAge = now.Sub(state.ConfirmedAt)
	if c.requiresKey && c.configAge > f.cfg.Bounds.Revocation {
		return notRun(CodeStaleConfiguration, noConfigRetryAfter, "it is not certain that the key is still valid")
	}
	if c.requiresKey && state.Table.Workspace(c.Key) == nil {
		return f.deny(c, http.StatusUnauthorized, CodeUnknownKey, "the key is not known")
	}
	return f.checkConviction(c)
}

const (
	// defaultDeadline applies to callers that send no deadline.
	defaultDeadline = 30 * time.Second
	// noConfigRetryAfter is about how long it takes until a current configuration is
	// known after a start or the loss of the store.
	noConfigRetryAfter = 500 * time.Millisecond
	// bodyTimeout bounds the time to read a request's body.
	bodyTimeout = 10 * time.Second
	// unreadTimeout bounds the time for which the rest of a refused request's body is awaited, so that
	// the connection can be kept.
	unreadTimeout = time.Second
)

// readBody reads the request's body and computes the request's fingerprint. limit is the
// configured maximum in bytes; 0 for the default.
func (f *Forwarder) readBody(w http.ResponseWriter, c *call, limit int) *Problem {
	maxBytes := f.cfg.MaxBodyBytes
	if limit > 0 {
		maxBytes = int64(limit)
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(min(bodyTimeout, c.answerDeadline.Sub(c.receivedAt))))
	var err error
	if c.body, err = c.conn.ReadBody(c.request.Body, c.request.ContentLength, maxBytes); err != nil {
		return unreadBody(err)
	}
	_ = rc.SetReadDeadline(time.Time{})
	h := xxhash.New()
	_, _ = h.WriteString(c.Key + "\x00" + c.request.Host + c.target + "\x00")
	for _, part := range c.body.Parts() {
		_, _ = h.Write(part)
	}
	c.fingerprint = h.Sum64()
	c.suspects = newSuspects(c)
	return nil
}

// unreadBody returns the problem of a request whose body was not read to its end. The connection can't
// be kept.
func unreadBody(err error) *Problem {
	var tooLarge *receiver.TooLargeError
	var noMemory *receiver.NoMemoryError
	p := &Problem{Status: http.StatusBadRequest, Code: CodeBadRequest, Message: err.Error(), CallerDisconnected: true}
	switch {
	case errors.As(err, &tooLarge):
		p = &Problem{Status: http.StatusRequestEntityTooLarge, Code: CodeBodyTooLarge, Message: err.Error()}
	case errors.As(err, &noMemory):
		p = notRun(CodeNoMemory, noMemory.RetryAfter, "%v", err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		p = &Problem{Status: http.StatusRequestTimeout, Code: CodeBodyTimeout, Message: "the body did not arrive in time"}
	}
	p.ClosesConnection = true
	return p
}

// releaseBody frees the memory of the body at the end of the call.
func (c *call) releaseBody() { c.body.Release() }

// isStream reports whether the answer is forwarded event by event.
func (c *call) isStream() bool { return c.route.Kind == resolver.KindStreaming }

// isRetryable reports whether the call may run once more. A stream of which the caller has a part may
// only if an endpoint can tell after which event it has to go on.
func (c *call) isRetryable() bool {
	return c.route.IsRetryable() && (c.deliveredEvents == 0 || c.endsWithID)
}

// prompt returns the number of prompt tokens, or the service's usual number if the
// caller did not send it.
func (c *call) prompt() int {
	if c.PromptTokens > 0 || c.engine == nil {
		return c.PromptTokens
	}
	return c.engine.MeanPromptTokens
}

// answerTokens returns the expected number of tokens of the answer: the caller's estimate if
// there is one, else the service's usual number, within the caller's limit.
func (c *call) answerTokens() int {
	tokens := c.AnswerTokensHint
	if tokens <= 0 && c.engine != nil {
		tokens = c.engine.MeanAnswerTokens
	}
	if c.MaxAnswerTokens > 0 {
		tokens = min(tokens, c.MaxAnswerTokens)
	}
	return max(tokens, 1)
}

// priorityLevels is the number of priorities of a workspace or a route, 0 to 9.
const priorityLevels = 10

// priority returns the rank of the call among those of its service, 0 to 99 with 0 first. The
// priority of the workspace precedes that of the route, which orders the requests of
// workspaces with the same one. A workspace without a priority has that of the route.
func (c *call) priority() int {
	route := min(max(c.route.Priority, 0), priorityLevels-1)
	first := route
	if c.workspace != nil && c.workspace.HasPriority {
		first = min(max(c.workspace.Priority, 0), priorityLevels-1)
	}
	return first*priorityLevels + route
}

// routeLevels is the number of priorities of routes that an endpoint tells apart within one of
// a workspace.
const routeLevels = 3

// endpointPriority returns the priority by which an endpoint admits the call, 0 to 9 with 0
// first. It orders calls as priority does, but tells fewer apart.
func (c *call) endpointPriority() int {
	first, route := c.priority()/priorityLevels, c.priority()%priorityLevels
	return min(first*routeLevels+min(route, routeLevels-1), priorityLevels-1)
}

// startEstimator is an estimator.Estimator for concurrent use.
type startEstimator struct {
	mu        sync.Mutex
	estimator *estimator.Estimator
}

// estimate sets the call's firstSentAt. A process that has refused nothing expects no repeats,
// but those of callers that others have refused come back at the time they were told.
func (s *startEstimator) estimate(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := c.estimatorRequest()
	shortfall := s.estimator.Shortfall(r)
	if c.firstSentAt = s.estimator.FirstSentAt(c.receivedAt, r); !c.isFirst && !c.isRepeat() && c.isPunctualAfter(shortfall) {
		c.firstSentAt = c.receivedAt.Add(-shortfall)
	}
}

// recordRefusal records that the call was refused, so that its caller may return.
func (s *startEstimator) recordRefusal(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.estimator.RecordRefusal(c.receivedAt, c.estimatorRequest(), c.firstSentAt)
}

func (c *call) estimatorRequest() estimator.Request {
	return estimator.Request{Route: c.route.Name, Fingerprint: c.fingerprint, Deadline: c.Deadline, First: c.isFirst}
}
