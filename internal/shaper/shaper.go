// Package shaper limits the rate of connections, so that experiments over loopback
// run at the link rates of the users' networks. There is one link per instance and one
// per pair of regions and direction, each shared by all connections that cross it.
package shaper

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// quantumBytes is the maximum size of one read or write on the wrapped
	// connection. Smaller pieces are closer to network packets, but cost more CPU
	// time.
	quantumBytes = 8 << 10
	// socketBufferBytes is small so that the kernel's socket buffers don't hide the
	// links' queues.
	socketBufferBytes = 64 << 10
)

// Link is a shared link with a limited rate. A nil *Link is unlimited.
type Link struct {
	limiter *rate.Limiter
	bytes   atomic.Int64
	// stalledUntil is the end of a stall in Unix nanoseconds.
	stalledUntil atomic.Int64
}

// NewLink returns a link with the given rate in bytes per second.
func NewLink(bytesPerSecond float64) *Link {
	return &Link{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), 2*quantumBytes)}
}

// SetRate sets the rate in bytes per second.
func (l *Link) SetRate(bytesPerSecond float64) { l.limiter.SetLimit(rate.Limit(bytesPerSecond)) }

// Stall blocks the link until the given time.
func (l *Link) Stall(until time.Time) { l.stalledUntil.Store(until.UnixNano()) }

// reserve reserves capacity for n bytes and returns how long they take to pass.
func (l *Link) reserve(now time.Time, n int) time.Duration {
	l.bytes.Add(int64(n))
	stalled := time.Duration(l.stalledUntil.Load() - now.UnixNano())
	return max(l.limiter.ReserveN(now, n).DelayFrom(now), stalled)
}

// TotalBytes returns the number of bytes sent over the link so far.
func (l *Link) TotalBytes() int64 { return l.bytes.Load() }

// WaitN waits until n bytes have passed all links or ctx ends.
func WaitN(ctx context.Context, now time.Time, n int, links []*Link) error {
	var wait time.Duration
	for _, l := range links {
		if l == nil {
			continue
		}
		wait = max(wait, l.reserve(now, n))
	}
	if wait <= 0 {
		return nil
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Conn is a connection whose reads and writes are limited by links.
type Conn struct {
	net.Conn
	in, out []*Link
}

// Wrap returns conn with its reads limited by the links in and its writes by the
// links out.
func Wrap(conn net.Conn, in, out []*Link) *Conn {
	if tc, ok := conn.(*net.TCPConn); ok {
		_ = tc.SetReadBuffer(socketBufferBytes)
		_ = tc.SetWriteBuffer(socketBufferBytes)
	}
	return &Conn{Conn: conn, in: in, out: out}
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (n int, err error) {
	if n, err = c.Conn.Read(b[:min(len(b), quantumBytes)]); err != nil {
		return n, err
	}
	return n, WaitN(context.Background(), time.Now(), n, c.in)
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (written int, err error) {
	for written < len(b) {
		piece := b[written:min(written+quantumBytes, len(b))]
		if err = WaitN(context.Background(), time.Now(), len(piece), c.out); err != nil {
			return written, err
		}
		var n int
		if n, err = c.Conn.Write(piece); err != nil {
			return written + n, err
		}
		written += n
	}
	return written, nil
}
