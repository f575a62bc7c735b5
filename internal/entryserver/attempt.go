package entryserver

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"storj.io/drpc/drpcconn"

	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/internal/messenger"
	"flamingoledge.org/flamingoledge/internal/refuser"
	"flamingoledge.org/flamingoledge/pkg/retrier"
	"flamingoledge.org/flamingoledge/pkg/router"
)

// attemptError is the failure of an attempt that returned no complete answer.
type attemptError struct {
	outcome messenger.Outcome
	reason  string
	// owner is the sidecar that holds the claim on the idempotency key, if the
	// reply named it.
	owner string
	// endpointFault is true if the endpoint or its sidecar caused the failure.
	endpointFault bool
	cause         error
}

// Error implements error.
func (e *attemptError) Error() string {
	if e.cause != nil {
		return e.reason + ": " + e.cause.Error()
	}
	return e.reason
}

// isClaimed reports whether another attempt holds the claim on the idempotency
// key. In that case only the owner of the claim can have the answer.
func (e *attemptError) isClaimed() bool {
	return e.outcome == messenger.Outcome_OUTCOME_RAN_ANSWER_LOST || e.reason == refuser.ReasonClaimedElsewhere
}

// attempt is one execution of a call on one endpoint.
type attempt struct {
	id         string
	endpoint   *router.Endpoint
	group      router.GroupKey
	conn       *drpcconn.Conn
	stream     messenger.DRPCExecution_RunClient
	cancel     context.CancelFunc
	firstFrame []byte
	isComplete bool
	replayed   bool
	ended      bool
	// startedAt, firstFrameAt and replies are the input of recordLatency.
	startedAt    time.Time
	firstFrameAt time.Time
	replies      int
	// load is the load that the sidecar reported with its last reply.
	load *messenger.Load
}

// startAttempt sends a call to an endpoint and waits for the first frame of the
// answer.
func (s *Server) startAttempt(ctx context.Context, c *call, choice router.Choice) (*attempt, *attemptError) {
	a := &attempt{id: uuid.Must(uuid.NewV7()).String(), endpoint: choice.Endpoint, group: c.group()}
	c.attempts++
	c.attemptID = a.id
	c.endpoint = choice.Endpoint.Instance
	c.reason = string(choice.Reason)
	s.logRoute(c, a, choice)
	choice.Endpoint.Begin()
	startedAt := time.Now()
	if err := s.sendRequest(ctx, c, a); err != nil {
		s.endAttempt(a, err)
		return nil, err
	}
	if err := a.awaitFirstFrame(); err != nil {
		s.endAttempt(a, err)
		return nil, err
	}
	a.startedAt, a.firstFrameAt = startedAt, time.Now()
	return a, nil
}

// recordLatency records the latency of the endpoint in the routing table: the mean time
// between the frames of a stream, or the time until an answer that has a single frame.
func (s *Server) recordLatency(a *attempt) {
	now := time.Now()
	interval := a.firstFrameAt.Sub(a.startedAt)
	if a.replies > 1 {
		interval = now.Sub(a.firstFrameAt) / time.Duration(a.replies-1)
	}
	s.board.View().table.RecordLatency(now, a.group, a.endpoint, interval)
}

// logRoute logs the routing decision for an attempt.
func (s *Server) logRoute(c *call, a *attempt, choice router.Choice) {
	logger.Log(s.cfg.Logger, logger.RouteChosen,
		zap.String("request_id", c.requestID),
		zap.String("attempt_id", a.id),
		zap.String("workspace", c.workspace),
		zap.String("service", c.service),
		zap.String("endpoint", choice.Endpoint.Instance),
		zap.String("reason", string(choice.Reason)),
		zap.Float64("cost", choice.Cost),
		zap.Float64("other_cost", choice.OtherCost),
		zap.String("version_digest", c.version),
		zap.Uint64("record_offset", c.target.RecordOffset))
}

