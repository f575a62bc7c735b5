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

// CrashMarker in a body crashes the endpoint that runs it.
const CrashMarker = "crash-the-endpoint"

const defaultTokens = 8

// Prompt is what the stand-in engine reads of a body.
type Prompt struct {
	Prompt string `json:"prompt"`
	Tokens int    `json:"tokens"`
}

// CallResponse is a plain service's answer.
type CallResponse struct {
	RequestID string `json:"request_id"`
	AttemptID string `json:"attempt_id"`
	// Run counts the runs under the idempotency key, this one included.
	Run int `json:"run"`
	// Echo is the SHA-256 of the body.
	Echo string `json:"echo"`
}

var errCut = errors.New("the endpoint cut the answer off")

// Token returns the text of token index that a version answers to a body.
func Token(body []byte, versionDigest string, index int) string {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%s/%d/", versionDigest, index)
	_, _ = h.Write(body)
	return fmt.Sprintf("%x", h.Sum(nil)[:4])
}

// Echo returns what a plain service answers to a body.
func Echo(body []byte) string { return fmt.Sprintf("%x", sha256.Sum256(body)) }

func (e *Endpoint) handleRequest(ctx *fasthttp.RequestCtx, model bool) {
	f := e.faults.Load()
	if e.dice.happens(f.RefusalRate) {
		refuse(ctx, fasthttp.StatusServiceUnavailable)
		return
	}
	e.enqueue()
	r, ok := e.begin(ctx, model)
	if !ok {
		e.leave()
		refuse(ctx, fasthttp.StatusConflict)
		return
	}
	body := bytes.Clone(requestBody(ctx))
	if bytes.Contains(body, []byte(CrashMarker)) {
		e.crash()
		e.end(r, true)
		dropConnection(ctx)
		return
	}
	e.echoIdentity(ctx, r, f)
	if model {
		ctx.SetContentType("application/x-ndjson")
		ctx.Response.ImmediateHeaderFlush = true
		resumeFrom, _ := strconv.Atoi(string(ctx.Request.Header.Peek(endpointclient.HeaderResumeFrom)))
		ctx.SetBodyStream(e.answer(r, body, resumeFrom, f), -1)
		return
	}
	e.answerCall(ctx, r, body, f)
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

func refuse(ctx *fasthttp.RequestCtx, status int) {
	ctx.Response.Header.Set(endpointclient.HeaderRunState, endpointclient.RunStateNotRun)
	ctx.SetStatusCode(status)
}

// enqueue waits for one of the endpoint's places.
func (e *Endpoint) enqueue() {
	e.mu.Lock()
	e.queued++
	e.mu.Unlock()
	e.slots <- struct{}{}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queued--
	e.running++
}

func (e *Endpoint) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	<-e.slots
}

type run struct {
	history *Run
	epoch   uint64
}

// begin starts a run if the endpoint holds the version asked for.
func (e *Endpoint) begin(ctx *fasthttp.RequestCtx, model bool) (*run, bool) {
	h := &ctx.Request.Header
	history := &Run{
		RequestID:      string(h.Peek(endpointclient.HeaderRequestID)),
		AttemptID:      string(h.Peek(endpointclient.HeaderAttemptID)),
		IdempotencyKey: string(h.Peek(endpointclient.HeaderIdempotencyKey)),
		VersionDigest:  string(h.Peek(endpointclient.HeaderVersionDigest)),
		StartedAt:      time.Now(),
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if model {
		l, ok := e.holds(history.VersionDigest)
		if !ok {
			return nil, false
		}
		history.WeightsDigest = l.WeightsDigest
	}
	if history.IdempotencyKey != "" {
		e.keyRuns[history.IdempotencyKey]++
	}
	e.runs = append(e.runs, history)
	return &run{history: history, epoch: e.epoch}, true
}

// holds returns the loaded version; the caller holds mu.
func (e *Endpoint) holds(versionDigest string) (endpointclient.Loaded, bool) {
	for _, l := range e.loaded {
		if l.VersionDigest == versionDigest {
			return l, true
		}
	}
	return endpointclient.Loaded{}, false
}

func (e *Endpoint) end(r *run, cut bool) {
	e.mu.Lock()
	r.history.Interrupted = cut
	e.mu.Unlock()
	e.leave()
}

func (e *Endpoint) echoIdentity(ctx *fasthttp.RequestCtx, r *run, f *EndpointFaults) {
	attempt := r.history.AttemptID
	if e.dice.happens(f.WrongIDRate) {
		attempt = "another-" + attempt
	}
	ctx.Response.Header.Set(endpointclient.HeaderRequestID, r.history.RequestID)
	ctx.Response.Header.Set(endpointclient.HeaderAttemptID, attempt)
	ctx.Response.Header.Set(endpointclient.HeaderVersionDigest, r.history.VersionDigest)
}

func (e *Endpoint) answerCall(ctx *fasthttp.RequestCtx, r *run, body []byte, f *EndpointFaults) {
	time.Sleep(e.cfg.FirstTokenDelay)
	e.mu.Lock()
	n := e.keyRuns[r.history.IdempotencyKey]
	e.mu.Unlock()
	cut := e.dice.happens(f.TruncationRate) || e.isCut(r)
	e.end(r, cut)
	if cut {
		dropConnection(ctx)
		return
	}
	writeJSON(ctx, CallResponse{RequestID: r.history.RequestID, AttemptID: r.history.AttemptID, Run: n, Echo: Echo(body)})
}

// isCut tells whether a run can't finish: the endpoint restarted, the attempt
// was cancelled, or its version was unloaded under it.
func (e *Endpoint) isCut(r *run) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.epoch != r.epoch || e.cancelled[r.history.AttemptID] {
		return true
	}
	if r.history.VersionDigest == "" {
		return false
	}
	l, ok := e.holds(r.history.VersionDigest)
	if ok && l.WeightsDigest != r.history.WeightsDigest {
		r.history.WeightsChanged = true
	}
	return !ok
}

