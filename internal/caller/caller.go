// Package caller is a client that calls entries as the users' applications do and
// checks that answers are complete. The demo, the experiments and the tests use it.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"flamingoledge.org/flamingoledge/internal/endpointclient"
	"flamingoledge.org/flamingoledge/internal/entryserver"
	"flamingoledge.org/flamingoledge/internal/validator"
)

// Config configures a Caller.
type Config struct {
	// MaxConnections bounds the number of connections to one entry.
	MaxConnections int
}

// dialTimeout bounds opening a connection to an entry, as the default of fasthttp does.
const dialTimeout = fasthttp.DefaultDialTimeout

// Caller sends requests to entries. It is safe for concurrent use.
type Caller struct {
	client *fasthttp.Client
}

// New returns a caller.
func New(cfg Config) *Caller {
	return &Caller{client: &fasthttp.Client{
		Dial:                      validator.Dialer(dialTimeout),
		MaxConnsPerHost:           cfg.MaxConnections,
		StreamResponseBody:        true,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// Request is one request of a caller.
type Request struct {
	// EntryAddress is the IP address and port of an entry.
	EntryAddress   string
	Workspace      string
	Service        string
	IdempotencyKey string
	RequestID      string
	Deadline       time.Duration
	Body           []byte
}

// Reply is the response of an entry.
type Reply struct {
	Status  int
	Outcome entryserver.Outcome
	// Complete is true if every byte of the answer was received.
	Complete      bool
	Body          []byte
	Code          entryserver.Code
	RequestID     string
	AttemptID     string
	VersionDigest string
	RecordOffset  uint64
	Endpoint      string
	// TimeToFirstByte is the time from the start of the call to the first byte of
	// the answer.
	TimeToFirstByte time.Duration
	Elapsed         time.Duration
}

// Do sends a request and reads the reply. It returns an error if the connection
// fails; the outcome of the request is unknown then.
func (c *Caller) Do(ctx context.Context, r Request) (reply Reply, err error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	fillRequest(req, r)
	started := time.Now()
	if err = c.client.DoDeadline(req, resp, started.Add(timeout(ctx, r, started))); err != nil {
		return Reply{Outcome: entryserver.OutcomeUnknown}, eris.Wrapf(err, "call entry %s", r.EntryAddress)
	}
	reply = readHeader(resp)
	err = reply.readBody(resp, started)
	if err != nil {
		resp.SetConnectionClose()
	}
	_ = resp.CloseBodyStream()
	reply.Elapsed = time.Since(started)
	return reply, err
}

// deadlineGrace is the time after a request's deadline for which Do still waits for
// the reply.
const deadlineGrace = 5 * time.Second

// timeout returns how long Do waits for the reply.
func timeout(ctx context.Context, r Request, now time.Time) time.Duration {
	d := time.Minute
	if r.Deadline > 0 {
		d = r.Deadline + deadlineGrace
	}
	if cd, ok := ctx.Deadline(); ok {
		d = min(d, cd.Sub(now))
	}
	return d
}

func fillRequest(req *fasthttp.Request, r Request) {
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + r.EntryAddress + entryserver.PathServices + r.Service)
	req.Header.Set(entryserver.HeaderWorkspace, r.Workspace)
	if r.RequestID != "" {
		req.Header.Set(entryserver.HeaderRequestID, r.RequestID)
	}
	if r.IdempotencyKey != "" {
		req.Header.Set(entryserver.HeaderIdempotencyKey, r.IdempotencyKey)
	}
	if r.Deadline > 0 {
		req.Header.Set(entryserver.HeaderDeadline, strconv.FormatInt(r.Deadline.Milliseconds(), 10))
	}
	req.SetBodyRaw(r.Body)
}

func readHeader(resp *fasthttp.Response) Reply {
	h := &resp.Header
	offset, _ := strconv.ParseUint(string(h.Peek(entryserver.HeaderRecordOffset)), 10, 64)
	return Reply{
		Status:        resp.StatusCode(),
		Outcome:       entryserver.Outcome(h.Peek(entryserver.HeaderOutcome)),
		RequestID:     string(h.Peek(entryserver.HeaderRequestID)),
		AttemptID:     string(h.Peek(entryserver.HeaderAttemptID)),
		VersionDigest: string(h.Peek(entryserver.HeaderVersionDigest)),
		Endpoint:      string(h.Peek(entryserver.HeaderEndpoint)),
		RecordOffset:  offset,
	}
}

func (r *Reply) readBody(resp *fasthttp.Response, started time.Time) error {
	buf := make([]byte, 4<<10)
	for {
		n, err := resp.BodyStream().Read(buf)
		if n > 0 && r.TimeToFirstByte == 0 {
			r.TimeToFirstByte = time.Since(started)
		}
		r.Body = append(r.Body, buf[:n]...)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			r.Outcome = entryserver.OutcomeUnknown
			return eris.Wrap(err, "read answer")
		}
	}
	if r.Status == fasthttp.StatusOK {
		r.Complete = true
		return nil
	}
	var body struct {
		Error struct {
			Code entryserver.Code `json:"code"`
		} `json:"error"`
	}
	if err := json.Unmarshal(r.Body, &body); err == nil {
		r.Code = body.Error.Code
	}
	return nil
}

// Frames returns the frames of a streamed answer without its end marker. ended is
// false if the marker is missing or its index is not the number of frames.
func (r Reply) Frames() (frames []endpointclient.Frame, ended bool) {
	for l := range bytes.Lines(r.Body) {
		var f endpointclient.Frame
		if json.Unmarshal(l, &f) != nil {
			return frames, false
		}
		if f.End {
			return frames, f.Index == len(frames)
		}
		frames = append(frames, f)
	}
	return frames, false
}
