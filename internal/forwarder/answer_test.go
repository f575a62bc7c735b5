package forwarder_test

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"flamingoledge.org/flamingoledge/internal/receiver"
)

// exchangeRaw sends the head of a request to a forwarder and returns all that it answers until the connection ends.
func (f *testForwarder) exchangeRaw(t *testing.T, requestLine string) (answer string, err error) {
	t.Helper()
	conn := dial(t, f.serve(t, receiver.Limits{MemoryBytes: 2 * largeBodyBytes, MaxConns: 10, StallTime: time.Second}))
	if _, err = io.WriteString(conn, requestLine+"\r\nHost: h\r\nId: r1\r\nDeadline: 3s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"); err != nil {
		return "", err
	}
	data, err := io.ReadAll(conn)
	return string(data), err
}

// TestAnswersWithoutBody checks what callers get of answers that have no body by their status or method.
func TestAnswersWithoutBody(t *testing.T) {
	const length = "Content-Length: 5\r\n"
	tests := map[string]struct {
		method, answer string
		hasLength      bool
	}{
		"no content":   {method: "POST", answer: "HTTP/1.1 204 No Content\r\n"},
		"not modified": {method: "POST", answer: "HTTP/1.1 304 Not Modified\r\n" + length},
		"HEAD":         {method: "HEAD", answer: "HTTP/1.1 200 OK\r\n" + length, hasLength: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newTestForwarder(t, newEndpoint(t, respondRaw(tc.answer+"Id: ID\r\nStamp: s\r\n\r\n", func(net.Conn) {})))
			answer, err := f.exchangeRaw(t, tc.method+" /unsafe/1 HTTP/1.1")
			is.NoErr(err)
			head, body, ok := strings.Cut(answer, "\r\n\r\n")
			is.True(ok)
			is.Equal(body, "")
			is.Equal(strings.Contains(head, strings.TrimSpace(length)), tc.hasLength)
			is.Equal(strings.Contains(head, "Content-Length"), tc.hasLength)
		})
	}
}
