package receiver

import (
	"context"
	"io"
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
	// isRefused is set if a request was refused before it had been received.
	isRefused        atomic.Bool
	lingered, closed sync.Once

	mu sync.Mutex
	// isExpired is set if reading has been ended.
	isExpired bool
	// writeDeadline is that of the server; the zero time for none.
	writeDeadline time.Time
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

const (
	// writeTimeout is how long a caller may read nothing of its answer.
	writeTimeout = 10 * time.Second
	// writeBytes is the size of the parts in which an answer is written, so that it is not cut off
	// while its caller reads slowly.
	writeBytes = 64 << 10
)

// Write implements net.Conn. It fails if the caller does not read.
func (c *Conn) Write(p []byte) (n int, err error) {
	for {
		part := p[n:min(n+writeBytes, len(p))]
		if err = c.extendWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return n, err
		}
		m, err := c.Conn.Write(part)
		if n += m; err != nil || n == len(p) {
			return n, err
		}
	}
}

// extendWriteDeadline sets the deadline of the next write, unless that of the server is earlier.
func (c *Conn) extendWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.writeDeadline.IsZero() && c.writeDeadline.Before(t) {
		t = c.writeDeadline
	}
	return c.Conn.SetWriteDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
	return c.Conn.SetWriteDeadline(t)
}

// Close implements net.Conn. If a request was refused before it had been received, the connection is
// closed a little later, so that the answer reaches a caller that is still sending: closing a connection
// with unread bytes resets it.
func (c *Conn) Close() error {
	if !c.isRefused.Load() {
		return c.closeNow()
	}
	c.lingered.Do(func() {
		c.receiver.refuse(c, time.Now().Add(lingerTime))
		go c.linger()
	})
	return nil
}

// closeNow closes the connection, once.
func (c *Conn) closeNow() (err error) {
	c.closed.Do(func() {
		c.receiver.remove(c)
		err = c.Conn.Close()
	})
	return err
}

const (
	// lingerTime is how long the rest of a refused request is read, unless others need the connection,
	// and lingerBytes how much of it.
	lingerTime  = 5 * time.Second
	lingerBytes = 16 << 20
)

// linger discards what the caller still sends and closes the connection. An eviction ends it.
func (c *Conn) linger() {
	_ = c.CloseWrite()
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	_ = c.closeNow()
}

// CloseWrite closes the sending side.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// ResetOnClose makes the end of the connection a reset, which tells a caller without another way to see
// the end of an answer that it was cut off.
func (c *Conn) ResetOnClose() {
	if c == nil {
		return
	}
	if tcp, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		_ = tcp.SetLinger(0)
	}
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

// revive takes back expire. Reading ends at a deadline, if that is not the zero time.
func (c *Conn) revive(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isExpired = false
	_ = c.Conn.SetReadDeadline(deadline)
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

// receiveBufferBytes bounds what the kernel holds of a connection while the process does not read; Linux
// holds up to twice as much. A caller 10 ms away can still send 1 MB/s.
const receiveBufferBytes = 8 << 10

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
