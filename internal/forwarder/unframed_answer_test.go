package forwarder_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// sendThenReset sends bytes and resets the connection a moment later, so that they arrive.
func sendThenReset(data string) func(net.Conn) {
	return func(conn net.Conn) {
		_, _ = io.WriteString(conn, data)
		time.Sleep(50 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// sendThenClose sends bytes and closes the connection a moment later.
func sendThenClose(data string) func(net.Conn) {
	return func(conn net.Conn) {
		_, _ = io.WriteString(conn, data)
		time.Sleep(50 * time.Millisecond)
	}
}

// TestUnframedAnswer checks answers that have neither a length nor chunks: one that ends with
// its connection is forwarded as it is, and one that is reset or ends within an event never
// looks complete.
func TestUnframedAnswer(t *testing.T) {
	const oldHead, closeHead = "HTTP/1.0 200 OK\r\nId: ID\r\nStamp: s\r\n\r\n", signedHead + "Connection: close\r\n\r\n"
	tests := map[string]firstAnswerTest{
		"buffered, closed":             {route: "unsafe", first: respondRaw(unframedHead, sendThenClose("body")), want: reply{status: http.StatusOK, body: "body"}, runs: 1},
		"buffered, closed, HTTP/1.0":   {route: "unsafe", first: respondRaw(oldHead, sendThenClose("body")), want: reply{status: http.StatusOK, body: "body"}, runs: 1},
		"buffered, reset":              {route: "unsafe", first: respondRaw(unframedHead, sendThenReset("body")), want: reply{status: http.StatusBadGateway}, runs: 1, probes: 1},
		"buffered, reset, HTTP/1.0":    {route: "unsafe", first: respondRaw(oldHead, sendThenReset("body")), want: reply{status: http.StatusBadGateway}, runs: 1, probes: 1},
		"buffered, reset, to be asked": {route: "safe", first: respondRaw(unframedHead, sendThenReset("bo")), then: respondWith("body"), want: reply{status: http.StatusOK, body: "body"}, runs: 2, probes: 1},
		"buffered, empty, closed":      {route: "unsafe", first: respondRaw(unframedHead, sendThenClose("")), want: reply{status: http.StatusOK}, runs: 1},
		"failure, reset":               {route: "unsafe", first: respondRaw("HTTP/1.1 500 Internal Server Error\r\nId: ID\r\n\r\n", sendThenReset("body")), want: reply{status: http.StatusBadGateway}, runs: 1, probes: 1},

		"stream, closed":                         {route: "once", first: respondRaw(unframedHead, sendThenClose(events(1, 4))), want: reply{status: http.StatusOK, body: events(1, 4)}, runs: 1},
		"stream, closed, HTTP/1.0":               {route: "once", first: respondRaw(oldHead, sendThenClose(events(1, 4))), want: reply{status: http.StatusOK, body: events(1, 4)}, runs: 1},
		"stream, closed, with connection: close": {route: "once", first: respondRaw(closeHead, sendThenClose(events(1, 4))), want: reply{status: http.StatusOK, body: events(1, 4)}, runs: 1},
		"stream, closed within an event":         {route: "once", first: respondRaw(unframedHead+events(1, 2), sendThenClose("id: 3\nda")), want: reply{status: http.StatusOK, body: events(1, 2), aborted: true}, runs: 1, probes: 1},
		"stream, closed within the first event":  {route: "once", first: respondRaw(unframedHead, sendThenClose("id: 1\nda")), want: reply{status: http.StatusBadGateway}, runs: 1, probes: 1},
		"stream, closed after the event's line":  {route: "once", first: respondRaw(unframedHead+events(1, 2), sendThenClose("id: 3\ndata: piece 3\n")), want: reply{status: http.StatusOK, body: events(1, 2), aborted: true}, runs: 1, probes: 1},
		"stream, reset between events":           {route: "once", first: respondRaw(unframedHead, sendThenReset(events(1, 2))), want: reply{status: http.StatusOK, body: events(1, 2), aborted: true}, runs: 1, probes: 1},
		"stream, reset within an event":          {route: "once", first: respondRaw(oldHead, sendThenReset(events(1, 2)+"id: 3\nda")), want: reply{status: http.StatusOK, body: events(1, 2), aborted: true}, runs: 1, probes: 1},

		"stream without an event, closed":         {route: "once", first: respondRaw(unframedHead, sendThenClose("")), want: reply{status: http.StatusBadGateway}, runs: 1, probes: 1},
		"stream without an event, begun again":    {route: "stream", first: respondRaw(unframedHead, sendThenClose("")), then: streamUpTo(4), want: reply{status: http.StatusOK, body: events(1, 4)}, runs: 2, probes: 1},
		"stream without an event, framed":         {route: "once", first: respondRaw(signedHead+"Content-Length: 0\r\n\r\n", sendThenClose("")), want: reply{status: http.StatusOK}, runs: 1},
		"resumed after the last, without framing": {route: "stream", first: respondRaw(unframedHead, sendThenReset(events(1, 4))), then: respondRaw(unframedHead, sendThenClose("")), want: reply{status: http.StatusOK, body: events(1, 4), aborted: true}, runs: 2, probes: 2},

		"resumed, closed within an event": {route: "stream", first: respondRaw(unframedHead+events(1, 2), sendThenClose("id: 3\nda")), then: streamUpTo(6), want: reply{status: http.StatusOK, body: events(1, 6)}, runs: 2, probes: 1},
		"resumed, reset between events":   {route: "stream", first: respondRaw(unframedHead, sendThenReset(events(1, 2))), then: streamUpTo(6), want: reply{status: http.StatusOK, body: events(1, 6)}, runs: 2, probes: 1},
		"resumed, reset after the last":   {route: "stream", first: respondRaw(unframedHead, sendThenReset(events(1, 6))), then: streamUpTo(6), want: reply{status: http.StatusOK, body: events(1, 6)}, runs: 2, probes: 1},
		"resumed without framing, closed": {route: "stream", first: respondRaw(unframedHead, sendThenReset(events(1, 2))), then: respondRaw(oldHead, sendThenClose(events(3, 6))), want: reply{status: http.StatusOK, body: events(1, 6)}, runs: 2, probes: 1},
		"resumed without framing, reset":  {route: "stream", first: respondRaw(unframedHead, sendThenReset(events(1, 2))), then: respondRaw(unframedHead, sendThenReset(events(3, 4))), want: reply{status: http.StatusOK, body: events(1, 4), aborted: true}, runs: 2, probes: 2},
	}
	for name, tc := range tests {
		t.Run(name, tc.run)
	}
}
