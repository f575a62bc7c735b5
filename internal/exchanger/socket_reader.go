package exchanger

import (
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"flamingoledge.org/flamingoledge/internal/inspector"
)

// errConnAborted is returned instead of io.EOF by a connection that its server did not close in
// order.
var errConnAborted = fmt.Errorf("the connection was aborted: %w", io.ErrUnexpectedEOF)

// socketReader reads from a connection. It fails with a HeadTooLargeError while a limit is set and
// used up, and returns io.EOF only if the server closed the connection in order, after its host
// acknowledged the complete request.
type socketReader struct {
	conn    net.Conn
	limited bool
	left    int
	// requestWritten is closed once the complete request has been written.
	requestWritten <-chan struct{}
}

// Read implements io.Reader.
func (r *socketReader) Read(b []byte) (n int, err error) {
	if r.limited {
		if r.left == 0 {
			return 0, &HeadTooLargeError{LimitBytes: maxHeadBytes}
		}
		b = b[:min(len(b), r.left)]
	}
	n, err = r.conn.Read(b)
	for wait := minEndWait; errors.Is(err, io.EOF); wait = min(2*wait, maxEndWait) {
		switch r.endOfConn() {
		case endInOrder:
			return 0, io.EOF
		case endAborted:
			return 0, errConnAborted
		case endUndecided:
			time.Sleep(wait)
		}
		n, err = r.conn.Read(b)
	}
	if r.limited {
		r.left -= n
	}
	return n, err
}

const (
	// minEndWait and maxEndWait bound the time between checks whether the rest of a request is
	// acknowledged after the end of its response.
	minEndWait = time.Millisecond
	maxEndWait = 20 * time.Millisecond
)

// limit bounds the bytes that are read until the returned function is called.
func (r *socketReader) limit(n int) (end func()) {
	r.limited, r.left = true, n
	return func() { r.limited = false }
}

// connEnd tells what the end of a connection means.
type connEnd int

const (
	// endUndecided is an end of which it is not known yet whether the server resets the connection.
	endUndecided connEnd = iota
	endInOrder
	endAborted
)

// endOfConn returns what the end of the connection means. It is in order once the complete request is
// acknowledged. Before that, the server may still reset the connection, which a socket reports once: if a
// concurrent write gets the error, the reader sees the end of the connection instead.
func (r *socketReader) endOfConn() connEnd {
	n, err := inspector.Unacknowledged(r.conn)
	isAcknowledged := err != nil || n == 0
	switch {
	case isAcknowledged && isClosed(r.requestWritten):
		return endInOrder
	case inspector.IsClosedByPeer(r.conn):
		return endUndecided
	default:
		return endAborted
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
