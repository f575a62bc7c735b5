package receiver

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"time"

	"flamingoledge.org/flamingoledge/pkg/budgeter"
)

// TooLargeError reports that a body is larger than allowed.
type TooLargeError struct {
	LimitBytes int64
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the body has more than %d bytes", e.LimitBytes)
}

// NoMemoryError reports that a request was not received because callers hold all the memory for them.
type NoMemoryError struct {
	Reason budgeter.Reason
	Usage  budgeter.Usage
	// RetryAfter is the time after which the caller may send the request again.
	RetryAfter time.Duration
}

// Error implements error.
func (e *NoMemoryError) Error() string {
	return fmt.Sprintf("no memory for the request (%s): %d bytes are held on %d connections", e.Reason, e.Usage.MemoryBytes, e.Usage.Conns)
}

// Body is the body of a request. Its parts are allocated as its bytes arrive.
type Body struct {
	parts [][]byte
	size  int64
	conn  *Conn
	// charged is the memory that the account has for it.
	charged int64
}

// Parts returns the bytes of the body. They must not be changed.
func (b *Body) Parts() [][]byte { return b.parts }

// Bytes joins the parts of the body.
func (b *Body) Bytes() []byte {
	if len(b.parts) != 1 {
		b.parts = [][]byte{bytes.Join(b.parts, nil)}
	}
	return b.parts[0]
}

const (
	// minPartBytes is the size of the first part of a body. Usual ones have less.
	minPartBytes = 1 << 10
	// maxPartBytes is the size of the largest parts: the largest that the runtime allocates without
	// rounding up to pages.
	maxPartBytes = 32 << 10
	// partGrowth is the ratio of the sizes of two parts.
	partGrowth = 4
)

// ReadBody reads the body of a request from src, as far as there is memory for it, and ends the
// receiving of the request. length is the announced length, negative if there is none, and limit the
// allowed one. The connection may be nil; then there is no account. It returns a *TooLargeError, a
// *NoMemoryError or the error of src.
func (c *Conn) ReadBody(src io.Reader, length, limit int64) (b *Body, err error) {
	b = &Body{conn: c}
	c.BeginRequest()
	if length > limit {
		err = &TooLargeError{LimitBytes: limit}
	} else {
		err = b.read(src, length, limit)
	}
	if c != nil {
		err = c.complete(err)
		c.isRefused.Store(err != nil)
	}
	if err != nil {
		b.Release()
		return nil, err
	}
	return b, nil
}

// complete ends the receiving of a request, whose body was read with an error or none. It returns why
// the request can't be served, if so.
func (c *Conn) complete(err error) error {
	var tooLarge *TooLargeError
	var noMemory *NoMemoryError
	switch {
	case errors.As(err, &tooLarge), errors.As(err, &noMemory):
		return err
	case err == nil && c.receiver.record(c, func(b *budgeter.Budget) bool { return b.Complete(time.Now(), c.id) }):
		return nil
	}
	c.receiver.mu.Lock()
	defer c.receiver.mu.Unlock()
	if err != nil && c.reason == "" {
		return err
	}
	return &NoMemoryError{Reason: c.reason, Usage: c.receiver.budget.Usage(), RetryAfter: c.receiver.retryAfter()}
}

func (b *Body) read(src io.Reader, length, limit int64) error {
	if length == 0 {
		return nil
	}
	partBytes := int64(minPartBytes)
	for {
		if last := len(b.parts) - 1; last < 0 || len(b.parts[last]) == cap(b.parts[last]) {
			size := min(partBytes, limit-b.size+1)
			if length > 0 {
				size = min(size, max(length-b.size, 1))
			}
			if err := b.addPart(size); err != nil {
				return err
			}
			partBytes = min(partGrowth*partBytes, maxPartBytes)
		}
		p := &b.parts[len(b.parts)-1]
		n, err := src.Read((*p)[len(*p):cap(*p)])
		*p = (*p)[:len(*p)+n]
		b.size += int64(n)
		switch {
		case b.size > limit:
			return &TooLargeError{LimitBytes: limit}
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// addPart adds an empty part, once there is memory for it.
func (b *Body) addPart(size int64) error {
	if b.conn != nil {
		charge := size * int64(b.conn.receiver.cfg.Copies)
		if err := b.conn.receiver.grow(b.conn, charge); err != nil {
			return err
		}
		b.charged += charge
	}
	b.parts = append(b.parts, make([]byte, 0, size))
	return nil
}

// Release frees the memory of the body, which must not be used any more. Further calls have no effect.
func (b *Body) Release() {
	if b == nil {
		return
	}
	charged := b.charged
	b.parts, b.size, b.charged = nil, 0, 0
	if charged > 0 {
		b.conn.receiver.update(func(budget *budgeter.Budget) { budget.Shrink(b.conn.id, charged) })
	}
}
