package entryserver

import (
	"bytes"
	"errors"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/internal/receiver"
	"flamingoledge.org/flamingoledge/pkg/interpreter"
	"flamingoledge.org/flamingoledge/pkg/quarantiner"
	"flamingoledge.org/flamingoledge/pkg/router"
)

// Request and response headers of the HTTP API.
const (
	HeaderWorkspace      = "X-Workspace"
	HeaderRequestID      = "X-Request-Id"
	HeaderAttemptID      = "X-Attempt-Id"
	HeaderDeadline       = "X-Deadline-Ms"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderVersionDigest  = "X-Version-Digest"
	HeaderRecordOffset   = "X-Record-Offset"
	HeaderOutcome        = "X-Outcome"
	HeaderEndpoint       = "X-Endpoint"
	HeaderReplayed       = "X-Replayed"
)

// PathServices is the path prefix of calls. The service name follows it.
const PathServices = "/v1/services/"

const (
	maxRequestIDBytes = 100
	maxDeadline       = time.Hour
	// affinityPrefixBytes is the length of the body prefix that determines the
	// affinity of a call.
	affinityPrefixBytes = 256
	// bodyTimeout bounds the time to read a request's body.
	bodyTimeout = 10 * time.Second
)

// call is the state of one request.
type call struct {
	requestID      string
	workspace      string
	service        string
	idempotencyKey string
	body           []byte
	arrivedAt      time.Time
	admittedAt     time.Time
	deadline       time.Time
	target         interpreter.Target
	// version is the digest of the version that the call is pinned to.
	version string
	// attempts is the number of attempts so far; attemptID and endpoint belong to the
	// last one.
	attempts  int
	attemptID string
	endpoint  string
	// reason is the routing reason of the last attempt.
	reason   string
	replayed bool
	// isolated is true if the call must run alone on its endpoint, because an
	// endpoint died while running it or an equal call.
	isolated bool
	// endpointDeaths is the number of endpoints that died while running this call.
	endpointDeaths int
	// framesSent is the number of frames already sent to the caller. A resumed
	// stream continues after them.
	framesSent int
}

// parse validates a request, resolves its target and reads its body.
func (s *Server) parse(ctx *fasthttp.RequestCtx, now time.Time) (*call, *Problem) {
	h := &ctx.Request.Header
	c := &call{
		requestID:      string(h.Peek(HeaderRequestID)),
		workspace:      string(h.Peek(HeaderWorkspace)),
		service:        strings.TrimPrefix(string(ctx.Path()), PathServices),
		idempotencyKey: string(h.Peek(HeaderIdempotencyKey)),
		arrivedAt:      now,
	}
	if c.requestID == "" {
		c.requestID = uuid.Must(uuid.NewV7()).String()
	}
	if len(c.requestID) > maxRequestIDBytes || strings.ContainsAny(c.requestID, "\r\n") {
		c.requestID = ""
		return c, badRequest(CodeBadRequest, "%s must have at most %d bytes", HeaderRequestID, maxRequestIDBytes)
	}
	if !ctx.IsPost() {
		return c, notRun(fasthttp.StatusMethodNotAllowed, CodeBadRequest, 0, "calls are POST requests")
	}
	if c.workspace == "" {
		return c, badRequest(CodeBadRequest, "%s is missing", HeaderWorkspace)
	}
	v := s.board.View()
	if !v.configuration.Ready {
		return c, notRun(fasthttp.StatusServiceUnavailable, CodeNoConfiguration, time.Second, "this entry has no configuration yet")
	}
	var err error
	if c.target, err = v.configuration.Config.Resolve(c.workspace, c.service); err != nil {
		return c, resolveProblem(err)
	}
	if p := c.readDeadline(h, now); p != nil {
		return c, p
	}
	if p := s.readBody(ctx, c); p != nil {
		return c, p
	}
	c.version = s.chooseVersion(v, c)
	if p := s.checkQuarantine(c); p != nil {
		return c, p
	}
	return c, c.checkKey()
}

// readBody reads the body of a request, which is held until the answer has been sent.
func (s *Server) readBody(ctx *fasthttp.RequestCtx, c *call) *Problem {
	_ = ctx.SetReadDeadline(time.Now().Add(min(bodyTimeout, c.deadline.Sub(c.arrivedAt))))
	src := ctx.RequestBodyStream()
	if src == nil {
		src = bytes.NewReader(ctx.PostBody())
	}
	b, err := receiver.ConnOf(ctx.Conn()).ReadBody(src, int64(ctx.Request.Header.ContentLength()), int64(s.cfg.MaxBodyBytes))
	if err != nil {
		return unreadBody(err)
	}
	c.body = b.Bytes()
	return nil
}

// unreadBody returns the problem of a request whose body was not read to its end.
func unreadBody(err error) *Problem {
	var tooLarge *receiver.TooLargeError
	var noMemory *receiver.NoMemoryError
	var timeout net.Error
	p := badRequest(CodeBadRequest, "%v", err)
	switch {
	case errors.As(err, &tooLarge):
		p = notRun(fasthttp.StatusRequestEntityTooLarge, CodeBodyTooLarge, 0, "%v", err)
	case errors.As(err, &noMemory):
		p = notRun(fasthttp.StatusServiceUnavailable, CodeNoMemory, noMemory.RetryAfter, "%v", err)
	case errors.As(err, &timeout) && timeout.Timeout():
		p = notRun(fasthttp.StatusRequestTimeout, CodeBodyTimeout, 0, "the request did not arrive in time")
	}
	p.ClosesConnection = true
	return p
}

