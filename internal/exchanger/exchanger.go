// Package exchanger is an HTTP/1.1 client that sends one request at a time over a
// connection. Unlike net/http, it reports whether any byte of a request may have
// reached the server, whether a response is complete and whether it belongs to the
// request. A connection on which anything unexpected happens is closed.
package exchanger

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"flamingoledge.org/flamingoledge/internal/inspector"
	"flamingoledge.org/flamingoledge/internal/validator"
)

const (
	// maxForeignResponses bounds the responses to other requests that are skipped
	// on one connection, and maxForeignBodyBytes the body of each.
	maxForeignResponses = 2
	maxForeignBodyBytes = 1 << 20
	// maxSyncWriteBytes is the largest request that is written before the response
	// is read. It fits into the send buffer of the socket.
	maxSyncWriteBytes = 16 << 10
	readBufferBytes   = 4 << 10
	// maxHeadBytes bounds the head of a response. Those of endpoints have less than 1 KB.
	maxHeadBytes = 16 << 10
)

// Config configures a Pool.
type Config struct {
	// DialTimeout bounds opening a connection.
	DialTimeout time.Duration
	// IdleTimeout bounds how long an idle connection is reused.
	IdleTimeout time.Duration
	// MaxIdleConnsPerAddress bounds the idle connections to one address.
	MaxIdleConnsPerAddress int
	// TCPUserTimeout is how long sent bytes may stay unacknowledged before the
	// connection fails.
	TCPUserTimeout time.Duration
}

// Pool sends requests and reuses idle connections. It is safe for concurrent use.
type Pool struct {
	cfg Config

	mu   sync.Mutex
	idle map[string][]*conn
}

// New returns a pool without connections.
func New(cfg Config) *Pool { return &Pool{cfg: cfg, idle: map[string][]*conn{}} }

// Request is a request that is sent at most once.
type Request struct {
	Address string
	Method  string
	// Target is the path and query of the request line.
	Target string
	Host   string
	Header http.Header
	// Body holds the parts of the body in their order.
	Body [][]byte
	// NewConn requires a new connection, on which no late response to an earlier
	// request can arrive.
	NewConn bool
	// MatchesResponse reports whether a response with the given headers belongs to
	// the request. If it is nil, every response does.
	MatchesResponse func(http.Header) bool
	// Delivery tracks the arrival of the request; nil if it is of no interest.
	Delivery *Delivery
}

// Response is the status and the headers of a response. Its body is read with Read.
type Response struct {
	Status int
	Header http.Header
	// Length is the announced length of the body; -1 if none is.
	Length int64
	// IsConnReused is set if the connection was used before, so that a late response to an earlier
	// request could arrive on it.
	IsConnReused bool

	pool     *Pool
	conn     *conn
	httpResp *http.Response
	body     io.Reader
	// stop ends the watch on the context of the exchange.
	stop func() bool
	// requestWritten is closed once the complete request has been written.
	requestWritten chan struct{}
	bodyComplete   bool
	// readErr is the error that ended the body.
	readErr error
	closed  bool
	// reusable is set if the headers allow the connection to be reused and no
	// response to another request was skipped.
	reusable bool
}

// conn is a connection to address. When idle, it may be reused until expires.
type conn struct {
	net.Conn
	br      *bufio.Reader
	reader  *socketReader
	address string
	expires time.Time
}

// Exchange sends a request and reads the status and the headers of its response.
// When ctx ends, the connection fails at once, even while the body is being read.
func (p *Pool) Exchange(ctx context.Context, r Request) (*Response, error) {
	c, err := p.connect(ctx, r)
	if err != nil {
		return nil, &NotSentError{Address: r.Address, Cause: err}
	}
	resp := &Response{pool: p, conn: c, requestWritten: make(chan struct{}), IsConnReused: !c.expires.IsZero()}
	c.reader.requestWritten = resp.requestWritten
	resp.stop = context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	if r.Delivery != nil {
		r.Delivery.start(c.Conn, resp.requestWritten)
	}
	if err = resp.write(r); err == nil {
		err = resp.readMatchingHead(r)
	}
	if err != nil {
		resp.abort()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &ResponseLostError{Address: r.Address, Cause: err}
	}
	return resp, nil
}

