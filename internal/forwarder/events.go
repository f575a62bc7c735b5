package forwarder

import (
	"bytes"
	"errors"
	"io"
	"strconv"
)

// events are whole events of a stream as they came.
type events struct {
	data  []byte
	count int
	// last is the id of the last one; empty if none had one.
	last string
}

// eventReader splits a stream into whole events. Those that the caller has
// already are left out.
type eventReader struct {
	r       io.Reader
	pending []byte
	// after is the id of the last event that the caller has, -1 for none.
	after int64
	done  bool
}

const (
	eventChunk = 4 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
)

// errTornEvent tells that a stream ended inside an event.
var errTornEvent = errors.New("the stream ended inside an event")

func newEventReader(r io.Reader, lastEvent string) *eventReader {
	e := &eventReader{r: r, after: -1}
	if n, err := strconv.ParseInt(lastEvent, 10, 64); err == nil {
		e.after = n
	}
	return e
}

// next returns the whole events that came next. At the end of the stream it
// returns io.EOF with them, and done is set.
func (e *eventReader) next() (es events, err error) {
	buf := make([]byte, eventChunk)
	for {
		var n int
		n, err = e.r.Read(buf)
		e.pending = append(e.pending, buf[:n]...)
		es = e.take()
		switch {
		case errors.Is(err, io.EOF) && len(e.pending) > 0:
			return events{}, errTornEvent
		case errors.Is(err, io.EOF):
			e.done = true
			return es, io.EOF
		case err != nil && len(es.data) == 0:
			return events{}, err
		case es.count > 0:
			// An error comes again with the next read.
			return es, nil
		case len(e.pending) > maxEventBytes:
			return events{}, errTornEvent
		}
	}
}

// take takes the whole events out of the pending bytes.
func (e *eventReader) take() (es events) {
	rest := e.pending
	for {
		end := eventEnd(rest)
		if end < 0 {
			break
		}
		event := rest[:end]
		rest = rest[end:]
		id, number := eventID(event)
		if number >= 0 && number <= e.after {
			continue
		}
		if number >= 0 {
			e.after = number
		}
		es.data = append(es.data, event...)
		es.count++
		if id != "" {
			es.last = id
		}
	}
	e.pending = append(e.pending[:0], rest...)
	return es
}

// eventEnd returns where the first event ends, behind its empty line; -1 if it is
// not whole.
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

// eventID returns the id of an event and its number, -1 if it has none.
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
