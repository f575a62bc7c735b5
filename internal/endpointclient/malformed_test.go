package endpointclient_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"flamingoledge.org/flamingoledge/internal/endpointclient"
)

// ok is the head of an answer to attempt a1 without its status line and its framing.
const ok = "X-Request-Id: r\r\nX-Attempt-Id: a1\r\n"

// TestMalformedAnswer guards against bytes that are no answer of the protocol, or not a whole one, and
// count as one.
func TestMalformedAnswer(t *testing.T) {
	const rest = ok + "Content-Length: 1\r\n\r\nx"
	tests := map[string]string{
		"status 000":                   "HTTP/1.1 000 OK\r\n" + rest,
		"status 000, then an answer":   "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n" + rest,
		"unasked upgrade":              "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\n" + rest,
		"blank in a name":              "HTTP/1.1 200 OK\r\nA B: x\r\n" + rest,
		"blank after a name":           "HTTP/1.1 200 OK\r\nA : x\r\n" + rest,
		"control character in a name":  "HTTP/1.1 200 OK\r\nA\x01: x\r\n" + rest,
		"lines that end with LF":       strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+rest, "\r", ""),
		"length and chunks":            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + rest,
		"chunks in HTTP/1.0":           "HTTP/1.0 200 OK\r\n" + ok + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
		"no line after the last chunk": "HTTP/1.1 200 OK\r\n" + ok + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n",
		"head cut after a line":        "HTTP/1.1 200 OK\r\n" + ok,
		"head cut in a line":           "HTTP/1.1 200 OK\r\n" + ok + "Content-Le",
		"head cut before its end":      "HTTP/1.1 200 OK\r\n" + ok + "Content-Length: 0\r\n\r",
		"two attempts":                 "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Attempt-Id: a0\r\nX-Request-Id: r\r\nContent-Length: 1\r\n\r\nx",
	}
	for name, data := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := endpointclient.New(listenRaw(t, func(w io.Writer, _ int, _ *http.Request) bool {
				_, _ = io.WriteString(w, data)
				return false
			}))
			defer c.Close()
			answer, err := run(t, c, "a1")
			is.True(err != nil)
			is.True(!isNotRun(err))
			is.Equal(answer, "")
		})
	}
}

// TestDoubtfulRefusal guards against "not run" for a request that the endpoint may have run.
func TestDoubtfulRefusal(t *testing.T) {
	const own = refusal + "X-Attempt-Id: a1\r\n\r\n"
	tests := map[string]struct {
		data      string
		isRefused bool
	}{
		"refusal":                   {data: own, isRefused: true},
		"refusal, then the answer":  {data: own + "HTTP/1.1 200 OK\r\n" + ok + "Content-Length: 1\r\n\r\nx"},
		"refusal with a success":    {data: strings.Replace(own, "503 Service Unavailable", "200 OK", 1)},
		"refusal with a failure":    {data: strings.Replace(own, "503 Service Unavailable", "500 Failed", 1)},
		"refusal cut in its body":   {data: strings.Replace(own, "Content-Length: 0", "Content-Length: 1", 1)},
		"refusal in a broken head":  {data: strings.Replace(own, "X-Run-State", "A B: x\r\nX-Run-State", 1)},
		"refusal with status 000":   {data: strings.Replace(own, "503 Service Unavailable", "000 ", 1)},
		"refusal with a cut head":   {data: strings.TrimSuffix(own, "\r\n")},
		"refusal of two attempts":   {data: strings.Replace(own, "X-Attempt-Id", "X-Attempt-Id: a0\r\nX-Attempt-Id", 1)},
		"refusal, other one first":  {data: refusal + "X-Attempt-Id: a0\r\n\r\n" + own},
		"refusal, then other bytes": {data: own + "x"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := endpointclient.New(listenRaw(t, func(w io.Writer, _ int, _ *http.Request) bool {
				_, _ = io.WriteString(w, tc.data)
				return false
			}))
			defer c.Close()
			_, err := run(t, c, "a1")
			is.True(err != nil)
			is.Equal(isNotRun(err), tc.isRefused)
		})
	}
}

// TestStatusOfCallsIsChecked guards against an order that counts as carried out, or weights that count as
// taken, with a status that the protocol does not have.
func TestStatusOfCallsIsChecked(t *testing.T) {
	is := is.New(t)
	c := endpointclient.New(listenRaw(t, func(w io.Writer, _ int, _ *http.Request) bool {
		_, _ = io.WriteString(w, "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}")
		return false
	}))
	defer c.Close()
	is.True(c.SendOrder(t.Context(), endpointclient.Order{}) != nil)
	is.True(c.Cancel(t.Context(), "a1") != nil)
	is.True(c.PutWeights(t.Context(), "d", 1, strings.NewReader("x")) != nil)
	_, err := c.State(t.Context())
	is.True(err != nil)
}

// TestStreamResetDuringUpload guards against a stream that counts as whole though its connection was reset
// while the request was written.
func TestStreamResetDuringUpload(t *testing.T) {
	is := is.New(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = lis.Close() }()
	go func() {
		for {
			conn, aerr := lis.Accept()
			if aerr != nil {
				return
			}
			br := bufio.NewReaderSize(conn, 16)
			for line := ""; line != "\r\n" && aerr == nil; {
				line, aerr = br.ReadString('\n')
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+ok+"\r\n{\"attempt_id\":\"a1\",\"index\":0,\"end\":true}\n")
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}()
	c := endpointclient.New(lis.Addr().String())
	defer c.Close()
	for range 20 {
		_, err = c.Run(t.Context(), endpointclient.Request{RequestID: "r", AttemptID: "a1", Stream: true, IdempotencyKey: "k", Body: make([]byte, 16<<20)}, func([]byte) error { return nil })
		var unknown *endpointclient.UnknownOutcomeError
		is.True(errors.As(err, &unknown))
		time.Sleep(time.Millisecond)
	}
}
