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
	// claimTimeout bounds the wait for a claim.
	claimTimeout = 3 * time.Second
	// releaseTimeout bounds the wait for a release before the answer goes out.
	releaseTimeout = 500 * time.Millisecond
	cancelTimeout  = time.Second
	// replyMargin is how long before the deadline the last word on a keyed call is
	// sent, so that it reaches the entry in time.
	replyMargin = 50 * time.Millisecond
	// aloneTimeout bounds the wait for the endpoint alone.
	aloneTimeout = 3 * time.Second
)

// executor serves the execution service.
type executor struct {
	server *Server
}

var _ messenger.DRPCExecutionServer = executor{}

// Run implements the execution service: one attempt, from refusal to last byte.
func (e executor) Run(req *messenger.RunRequest, stream messenger.DRPCExecution_RunStream) error {
	s := e.server
	s.metrics.Add("attempts", 1)
	s.handlers.Add(1)
	defer s.handlers.Add(-1)
	now := time.Now()
	s.up.RecordRequest(now)
	s.down.RecordRequest(now)
	if reason := s.precheck(now, req); reason != "" {
		return s.replyNotRun(stream, reason)
	}
	if req.GetIdempotencyKey() != "" {
		return s.runOnce(now, req, stream)
	}
	return s.runStream(req, stream)
}

func (s *Server) precheck(now time.Time, req *messenger.RunRequest) (reason string) {
	switch {
	case req.GetService() != s.cfg.Service:
		return refuser.ReasonService
	case now.UnixNano() >= req.GetDeadlineUnixNanos():
		return refuser.ReasonExpired
	}
	return ""
}

// replyNotRun is the final word on an attempt that never reached the endpoint.
func (s *Server) replyNotRun(stream messenger.DRPCExecution_RunStream, reason string) error {
	s.metrics.Add("not_run", 1)
	return stream.Send(&messenger.RunReply{Outcome: messenger.Outcome_OUTCOME_NOT_RUN, Reason: reason, Load: s.loadWithout(0)})
}

func (s *Server) request(req *messenger.RunRequest) endpointclient.Request {
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
	return s.board.View().kept.Config.Services[s.cfg.Service].Body.Kind
}

// runStream runs a call that may be repeated and passes its answer on as it
// comes. It ends with the entry's call.
func (s *Server) runStream(req *messenger.RunRequest, stream messenger.DRPCExecution_RunStream) error {
	ctx, cancel := context.WithDeadline(stream.Context(), time.Unix(0, req.GetDeadlineUnixNanos()))
	defer cancel()
	reason, exit := s.enter(ctx, req)
	if reason != "" {
		return s.replyNotRun(stream, reason)
	}
	defer exit()
	reply := &messenger.RunReply{Outcome: messenger.Outcome_OUTCOME_STARTED}
	a, err := s.runOnEndpoint(ctx, req, func(piece []byte) error {
		reply.Data = piece
		return stream.Send(reply)
	})
	if err == nil {
		return stream.Send(&messenger.RunReply{
			Outcome: messenger.Outcome_OUTCOME_WHOLE, Frames: uint32(a.Frames), Data: a.End, VersionDigest: req.GetVersionDigest(),
			Load: s.loadWithout(1),
		})
	}
	s.noteFailure(req, err)
	if ctx.Err() != nil {
		s.cancelRun(req)
	}
	r := asResult(err)
	return stream.Send(&messenger.RunReply{Outcome: r.outcome, Reason: r.reason, Status: 1, Load: s.loadWithout(1)})
}

// loadWithout returns the present load without so many attempts that end now.
func (s *Server) loadWithout(ending int) *messenger.Load {
	_, running := s.guard.inProgress("")
	return &messenger.Load{Running: uint32(max(running-ending, 0))}
}

// enter lets an attempt through to the endpoint, alone if it must be. A suspect
// request must, whatever the entry knows; a convicted one may not run at all.
func (s *Server) enter(ctx context.Context, req *messenger.RunRequest) (reason string, exit func()) {
	version := req.GetVersionDigest()
	standing, _ := s.watcher.Standing(req.GetWorkspace(), req.GetService(), req.GetBody())
	if standing == quarantiner.StandingConvicted {
		return refuser.ReasonConvicted, nil
	}
	if !req.GetAlone() && standing == quarantiner.StandingClear {
		return s.guard.enter(version), func() { s.guard.exit(version) }
	}
	req.Alone = true
	ctx, cancel := context.WithTimeout(ctx, aloneTimeout)
	defer cancel()
	if reason = s.guard.enterAlone(ctx, version); reason != "" {
		return reason, nil
	}
	exit = func() {
		s.guard.exit(version)
		s.guard.exitAlone()
	}
	var death uint64
	if standing, death = s.watcher.Standing(req.GetWorkspace(), req.GetService(), req.GetBody()); standing == quarantiner.StandingConvicted {
		exit()
		return refuser.ReasonConvicted, nil
	}
	logger.Log(s.cfg.Logger, logger.SuspectAlone,
		zap.String("request_id", req.GetRequestId()), zap.String("attempt_id", req.GetAttemptId()), zap.Uint64("death_offset", death))
	return "", exit
}

