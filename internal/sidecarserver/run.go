package sidecarserver

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/endpointclient"
	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/internal/messenger"
	"flamingoledge.org/flamingoledge/internal/refuser"
	"flamingoledge.org/flamingoledge/pkg/claimer"
	"flamingoledge.org/flamingoledge/pkg/interpreter"
	"flamingoledge.org/flamingoledge/pkg/quarantiner"
)

const (
	// claimTimeout bounds the wait for a claim to be read back from the log.
	claimTimeout = 3 * time.Second
	// releaseTimeout bounds the wait for the release of a claim before the reply
	// is sent.
	releaseTimeout = 500 * time.Millisecond
	cancelTimeout  = time.Second
	// replyMargin is how long before the deadline the final reply to a call with an
	// idempotency key is sent, so that it reaches the entry in time.
	replyMargin = 50 * time.Millisecond
	// exclusiveTimeout bounds the wait for exclusive use of the endpoint.
	exclusiveTimeout = 3 * time.Second
)

// executor implements messenger.DRPCExecutionServer.
type executor struct {
	server *Server
}

var _ messenger.DRPCExecutionServer = executor{}

// Run implements messenger.DRPCExecutionServer. It rejects an attempt, or runs it and
// streams the reply.
func (e executor) Run(req *messenger.RunRequest, stream messenger.DRPCExecution_RunStream) error {
	s := e.server
	s.metrics.Add("attempts", 1)
	s.handlers.Add(1)
	defer s.handlers.Add(-1)
	now := time.Now()
	s.uplink.RecordRequest(now)
	s.downlink.RecordRequest(now)
	if reason := s.precheck(now, req); reason != "" {
		return s.replyNotRun(stream, reason)
	}
	if req.GetIdempotencyKey() != "" {
		return s.runKeyed(now, req, stream)
	}
	return s.runUnkeyed(req, stream)
}

// precheck returns the reason to reject an attempt that names another service or
// is past its deadline.
func (s *Server) precheck(now time.Time, req *messenger.RunRequest) (reason string) {
	switch {
	case req.GetService() != s.cfg.Service:
		return refuser.ReasonOtherService
	case now.UnixNano() >= req.GetDeadlineUnixNanos():
		return refuser.ReasonDeadlinePassed
	}
	return ""
}

// replyNotRun sends the final reply to an attempt that never reached the endpoint.
func (s *Server) replyNotRun(stream messenger.DRPCExecution_RunStream, reason string) error {
	s.metrics.Add("not_run", 1)
	return stream.Send(&messenger.RunReply{Outcome: messenger.Outcome_OUTCOME_NOT_RUN, Reason: reason, Load: s.currentLoad(0)})
}

func (s *Server) endpointRequest(req *messenger.RunRequest) endpointclient.Request {
	return endpointclient.Request{
		RequestID:      req.GetRequestId(),
		AttemptID:      req.GetAttemptId(),
		IdempotencyKey: req.GetIdempotencyKey(),
		VersionDigest:  req.GetVersionDigest(),
		Adapter:        req.GetAdapter(),
		Priority:       int(req.GetPriority()),
		Stream:         s.serviceKind() == interpreter.ServiceKindModel,
		ResumeFrom:     int(req.GetResumeFrom()),
		Body:           req.GetBody(),
	}
}

func (s *Server) serviceKind() interpreter.ServiceKind {
	return s.board.View().configuration.Config.Services[s.cfg.Service].Body.Kind
}

// runUnkeyed runs a call without an idempotency key and forwards its response as it
// arrives. It ends early if the entry cancels the attempt.
func (s *Server) runUnkeyed(req *messenger.RunRequest, stream messenger.DRPCExecution_RunStream) error {
	ctx, cancel := context.WithDeadline(stream.Context(), time.Unix(0, req.GetDeadlineUnixNanos()))
	defer cancel()
	reason, release := s.admit(ctx, req)
	if reason != "" {
		return s.replyNotRun(stream, reason)
	}
	defer release()
	reply := &messenger.RunReply{Outcome: messenger.Outcome_OUTCOME_STARTED}
	res, err := s.runOnEndpoint(ctx, req, func(piece []byte) error {
		reply.Data = piece
		return stream.Send(reply)
	})
	if err == nil {
		return stream.Send(&messenger.RunReply{
			Outcome: messenger.Outcome_OUTCOME_WHOLE, Frames: uint32(res.Frames), Data: res.End, VersionDigest: req.GetVersionDigest(),
			Load: s.currentLoad(1),
		})
	}
	s.recordFailure(req, err)
	if ctx.Err() != nil {
		s.cancelAttempt(req)
	}
	r := resultFromError(err)
	return stream.Send(&messenger.RunReply{Outcome: r.outcome, Reason: r.reason, Status: 1, Load: s.currentLoad(1)})
}

