package drainer

import (
	"context"
	"net"
	"sync"
	"time"
)

// conn is a connection that knows whether it is between two requests.
type conn struct {
	net.Conn
	acceptedAt time.Time

	mu sync.Mutex
	// hasRequest is set from the first byte of a request until its answer has been sent.
	hasRequest bool
	// hasNext is set once the first byte of the next request has been read before the answer to
	// this one has been sent.
	hasNext bool
	// hasAnswered is set once a request has been answered.
	hasAnswered bool
	// isExpired is set once reading has been ended between two requests.
	isExpired bool
}

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// withConn is the ConnContext hook of the server.
func withConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// IsReused reports whether the request with the context came on a connection on which an earlier
// one has been answered.
func IsReused(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasAnswered
}

func newConn(now time.Time, nc net.Conn) *conn { return &conn{Conn: nc, acceptedAt: now} }

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		// While a handler runs, http.Server reads a single byte to notice the end of the
		// connection. It is the first one of the next request.
		c.beginRequest(len(p) == 1)
	}
	return n, err
}

// NetConn returns the connection that c wraps.
func (c *conn) NetConn() net.Conn { return c.Conn }

// beginRequest records that a part of a request has been read. The rest is awaited also if
// reading was ended meanwhile.
func (c *conn) beginRequest(isNext bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasRequest, c.hasNext = true, c.hasNext || isNext
	if c.isExpired {
		c.isExpired = false
		_ = c.SetReadDeadline(time.Time{})
	}
}

// CloseWrite closes the sending side. The server uses it to avoid a reset after an answer to a
// request that it has not read completely.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// endRequest records that a request has been answered and the connection is kept.
func (c *conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasRequest, c.hasNext, c.hasAnswered = c.hasNext, false, true
}

// expireIfIdle ends reading if no part of a request has arrived since the last answer, or for a
// while on a new connection. The server then closes the connection, unless a part of a request
// has been read before: closing it here could follow that.
func (c *conn) expireIfIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hasRequest || !c.hasAnswered && now.Sub(c.acceptedAt) < firstRequestTimeout {
		return
	}
	c.isExpired = true
	_ = c.SetReadDeadline(time.Unix(1, 0))
}
