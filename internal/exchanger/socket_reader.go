package exchanger

import (
	"errors"
	"fmt"
	"io"
	"net"

	"flamingoledge.org/flamingoledge/internal/inspector"
)

// errConnAborted is returned instead of io.EOF by a connection that its server did not close in
// order.
var errConnAborted = fmt.Errorf("the connection was aborted: %w", io.ErrUnexpectedEOF)

// socketReader reads from a connection. It fails with a HeadTooLargeError while a limit is set and
// used up, and returns io.EOF only if the server closed the connection in order.
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
	if r.limited {
		r.left -= n
	}
	if errors.Is(err, io.EOF) && !r.isClosedInOrder() {
		err = errConnAborted
	}
	return n, err
}

// limit bounds the bytes that are read until the returned function is called.
func (r *socketReader) limit(n int) (end func()) {
	r.limited, r.left = true, n
	return func() { r.limited = false }
}

// isClosedInOrder reports whether the end of the connection is its server's. A socket reports a
// reset once: if a concurrent write gets the error, the reader sees the end of the connection
// instead. Only the state of the socket tells them apart then.
func (r *socketReader) isClosedInOrder() bool {
	return isClosed(r.requestWritten) || inspector.IsClosedByPeer(r.conn)
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