// runOnEndpoint runs an attempt and keeps account of what the endpoint dies of.
func (s *Server) runOnEndpoint(ctx context.Context, req *messenger.RunRequest, emit func([]byte) error) (endpointclient.Answer, error) {
	token := s.deaths.begin(req)
	a, err := s.cfg.Endpoint.Run(ctx, s.request(req), emit)
	if died := s.deaths.end(token, err); died {
		return a, &endpointDiedError{cause: err}
	}
	if err == nil && req.GetAlone() {
		s.deaths.cleared(token.fingerprint)
	}
	return a, err
}

// endpointDiedError tells that the endpoint died while an attempt ran.
type endpointDiedError struct {
	cause error
}

// Error implements error.
func (e *endpointDiedError) Error() string { return "endpoint died: " + e.cause.Error() }

// Unwrap returns how the attempt failed.
func (e *endpointDiedError) Unwrap() error { return e.cause }

// cancelRun asks the endpoint to stop an attempt that nobody waits for.
func (s *Server) cancelRun(req *messenger.RunRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if err := s.cfg.Endpoint.Cancel(ctx, req.GetAttemptId()); err != nil {
		s.metrics.Add("cancel_failures", 1)
	}
}

func (s *Server) noteFailure(req *messenger.RunRequest, err error) {
	var foreign *endpointclient.ForeignError
	if errors.As(err, &foreign) {
		logger.Log(s.cfg.Logger, logger.ForeignAnswer,
			zap.String("request_id", req.GetRequestId()), zap.String("attempt_id", req.GetAttemptId()), zap.Error(err))
	}
	s.metrics.Add("failed_runs", 1)
}

// asResult says what is known after the endpoint failed an attempt.
func asResult(err error) result {
	var nr *endpointclient.NotRunError
	if errors.As(err, &nr) {
		return result{outcome: messenger.Outcome_OUTCOME_NOT_RUN, reason: refuser.ReasonEndpoint}
	}
	var died *endpointDiedError
	if errors.As(err, &died) {
		return result{outcome: messenger.Outcome_OUTCOME_UNKNOWN, reason: refuser.ReasonDied}
	}
	return result{outcome: messenger.Outcome_OUTCOME_UNKNOWN, reason: err.Error()}
}

