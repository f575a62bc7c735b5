package emulator

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"flamingoledge.org/flamingoledge/internal/endpointclient"
)

// CrashMarker crashes the endpoint that runs a request whose body contains it.
const CrashMarker = "crash-the-endpoint"

// defaultTokens is the length of a response if the prompt does not set one.
const defaultTokens = 8

// Prompt is the request body that the emulated engine parses.
type Prompt struct {
	Prompt string `json:"prompt"`
	Tokens int    `json:"tokens"`
}

// CallResponse is the response of a plain service.
type CallResponse struct {
	RequestID string `json:"request_id"`
	AttemptID string `json:"attempt_id"`
	// Run is the number of runs with the same idempotency key, including this one.
	Run int `json:"run"`
	// Echo is the hexadecimal SHA-256 digest of the request body.
	Echo string `json:"echo"`
}

var errInterrupted = errors.New("response interrupted before its last frame")

// Token returns the text that a version generates for a request body at a token index.
func Token(body []byte, versionDigest string, index int) string {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%s/%d/", versionDigest, index)
	_, _ = h.Write(body)
	return fmt.Sprintf("%x", h.Sum(nil)[:4])
}

// Echo returns the value of CallResponse.Echo for a request body.
func Echo(body []byte) string { return fmt.Sprintf("%x", sha256.Sum256(body)) }

func (e *Endpoint) handleRequest(ctx *fasthttp.RequestCtx, model bool) {
	f := e.faults.Load()
	if e.sampler.occurs(f.RefusalRate) {
		refuse(ctx, fasthttp.StatusServiceUnavailable)
		return
	}
	e.acquireCapacity()
	r, ok := e.startRun(ctx, model)
	if !ok {
		e.releaseCapacity()
		refuse(ctx, fasthttp.StatusConflict)
		return
	}
	body := bytes.Clone(requestBody(ctx))
	if bytes.Contains(body, []byte(CrashMarker)) {
		e.crash()
		e.finishRun(r, true)
		dropConnection(ctx)
		return
	}
	e.setIdentityHeaders(ctx, r, f)
	if model {
		ctx.SetContentType("application/x-ndjson")
		ctx.Response.ImmediateHeaderFlush = true
		resumeFrom, _ := strconv.Atoi(string(ctx.Request.Header.Peek(endpointclient.HeaderResumeFrom)))
		ctx.SetBodyStream(e.streamTokens(r, body, resumeFrom, f), -1)
		return
	}
	e.respondToCall(ctx, r, body, f)
}

func requestBody(ctx *fasthttp.RequestCtx) []byte {
	if s := ctx.RequestBodyStream(); s != nil {
		data, err := io.ReadAll(s)
		if err != nil {
			return nil
		}
		return data
	}
	return ctx.PostBody()
}

// refuse responds with a status and a header that says the request was not run.
func refuse(ctx *fasthttp.RequestCtx, status int) {
	ctx.Response.Header.SetBytesV(endpointclient.HeaderAttemptID, ctx.Request.Header.Peek(endpointclient.HeaderAttemptID))
	ctx.Response.Header.Set(endpointclient.HeaderRunState, endpointclient.RunStateNotRun)
	ctx.SetStatusCode(status)
}

// acquireCapacity waits until fewer than Capacity requests run.
func (e *Endpoint) acquireCapacity() {
	e.mu.Lock()
	e.queued++
	e.mu.Unlock()
	e.semaphore <- struct{}{}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queued--
	e.running++
}

func (e *Endpoint) releaseCapacity() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	<-e.semaphore
}

// run is a request in progress and the epoch in which it started.
type run struct {
	info  *Run
	epoch uint64
}

// startRun records a run. It returns false if the request is for a version that is not
// loaded.
func (e *Endpoint) startRun(ctx *fasthttp.RequestCtx, model bool) (*run, bool) {
	h := &ctx.Request.Header
	info := &Run{
		RequestID:      string(h.Peek(endpointclient.HeaderRequestID)),
		AttemptID:      string(h.Peek(endpointclient.HeaderAttemptID)),
		IdempotencyKey: string(h.Peek(endpointclient.HeaderIdempotencyKey)),
		VersionDigest:  string(h.Peek(endpointclient.HeaderVersionDigest)),
		StartedAt:      time.Now(),
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if model {
		l, ok := e.findLoaded(info.VersionDigest)
		if !ok {
			return nil, false
		}
		info.WeightsDigest = l.WeightsDigest
	}
	if info.IdempotencyKey != "" {
		e.runsByKey[info.IdempotencyKey]++
	}
	e.runs = append(e.runs, info)
	return &run{info: info, epoch: e.epoch}, true
}

// findLoaded returns the loaded version with a digest. The caller must hold mu.
func (e *Endpoint) findLoaded(versionDigest string) (endpointclient.LoadedVersion, bool) {
	for _, l := range e.loaded {
		if l.VersionDigest == versionDigest {
			return l, true
		}
	}
	return endpointclient.LoadedVersion{}, false
}

func (e *Endpoint) finishRun(r *run, interrupted bool) {
	e.mu.Lock()
	r.info.Interrupted = interrupted
	e.mu.Unlock()
	e.releaseCapacity()
}

// setIdentityHeaders copies the identifiers of a run to the response headers, with a
// wrong attempt ID at the configured rate.
func (e *Endpoint) setIdentityHeaders(ctx *fasthttp.RequestCtx, r *run, f *EndpointFaults) {
	attempt := r.info.AttemptID
	if e.sampler.occurs(f.WrongIDRate) {
		attempt = "another-" + attempt
	}
	ctx.Response.Header.Set(endpointclient.HeaderRequestID, r.info.RequestID)
	ctx.Response.Header.Set(endpointclient.HeaderAttemptID, attempt)
	ctx.Response.Header.Set(endpointclient.HeaderVersionDigest, r.info.VersionDigest)
}

func (e *Endpoint) respondToCall(ctx *fasthttp.RequestCtx, r *run, body []byte, f *EndpointFaults) {
	time.Sleep(e.cfg.FirstTokenDelay)
	e.mu.Lock()
	n := e.runsByKey[r.info.IdempotencyKey]
	e.mu.Unlock()
	interrupted := e.sampler.occurs(f.TruncationRate) || e.isInterrupted(r)
	e.finishRun(r, interrupted)
	if interrupted {
		dropConnection(ctx)
		return
	}
	writeJSON(ctx, CallResponse{RequestID: r.info.RequestID, AttemptID: r.info.AttemptID, Run: n, Echo: Echo(body)})
}

// isInterrupted reports whether a run can't complete because the endpoint restarted,
// the attempt was cancelled or its version was unloaded. It also sets WeightsChanged
// if the loaded weights differ from those at the start of the run.
func (e *Endpoint) isInterrupted(r *run) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.epoch != r.epoch || e.cancelled[r.info.AttemptID] {
		return true
	}
	if r.info.VersionDigest == "" {
		return false
	}
	l, ok := e.findLoaded(r.info.VersionDigest)
	if ok && l.WeightsDigest != r.info.WeightsDigest {
		r.info.WeightsChanged = true
	}
	return !ok
}

