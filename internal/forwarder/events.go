package forwarder

import (
	"bytes"
	"errors"
	"io"
	"strconv"
)

// events is a batch of complete events of a stream, as received.
type events struct {
	data  []byte
	count int
	// lastID is the ID of the last event that has one; empty if none has.
	lastID string
}

// eventReader splits a stream into complete events and skips those that the caller
// has already received.
type eventReader struct {
	r       io.Reader
	pending []byte
	// lastDelivered is the numeric ID of the last event passed on to the caller; -1 for
	// none.
	lastDelivered int64
	atEnd         bool
}

const (
	readBufferBytes = 4 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
)

// errIncompleteEvent is returned if a stream ends within an event or an event exceeds
// maxEventBytes.
var errIncompleteEvent = errors.New("the stream ended inside an event")

func newEventReader(r io.Reader, lastEvent string) *eventReader {
	e := &eventReader{r: r, lastDelivered: -1}
	if n, err := strconv.ParseInt(lastEvent, 10, 64); err == nil {
		e.lastDelivered = n
	}
	return e
}

// next returns the next complete events. At the end of the stream, it returns them with
// io.EOF and sets atEnd.
func (e *eventReader) next() (batch events, err error) {
	buf := make([]byte, readBufferBytes)
	for {
		var n int
		n, err = e.r.Read(buf)
		e.pending = append(e.pending, buf[:n]...)
		batch = e.extractEvents()
		switch {
		case errors.Is(err, io.EOF) && len(e.pending) > 0:
			return events{}, errIncompleteEvent
		case errors.Is(err, io.EOF):
			e.atEnd = true
			return batch, io.EOF
		case err != nil && len(batch.data) == 0:
			return events{}, err
		case batch.count > 0:
			// If there was a read error, the next read returns it again.
			return batch, nil
		case len(e.pending) > maxEventBytes:
			return events{}, errIncompleteEvent
		}
	}
}

// extractEvents removes the complete events from the pending bytes and returns them.
func (e *eventReader) extractEvents() (batch events) {
	rest := e.pending
	for {
		end := eventEnd(rest)
		if end < 0 {
			break
		}
		event := rest[:end]
		rest = rest[end:]
		id, number := eventID(event)
		if number >= 0 && number <= e.lastDelivered {
			continue
		}
		if number >= 0 {
			e.lastDelivered = number
		}
		batch.data = append(batch.data, event...)
		batch.count++
		if id != "" {
			batch.lastID = id
		}
	}
	e.pending = append(e.pending[:0], rest...)
	return batch
}

// eventEnd returns the offset after the empty line that ends the first event, or -1 if
// the event is incomplete.
func eventEnd(b []byte) int {
	lf := bytes.Index(b, []byte("\n\n"))
	crlf := bytes.Index(b, []byte("\r\n\r\n"))
	switch {
	case crlf >= 0 && (lf < 0 || crlf < lf):
		return crlf + len("\r\n\r\n")
	case lf >= 0:
		return lf + len("\n\n")
	default:
		return -1
	}
}

// eventID returns the ID of an event and the ID's numeric value, which is -1 if there
// is none.
func eventID(event []byte) (id string, number int64) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id = string(bytes.TrimSpace(value))
		n, err := strconv.ParseInt(id, 10, 64)
		if err != nil {
			return id, -1
		}
		return id, n
	}
	return "", -1
}