// checkQuarantine refuses a call that is convicted of crashing endpoints, and isolates
// one that is suspected of it.
func (s *Server) checkQuarantine(c *call) *Problem {
	standing, death := s.crashTracker.Standing(c.workspace, c.service, c.body)
	switch standing {
	case quarantiner.StandingConvicted:
		logger.Log(s.cfg.Logger, logger.RequestConvicted,
			zap.String("request_id", c.requestID), zap.String("workspace", c.workspace), zap.Uint64("death_offset", death))
		return convictedProblem(death)
	case quarantiner.StandingSuspect:
		c.isolated = true
	default:
	}
	return nil
}

// convictedProblem returns the problem for a convicted call.
func convictedProblem(death uint64) *Problem {
	return notRun(fasthttp.StatusUnprocessableEntity, CodeConvicted, 0,
		"endpoints died while an equal request ran alone; the last death is record %d of the deaths stream", death)
}

// readDeadline sets the deadline from the request header, or the default of the service.
func (c *call) readDeadline(h *fasthttp.RequestHeader, now time.Time) *Problem {
	c.deadline = now.Add(c.target.Service.DefaultDeadline())
	text := string(h.Peek(HeaderDeadline))
	if text == "" {
		return nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 1 || ms > maxDeadline.Milliseconds() {
		return badRequest(CodeBadRequest, "%s must be 1 to %d", HeaderDeadline, maxDeadline.Milliseconds())
	}
	c.deadline = now.Add(time.Duration(ms) * time.Millisecond)
	return nil
}

// checkKey requires an idempotency key for services that are not idempotent. The key
// must be a UUID of version 7, whose timestamp shows the age of the key.
func (c *call) checkKey() *Problem {
	if c.idempotencyKey == "" {
		if c.target.Service.Idempotent {
			return nil
		}
		return badRequest(CodeKeyMissing, "calls to service %s need an %s", c.service, HeaderIdempotencyKey)
	}
	id, err := uuid.Parse(c.idempotencyKey)
	if err != nil || id.Version() != 7 {
		return badRequest(CodeKeyRefused, "%s must be a UUID of version 7, which tells its age", HeaderIdempotencyKey)
	}
	return nil
}

// chooseVersion returns the version of the record in force. While too few endpoints
// serve that version, it returns the previous one if the record names it.
func (s *Server) chooseVersion(v *state, c *call) string {
	t := c.target
	if t.PreviousVersionDigest == "" || v.switchedOffsets[t.Model] != 0 {
		return t.VersionDigest
	}
	if v.table.Size(router.GroupKey{Service: c.service, VersionDigest: t.PreviousVersionDigest}) == 0 {
		return t.VersionDigest
	}
	return t.PreviousVersionDigest
}

func (c *call) group() router.GroupKey {
	return router.GroupKey{Service: c.service, VersionDigest: c.version}
}

// affinityKey returns a hash of the workspace and the body prefix, so that calls with
// the same cached prefix are routed to the same endpoint.
func (c *call) affinityKey() uint64 {
	if c.version == "" {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(c.workspace)
	_, _ = d.Write(c.body[:min(len(c.body), affinityPrefixBytes)])
	return d.Sum64() | 1
}

// ownerKey returns a hash that selects the endpoint regardless of load: of the body for
// an isolated call, so that equal calls queue at one endpoint, otherwise of the
// idempotency key within its workspace and service. 0 means no preference.
func (c *call) ownerKey() uint64 {
	if c.isolated {
		return xxhash.Sum64(c.body) | 1
	}
	if c.idempotencyKey == "" {
		return 0
	}
	return xxhash.Sum64String(c.workspace+"\x00"+c.service+"\x00"+c.idempotencyKey) | 1
}

// isRepeatable reports whether a call may be attempted again after an attempt that may
// have run: either the service is idempotent, or the claim on the key prevents a second
// run.
func (c *call) isRepeatable() bool { return c.target.Service.Idempotent || c.idempotencyKey != "" }

// isStreaming reports whether the answer is streamed.
func (c *call) isStreaming() bool { return c.target.Service.Kind == interpreter.ServiceKindModel }

// writeTraceHeaders sets the response headers that identify the request, attempt,
// version and record for tracing.
func writeTraceHeaders(ctx *fasthttp.RequestCtx, c *call, o Outcome) {
	h := &ctx.Response.Header
	h.Set(HeaderOutcome, string(o))
	h.Set(HeaderRequestID, c.requestID)
	if c.attemptID != "" {
		h.Set(HeaderAttemptID, c.attemptID)
		h.Set(HeaderEndpoint, c.endpoint)
	}
	if c.version != "" {
		h.Set(HeaderVersionDigest, c.version)
	}
	if c.target.RecordOffset > 0 {
		h.Set(HeaderRecordOffset, strconv.FormatUint(c.target.RecordOffset, 10))
	}
	if c.replayed {
		h.Set(HeaderReplayed, "true")
	}
}
