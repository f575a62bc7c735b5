package forwarder_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newRawEndpoint returns an endpoint that answers the n-th request of all with the bytes of a function, in
// which ID stands for the request's ID and RUN tells that it runs the request, and keeps connections open until it
// returns an empty string.
func newRawEndpoint(t *testing.T, answer func(n int32) string) *endpoint {
	t.Helper()
	var requests atomic.Int32
	return newEndpoint(t, func(e *endpoint, w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer func() { _ = conn.Close() }()
		_ = conn.SetDeadline(time.Now().Add(testTimeout))
		for br := bufio.NewReader(conn); err == nil; r, err = nextRequest(br) {
			data := strings.ReplaceAll(answer(requests.Add(1)), "ID", r.Header.Get("Id"))
			if before, after, runs := strings.Cut(data, "RUN"); runs {
				e.runs.Add(1)
				data = before + after
			}
			_, err = io.WriteString(conn, data)
			if data == "" || err != nil {
				return
			}
		}
	})
}

// nextRequest reads a request with its body.
func nextRequest(br *bufio.Reader) (r *http.Request, err error) {
	if r, err = http.ReadRequest(br); err == nil {
		_, err = io.Copy(io.Discard, r.Body)
	}
	return r, err
}

const (
	refusal     = "HTTP/1.1 503 Full\r\nId: ID\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nfull"
	wholeAnswer = signedHead + "Content-Length: 3\r\n\r\nyes"
)

// TestDoubtfulRefusal guards against "not run" for a request that an endpoint may have run, and against
// running it at a second one.
func TestDoubtfulRefusal(t *testing.T) {
	tests := map[string]struct {
		answer string
		// isRefused is set if the endpoint's word counts, so that another one runs the request.
		isRefused bool
	}{
		"refusal":                            {answer: refusal, isRefused: true},
		"refusal in chunks":                  {answer: "HTTP/1.1 429 Full\r\nId: ID\r\nNot-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n", isRefused: true},
		"other endpoint":                     {answer: "HTTP/1.1 421 Other\r\nId: ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", isRefused: true},
		"malformed request":                  {answer: "HTTP/1.1 400 Bad\r\nId: ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", isRefused: true},
		"refusal, then the answer":           {answer: refusal + "RUN" + wholeAnswer},
		"run, then refused":                  {answer: "RUN" + refusal + wholeAnswer},
		"refusal twice, then the answer":     {answer: refusal + refusal + "RUN" + wholeAnswer},
		"refusal with other bytes":           {answer: "RUN" + refusal + "x"},
		"refusal cut in its body":            {answer: "RUN" + strings.TrimSuffix(refusal, "l")},
		"refusal in chunks, cut":             {answer: "RUNHTTP/1.1 503 Full\r\nId: ID\r\nNot-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n"},
		"success that was not run":           {answer: "RUNHTTP/1.1 200 OK\r\nId: ID\r\nStamp: s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"},
		"failure that was not run":           {answer: "RUNHTTP/1.1 500 Failed\r\nId: ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"},
		"timeout that was not run":           {answer: "RUNHTTP/1.1 504 Late\r\nId: ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"},
		"redirection that was not run":       {answer: "RUNHTTP/1.1 302 Found\r\nId: ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"},
		"refusal of another request":         {answer: "RUN" + strings.ReplaceAll(refusal, "ID", "r0")},
		"refusal without an ID":              {answer: "RUN" + strings.ReplaceAll(refusal, "Id: ID\r\n", "")},
		"refusal with an ID and another one": {answer: "RUN" + strings.ReplaceAll(refusal, "Id: ID\r\n", "Id: ID\r\nId: r0\r\n")},
	}
	for name, tc := range tests {
		for _, route := range []string{"unsafe", "once"} {
			t.Run(name+"/"+route, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				var first atomic.Bool
				var a, b *endpoint
				respond := func(int32) string {
					switch {
					case first.CompareAndSwap(false, true):
						return tc.answer
					case route == "once":
						return "RUN" + signedHead + "Content-Length: 21\r\n\r\n" + event(1)
					default:
						return "RUN" + wholeAnswer
					}
				}
				closeAfter := func(n int32) string {
					if n > 1 {
						return ""
					}
					return respond(n)
				}
				a, b = newRawEndpoint(t, closeAfter), newRawEndpoint(t, closeAfter)
				f := newTestForwarder(t, a, b)
				if tc.isRefused {
					got := f.callPatiently(t, route)
					is.Equal(got.status, http.StatusOK)
					is.Equal(got.aborted, false)
					is.Equal(a.runs.Load()+b.runs.Load(), int32(1))
					return
				}
				got := f.call(t.Context(), t, route)
				is.Equal(a.runs.Load()+b.runs.Load(), int32(1))
				is.True(got.status == http.StatusBadGateway || got.status == http.StatusGatewayTimeout)
				is.Equal(got.header.Get("Retry-After"), "")
			})
		}
	}
}

// TestEarlierRefusalOnKeptConnection guards against an earlier refusal that an endpoint sends once more and
// that counts for the next request on the connection.
func TestEarlierRefusalOnKeptConnection(t *testing.T) {
	earlier := map[string]string{
		"with its ID":            strings.ReplaceAll(refusal, "ID", "r0"),
		"without an ID":          strings.ReplaceAll(refusal, "Id: ID\r\n", ""),
		"twice":                  strings.Repeat(strings.ReplaceAll(refusal, "ID", "r0"), 2),
		"in chunks":              "HTTP/1.1 429 Full\r\nId: r0\r\nNot-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n",
		"without a body":         "HTTP/1.1 421 Other\r\nId: r0\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"after an informational": "HTTP/1.1 103 Early Hints\r\n\r\n" + strings.ReplaceAll(refusal, "ID", "r0"),
	}
	for name, data := range earlier {
		for route, answer := range map[string]string{"safe": wholeAnswer, "stream": signedHead + "Content-Length: 21\r\n\r\n" + event(1)} {
			t.Run(name+"/"+route, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				e := newRawEndpoint(t, func(n int32) string {
					if n == 1 {
						return "RUN" + answer
					}
					return data + "RUN" + answer
				})
				f := newTestForwarder(t, e)
				for i := range int32(3) {
					got := f.callPatiently(t, route, "Id", "request-"+string('a'+i))
					is.Equal(got.status, http.StatusOK)
					is.Equal(got.aborted, false)
					is.Equal(e.runs.Load(), i+1)
				}
			})
		}
	}
}

// TestRequestsWithoutIDShareNoConnection checks that a late answer, which nothing tells apart, can't reach
// the next request without an ID.
func TestRequestsWithoutIDShareNoConnection(t *testing.T) {
	is := is.New(t)
	var conns atomic.Int32
	e := newEndpoint(t, func(_ *endpoint, w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
		conns.Add(1)
		_, _ = io.WriteString(conn, strings.ReplaceAll(wholeAnswer, "Id: ID\r\n", ""))
		if _, err = http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, strings.ReplaceAll(refusal, "Id: ID\r\n", ""))
		}
	})
	f := newTestForwarder(t, e)
	for range 3 {
		is.Equal(f.callPatiently(t, "safe", "Id", "").status, http.StatusOK)
	}
	is.Equal(conns.Load(), int32(3))
}