// answer streams the tokens of a run as lines.
func (e *Endpoint) answer(r *run, body []byte, resumeFrom int, f *EndpointFaults) io.ReadCloser {
	p := Prompt{}
	if err := json.Unmarshal(body, &p); err != nil || p.Tokens <= 0 {
		p.Tokens = defaultTokens
	}
	a := &answerReader{
		endpoint: e, run: r, body: body, tokens: p.Tokens, first: resumeFrom, index: resumeFrom, cutAt: -1,
		firstToken: e.firstToken(body), interval: e.cfg.TokenInterval,
	}
	if e.dice.happens(f.TruncationRate) {
		a.cutAt = p.Tokens / 2
	}
	if f.Slowdown > 0 {
		a.interval = time.Duration(float64(a.interval) * f.Slowdown)
		a.firstToken = time.Duration(float64(a.firstToken) * f.Slowdown)
	}
	return a
}

// firstToken returns how long the first token takes.
func (e *Endpoint) firstToken(body []byte) time.Duration {
	if e.cfg.CachedPrefixes == 0 {
		return e.cfg.FirstTokenDelay
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cache.use(body) {
		return e.cfg.FirstTokenDelay
	}
	return e.cfg.FirstTokenDelay + e.cfg.PrefixMissDelay
}

type answerReader struct {
	endpoint   *Endpoint
	run        *run
	body       []byte
	tokens     int
	first      int
	cutAt      int
	firstToken time.Duration
	interval   time.Duration
	due        time.Time
	index      int
	pending    []byte
	ended      bool
	closed     bool
}

// Read implements io.Reader, one line at a time.
func (a *answerReader) Read(b []byte) (n int, err error) {
	if len(a.pending) == 0 {
		if a.ended {
			return 0, io.EOF
		}
		if err = a.next(); err != nil {
			return 0, err
		}
	}
	n = copy(b, a.pending)
	a.pending = a.pending[n:]
	return n, nil
}

func (a *answerReader) next() (err error) {
	a.wait()
	if a.index == a.cutAt || a.endpoint.isCut(a.run) {
		return errCut
	}
	f := endpointclient.Frame{AttemptID: a.run.history.AttemptID, Index: a.index}
	if a.index == a.tokens {
		f.End = true
		a.ended = true
	} else {
		f.Text = Token(a.body, a.run.history.VersionDigest, a.index)
		a.index++
	}
	if a.pending, err = json.Marshal(f); err != nil {
		return err
	}
	a.pending = append(a.pending, '\n')
	return nil
}

// wait sleeps until the next token is due. Due times follow from the start, so
// that late wake-ups do not add up.
func (a *answerReader) wait() {
	switch {
	case a.index == a.first:
		a.due = time.Now().Add(a.firstToken)
	case a.index < a.tokens:
		a.due = a.due.Add(a.interval)
	}
	time.Sleep(time.Until(a.due))
}

// Close implements io.Closer; fasthttp calls it at the end, whole or not.
func (a *answerReader) Close() error {
	if a.closed {
		return nil
	}
	a.closed = true
	a.endpoint.end(a.run, !a.ended || len(a.pending) > 0)
	return nil
}