// sendRequest sends the request. If it fails before the first byte is sent, the
// outcome is NOT_RUN.
func (s *Server) sendRequest(ctx context.Context, c *call, a *attempt) *attemptError {
	ctx, a.cancel = context.WithDeadline(ctx, c.deadline)
	var err error
	if a.conn, err = s.conns.Get(ctx, a.endpoint.Address); err != nil {
		return &attemptError{outcome: messenger.Outcome_OUTCOME_NOT_RUN, reason: "sidecar_unreachable", endpointFault: true, cause: err}
	}
	a.stream, err = messenger.NewDRPCExecutionClient(a.conn).Run(ctx, &messenger.RunRequest{
		RequestId:         c.requestID,
		AttemptId:         a.id,
		Workspace:         c.workspace,
		Service:           c.service,
		Model:             c.target.Model,
		VersionDigest:     c.version,
		Adapter:           c.target.Adapter,
		RecordOffset:      c.target.RecordOffset,
		DeadlineUnixNanos: c.deadline.UnixNano(),
		IdempotencyKey:    c.idempotencyKey,
		Priority:          int32(c.target.Workspace.Priority),
		Body:              c.body,
		Alone:             c.isolated,
		ResumeFrom:        uint32(c.framesSent),
	})
	if err != nil {
		return answerLostError(err)
	}
	return nil
}

// answerLostError returns the error of an attempt whose stream failed before the end
// of the answer. The endpoint is at fault unless the context ended.
func answerLostError(err error) *attemptError {
	endpointFault := !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, context.Canceled)
	return &attemptError{outcome: messenger.Outcome_OUTCOME_UNKNOWN, reason: "answer_lost", endpointFault: endpointFault, cause: err}
}

// awaitFirstFrame waits for the first frame of the answer or for the final outcome.
func (a *attempt) awaitFirstFrame() *attemptError {
	for {
		data, err := a.nextFrame()
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return asAttemptError(err)
		case len(data) > 0:
			a.firstFrame = data
			return nil
		}
	}
}

// asAttemptError returns the *attemptError in the chain of err, or an answerLostError.
func asAttemptError(err error) *attemptError {
	var ae *attemptError
	if errors.As(err, &ae) {
		return ae
	}
	return answerLostError(err)
}

// nextFrame returns the next frame of the answer. The error is io.EOF after the end
// marker, otherwise an *attemptError.
func (a *attempt) nextFrame() ([]byte, error) {
	if a.isComplete {
		return nil, io.EOF
	}
	reply, err := a.stream.Recv()
	if err != nil {
		return nil, answerLostError(err)
	}
	a.replies++
	a.replayed = a.replayed || reply.GetReplayed()
	if reply.Load != nil {
		a.load = reply.GetLoad()
	}
	switch reply.GetOutcome() {
	case messenger.Outcome_OUTCOME_STARTED:
		return reply.GetData(), nil
	case messenger.Outcome_OUTCOME_WHOLE:
		a.isComplete = true
		if len(reply.GetData()) > 0 {
			return reply.GetData(), nil
		}
		return nil, io.EOF
	case messenger.Outcome_OUTCOME_NOT_RUN, messenger.Outcome_OUTCOME_RAN_ANSWER_LOST, messenger.Outcome_OUTCOME_UNKNOWN:
		outcome := reply.GetOutcome()
		if outcome == messenger.Outcome_OUTCOME_NOT_RUN && a.replies > 1 {
			// The reply before this one said that the request has started.
			outcome = messenger.Outcome_OUTCOME_UNKNOWN
		}
		return nil, &attemptError{outcome: outcome, reason: reply.GetReason(), owner: reply.GetOwner(), endpointFault: reply.GetStatus() != 0}
	default:
		return nil, answerLostError(eris.Errorf("reply with outcome %s", reply.GetOutcome()))
	}
}

