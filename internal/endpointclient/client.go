package endpointclient

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"flamingoledge.org/flamingoledge/internal/exchanger"
	"flamingoledge.org/flamingoledge/internal/validator"
)

const (
	// maxResponseBytes bounds the response of a plain service.
	maxResponseBytes   = 8 << 20
	maxFrameBytes      = 1 << 20
	stateTimeout       = time.Second
	connectTimeout     = time.Second
	maxIdleConnections = 64
	idleTimeout        = 3 * time.Second
	// tcpUserTimeout is longer than any pause of a sound endpoint's host.
	tcpUserTimeout = 30 * time.Second
)

// Client is a client of one endpoint. It is safe for concurrent use.
type Client struct {
	address string
	pool    *exchanger.Pool
}

// New returns a client of the endpoint at address.
func New(address string) *Client {
	return &Client{address: address, pool: exchanger.New(exchanger.Config{
		DialTimeout: connectTimeout, IdleTimeout: idleTimeout, MaxIdleConnsPerAddress: maxIdleConnections, TCPUserTimeout: tcpUserTimeout,
	})}
}

// Close closes the idle connections.
func (c *Client) Close() { c.pool.Close() }

// Request is one attempt for the endpoint to run.
type Request struct {
	RequestID      string
	AttemptID      string
	IdempotencyKey string
	VersionDigest  string
	Adapter        string
	Priority       int
	// Stream is true for a model engine, which streams its response in frames.
	Stream bool
	// ResumeFrom is the number of frames that a resumed stream skips.
	ResumeFrom int
	Body       []byte
}

// RunResult describes a complete response.
type RunResult struct {
	Status int
	// Frames is the number of frames of a streamed response.
	Frames int
	// End is the end marker of a streamed response. It is not passed to emit, so that
	// it can be sent together with the outcome.
	End []byte
}

// State returns the endpoint's report of its state.
func (c *Client) State(ctx context.Context) (s State, err error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	var body []byte
	if _, body, err = c.roundTrip(ctx, http.MethodGet, PathState, nil); err != nil {
		return State{}, err
	}
	if err = json.Unmarshal(body, &s); err != nil {
		return State{}, eris.Wrap(err, "decode endpoint state")
	}
	return s, nil
}

// SendOrder sends an order. After any error other than *OrderError, its effect is
// unknown.
func (c *Client) SendOrder(ctx context.Context, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return eris.Wrap(err, "encode order")
	}
	var status int
	if status, _, err = c.roundTrip(ctx, http.MethodPost, PathOrders, body); err != nil {
		return err
	}
	if status != http.StatusOK {
		return &OrderError{Order: o, Status: status}
	}
	return nil
}

// Cancel asks the endpoint to stop an attempt.
func (c *Client) Cancel(ctx context.Context, attemptID string) error {
	_, _, err := c.roundTrip(ctx, http.MethodPost, PathCancel+"?attempt="+attemptID, nil)
	return err
}

// PutWeights streams the weights of a version to the endpoint.
func (c *Client) PutWeights(ctx context.Context, weightsDigest string, size int64, weights io.WriterTo) error {
	d := net.Dialer{Timeout: connectTimeout}
	nc, err := d.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return eris.Wrapf(err, "dial endpoint %s", c.address)
	}
	conn := validator.NewConn(nc)
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	w := bufio.NewWriter(conn)
	head := fmt.Sprintf("PUT %s%s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n", PathWeights, weightsDigest, c.address, size)
	if _, err = w.WriteString(head); err != nil {
		return eris.Wrap(err, "put weights: write request header")
	}
	if _, err = weights.WriteTo(w); err != nil {
		return eris.Wrap(err, "put weights: write body")
	}
	if err = w.Flush(); err != nil {
		return eris.Wrap(err, "put weights: flush request")
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err = resp.Read(bufio.NewReader(conn)); err != nil {
		return eris.Wrap(err, "put weights: read response")
	}
	if resp.StatusCode() != http.StatusOK {
		return eris.Errorf("put weights: status %d", resp.StatusCode())
	}
	return nil
}

