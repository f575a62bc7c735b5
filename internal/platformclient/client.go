// Package platformclient implements the client side of the platform's HTTP API.
// Package emulator implements a server of this API for tests, the demo and experiments.
package platformclient

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"flamingoledge.org/flamingoledge/internal/validator"
	"flamingoledge.org/flamingoledge/pkg/provider"
)

const (
	defaultTimeout    = 5 * time.Second
	maxResponseBytes  = 128 << 20
	maxConnections    = 64
	maxConnectionIdle = 10 * time.Second
	// longPollGrace is the time for the response to a long poll, in addition to the
	// requested wait.
	longPollGrace = 2 * time.Second
)

// Config configures a Client.
type Config struct {
	// Address is the platform's host and port.
	Address string
	// Timeout bounds each call other than a long poll; 0 means 5 s.
	Timeout time.Duration
	// Dial, if set, replaces the TCP dial.
	Dial func(address string) (net.Conn, error)
}

// Client implements provider.Log, provider.Origin and provider.Directory. It is safe
// for concurrent use.
type Client struct {
	cfg  Config
	http *fasthttp.HostClient

	mu sync.Mutex
	// cachedInstances is the last instance list and cachedETag its ETag, so that
	// the platform need not send an unchanged list again.
	cachedInstances []provider.Instance
	cachedETag      string
}

var (
	_ provider.Log       = (*Client)(nil)
	_ provider.Origin    = (*Client)(nil)
	_ provider.Directory = (*Client)(nil)
)