// connect returns an idle connection or opens a new one.
func (p *Pool) connect(ctx context.Context, r Request) (*conn, error) {
	if !r.NewConn {
		if c := p.takeIdle(r.Address); c != nil {
			return c, nil
		}
	}
	d := net.Dialer{
		Timeout:         p.cfg.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: p.cfg.TCPUserTimeout / 2, Interval: p.cfg.TCPUserTimeout / 2, Count: 2},
		Control:         p.setTCPUserTimeout,
	}
	nc, err := d.DialContext(ctx, "tcp", r.Address)
	if err != nil {
		return nil, err
	}
	reader := &socketReader{conn: nc}
	return &conn{Conn: nc, br: bufio.NewReaderSize(reader, readBufferBytes), reader: reader, address: r.Address}, nil
}

// setTCPUserTimeout bounds how long a broken connection goes unnoticed while sent
// bytes are unacknowledged.
func (p *Pool) setTCPUserTimeout(_, _ string, raw syscall.RawConn) (err error) {
	if cerr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(p.cfg.TCPUserTimeout.Milliseconds()))
	}); cerr != nil {
		return cerr
	}
	return err
}

// takeIdle removes and returns an idle connection that has no unread data, or nil if
// there is none. It closes the unusable connections that it finds.
func (p *Pool) takeIdle(address string) *conn {
	for {
		p.mu.Lock()
		conns := p.idle[address]
		if len(conns) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := conns[len(conns)-1]
		p.idle[address] = conns[:len(conns)-1]
		p.mu.Unlock()
		if time.Now().Before(c.expires) && c.hasNoUnreadData() {
			return c
		}
		_ = c.Close()
	}
}

// hasNoUnreadData reports whether nothing is waiting to be read: neither unexpected
// bytes nor the end of the connection.
func (c *conn) hasNoUnreadData() bool {
	_, err := inspector.Unread(c.Conn)
	return c.br.Buffered() == 0 && errors.Is(err, unix.EAGAIN)
}

// Prune closes the idle connections that have expired.
func (p *Pool) Prune(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.idle {
		remaining := conns[:0]
		for _, c := range conns {
			if now.Before(c.expires) {
				remaining = append(remaining, c)
			} else {
				_ = c.Close()
			}
		}
		if p.idle[address] = remaining; len(remaining) == 0 {
			delete(p.idle, address)
		}
	}
}

// Close closes the idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conns := range p.idle {
		for _, c := range conns {
			_ = c.Close()
		}
	}
	clear(p.idle)
}

// put makes a connection available for reuse for at most keepAlive.
func (p *Pool) put(c *conn, keepAlive time.Duration) {
	c.expires = time.Now().Add(min(keepAlive, p.cfg.IdleTimeout))
	_ = c.SetDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= p.cfg.MaxIdleConnsPerAddress {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// write sends the request. A large one is written concurrently with reading the
// response, because the server may respond before it has read the whole request.
func (resp *Response) write(r Request) error {
	length := 0
	for _, part := range r.Body {
		length += len(part)
	}
	var b bytes.Buffer
	b.Grow(min(length, maxSyncWriteBytes) + 1<<10)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b)
	if length > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(length) + "\r\n")
	}
	b.WriteString("\r\n")
	if b.Len()+length > maxSyncWriteBytes {
		go func() {
			if resp.writeParts(append([][]byte{b.Bytes()}, r.Body...)) == nil {
				close(resp.requestWritten)
			}
		}()
		return nil
	}
	defer close(resp.requestWritten)
	for _, part := range r.Body {
		b.Write(part)
	}
	_, err := resp.conn.Write(b.Bytes())
	return err
}

func (resp *Response) writeParts(parts [][]byte) error {
	for _, part := range parts {
		if _, err := resp.conn.Write(part); err != nil {
			return err
		}
	}
	return nil
}

func (resp *Response) isRequestWritten() bool { return isClosed(resp.requestWritten) }