// roundTrip sends one request over a new connection and returns status and body of
// the response.
func (c *Client) roundTrip(ctx context.Context, method, path string, body []byte) (status int, respBody []byte, err error) {
	resp, err := c.pool.Exchange(ctx, exchanger.Request{Address: c.address, Method: method, Target: path, Host: c.address, Body: [][]byte{body}, NewConn: true})
	if err != nil {
		return 0, nil, eris.Wrapf(err, "%s %s", method, path)
	}
	defer resp.Close()
	respBody, err = io.ReadAll(io.LimitReader(resp, maxResponseBytes+1))
	if err == nil && len(respBody) > maxResponseBytes {
		err = eris.Errorf("response has more than %d bytes", maxResponseBytes)
	}
	if err != nil {
		return 0, nil, eris.Wrapf(err, "%s %s", method, path)
	}
	return resp.Status, respBody, nil
}

// Run runs a request and passes each piece of its response to emit as it arrives.
// The error is a *NotRunError, *UnknownOutcomeError or *ResponseMismatchError, or nil when the
// complete response was passed on.
func (c *Client) Run(ctx context.Context, r Request, emit func(piece []byte) error) (res RunResult, err error) {
	resp, err := c.pool.Exchange(ctx, c.exchangerRequest(r))
	if err != nil {
		var notSent *exchanger.NotSentError
		if errors.As(err, &notSent) {
			return RunResult{}, &NotRunError{Reason: "endpoint unreachable", Cause: err}
		}
		return RunResult{}, &UnknownOutcomeError{Reason: "no answer", Cause: err}
	}
	defer resp.Close()
	if resp.Header.Get(HeaderRunState) == RunStateNotRun {
		return RunResult{}, refusalError(resp, r)
	}
	res.Status = resp.Status
	if res.Status != http.StatusOK {
		return res, &UnknownOutcomeError{Reason: "endpoint answered with status " + strconv.Itoa(res.Status)}
	}
	if err = checkIdentity(resp.Header, r); err != nil {
		return res, err
	}
	if r.Stream {
		res.Frames, res.End, err = readFrames(resp, r, emit)
	} else {
		err = readBody(resp, emit)
	}
	return res, err
}

func (c *Client) exchangerRequest(r Request) exchanger.Request {
	path := PathCall
	if r.Stream {
		path = PathGenerate
	}
	h := http.Header{}
	h.Set(HeaderRequestID, r.RequestID)
	h.Set(HeaderAttemptID, r.AttemptID)
	setIfPresent(h, HeaderIdempotencyKey, r.IdempotencyKey)
	setIfPresent(h, HeaderVersionDigest, r.VersionDigest)
	setIfPresent(h, HeaderAdapter, r.Adapter)
	if r.ResumeFrom > 0 {
		h.Set(HeaderResumeFrom, strconv.Itoa(r.ResumeFrom))
	}
	h.Set(HeaderPriority, strconv.Itoa(r.Priority))
	return exchanger.Request{
		Address: c.address, Method: http.MethodPost, Target: path, Host: c.address, Header: h, Body: [][]byte{r.Body},
		// A request that must not run twice is never sent over a reused connection: if
		// that connection was lost, it would be unknown whether the request arrived.
		NewConn: r.IdempotencyKey != "",
	}
}

