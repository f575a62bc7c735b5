// Package connector opens and serves the DRPC connections between the processes of
// the system. A DRPC connection carries one call at a time. The connection of a
// canceled or late call is closed, so that the call can't interfere with another one.
package connector

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"
)

const (
	dialTimeout = 2 * time.Second
	// maxMessageBytes bounds one message; it exceeds the largest chunk, request
	// body and snapshot.
	maxMessageBytes = 16 << 20
	// maxIdleConnections bounds the pooled connections to one address.
	maxIdleConnections = 64
)

// Dialer opens DRPC connections to other processes.
type Dialer struct {
	// TLS is the TLS configuration; nil means plain TCP.
	TLS *tls.Config
	// Wrap, if set, wraps each TCP connection before the TLS handshake.
	Wrap func(conn net.Conn, address string) net.Conn
}

// Dial opens a DRPC connection to address.
func (d *Dialer) Dial(ctx context.Context, address string) (c *drpcconn.Conn, err error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var nd net.Dialer
	var conn net.Conn
	if conn, err = nd.DialContext(ctx, "tcp", address); err != nil {
		return nil, eris.Wrapf(err, "dial %s", address)
	}
	if d.Wrap != nil {
		conn = d.Wrap(conn, address)
	}
	if d.TLS != nil {
		tc := tls.Client(conn, d.TLS)
		if err = tc.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, eris.Wrapf(err, "TLS handshake with %s", address)
		}
		conn = tc
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()}), nil
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}
}

// Serve serves mux on lis until ctx ends.
func Serve(ctx context.Context, lis net.Listener, cfg *tls.Config, mux *drpcmux.Mux) error {
	if cfg != nil {
		lis = tls.NewListener(lis, cfg)
	}
	err := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()}).Serve(ctx, lis)
	if err != nil && ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
		return eris.Wrap(err, "serve DRPC connections")
	}
	return nil
}

// Pool reuses idle connections. It is safe for concurrent use.
type Pool struct {
	Dialer *Dialer

	mu     sync.Mutex
	idle   map[string][]*drpcconn.Conn
	closed bool
}

// Get returns an idle connection or opens one.
func (p *Pool) Get(ctx context.Context, address string) (*drpcconn.Conn, error) {
	if c := p.getIdle(address); c != nil {
		return c, nil
	}
	return p.Dialer.Dial(ctx, address)
}

func (p *Pool) getIdle(address string) *drpcconn.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conns := p.idle[address]; len(conns) > 0; conns = p.idle[address] {
		c := conns[len(conns)-1]
		p.idle[address] = conns[:len(conns)-1]
		if !isClosed(c) {
			return c
		}
	}
	return nil
}

// Put returns a connection whose call ended cleanly to the pool. After any other end
// of a call, the caller must close the connection instead.
func (p *Pool) Put(address string, c *drpcconn.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || isClosed(c) || len(p.idle[address]) >= maxIdleConnections {
		_ = c.Close()
		return
	}
	if p.idle == nil {
		p.idle = map[string][]*drpcconn.Conn{}
	}
	p.idle[address] = append(p.idle[address], c)
}

// Close closes the idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, conns := range p.idle {
		for _, c := range conns {
			_ = c.Close()
		}
	}
	p.idle = nil
}

func isClosed(c *drpcconn.Conn) bool {
	select {
	case <-c.Closed():
		return true
	default:
		return false
	}
}
