// Package validator checks the heads of HTTP/1.1 responses as strictly as RFC 9110 and RFC 9112
// define them. The parsers of HTTP libraries accept more, such as status 000, field names with
// blanks, or a length beside chunks, so that they take other bytes for a response or for its body
// than its server meant.
package validator

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// HeadError reports that bytes are not the head of a response.
type HeadError struct {
	Problem string
	// Line is the start of the line with the problem; empty if it is not a single line.
	Line string
}

// Error implements error.
func (e *HeadError) Error() string {
	if e.Line == "" {
		return "head of the response: " + e.Problem
	}
	return fmt.Sprintf("head of the response: %s: %q", e.Problem, e.Line)
}

// maxQuotedBytes bounds the part of a line in an error.
const maxQuotedBytes = 60

func lineError(line []byte, problem string) error {
	return &HeadError{Problem: problem, Line: string(line[:min(len(line), maxQuotedBytes)])}
}

// Head checks the head of one response: a status line, fields and an empty line. The zero value is
// ready for use.
type Head struct {
	// isTrailer is set for the fields after the last chunk, which have no status line.
	isTrailer bool
	// scanned is the number of bytes of the lines that were checked.
	scanned int
	// Status is the status code once the status line was checked.
	Status int
	// isHTTP10 is set for a response of HTTP/1.0, which has no chunks.
	isHTTP10  bool
	isChunked bool
	// length is the value of Content-Length; empty if there is none.
	length string
}

// NewTrailer returns a Head for the fields after the last chunk of a body.
func NewTrailer() *Head { return &Head{isTrailer: true} }

// IsInformational reports whether another response to the same request follows.
func (h *Head) IsInformational() bool { return h.Status < http.StatusOK }

// Scan checks the complete lines of the bytes that were received of a response, which start with
// its status line. It returns the size of the head, or 0 if its end was not received yet. It is
// called again with the same bytes and those that follow them.
func (h *Head) Scan(b []byte) (size int, err error) {
	for {
		line, _, isComplete := bytes.Cut(b[h.scanned:], []byte("\n"))
		isFirst := h.scanned == 0 && !h.isTrailer
		if !isComplete && isFirst {
			// The end of a line that starts no response might never come.
			return 0, checkProtocol(line)
		}
		if !isComplete {
			return 0, nil
		}
		h.scanned += len(line) + 1
		line, hasCR := bytes.CutSuffix(line, []byte("\r"))
		switch {
		case !hasCR:
			return 0, lineError(line, "a line does not end with CRLF")
		case isFirst:
			err = h.checkStatusLine(line)
		case len(line) == 0:
			return h.scanned, h.checkFraming()
		default:
			err = h.checkField(line)
		}
		if err != nil {
			return 0, err
		}
	}
}

const (
	protocolName = "HTTP/1."
	// statusLineBytes is the size of a status line without a reason and the blank before it, which
	// RFC 9112 lets recipients do without.
	statusLineBytes = len("HTTP/1.1 200")
)

// checkProtocol checks the start of a status line, of which only a part may have been received.
func checkProtocol(line []byte) error {
	n := min(len(line), len(protocolName))
	if string(line[:n]) != protocolName[:n] {
		return lineError(line, "not HTTP/1.1")
	}
	return nil
}

func (h *Head) checkStatusLine(line []byte) error {
	if err := checkProtocol(line); err != nil {
		return err
	}
	if len(line) < statusLineBytes || line[8] != ' ' {
		return lineError(line, "malformed status line")
	}
	if reason := line[statusLineBytes:]; len(reason) > 0 && reason[0] != ' ' || !httpguts.ValidHeaderFieldValue(string(reason)) {
		return lineError(line, "malformed status line")
	}
	switch line[7] {
	case '0':
		h.isHTTP10 = true
	case '1':
	default:
		return lineError(line, "not HTTP/1.1")
	}
	code := string(line[9:12])
	n, err := strconv.ParseUint(code, 10, 16)
	// Nobody asks for another protocol.
	if err != nil || n < http.StatusContinue || n > 599 || n == http.StatusSwitchingProtocols {
		return lineError(line, "status code "+code)
	}
	h.Status = int(n)
	return nil
}

func (h *Head) checkField(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !httpguts.ValidHeaderFieldName(string(name)) {
		return lineError(line, "malformed field name")
	}
	if !httpguts.ValidHeaderFieldValue(string(value)) {
		return lineError(line, "control character in a field")
	}
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		return h.checkLength(line, string(bytes.Trim(value, " \t")))
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		if h.isChunked || !strings.EqualFold(string(bytes.Trim(value, " \t")), "chunked") {
			return lineError(line, "unsupported transfer encoding")
		}
		h.isChunked = true
	}
	return nil
}

// checkLength checks a Content-Length, which may be repeated with the same value.
func (h *Head) checkLength(line []byte, value string) error {
	if _, err := strconv.ParseUint(value, 10, 63); err != nil || h.length != "" && h.length != value {
		return lineError(line, "invalid length")
	}
	h.length = value
	return nil
}

// checkFraming checks that there is one way to tell the end of the body.
func (h *Head) checkFraming() error {
	hasNoBody := h.IsInformational() || h.Status == http.StatusNoContent
	switch {
	case h.isTrailer && (h.isChunked || h.length != ""):
		return &HeadError{Problem: "a length or a transfer encoding in the trailer"}
	case h.isTrailer:
	case h.isChunked && h.length != "":
		return &HeadError{Problem: "both a length and a transfer encoding"}
	case h.isChunked && h.isHTTP10:
		return &HeadError{Problem: "a transfer encoding in HTTP/1.0"}
	case hasNoBody && (h.isChunked || strings.Trim(h.length, "0") != ""):
		return &HeadError{Problem: fmt.Sprintf("a body with status %d", h.Status)}
	}
	return nil
}