// currentLoad returns the current load, excluding the given number of attempts
// that are about to end.
func (s *Server) currentLoad(ending int) *messenger.Load {
	_, running := s.admission.inProgress("")
	return &messenger.Load{Running: uint32(max(running-ending, 0))}
}

// admit admits an attempt to the endpoint, or returns the reason why not. An
// attempt that the entry isolated, or whose request is a suspect, runs exclusively;
// a convicted request is rejected. The caller must call release if reason is empty.
func (s *Server) admit(ctx context.Context, req *messenger.RunRequest) (reason string, release func()) {
	version := req.GetVersionDigest()
	standing, _ := s.crashTracker.Standing(req.GetWorkspace(), req.GetService(), req.GetBody())
	if standing == quarantiner.StandingConvicted {
		return refuser.ReasonConvicted, nil
	}
	if !req.GetAlone() && standing == quarantiner.StandingClear {
		return s.admission.admit(version), func() { s.admission.release(version) }
	}
	req.Alone = true
	ctx, cancel := context.WithTimeout(ctx, exclusiveTimeout)
	defer cancel()
	if reason = s.admission.admitExclusive(ctx, version); reason != "" {
		return reason, nil
	}
	release = func() {
		s.admission.release(version)
		s.admission.releaseExclusive()
	}
	var death uint64
	if standing, death = s.crashTracker.Standing(req.GetWorkspace(), req.GetService(), req.GetBody()); standing == quarantiner.StandingConvicted {
		release()
		return refuser.ReasonConvicted, nil
	}
	logger.Log(s.cfg.Logger, logger.SuspectAlone,
		zap.String("request_id", req.GetRequestId()), zap.String("attempt_id", req.GetAttemptId()), zap.Uint64("death_offset", death))
	return "", release
}

// runOnEndpoint runs an attempt. If the endpoint dies meanwhile, it reports the death
// and returns an *endpointDiedError. A request that succeeds exclusively is reported
// as cleared.
func (s *Server) runOnEndpoint(ctx context.Context, req *messenger.RunRequest, emit func([]byte) error) (endpointclient.RunResult, error) {
	tracked := s.deathTracker.runStarted(req)
	res, err := s.cfg.Endpoint.Run(ctx, s.endpointRequest(req), emit)
	if died := s.deathTracker.runEnded(tracked, err); died {
		return res, &endpointDiedError{cause: err}
	}
	if err == nil && req.GetAlone() {
		s.deathTracker.reportCleared(tracked.fingerprint)
	}
	return res, err
}

// endpointDiedError reports that the endpoint died while an attempt ran.
type endpointDiedError struct {
	cause error
}

// Error implements error.
func (e *endpointDiedError) Error() string { return "endpoint died: " + e.cause.Error() }

// Unwrap returns the error of the attempt.
func (e *endpointDiedError) Unwrap() error { return e.cause }

// cancelAttempt asks the endpoint to stop an attempt that was canceled or is past
// its deadline.
func (s *Server) cancelAttempt(req *messenger.RunRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if err := s.cfg.Endpoint.Cancel(ctx, req.GetAttemptId()); err != nil {
		s.metrics.Add("cancel_failures", 1)
	}
}

// recordFailure counts a failed run, and logs a response that belongs to another
// request.
func (s *Server) recordFailure(req *messenger.RunRequest, err error) {
	var mismatch *endpointclient.ResponseMismatchError
	if errors.As(err, &mismatch) {
		logger.Log(s.cfg.Logger, logger.ForeignAnswer,
			zap.String("request_id", req.GetRequestId()), zap.String("attempt_id", req.GetAttemptId()), zap.Error(err))
	}
	s.metrics.Add("failed_runs", 1)
}