// endAttempt closes an attempt and updates the statistics of its endpoint. The
// connection is reused only if the call ended cleanly.
func (s *Server) endAttempt(a *attempt, failure *attemptError) {
	if a.ended {
		return
	}
	a.ended = true
	endpointFailed := failure != nil && failure.endpointFault
	table := s.board.View().table
	if table.End(time.Now(), a.group, a.endpoint, !endpointFailed) {
		logger.Log(s.cfg.Logger, logger.EndpointEjected, zap.String("endpoint", a.endpoint.Instance))
	}
	if a.isComplete && !a.replayed {
		s.recordLatency(a)
	}
	if a.load != nil {
		a.endpoint.RecordAnswerLoad(int(a.load.GetRunning()))
	}
	clean := a.isComplete || (failure != nil && failure.outcome != messenger.Outcome_OUTCOME_UNKNOWN)
	if a.conn == nil || a.stream == nil || !clean {
		s.closeConn(a)
		return
	}
	// The sidecar ends the call in the background, so that the caller does not wait
	// for it.
	if err := s.workerPool.Submit(func() { s.returnConn(a) }); err != nil {
		s.closeConn(a)
	}
}

// returnConn returns the connection of an attempt to the pool after the sidecar has
// ended the call.
func (s *Server) returnConn(a *attempt) {
	if !a.awaitStreamEnd() {
		s.closeConn(a)
		return
	}
	a.cancel()
	s.conns.Put(a.endpoint.Address, a.conn)
}

// closeConn cancels an attempt and closes its connection.
func (s *Server) closeConn(a *attempt) {
	a.cancel()
	if a.conn != nil {
		_ = a.conn.Close()
	}
}

// awaitStreamEnd waits for the next message and reports whether it is the end of the
// call, so that no more data can arrive on the connection.
func (a *attempt) awaitStreamEnd() bool {
	_, err := a.stream.Recv()
	return errors.Is(err, io.EOF)
}

// execute runs a call: it selects an endpoint, starts an attempt, and retries within
// the budget until an answer starts or the call has failed.
func (s *Server) execute(ctx context.Context, c *call) (*attempt, *Problem) {
	s.retries.forService(c.service).RecordRequest(time.Now())
	return s.tryEndpoints(ctx, c, nil, nil)
}

// tryEndpoints runs attempts on endpoints other than the excluded ones. unknown is
// the failure of an earlier attempt that may have run, or nil.
func (s *Server) tryEndpoints(ctx context.Context, c *call, unknown *attemptError, exclude []string) (*attempt, *Problem) {
	budget := s.retries.forService(c.service)
	owner := ""
	for {
		if unknown == nil && c.framesSent == 0 {
			// Nothing has run yet, so the call can still use the version that is
			// served now.
			c.version = s.chooseVersion(s.board.View(), c)
		}
		choice, ok := s.selectEndpoint(c, exclude, owner)
		if !ok {
			return nil, finalProblem(c, unknown, &attemptError{outcome: messenger.Outcome_OUTCOME_NOT_RUN, reason: refuser.ReasonNoEndpoint})
		}
		a, failure := s.startAttempt(ctx, c, choice)
		if failure == nil {
			return a, nil
		}
		c.recordEndpointDeath(failure)
		if failure.reason == refuser.ReasonOverloaded {
			s.windows.forService(c.service).onRefused()
		}
		if failure.outcome == messenger.Outcome_OUTCOME_UNKNOWN {
			unknown = failure
		}
		if failure.isClaimed() && (failure.owner == "" || failure.owner == owner) {
			return nil, finalProblem(c, unknown, failure)
		}
		if !s.prepareRetry(c, budget.AllowRetry, failure) {
			return nil, finalProblem(c, unknown, failure)
		}
		owner = failure.owner
		exclude = append(exclude, choice.Endpoint.Instance)
	}
}

// recordEndpointDeath counts an endpoint that died while it ran the call, and makes
// the next attempts run alone on their endpoint.
func (c *call) recordEndpointDeath(failure *attemptError) {
	if failure.reason != refuser.ReasonEndpointDied {
		return
	}
	c.isolated = true
	c.endpointDeaths++
}

