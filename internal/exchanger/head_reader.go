package exchanger

import (
	"bufio"
	"errors"
	"io"

	"flamingoledge.org/flamingoledge/internal/validator"
)

// scan waits for a head or a trailer, checks it and returns its size. It consumes nothing.
func (c *conn) scan(head *validator.Head) (size int, err error) {
	for n := 1; ; n = c.br.Buffered() + 1 {
		_, readErr := c.br.Peek(n)
		b, _ := c.br.Peek(c.br.Buffered())
		if size, err = head.Scan(b); err != nil || size > 0 {
			return size, err
		}
		switch {
		case readErr == nil:
		case !errors.Is(readErr, bufio.ErrBufferFull):
			return 0, readErr
		case c.br.Size() >= maxHeadBytes:
			return 0, &HeadTooLargeError{LimitBytes: maxHeadBytes}
		default:
			c.br = bufio.NewReaderSize(c.br, maxHeadBytes)
		}
	}
}

// hasBuffered reports whether bytes after the last response were read, or may have been, as is
// the case once the buffer was enlarged.
func (c *conn) hasBuffered() bool { return c.br.Buffered() > 0 || c.br.Size() > readBufferBytes }

// chunkedReader reads a chunked body with its trailer, which is checked and dropped.
type chunkedReader struct {
	conn   *conn
	chunks io.Reader
}

// Read implements io.Reader.
func (r *chunkedReader) Read(b []byte) (n int, err error) {
	if n, err = r.chunks.Read(b); !errors.Is(err, io.EOF) {
		return n, err
	}
	defer r.conn.reader.limit(maxHeadBytes)()
	size, err := r.conn.scan(validator.NewTrailer())
	if err != nil {
		return n, noEOF(err)
	}
	if _, err = r.conn.br.Discard(size); err != nil {
		return n, err
	}
	return n, io.EOF
}

// noEOF returns io.ErrUnexpectedEOF for an io.EOF.
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