func setIfPresent(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// refusalError returns the error of a refused request. On a connection that has been used, a
// refusal has to name the attempt: without that, it may be a late answer to an earlier request,
// while the endpoint runs this one. A refusal counts only with the status of a failure, whole, and
// if nothing more has arrived.
func refusalError(resp *exchanger.Response, r Request) error {
	attempt := strings.Join(resp.Header.Values(HeaderAttemptID), ",")
	if attempt != r.AttemptID && (attempt != "" || resp.IsConnReused) {
		return &ResponseMismatchError{Field: HeaderAttemptID, Got: attempt, Want: r.AttemptID}
	}
	if !resp.MayRefuse() {
		return &UnknownOutcomeError{Reason: "refused with status " + strconv.Itoa(resp.Status)}
	}
	if n, err := io.Copy(io.Discard, io.LimitReader(resp, maxResponseBytes)); err != nil || n == maxResponseBytes {
		return &UnknownOutcomeError{Reason: "refusal not whole", Cause: err}
	}
	if resp.IsFollowed() {
		return &UnknownOutcomeError{Reason: "bytes after a refusal"}
	}
	return &NotRunError{Reason: "endpoint refused with status " + strconv.Itoa(resp.Status)}
}

// checkIdentity checks that a response belongs to the request and its version.
func checkIdentity(h http.Header, r Request) error {
	for _, check := range []struct{ name, want string }{
		{HeaderRequestID, r.RequestID},
		{HeaderAttemptID, r.AttemptID},
		{HeaderVersionDigest, r.VersionDigest},
	} {
		if got := strings.Join(h.Values(check.name), ","); got != check.want {
			return &ResponseMismatchError{Field: check.name, Got: got, Want: check.want}
		}
	}
	return nil
}

// readBody passes on the body of a plain service's response. A response that ends with its
// connection may have been cut off.
func readBody(resp *exchanger.Response, emit func([]byte) error) error {
	if !resp.IsFramed() {
		return &UnknownOutcomeError{Reason: "answer has neither a length nor chunks"}
	}
	data, err := io.ReadAll(io.LimitReader(resp, maxResponseBytes+1))
	if err != nil {
		return &UnknownOutcomeError{Reason: "answer not whole", Cause: err}
	}
	if len(data) > maxResponseBytes {
		return &UnknownOutcomeError{Reason: fmt.Sprintf("answer has more than %d bytes", maxResponseBytes)}
	}
	if err = emit(data); err != nil {
		return &UnknownOutcomeError{Reason: "caller gone", Cause: err}
	}
	return nil
}

// readFrames passes on the frames of a streamed response and returns its end marker.
// A response without that marker is incomplete.
func readFrames(body io.Reader, r Request, emit func([]byte) error) (frames int, end []byte, err error) {
	frames = r.ResumeFrom
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4<<10), maxFrameBytes)
	for lines.Scan() {
		var f Frame
		if err = json.Unmarshal(lines.Bytes(), &f); err != nil {
			return frames, nil, &UnknownOutcomeError{Reason: "frame can't be read", Cause: err}
		}
		if f.AttemptID != r.AttemptID {
			return frames, nil, &ResponseMismatchError{Field: "frame attempt_id", Got: f.AttemptID, Want: r.AttemptID}
		}
		if f.Index != frames {
			return frames, nil, &UnknownOutcomeError{Reason: fmt.Sprintf("frame %d came, want %d", f.Index, frames)}
		}
		if f.End {
			end, err = readEndMarker(lines)
			return frames, end, err
		}
		if err = emit(append(lines.Bytes(), '\n')); err != nil {
			return frames, nil, &UnknownOutcomeError{Reason: "caller gone", Cause: err}
		}
		frames++
	}
	if err = lines.Err(); err == nil {
		err = io.ErrUnexpectedEOF
	}
	return frames, nil, &UnknownOutcomeError{Reason: "no end marker", Cause: err}
}

var errAfterEnd = errors.New("bytes after the end marker")

// readEndMarker returns the end marker, after checking that the body ends there.
func readEndMarker(lines *bufio.Scanner) ([]byte, error) {
	end := append(bytes.Clone(lines.Bytes()), '\n')
	if lines.Scan() {
		return nil, &UnknownOutcomeError{Reason: "end marker was not the last line", Cause: errAfterEnd}
	}
	if err := lines.Err(); err != nil {
		return nil, &UnknownOutcomeError{Reason: "connection ended badly", Cause: err}
	}
	return end, nil
}