// resultFromError maps the error of an attempt to its outcome and reason.
func resultFromError(err error) result {
	var nr *endpointclient.NotRunError
	if errors.As(err, &nr) {
		return result{outcome: messenger.Outcome_OUTCOME_NOT_RUN, reason: refuser.ReasonEndpointRefused}
	}
	var died *endpointDiedError
	if errors.As(err, &died) {
		return result{outcome: messenger.Outcome_OUTCOME_UNKNOWN, reason: refuser.ReasonEndpointDied}
	}
	return result{outcome: messenger.Outcome_OUTCOME_UNKNOWN, reason: err.Error()}
}

// runKeyed runs a call with an idempotency key at most once and answers every
// attempt that has the key with the result of that run.
func (s *Server) runKeyed(now time.Time, req *messenger.RunRequest, stream messenger.DRPCExecution_RunStream) error {
	entry := s.claimEntry(req)
	x, created := s.executions.join(now, entry.Key, entry.BodyDigest)
	if x.bodyDigest != entry.BodyDigest {
		return s.replyNotRun(stream, refuser.ReasonKeyReused)
	}
	if created {
		// The run continues after the entry disconnects: its result is cached for
		// the caller's next attempt.
		go s.executeKeyed(x, entry, req)
	}
	timer := time.NewTimer(time.Until(time.Unix(0, req.GetDeadlineUnixNanos())) - replyMargin)
	defer timer.Stop()
	select {
	case <-x.done:
		return s.replyResult(stream, x.result, !created)
	case <-timer.C:
	}
	if x.tryAbandon() {
		return s.replyNotRun(stream, refuser.ReasonDeadlinePassed)
	}
	return stream.Send(&messenger.RunReply{Outcome: messenger.Outcome_OUTCOME_UNKNOWN, Reason: "still in progress at the deadline"})
}

func (s *Server) replyResult(stream messenger.DRPCExecution_RunStream, r result, replayed bool) error {
	if r.outcome != messenger.Outcome_OUTCOME_WHOLE {
		return stream.Send(&messenger.RunReply{Outcome: r.outcome, Reason: r.reason, Owner: r.owner})
	}
	return stream.Send(&messenger.RunReply{Outcome: messenger.Outcome_OUTCOME_WHOLE, Data: r.data, Replayed: replayed})
}

func (s *Server) claimEntry(req *messenger.RunRequest) claimer.Entry {
	digest := sha256.Sum256(req.GetBody())
	return claimer.Entry{
		Kind: claimer.KindClaim,
		Key: claimer.Key{
			Workspace:      req.GetWorkspace(),
			Service:        req.GetService(),
			IdempotencyKey: req.GetIdempotencyKey(),
		},
		AttemptID:  req.GetAttemptId(),
		RequestID:  req.GetRequestId(),
		Instance:   s.cfg.Instance,
		BodyDigest: hex.EncodeToString(digest[:]),
	}
}

// executeKeyed claims the key, runs the call if the claim won, and finishes the
// execution. It may outlive the attempt that started it.
func (s *Server) executeKeyed(x *execution, entry claimer.Entry, req *messenger.RunRequest) {
	deadline := time.Unix(0, req.GetDeadlineUnixNanos())
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	reason, release := s.admit(ctx, req)
	if reason != "" {
		s.executions.finish(x, result{outcome: messenger.Outcome_OUTCOME_NOT_RUN, reason: reason})
		return
	}
	defer release()
	if r, won := s.claimKey(ctx, entry, req); !won {
		s.executions.finish(x, r)
		return
	}
	if !x.tryStart() {
		s.releaseClaim(entry)
		s.executions.finish(x, result{outcome: messenger.Outcome_OUTCOME_NOT_RUN, reason: refuser.ReasonDeadlinePassed})
		return
	}
	s.executions.finish(x, s.runClaimed(ctx, entry, req))
}

