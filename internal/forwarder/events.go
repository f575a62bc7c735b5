package forwarder

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"

	"flamingoledge.org/flamingoledge/internal/exchanger"
)

// events is a batch of complete events of a stream, as received.
type events struct {
	data  []byte
	count int
	// lastID is the ID of the last event that has one; empty if none has. endsWithID is set if that is
	// the last event.
	lastID     string
	endsWithID bool
}

// eventReader splits a stream into complete events and skips those that the caller
// has already received. Comments are passed on with the event that follows them.
type eventReader struct {
	r       io.Reader
	pending []byte
	// totalBytes counts the bytes that were read.
	totalBytes int
	// lastDelivered is the numeric ID of the last event passed on to the caller; -1 for
	// none. lastID is the ID itself.
	lastDelivered int64
	lastID        string
	// isResumption is set if the events follow those of another endpoint.
	isResumption bool
	// hasEvents is set once there was an event, and hasSkipped once one was skipped.
	hasEvents  bool
	hasSkipped bool
	atEnd      bool
	// invalid is why the stream can't go on after the events that were returned.
	invalid error
}

const (
	readBufferBytes = 4 << 10
	// maxEventBytes bounds one event with the comments before it.
	maxEventBytes = freeAnswerBytes
)

var (
	// errIncompleteEvent is returned if a stream ends within an event.
	errIncompleteEvent = errors.New("the stream ended inside an event")
	// errNoFirstEvent is returned if a stream ends before the first event, as that of an endpoint which
	// crashes does.
	errNoFirstEvent = errors.New("the stream ended before the first event")
	errNoEvent      = errors.New("the stream has something else than events")
	// errNoResumption is returned if the first event of a resumption has no ID by which it follows the
	// last one that the caller has, or if there are only events before that one.
	errNoResumption = errors.New("the stream does not go on after the last event")
)

func newEventReader(r io.Reader, lastEvent string, isResumption bool) *eventReader {
	e := &eventReader{r: r, lastDelivered: -1, lastID: lastEvent, isResumption: isResumption}
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
		if e.invalid != nil {
			return events{}, &exchanger.InvalidResponseError{Cause: e.invalid}
		}
		var n int
		n, err = e.r.Read(buf)
		e.totalBytes += n
		if e.totalBytes > maxAnswerBytes {
			return events{}, answerTooLarge()
		}
		e.pending = append(e.pending, buf[:n]...)
		batch, e.invalid = e.extractEvents()
		switch {
		case batch.count > 0 && (e.invalid != nil || !errors.Is(err, io.EOF)):
			// If there was an error, the next call returns it.
			return batch, nil
		case e.invalid != nil:
		case errors.Is(err, io.EOF):
			return e.end(batch)
		case err != nil:
			return events{}, err
		case len(e.pending) > maxEventBytes:
			return events{}, &exchanger.InvalidResponseError{Cause: fmt.Errorf("an event has more than %d bytes", maxEventBytes)}
		}
	}
}

// end returns the last events of a stream, with the comments that follow them.
func (e *eventReader) end(batch events) (events, error) {
	if e.isResumption && e.hasSkipped && !e.hasEvents {
		return events{}, &exchanger.InvalidResponseError{Cause: errNoResumption}
	}
	if rest := e.pending; len(rest) > 0 {
		for end := blockEnd(rest); end >= 0; end = blockEnd(rest) {
			rest = rest[end:]
		}
		if len(rest) > 0 {
			return events{}, errIncompleteEvent
		}
		if e.hasEvents || !e.isResumption {
			batch.data = append(batch.data, e.pending...)
		}
	}
	e.atEnd = true
	return batch, io.EOF
}

// extractEvents removes the complete events from the pending bytes and returns them.
func (e *eventReader) extractEvents() (batch events, err error) {
	rest := e.pending
	for {
		var end int
		if end, err = eventEnd(rest); end < 0 {
			break
		}
		event := rest[:end]
		rest = rest[end:]
		id, number := eventID(event)
		if number >= 0 && number <= e.lastDelivered {
			e.hasSkipped = true
			continue
		}
		if e.isResumption && !e.hasEvents && !e.follows(id, number) {
			err = errNoResumption
			break
		}
		if number >= 0 {
			e.lastDelivered = number
		}
		batch.data = append(batch.data, event...)
		batch.count++
		e.hasEvents = true
		batch.endsWithID = id != ""
		if batch.endsWithID {
			batch.lastID = id
		}
	}
	e.pending = append(e.pending[:0], rest...)
	return batch, err
}

// follows reports whether an event with a new ID can be the one after the last delivered event.
func (e *eventReader) follows(id string, number int64) bool {
	if e.lastDelivered >= 0 {
		return number > e.lastDelivered
	}
	return id != "" && id != e.lastID
}

// eventEnd returns the offset after the first event, with the comments before it, or -1 if
// the event is incomplete. It returns errNoEvent if there can't be one.
func eventEnd(b []byte) (int, error) {
	for end := 0; ; {
		n := blockEnd(b[end:])
		if n < 0 {
			return -1, nil
		}
		switch kind := kindOfBlock(b[end : end+n]); kind {
		case blockEvent:
			return end + n, nil
		case blockInvalid:
			return -1, errNoEvent
		case blockWithoutData:
			end += n
		}
	}
}

// blockEnd returns the offset after the empty line that ends the first block of lines, or -1
// if the block is incomplete.
func blockEnd(b []byte) int {
	lf := bytes.Index(b, []byte("\n\n"))
	if lf >= 0 {
		b = b[:lf]
	}
	if crlf := bytes.Index(b, []byte("\r\n\r\n")); crlf >= 0 {
		return crlf + len("\r\n\r\n")
	}
	if lf >= 0 {
		return lf + len("\n\n")
	}
	return -1
}

// blockKind tells what a block of lines is.
type blockKind int

const (
	// blockInvalid has none of the fields of the format.
	blockInvalid blockKind = iota
	// blockWithoutData has only comments and settings, which are no event.
	blockWithoutData
	blockEvent
)

func kindOfBlock(block []byte) blockKind {
	isEmpty, kind := true, blockInvalid
	for line := range bytes.SplitSeq(block, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) == 0 {
			continue
		}
		isEmpty = false
		switch name, _, _ := bytes.Cut(line, []byte(":")); string(name) {
		case "data", "id":
			return blockEvent
		case "", "event", "retry":
			kind = blockWithoutData
		}
	}
	if isEmpty {
		return blockWithoutData
	}
	return kind
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
