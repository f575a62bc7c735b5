package validator_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"flamingoledge.org/flamingoledge/internal/validator"
)

const testTimeout = 5 * time.Second

// serveRaw passes each connection to a function and returns a client that uses a Conn, and the number of
// connections.
func serveRaw(t *testing.T, serve func(conn *net.TCPConn)) (client *fasthttp.HostClient, conns *atomic.Int32) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	conns = new(atomic.Int32)
	go func() {
		for {
			conn, aerr := lis.Accept()
			if aerr != nil {
				return
			}
			conns.Add(1)
			go func() {
				defer func() { _ = conn.Close() }()
				_ = conn.SetDeadline(time.Now().Add(testTimeout))
				serve(conn.(*net.TCPConn))
			}()
		}
	}()
	return &fasthttp.HostClient{Addr: lis.Addr().String(), MaxIdemponentCallAttempts: 1, Dial: validator.Dialer(testTimeout)}, conns
}

// answerAll answers each request on a connection with the same bytes, in parts of a size.
func answerAll(data string, size int) func(*net.TCPConn) {
	return func(conn *net.TCPConn) {
		for br := bufio.NewReader(conn); ; {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			for rest := data; rest != ""; rest = rest[min(size, len(rest)):] {
				if _, err = io.WriteString(conn, rest[:min(size, len(rest))]); err != nil {
					return
				}
			}
		}
	}
}

func get(client *fasthttp.HostClient, upload []byte) (status int, body string, err error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPut)
	req.SetRequestURI("http://" + client.Addr + "/")
	req.SetBodyRaw(upload)
	err = client.DoTimeout(req, resp, testTimeout)
	return resp.StatusCode(), string(resp.Body()), err
}

func TestConn(t *testing.T) {
	const rest = "Content-Length: 4\r\n\r\nbody"
	tests := map[string]struct {
		data string
		// conns is the number of connections of three requests.
		conns   int32
		invalid bool
	}{
		"length":                   {data: "HTTP/1.1 200 OK\r\n" + rest, conns: 1},
		"chunks":                   {data: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", conns: 1},
		"informational ones first": {data: strings.Repeat("HTTP/1.1 103 Early Hints\r\nA: x\r\n\r\n", 3) + "HTTP/1.1 200 OK\r\n" + rest, conns: 1},
		"large head":               {data: "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 3000) + "\r\n" + rest, conns: 1},
		"larger head":              {data: "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: "+strings.Repeat("x", 3000)+"\r\n", 6) + rest, conns: 3, invalid: true},
		"status 000":               {data: "HTTP/1.1 000 OK\r\n" + rest, conns: 3, invalid: true},
		"status 000 after another": {data: "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK\r\n" + rest, conns: 3, invalid: true},
		"blank in a name":          {data: "HTTP/1.1 200 OK\r\nA B: x\r\n" + rest, conns: 3, invalid: true},
		"length and chunks":        {data: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + rest, conns: 3, invalid: true},
	}
	for name, tc := range tests {
		for _, size := range []int{1, 100, 1 << 20} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				client, conns := serveRaw(t, answerAll(tc.data, size))
				for range 3 {
					status, body, err := get(client, nil)
					is.Equal(err != nil, tc.invalid)
					if !tc.invalid {
						is.Equal(status, http.StatusOK)
						is.Equal(body, "body")
					}
				}
				is.Equal(conns.Load(), tc.conns)
			})
		}
	}
}

// TestNoRequestAfterUnreadBytes guards against bytes after a response that count as the response to the next
// request.
func TestNoRequestAfterUnreadBytes(t *testing.T) {
	is := is.New(t)
	const response = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
	late := make(chan struct{}, 10)
	client, _ := serveRaw(t, func(conn *net.TCPConn) {
		br := bufio.NewReader(conn)
		for range 2 {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(conn, response)
			time.Sleep(20 * time.Millisecond) // the client has read the response
			_, _ = io.WriteString(conn, strings.Replace(response, "body", "late", 1))
			late <- struct{}{}
		}
	})
	for range 3 {
		_, body, err := get(client, nil)
		if err != nil {
			continue
		}
		is.Equal(body, "body")
		<-late
	}
}

// TestResetDuringUpload guards against a body that was cut off by a reset and looks complete, since the
// reset was reported to the write of the request.
func TestResetDuringUpload(t *testing.T) {
	is := is.New(t)
	client, _ := serveRaw(t, func(conn *net.TCPConn) {
		br := bufio.NewReaderSize(conn, 16)
		for line, err := "", error(nil); line != "\r\n"; {
			if line, err = br.ReadString('\n'); err != nil {
				return
			}
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", 10_000))
		_ = conn.SetLinger(0)
	})
	for range 20 {
		_, _, err := get(client, make([]byte, 16<<20))
		is.True(err != nil)
	}
}