// readMatchingHead reads response headers until they belong to the request. It skips
// informational responses and a bounded number of responses to other requests.
func (resp *Response) readMatchingHead(r Request) error {
	skipped := false
	for range maxForeignResponses + 1 {
		if err := resp.readHead(r); err != nil {
			return classifyReadError(err)
		}
		if r.MatchesResponse == nil || r.MatchesResponse(resp.httpResp.Header) {
			resp.Status, resp.Header, resp.Length = resp.httpResp.StatusCode, resp.httpResp.Header, resp.httpResp.ContentLength
			resp.reusable = !skipped && !resp.httpResp.Close && resp.IsFramed()
			return nil
		}
		// Another late response may follow, so the connection is not reused.
		skipped = true
		if !resp.IsFramed() {
			return ErrForeignResponse
		}
		if _, err := io.CopyN(io.Discard, resp.body, maxForeignBodyBytes); !errors.Is(err, io.EOF) {
			return ErrForeignResponse
		}
	}
	return ErrForeignResponse
}

// readHead reads the headers of the next response that is not informational. Their size is
// bounded together with that of the informational responses before it.
func (resp *Response) readHead(r Request) (err error) {
	defer resp.conn.reader.limit(maxHeadBytes)()
	for {
		// http.ReadResponse accepts malformed heads.
		if _, err = resp.conn.scan(&validator.Head{}); err != nil {
			return err
		}
		//nolint:bodyclose // The response owns the connection; Close and abort close it.
		if resp.httpResp, err = http.ReadResponse(resp.conn.br, &http.Request{Method: r.Method}); err != nil {
			return err
		}
		if resp.httpResp.StatusCode >= http.StatusOK {
			break
		}
	}
	resp.body = resp.httpResp.Body
	if resp.body != http.NoBody && len(resp.httpResp.TransferEncoding) > 0 {
		resp.body = &chunkedReader{conn: resp.conn, chunks: httputil.NewChunkedReader(resp.conn.br)}
	}
	return nil
}

// IsFramed reports whether the body is delimited by a length or by chunks
// rather than by the end of the connection.
func (resp *Response) IsFramed() bool {
	return resp.httpResp.ContentLength >= 0 || len(resp.httpResp.TransferEncoding) > 0
}

// Read reads the body. It returns io.EOF only at the end of a complete body; any
// other error means that the body is incomplete.
func (resp *Response) Read(b []byte) (int, error) {
	if resp.readErr != nil {
		// A socket reports a reset once and then the end of the connection.
		return 0, resp.readErr
	}
	n, err := resp.body.Read(b)
	switch {
	case errors.Is(err, io.EOF):
		resp.bodyComplete = true
		resp.readErr = io.EOF
	case err != nil:
		resp.readErr = &ResponseLostError{Address: resp.conn.address, Cause: classifyReadError(err)}
	}
	return n, resp.readErr
}

// MayRefuse reports whether a response may tell by its status that the request has not run.
func (resp *Response) MayRefuse() bool {
	return resp.Status >= http.StatusBadRequest && resp.Status < http.StatusInternalServerError || resp.Status == http.StatusServiceUnavailable
}

// IsFollowed reports whether the server has sent more after the complete body.
func (resp *Response) IsFollowed() bool {
	n, _ := inspector.Unread(resp.conn.Conn)
	return n > 0 || resp.conn.br.Buffered() > 0
}

// Close ends the exchange. The connection is reused only if the complete body was
// read and the complete request was written.
func (resp *Response) Close() {
	if resp.closed {
		return
	}
	resp.closed = true
	stopped := resp.stop()
	if !stopped || !resp.bodyComplete || !resp.reusable || resp.httpResp.Close || !resp.isRequestWritten() || resp.conn.hasBuffered() {
		_ = resp.conn.Close()
		return
	}
	resp.pool.put(resp.conn, serverKeepAlive(resp.Header))
}

// abort cancels the exchange and closes the connection.
func (resp *Response) abort() {
	resp.closed = true
	resp.stop()
	_ = resp.conn.Close()
}

const (
	// keepAliveShare is the fraction of the server's keep-alive timeout that is
	// used, since the server starts counting earlier.
	keepAliveShare   = 0.6
	defaultKeepAlive = time.Hour
)

// serverKeepAlive returns how long an idle connection may be reused according to the
// server's Keep-Alive header.
func serverKeepAlive(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n >= 0 {
			return time.Duration(float64(n) * keepAliveShare * float64(time.Second))
		}
	}
	return defaultKeepAlive
}
