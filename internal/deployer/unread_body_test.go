package deployer_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"flamingoledge.org/flamingoledge/internal/configurator"
	"flamingoledge.org/flamingoledge/internal/deployer"
	"flamingoledge.org/flamingoledge/internal/entryserver"
)

// TestUnreadBodies guards against requests whose body is not read to its end that get no answer, or one
// that does not say that they have not run.
func TestUnreadBodies(t *testing.T) {
	t.Parallel()
	const maxBodyBytes = 100_000
	s := start(t, smallTopology(), deployer.Options{ConfigureEntry: func(c *entryserver.Config) {
		c.MaxBodyBytes = maxBodyBytes
		c.Callers = configurator.Callers{StallMillis: 100}
	}})
	tests := map[string]struct {
		request string
		status  int
	}{
		"announced over the limit":        {request: "Content-Length: 100001\r\n\r\n", status: 413},
		"sent over the limit":             {request: "Transfer-Encoding: chunked\r\n\r\n186a1\r\n" + strings.Repeat("x", maxBodyBytes+1), status: 413},
		"form over the limit":             {request: "Content-Type: multipart/form-data; boundary=b\r\nContent-Length: 100001\r\n\r\n--b", status: 413},
		"stops before the end":            {request: "Content-Length: 10000\r\n\r\nhello", status: 408},
		"stops before the end of a chunk": {request: "Transfer-Encoding: chunked\r\n\r\n6\r\nhello", status: 408},
		"stops in the size of a chunk":    {request: "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n1", status: 408},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			conn, err := net.Dial("tcp", s.Entries[0].HTTPAddress)
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
			head := "POST /v1/services/engine HTTP/1.1\r\nHost: h\r\nX-Workspace: " + deployer.WorkspaceName(0) + "\r\nX-Deadline-Ms: 500\r\n"
			go func() { _, _ = io.WriteString(conn, head+tc.request) }()
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			defer func() { _ = resp.Body.Close() }()
			is.Equal(resp.StatusCode, tc.status)
			is.Equal(resp.Header.Get(entryserver.HeaderOutcome), string(entryserver.OutcomeNotRun))
			is.True(resp.Close) // the connection can't be used again
		})
	}
}
