package entryserver

import (
	"context"
	"io"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/pkg/admitter"
	"flamingoledge.org/flamingoledge/pkg/provider"
)

const (
	pathStatus = "/v1/status"
	pathHealth = "/healthz"
	// Values of the Retry-After header, by reason for the refusal.
	overloadRetryAfter = time.Second
	drainRetryAfter    = time.Second
	endpointRetryAfter = 2 * time.Second
)

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case strings.HasPrefix(path, PathServices):
		s.handleCall(ctx)
	case path == pathStatus:
		s.handleStatus(ctx)
	case path == pathHealth:
		s.handleHealth(ctx)
	default:
		writeProblem(ctx, &call{}, notRun(fasthttp.StatusNotFound, CodeUnknownPath, 0, "no such path: %s", path))
	}
}

// handleProtocolError responds to requests that could not be parsed as HTTP, or whose head and the first
// part of the body did not arrive.
func (s *Server) handleProtocolError(ctx *fasthttp.RequestCtx, err error) {
	s.refuse(ctx, &call{}, unreadBody(err))
}

func (s *Server) handleHealth(ctx *fasthttp.RequestCtx) {
	if s.draining.Load() || !s.board.View().configuration.Ready {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

func (s *Server) handleCall(ctx *fasthttp.RequestCtx) {
	now := time.Now()
	s.inFlight.Add(1)
	streaming := false
	defer func() {
		if !streaming {
			s.inFlight.Add(-1)
		}
	}()
	if s.draining.Load() {
		ctx.SetConnectionClose()
		s.refuse(ctx, &call{}, notRun(fasthttp.StatusServiceUnavailable, CodeDraining, drainRetryAfter, "this entry is leaving"))
		return
	}
	c, p := s.parse(ctx, now)
	if p == nil {
		s.demand.add(c.target.Model, 1)
		if p = s.admit(c); p != nil {
			s.demand.add(c.target.Model, -1)
		}
	}
	if p != nil {
		s.refuse(ctx, c, p)
		return
	}
	a, p := s.execute(context.WithoutCancel(ctx), c)
	if p != nil {
		s.release(c)
		s.finishWithoutAnswer(ctx, c, p)
		return
	}
	c.replayed = a.replayed
	answer := &answerReader{server: s, call: c, attempt: a, pending: a.firstFrame}
	c.framesSent++
	if c.isStreaming() {
		streaming = true
		s.writeStream(ctx, answer)
		return
	}
	s.writeBuffered(ctx, answer)
}

// admit waits until the call is admitted or refused. It returns nil if it was admitted.
func (s *Server) admit(c *call) *Problem {
	verdict := s.gates.forService(c.service).acquire(c.arrivedAt, s.concurrencyLimit(c.service), admitter.Request{
		Workspace: c.workspace,
		Weight:    c.target.Workspace.Weight,
		Priority:  c.target.Workspace.Priority,
		Deadline:  c.deadline,
	})
	switch verdict {
	case admitter.VerdictAdmitted:
		c.admittedAt = time.Now()
		return nil
	case admitter.VerdictFull:
		return notRun(fasthttp.StatusTooManyRequests, CodeOverloaded, overloadRetryAfter, "workspace %s has too many requests waiting", c.workspace)
	default:
		return notRun(fasthttp.StatusServiceUnavailable, CodeDeadline, overloadRetryAfter, "the request can't be run before its deadline")
	}
}

// release ends an admitted call.
func (s *Server) release(c *call) {
	now := time.Now()
	s.demand.add(c.target.Model, -1)
	s.gates.forService(c.service).release(now, s.concurrencyLimit(c.service), c.workspace, now.Sub(c.admittedAt))
}

func (s *Server) refuse(ctx *fasthttp.RequestCtx, c *call, p *Problem) {
	s.metrics.Add("refused", 1)
	s.auditCall(c, p.Outcome, p.Code)
	logger.Log(s.cfg.Logger, logger.RequestRefused,
		zap.String("request_id", c.requestID), zap.String("workspace", c.workspace), zap.String("service", c.service),
		zap.String("code", string(p.Code)), zap.Uint64("record_offset", c.target.RecordOffset), zap.Error(p))
	writeProblem(ctx, c, p)
}

// finishWithoutAnswer logs a failed call and writes the problem to the response.
func (s *Server) finishWithoutAnswer(ctx *fasthttp.RequestCtx, c *call, p *Problem) {
	if p.Outcome == OutcomeNotRun {
		s.refuse(ctx, c, p)
		return
	}
	s.logUnknownOutcome(c, p.Outcome, p)
	writeProblem(ctx, c, p)
}

// auditCall adds an audit entry with the outcome of a call.
func (s *Server) auditCall(c *call, o Outcome, code Code) {
	s.audit.Add(time.Now(), provider.AuditEntry{
		Kind:           provider.AuditRequest,
		RequestID:      c.requestID,
		Workspace:      c.workspace,
		Service:        c.service,
		IdempotencyKey: c.idempotencyKey,
		Outcome:        string(o),
		Code:           string(code),
		Attempts:       c.attempts,
		AttemptID:      c.attemptID,
		Endpoint:       c.endpoint,
		Reason:         c.reason,
		Model:          c.target.Model,
		VersionDigest:  c.version,
		RecordOffset:   c.target.RecordOffset,
	})
}

func (s *Server) logUnknownOutcome(c *call, o Outcome, err error) {
	s.metrics.Add("unknown", 1)
	s.auditCall(c, o, CodeOutcomeUnknown)
	logger.Log(s.cfg.Logger, logger.RequestUnknown,
		zap.String("request_id", c.requestID), zap.String("attempt_id", c.attemptID), zap.String("endpoint", c.endpoint),
		zap.Uint64("record_offset", c.target.RecordOffset), zap.Error(err))
}

func (s *Server) logAnswered(c *call) {
	s.metrics.Add("answered", 1)
	s.windows.forService(c.service).onAnswered()
	s.auditCall(c, OutcomeAnswered, "")
	logger.Log(s.cfg.Logger, logger.RequestAnswered,
		zap.String("request_id", c.requestID), zap.String("attempt_id", c.attemptID), zap.String("workspace", c.workspace),
		zap.String("service", c.service), zap.String("endpoint", c.endpoint), zap.String("version_digest", c.version),
		zap.Uint64("record_offset", c.target.RecordOffset), zap.Int("attempts", c.attempts),
		zap.Duration("taken", time.Since(c.arrivedAt)))
}

// writeStream forwards a streamed answer frame by frame. If the answer breaks off, the
// connection is closed without the end of the chunked body, so that clients detect the
// truncation.
func (s *Server) writeStream(ctx *fasthttp.RequestCtx, answer *answerReader) {
	writeTraceHeaders(ctx, answer.call, OutcomeAnswered)
	ctx.SetContentType("application/x-ndjson")
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStream(answer, -1)
}

// writeBuffered reads the complete answer before it writes the response.
func (s *Server) writeBuffered(ctx *fasthttp.RequestCtx, answer *answerReader) {
	answer.finishedByHandler = true
	body, err := io.ReadAll(answer)
	_ = answer.Close()
	if err != nil {
		s.finishWithoutAnswer(ctx, answer.call, finalProblem(answer.call, asAttemptError(err), asAttemptError(err)))
		return
	}
	writeTraceHeaders(ctx, answer.call, OutcomeAnswered)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
