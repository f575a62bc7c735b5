package receiver

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"flamingoledge.org/flamingoledge/pkg/budgeter"
)

// Conn is the connection of a caller.
type Conn struct {
	net.Conn
	receiver *Receiver
	id       budgeter.ID
	// reason is why the connection was evicted; empty if it was not. Receiver.mu guards it.
	reason budgeter.Reason
	// inRequest is set from the end of a request's head until its answer has been sent.
	inRequest atomic.Bool
	closed    sync.Once

	mu sync.Mutex
	// isExpired is set if reading has been ended.
	isExpired bool
}

// headCopies is how often a server holds the bytes of a head: as they were read and as header fields.
const headCopies = 2

// Read implements net.Conn. It waits for memory if the head of a request is large.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n <= 0 {
		return n, err
	}
	if !c.receiver.record(c, func(b *budgeter.Budget) bool { return b.Receive(time.Now(), c.id, n) }) {
		return 0, os.ErrDeadlineExceeded
	}
	if !c.inRequest.Load() {
		if growErr := c.receiver.grow(c, headCopies*int64(n)); growErr != nil {
			c.expire()
			return 0, os.ErrDeadlineExceeded
		}
	}
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closed.Do(func() {
		c.receiver.update(func(b *budgeter.Budget) { b.Close(c.id) })
		c.receiver.mu.Lock()
		delete(c.receiver.conns, c.id)
		c.receiver.mu.Unlock()
	})
	return c.Conn.Close()
}

// CloseWrite closes the sending side.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// SetReadDeadline implements net.Conn. It has no effect once reading has been ended.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isExpired {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// expire ends reading, so that the server closes the connection.
func (c *Conn) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isExpired = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// revive takes back expire.
func (c *Conn) revive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isExpired = false
	_ = c.Conn.SetReadDeadline(time.Time{})
}

// ConnOf returns the connection below the wrappers of a server; nil if no receiver has accepted it.
func ConnOf(nc net.Conn) *Conn {
	for nc != nil {
		if c, ok := nc.(*Conn); ok {
			return c
		}
		w, ok := nc.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		nc = w.NetConn()
	}
	return nil
}

type connKey struct{}

// FromContext returns the connection of the request with a context; nil if no receiver has accepted it.
func FromContext(ctx context.Context) *Conn {
	nc, _ := ctx.Value(connKey{}).(net.Conn)
	return ConnOf(nc)
}

// BeginRequest records that the head of a request has been read.
func (c *Conn) BeginRequest() {
	if c != nil {
		c.inRequest.Store(true)
	}
}

// receiveBufferBytes bounds what the kernel holds of a connection while the process does not read.
const receiveBufferBytes = 32 << 10

// setReceiveBuffer sets the size of the kernel's buffers of accepted connections.
func setReceiveBuffer(lis *net.TCPListener) {
	raw, err := lis.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
	})
}