// streamTokens returns a reader of the run's tokens, one JSON frame per line.
func (e *Endpoint) streamTokens(r *run, body []byte, resumeFrom int, f *EndpointFaults) io.ReadCloser {
	p := Prompt{}
	if err := json.Unmarshal(body, &p); err != nil || p.Tokens <= 0 {
		p.Tokens = defaultTokens
	}
	rr := &responseReader{
		endpoint: e, run: r, body: body, tokens: p.Tokens, firstIndex: resumeFrom, index: resumeFrom, truncateAt: -1,
		firstTokenDelay: e.firstTokenDelay(body), interval: e.cfg.TokenInterval,
	}
	if e.sampler.occurs(f.TruncationRate) {
		rr.truncateAt = p.Tokens / 2
	}
	if f.Slowdown > 0 {
		rr.interval = time.Duration(float64(rr.interval) * f.Slowdown)
		rr.firstTokenDelay = time.Duration(float64(rr.firstTokenDelay) * f.Slowdown)
	}
	return rr
}

// firstTokenDelay returns the time to the first token and adds the prefix to the cache.
func (e *Endpoint) firstTokenDelay(body []byte) time.Duration {
	if e.cfg.CachedPrefixes == 0 {
		return e.cfg.FirstTokenDelay
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cache.touch(body) {
		return e.cfg.FirstTokenDelay
	}
	return e.cfg.FirstTokenDelay + e.cfg.PrefixMissDelay
}

// responseReader generates the response of a run at the configured speed.
type responseReader struct {
	endpoint        *Endpoint
	run             *run
	body            []byte
	tokens          int
	firstIndex      int
	truncateAt      int
	firstTokenDelay time.Duration
	interval        time.Duration
	dueAt           time.Time
	index           int
	pending         []byte
	ended           bool
	closed          bool
}

// Read implements io.Reader. It returns at most one frame per call.
func (rr *responseReader) Read(b []byte) (n int, err error) {
	if len(rr.pending) == 0 {
		if rr.ended {
			return 0, io.EOF
		}
		if err = rr.nextFrame(); err != nil {
			return 0, err
		}
	}
	n = copy(b, rr.pending)
	rr.pending = rr.pending[n:]
	return n, nil
}

func (rr *responseReader) nextFrame() (err error) {
	rr.sleepUntilDue()
	if rr.index == rr.truncateAt || rr.endpoint.isInterrupted(rr.run) {
		return errInterrupted
	}
	f := endpointclient.Frame{AttemptID: rr.run.info.AttemptID, Index: rr.index}
	if rr.index == rr.tokens {
		f.End = true
		rr.ended = true
	} else {
		f.Text = Token(rr.body, rr.run.info.VersionDigest, rr.index)
		rr.index++
	}
	if rr.pending, err = json.Marshal(f); err != nil {
		return err
	}
	rr.pending = append(rr.pending, '\n')
	return nil
}

// sleepUntilDue sleeps until the next token is due. Each due time is computed from the
// previous one rather than from the current time, so that late wake-ups don't
// accumulate.
func (rr *responseReader) sleepUntilDue() {
	switch {
	case rr.index == rr.firstIndex:
		rr.dueAt = time.Now().Add(rr.firstTokenDelay)
	case rr.index < rr.tokens:
		rr.dueAt = rr.dueAt.Add(rr.interval)
	}
	time.Sleep(time.Until(rr.dueAt))
}

// Close implements io.Closer. fasthttp calls it whether or not the response was read
// to its end.
func (rr *responseReader) Close() error {
	if rr.closed {
		return nil
	}
	rr.closed = true
	rr.endpoint.finishRun(rr.run, !rr.ended || len(rr.pending) > 0)
	return nil
}
