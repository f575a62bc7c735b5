package httpserver_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStopAnswersRequestsThatHaveBegun guards against kept connections that close without an
// answer after a part of a request has arrived.
func TestStopAnswersRequestsThatHaveBegun(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	tests := map[string]struct{ kept, sent int }{
		"first byte on a kept connection":    {kept: 1, sent: 1},
		"half a header on a kept connection": {kept: 1, sent: 16},
		"half a header on a new connection":  {sent: 16},
		"whole request":                      {kept: 2, sent: len(request)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			lis := listen(t)
			result := run(ctx, t, lis)
			c, err := net.Dial("tcp", lis.Addr().String())
			is.NoErr(err)
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(testTimeout))
			r := bufio.NewReader(c)
			exchange := func(part string) {
				_, err := io.WriteString(c, part)
				is.NoErr(err)
				resp, err := http.ReadResponse(r, nil)
				is.NoErr(err)
				is.Equal(resp.StatusCode, http.StatusOK)
				_ = resp.Body.Close()
			}
			for range tt.kept {
				exchange(request)
			}
			_, err = io.WriteString(c, request[:tt.sent])
			is.NoErr(err)
			time.Sleep(grace / 8)
			cancel()
			time.Sleep(grace / 8)
			exchange(request[tt.sent:])
			is.NoErr(<-result)
		})
	}
}