// New returns a client of the platform.
func New(cfg Config) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	return &Client{cfg: cfg, http: &fasthttp.HostClient{
		Addr:                cfg.Address,
		Dial:                cfg.dialValidated,
		MaxConns:            maxConnections,
		MaxIdleConnDuration: maxConnectionIdle,
		MaxResponseBodySize: maxResponseBytes,
		// A lost response must be returned as an error: only the caller knows whether
		// the request may be repeated.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// dialValidated opens a connection on which the heads of responses are checked.
func (c Config) dialValidated(address string) (net.Conn, error) {
	dial := c.Dial
	if dial == nil {
		dial = fasthttp.Dial
	}
	conn, err := dial(address)
	if err != nil {
		return nil, err
	}
	return validator.NewConn(conn), nil
}

// AppendRequest is the body of a request to append records.
type AppendRequest struct {
	Records []json.RawMessage `json:"records"`
}

// AppendResponse is the body of the response to an append.
type AppendResponse struct {
	FirstOffset uint64 `json:"first_offset"`
}

// Append implements provider.Log.
func (c *Client) Append(ctx context.Context, stream string, data ...json.RawMessage) (first uint64, err error) {
	var body []byte
	if body, err = json.Marshal(AppendRequest{Records: data}); err != nil {
		return 0, eris.Wrap(err, "encode append")
	}
	var resp AppendResponse
	if err = c.callJSON(ctx, fasthttp.MethodPost, "/v1/logs/"+stream+"/records", body, 0, &resp); err != nil {
		return 0, err
	}
	return resp.FirstOffset, nil
}

// Read implements provider.Log.
func (c *Client) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (p provider.Page, err error) {
	path := fmt.Sprintf("/v1/logs/%s/records?from=%d&limit=%d&wait_ms=%d", stream, from, limit, wait.Milliseconds())
	if wait <= 0 {
		err = c.callJSON(ctx, fasthttp.MethodGet, path, nil, wait, &p)
		return p, err
	}
	// A long-poll read must return when ctx ends, but fasthttp does not support
	// contexts. The request then continues in the goroutine and its response is
	// discarded.
	type result struct {
		page provider.Page
		err  error
	}
	done := make(chan result, 1)
	go func() {
		var r result
		r.err = c.callJSON(ctx, fasthttp.MethodGet, path, nil, wait, &r.page)
		done <- r
	}()
	select {
	case r := <-done:
		return r.page, r.err
	case <-ctx.Done():
		return p, &provider.UnavailableError{Operation: "read " + stream, Cause: ctx.Err()}
	}
}

// Manifest implements provider.Origin.
func (c *Client) Manifest(ctx context.Context, digest string) ([]byte, error) {
	return c.call(ctx, fasthttp.MethodGet, "/v1/store/"+url.PathEscape(digest), nil, 0, nil)
}

// PutManifest implements provider.Origin.
func (c *Client) PutManifest(ctx context.Context, digest string, data []byte) error {
	_, err := c.call(ctx, fasthttp.MethodPut, "/v1/store/"+url.PathEscape(digest), data, 0, nil)
	return err
}

// ReadAt implements provider.Origin.
func (c *Client) ReadAt(ctx context.Context, digest string, offset int64, buf []byte) error {
	path := fmt.Sprintf("/v1/origin/%s?offset=%d&length=%d", url.PathEscape(digest), offset, len(buf))
	data, err := c.call(ctx, fasthttp.MethodGet, path, nil, 0, buf)
	if err != nil {
		return err
	}
	if len(data) != len(buf) {
		return &provider.UnavailableError{Operation: "read origin", Cause: fmt.Errorf("%d bytes, want %d", len(data), len(buf))}
	}
	return nil
}

// PutWeights implements provider.Origin.
func (c *Client) PutWeights(ctx context.Context, digest string, data []byte) error {
	_, err := c.call(ctx, fasthttp.MethodPut, "/v1/origin/"+url.PathEscape(digest), data, 0, nil)
	return err
}

// InstancesResponse is the body of the response with the instance list.
type InstancesResponse struct {
	Instances []provider.Instance `json:"instances"`
}

// Instances implements provider.Directory.
func (c *Client) Instances(ctx context.Context) ([]provider.Instance, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	c.mu.Lock()
	defer c.mu.Unlock()
	req.SetRequestURI("http://" + c.cfg.Address + "/v1/instances")
	req.Header.Set(fasthttp.HeaderAcceptEncoding, "gzip")
	if c.cachedETag != "" {
		req.Header.Set(fasthttp.HeaderIfNoneMatch, c.cachedETag)
	}
	if err := c.http.DoDeadline(req, resp, c.deadline(ctx, 0)); err != nil {
		return nil, &provider.UnavailableError{Operation: "list instances", Cause: err}
	}
	switch resp.StatusCode() {
	case fasthttp.StatusNotModified:
		return slices.Clone(c.cachedInstances), nil
	case fasthttp.StatusOK:
		return c.cacheInstances(resp)
	default:
		return nil, &provider.UnavailableError{Operation: "list instances", Status: resp.StatusCode()}
	}
}

// cacheInstances decodes a changed list and caches it with its ETag. The caller must
// hold mu.
func (c *Client) cacheInstances(resp *fasthttp.Response) ([]provider.Instance, error) {
	body, err := resp.BodyUncompressed()
	if err != nil {
		return nil, &provider.UnavailableError{Operation: "list instances", Cause: err}
	}
	var list InstancesResponse
	if err = json.Unmarshal(body, &list); err != nil {
		return nil, &provider.UnavailableError{Operation: "list instances", Cause: err}
	}
	c.cachedInstances = list.Instances
	c.cachedETag = string(resp.Header.Peek(fasthttp.HeaderETag))
	return slices.Clone(c.cachedInstances), nil
}

// Announce implements provider.Directory.
func (c *Client) Announce(ctx context.Context, instance provider.Instance) error {
	body, err := json.Marshal(instance)
	if err != nil {
		return eris.Wrap(err, "encode instance")
	}
	_, err = c.call(ctx, fasthttp.MethodPost, "/v1/instances", body, 0, nil)
	return err
}

// callJSON sends one request and decodes the JSON body of the response.
func (c *Client) callJSON(ctx context.Context, method, path string, body []byte, wait time.Duration, out any) error {
	data, err := c.call(ctx, method, path, body, wait, nil)
	if err != nil {
		return err
	}
	if err = json.Unmarshal(data, out); err != nil {
		return &provider.UnavailableError{Operation: method + " " + path, Cause: err}
	}
	return nil
}

// call sends one request and returns the body of the response. The body is appended
// to buf[:0], so that it reuses buf if it fits.
func (c *Client) call(ctx context.Context, method, path string, body []byte, wait time.Duration, buf []byte) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, &provider.UnavailableError{Operation: method + " " + path, Cause: err}
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.cfg.Address + path)
	req.SetBodyRaw(body)
	if err := c.http.DoDeadline(req, resp, c.deadline(ctx, wait)); err != nil {
		return nil, &provider.UnavailableError{Operation: method + " " + path, Cause: err}
	}
	switch status := resp.StatusCode(); status {
	case fasthttp.StatusOK:
		return append(buf[:0], resp.Body()...), nil
	case fasthttp.StatusNotFound:
		return nil, &provider.NotFoundError{Operation: method, Name: path}
	default:
		return nil, &provider.UnavailableError{Operation: method + " " + path, Status: status}
	}
}

// deadline returns the time limit of a call, which ctx may shorten. A call with a
// wait is a long poll.
func (c *Client) deadline(ctx context.Context, wait time.Duration) time.Time {
	limit := c.cfg.Timeout
	if wait > 0 {
		limit = wait + longPollGrace
	}
	d := time.Now().Add(limit)
	if ctxDeadline, ok := ctx.Deadline(); ok && ctxDeadline.Before(d) {
		return ctxDeadline
	}
	return d
}