// claimKey claims the key in the log and reports whether this attempt won. Unless
// its claim is read back from the log, the call must not run.
func (s *Server) claimKey(ctx context.Context, entry claimer.Entry, req *messenger.RunRequest) (r result, won bool) {
	issuedAt, err := keyTime(req.GetIdempotencyKey())
	if err != nil {
		return result{outcome: messenger.Outcome_OUTCOME_NOT_RUN, reason: refuser.ReasonKeyNotProtected}, false
	}
	if s.claims.unreachable.Load() {
		s.logClaimUnavailable(entry, errLogNotRead)
		return result{outcome: messenger.Outcome_OUTCOME_NOT_RUN, reason: refuser.ReasonClaimUnavailable}, false
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	current, err := s.claims.claim(ctx, entry, issuedAt)
	var age *claimer.KeyAgeError
	switch {
	case errors.As(err, &age):
		return result{outcome: messenger.Outcome_OUTCOME_NOT_RUN, reason: refuser.ReasonKeyNotProtected}, false
	case err != nil:
		s.logClaimUnavailable(entry, err)
		return result{outcome: messenger.Outcome_OUTCOME_NOT_RUN, reason: refuser.ReasonClaimUnavailable}, false
	case current.Entry.AttemptID == entry.AttemptID:
		s.logClaim(logger.ClaimWon, entry, current)
		return result{}, true
	}
	s.logClaim(logger.ClaimLost, entry, current)
	return s.otherClaimResult(entry, current), false
}

// otherClaimResult returns the result for a key that another attempt has claimed.
func (s *Server) otherClaimResult(entry claimer.Entry, current claimer.Claim) result {
	r := result{outcome: messenger.Outcome_OUTCOME_UNKNOWN, reason: refuser.ReasonClaimedElsewhere}
	if current.Entry.BodyDigest != entry.BodyDigest {
		return result{outcome: messenger.Outcome_OUTCOME_NOT_RUN, reason: refuser.ReasonKeyReused}
	}
	if current.Answered {
		r.outcome = messenger.Outcome_OUTCOME_RAN_ANSWER_LOST
	}
	if current.Entry.Instance != s.cfg.Instance {
		r.owner = current.Entry.Instance
	}
	return r
}

func (s *Server) logClaim(e logger.Event, entry claimer.Entry, current claimer.Claim) {
	logger.Log(s.cfg.Logger, e,
		zap.String("request_id", entry.RequestID), zap.String("attempt_id", entry.AttemptID),
		zap.String("idempotency_key", entry.IdempotencyKey), zap.Uint64("claim_offset", current.Offset),
		zap.String("owner", current.Entry.Instance), zap.String("owner_attempt_id", current.Entry.AttemptID))
}

func (s *Server) logClaimUnavailable(entry claimer.Entry, err error) {
	logger.Log(s.cfg.Logger, logger.ClaimUnavailable,
		zap.String("request_id", entry.RequestID), zap.String("attempt_id", entry.AttemptID), zap.Error(err))
}

// runClaimed runs a call whose claim won. It records in the log that the call ran to
// its end, or releases the claim if the call was not run.
func (s *Server) runClaimed(ctx context.Context, entry claimer.Entry, req *messenger.RunRequest) result {
	if ctx.Err() != nil {
		s.releaseClaim(entry)
		return result{outcome: messenger.Outcome_OUTCOME_NOT_RUN, reason: refuser.ReasonDeadlinePassed}
	}
	var data []byte
	res, err := s.runOnEndpoint(ctx, req, func(piece []byte) error {
		data = append(data, piece...)
		return nil
	})
	if err == nil {
		s.claims.recordAnswered(entry)
		return result{outcome: messenger.Outcome_OUTCOME_WHOLE, data: append(data, res.End...)}
	}
	s.recordFailure(req, err)
	r := resultFromError(err)
	if r.outcome == messenger.Outcome_OUTCOME_NOT_RUN {
		s.releaseClaim(entry)
	}
	return r
}

// releaseClaim releases the claim of an attempt that was not run.
func (s *Server) releaseClaim(entry claimer.Entry) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	s.claims.release(ctx, entry)
}

// keyTime returns the timestamp of an idempotency key, which is a UUID of version 7.
func keyTime(key string) (t time.Time, err error) {
	var id uuid.UUID
	if id, err = uuid.Parse(key); err != nil {
		return time.Time{}, err
	}
	sec, nsec := id.Time().UnixTime()
	return time.Unix(sec, nsec), nil
}