// runOnce runs a call under its idempotency key at most once and answers every
// attempt with the key from that run.
func (s *Server) runOnce(now time.Time, req *messenger.RunRequest, stream messenger.DRPCExecution_RunStream) error {
	entry := s.claimEntry(req)
	x, created := s.executions.join(now, entry.Key, entry.BodyDigest)
	if x.bodyDigest != entry.BodyDigest {
		return s.replyNotRun(stream, refuser.ReasonKeyReused)
	}
	if created {
		// The run goes on when the entry is gone: its answer is kept for the
		// caller's next attempt.
		go s.executeOnce(x, entry, req)
	}
	timer := time.NewTimer(time.Until(time.Unix(0, req.GetDeadlineUnixNanos())) - replyMargin)
	defer timer.Stop()
	select {
	case <-x.done:
		return s.replyResult(stream, x.result, !created)
	case <-timer.C:
	}
	if x.giveUp() {
		return s.replyNotRun(stream, refuser.ReasonExpired)
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

// executeOnce claims the key, runs the call if the claim won, and finishes the
// execution. It may outlive the attempt that began it.
func (s *Server) executeOnce(x *execution, entry claimer.Entry, req *messenger.RunRequest) {
	deadline := time.Unix(0, req.GetDeadlineUnixNanos())
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	reason, exit := s.enter(ctx, req)
	if reason != "" {
		s.executions.finish(x, result{outcome: messenger.Outcome_OUTCOME_NOT_RUN, reason: reason})
		return
	}
	defer exit()
	if r, won := s.claimKey(ctx, entry, req); !won {
		s.executions.finish(x, r)
		return
	}
	if !x.begin() {
		s.releaseClaim(entry)
		s.executions.finish(x, result{outcome: messenger.Outcome_OUTCOME_NOT_RUN, reason: refuser.ReasonExpired})
		return
	}
	s.executions.finish(x, s.runClaimed(ctx, entry, req))
}

// claimKey claims the key in the log. Without a claim that is read back, the
// call is not run.
func (s *Server) claimKey(ctx context.Context, entry claimer.Entry, req *messenger.RunRequest) (r result, won bool) {
	issuedAt, err := keyTime(req.GetIdempotencyKey())
	if err != nil {
		return result{outcome: messenger.Outcome_OUTCOME_NOT_RUN, reason: refuser.ReasonKeyAge}, false
	}
	if s.claims.down.Load() {
		s.logClaimUnavailable(entry, errLogNotRead)
		return result{outcome: messenger.Outcome_OUTCOME_NOT_RUN, reason: refuser.ReasonClaimUnavailable}, false
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	standing, err := s.claims.claim(ctx, entry, issuedAt)
	var age *claimer.KeyAgeError
	switch {
	case errors.As(err, &age):
		return result{outcome: messenger.Outcome_OUTCOME_NOT_RUN, reason: refuser.ReasonKeyAge}, false
	case err != nil:
		s.logClaimUnavailable(entry, err)
		return result{outcome: messenger.Outcome_OUTCOME_NOT_RUN, reason: refuser.ReasonClaimUnavailable}, false
	case standing.Entry.AttemptID == entry.AttemptID:
		s.logClaim(logger.ClaimWon, entry, standing)
		return result{}, true
	}
	s.logClaim(logger.ClaimLost, entry, standing)
	return s.claimedByOther(entry, standing), false
}

// claimedByOther says what is known of a key that another attempt claimed.
func (s *Server) claimedByOther(entry claimer.Entry, standing claimer.Claim) result {
	r := result{outcome: messenger.Outcome_OUTCOME_UNKNOWN, reason: refuser.ReasonClaimedElsewhere}
	if standing.Entry.BodyDigest != entry.BodyDigest {
		return result{outcome: messenger.Outcome_OUTCOME_NOT_RUN, reason: refuser.ReasonKeyReused}
	}
	if standing.Answered {
		r.outcome = messenger.Outcome_OUTCOME_RAN_ANSWER_LOST
	}
	if standing.Entry.Instance != s.cfg.Instance {
		r.owner = standing.Entry.Instance
	}
	return r
}

func (s *Server) logClaim(e logger.Event, entry claimer.Entry, standing claimer.Claim) {
	logger.Log(s.cfg.Logger, e,
		zap.String("request_id", entry.RequestID), zap.String("attempt_id", entry.AttemptID),
		zap.String("idempotency_key", entry.IdempotencyKey), zap.Uint64("claim_offset", standing.Offset),
		zap.String("owner", standing.Entry.Instance), zap.String("owner_attempt_id", standing.Entry.AttemptID))
}

func (s *Server) logClaimUnavailable(entry claimer.Entry, err error) {
	logger.Log(s.cfg.Logger, logger.ClaimUnavailable,
		zap.String("request_id", entry.RequestID), zap.String("attempt_id", entry.AttemptID), zap.Error(err))
}

// runClaimed runs a call whose claim won.
func (s *Server) runClaimed(ctx context.Context, entry claimer.Entry, req *messenger.RunRequest) result {
	if ctx.Err() != nil {
		s.releaseClaim(entry)
		return result{outcome: messenger.Outcome_OUTCOME_NOT_RUN, reason: refuser.ReasonExpired}
	}
	var data []byte
	a, err := s.runOnEndpoint(ctx, req, func(piece []byte) error {
		data = append(data, piece...)
		return nil
	})
	if err == nil {
		s.claims.answered(entry)
		return result{outcome: messenger.Outcome_OUTCOME_WHOLE, data: append(data, a.End...)}
	}
	s.noteFailure(req, err)
	r := asResult(err)
	if r.outcome == messenger.Outcome_OUTCOME_NOT_RUN {
		s.releaseClaim(entry)
	}
	return r
}

func (s *Server) releaseClaim(entry claimer.Entry) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	s.claims.release(ctx, entry)
}

// keyTime returns the time in an idempotency key, a UUID of version 7.
func keyTime(key string) (t time.Time, err error) {
	var id uuid.UUID
	if id, err = uuid.Parse(key); err != nil {
		return time.Time{}, err
	}
	sec, nsec := id.Time().UnixTime()
	return time.Unix(sec, nsec), nil
}