// resume continues an interrupted stream on another endpoint that serves the same
// version. It returns nil if the call must not be repeated or no attempt succeeds.
func (s *Server) resume(c *call, interrupted *attempt, failure *attemptError) *attempt {
	c.recordEndpointDeath(failure)
	if !c.target.Service.Idempotent || !s.prepareRetry(c, s.retries.forService(c.service).AllowRetry, failure) {
		return nil
	}
	a, p := s.tryEndpoints(context.Background(), c, failure, []string{interrupted.endpoint.Instance})
	if p != nil {
		return nil
	}
	logger.Log(s.cfg.Logger, logger.AnswerResumed,
		zap.String("request_id", c.requestID), zap.String("attempt_id", c.attemptID),
		zap.String("endpoint", c.endpoint), zap.Int("frames", c.framesSent), zap.String("version_digest", c.version))
	return a
}

// selectEndpoint selects an endpoint. The owner of a claim takes precedence. Once every
// endpoint has been tried, the exclusions are dropped.
func (s *Server) selectEndpoint(c *call, exclude []string, owner string) (router.Choice, bool) {
	table := s.board.View().table
	if owner != "" {
		if e, ok := table.Find(c.group(), owner); ok {
			return router.Choice{Endpoint: e, Reason: router.ReasonKeyOwner}, true
		}
	}
	q := router.Query{
		GroupKey:    c.group(),
		AffinityKey: c.affinityKey(),
		OwnerKey:    c.ownerKey(),
		Exclude:     exclude,
		Random:      rand.Uint64(),
	}
	if choice, ok := table.Pick(s.cfg.Routing, time.Now(), q); ok || len(exclude) == 0 {
		return choice, ok
	}
	q.Exclude = nil
	return table.Pick(s.cfg.Routing, time.Now(), q)
}

// maxEndpointDeaths is the number of endpoints that may die while running one call:
// one that ran it beside other requests, and one that ran it alone.
const maxEndpointDeaths = 2

// retryFunc is a method of retrier.Budget that decides whether a call may be retried now
// and returns the backoff or the reason against a retry.
type retryFunc func(now, deadline time.Time, attempts int) (time.Duration, retrier.Refusal)

// prepareRetry reports whether the call may be attempted again. If so, it returns after
// the backoff.
func (s *Server) prepareRetry(c *call, retry retryFunc, failure *attemptError) bool {
	if failure.outcome == messenger.Outcome_OUTCOME_UNKNOWN && !c.isRepeatable() {
		s.logRetryWithheld(c, failure, "not_repeatable")
		return false
	}
	if isPermanent(failure.reason) || c.endpointDeaths >= maxEndpointDeaths {
		s.logRetryWithheld(c, failure, "final")
		return false
	}
	if isRefusedBySidecar(failure.reason) {
		retry = s.retries.forService(c.service).AllowFreeRetry
	}
	pause, refusal := retry(time.Now(), c.deadline, c.attempts)
	if refusal != "" {
		s.logRetryWithheld(c, failure, string(refusal))
		return false
	}
	s.metrics.Add("retries", 1)
	logger.Log(s.cfg.Logger, logger.AttemptRetried,
		zap.String("request_id", c.requestID), zap.String("attempt_id", c.attemptID),
		zap.String("endpoint", c.endpoint), zap.Duration("pause", pause), zap.Error(failure))
	time.Sleep(pause)
	return true
}

// logRetryWithheld logs why a failed attempt is not retried.
func (s *Server) logRetryWithheld(c *call, failure *attemptError, reason string) {
	logger.Log(s.cfg.Logger, logger.RetryWithheld,
		zap.String("request_id", c.requestID), zap.String("attempt_id", c.attemptID),
		zap.String("endpoint", c.endpoint), zap.String("reason", reason), zap.Error(failure))
}
