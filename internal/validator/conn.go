package validator

import (
	"errors"
	"fmt"
	"net"
	"time"

	"flamingoledge.org/flamingoledge/internal/inspector"
)

// maxHeadBytes bounds a head with the informational ones before it.
const maxHeadBytes = 16 << 10

var (
	// errUnreadBytes is returned for a request on a connection with bytes that belong to no response.
	errUnreadBytes  = errors.New("the connection has unread bytes")
	errHeadTooLarge = &HeadError{Problem: fmt.Sprintf("more than %d bytes", maxHeadBytes)}
)

// Conn is a connection of an HTTP client that reads the response to each request before it writes the
// next one, and gives up when it can't write one, as the response may have been cut off then. It gets a
// head only once that was checked, and no request is written while bytes after the last response are
// unread.
type Conn struct {
	net.Conn
	// head is the head that is received next; nil once the last one was passed on.
	head *Head
	// received are the bytes that were received and not passed on, of which the head starts at start.
	received []byte
	start    int
}

// Dialer returns a function that opens Conns, for the libraries' Dial fields.
func Dialer(timeout time.Duration) func(address string) (net.Conn, error) {
	return func(address string) (net.Conn, error) {
		conn, err := net.DialTimeout("tcp", address, timeout)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
}

// NewConn returns a Conn without requests.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c, head: &Head{}} }

// Write implements io.Writer.
func (c *Conn) Write(b []byte) (int, error) {
	if c.head == nil {
		if n, _ := inspector.Unread(c.Conn); n > 0 || len(c.received) > 0 {
			return 0, errUnreadBytes
		}
		c.head, c.start = &Head{}, 0
	}
	return c.Conn.Write(b)
}

// Read implements io.Reader.
func (c *Conn) Read(b []byte) (n int, err error) {
	for c.head != nil {
		if err = c.readHead(); err != nil {
			return 0, err
		}
	}
	if len(c.received) > 0 {
		n = copy(b, c.received)
		if c.received = c.received[n:]; len(c.received) == 0 {
			c.received = nil
		}
		return n, nil
	}
	return c.Conn.Read(b)
}

// readHead reads and checks a part of a head.
func (c *Conn) readHead() error {
	size, err := c.head.Scan(c.received[c.start:])
	switch {
	case err != nil:
		return err
	case size > 0 && c.head.IsInformational():
		c.head, c.start = &Head{}, c.start+size
		return nil
	case size > 0:
		c.head = nil
		return nil
	case len(c.received) >= maxHeadBytes:
		return errHeadTooLarge
	}
	if len(c.received) == cap(c.received) {
		c.received = append(make([]byte, 0, max(2*cap(c.received), minBufferBytes)), c.received...)
	}
	n, err := c.Conn.Read(c.received[len(c.received):cap(c.received)])
	c.received = c.received[:len(c.received)+n]
	return err
}

const minBufferBytes = 1 << 10
