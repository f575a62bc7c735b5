package exchanger_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"flamingoledge.org/flamingoledge/internal/exchanger"
)

// testTimeout fails a test that hangs.
const testTimeout = 5 * time.Second

// testServer passes the n-th request of each connection to a function that writes
// the response.
type testServer struct {
	address string
	conns   atomic.Int32
}

func newTestServer(t *testing.T, serve func(conn net.Conn, n int, id string) (more bool)) *testServer {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &testServer{address: lis.Addr().String()}
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			conn, aerr := lis.Accept()
			if aerr != nil {
				return
			}
			server.conns.Add(1)
			go server.serve(conn, serve)
		}
	}()
	return server
}

func (*testServer) serve(conn net.Conn, serve func(conn net.Conn, n int, id string) bool) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	br := bufio.NewReader(conn)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err = io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !serve(conn, n, r.Header.Get("Id")) {
			return
		}
	}
}

func reply(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func newPool() *exchanger.Pool {
	return exchanger.New(exchanger.Config{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdleConnsPerAddress: 4, TCPUserTimeout: time.Second})
}

func request(address, id string) exchanger.Request {
	return exchanger.Request{
		Address: address, Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{"Id": {id}}, Body: [][]byte{[]byte("b")},
		MatchesResponse: func(h http.Header) bool { return h.Get("Id") == id },
	}
}

// exchange sends a request and returns the complete body of the response.
func exchange(t *testing.T, p *exchanger.Pool, r exchanger.Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	resp, err := p.Exchange(ctx, r)
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	return string(body), err
}

func write(conn net.Conn, s string) bool {
	_, err := io.WriteString(conn, s)
	return err == nil
}

func TestResponses(t *testing.T) {
	tests := map[string]struct {
		serve func(conn net.Conn, n int, id string) bool
		// want is the response bodies of two consecutive requests; empty if the
		// response is lost.
		want [2]string
		// conns is the number of connections that the requests used.
		conns int32
	}{
		"connection reused": {
			serve: func(conn net.Conn, _ int, id string) bool { return write(conn, reply(id, id)) },
			want:  [2]string{"a", "b"}, conns: 1,
		},
		"extra response after the first": {
			serve: func(conn net.Conn, _ int, id string) bool { return write(conn, reply(id, id)+reply(id, "x")) },
			want:  [2]string{"a", "b"}, conns: 2,
		},
		"late response to another request first": {
			serve: func(conn net.Conn, _ int, id string) bool { return write(conn, reply("other", "x")+reply(id, id)) },
			want:  [2]string{"a", "b"}, conns: 2, // another late response may follow
		},
		"only responses to other requests": {
			serve: func(conn net.Conn, _ int, _ string) bool {
				return write(conn, strings.Repeat(reply("other", "x"), 5))
			},
			conns: 2,
		},
		"truncated body": {
			serve: func(conn net.Conn, _ int, id string) bool {
				write(conn, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: 9\r\n\r\nabc")
				return false
			},
			conns: 2,
		},
		"truncated chunked body": {
			serve: func(conn net.Conn, _ int, id string) bool {
				write(conn, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
				return false
			},
			conns: 2,
		},
		"chunked body without the line after the last chunk": {
			serve: func(conn net.Conn, _ int, id string) bool {
				write(conn, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n")
				return false
			},
			conns: 2,
		},
		"trailer": {
			serve: func(conn net.Conn, _ int, id string) bool {
				return write(conn, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n"+id+"\r\n0\r\nA: x\r\n\r\n")
			},
			want: [2]string{"a", "b"}, conns: 1,
		},
		"not HTTP": {
			serve: func(conn net.Conn, _ int, _ string) bool { return write(conn, "nonsense\r\n\r\n") },
			conns: 2,
		},
		"closed without a response": {
			serve: func(net.Conn, int, string) bool { return false },
			conns: 2,
		},
		"unframed body ends with the connection": {
			serve: func(conn net.Conn, _ int, id string) bool {
				write(conn, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n\r\n"+id)
				return false
			},
			want: [2]string{"a", "b"}, conns: 2,
		},
		"unframed body reset": {
			serve: func(conn net.Conn, _ int, id string) bool {
				write(conn, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n\r\n"+id)
				time.Sleep(20 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
				return false
			},
			conns: 2,
		},
		"connection: close": {
			serve: func(conn net.Conn, _ int, id string) bool {
				return write(conn, strings.Replace(reply(id, id), "Id:", "Connection: close\r\nId:", 1))
			},
			want: [2]string{"a", "b"}, conns: 2,
		},
		"keep-alive timeout of zero": {
			serve: func(conn net.Conn, _ int, id string) bool {
				return write(conn, strings.Replace(reply(id, id), "Id:", "Keep-Alive: timeout=0\r\nId:", 1))
			},
			want: [2]string{"a", "b"}, conns: 2,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server, pool := newTestServer(t, tc.serve), newPool()
			for i, id := range []string{"a", "b"} {
				body, err := exchange(t, pool, request(server.address, id))
				if tc.want[i] == "" {
					var lost *exchanger.ResponseLostError
					is.True(errors.As(err, &lost)) // an incomplete response must not pass for a complete one
				} else {
					is.NoErr(err)
					is.Equal(body, tc.want[i])
				}
				time.Sleep(30 * time.Millisecond) // lets bytes that follow a response arrive
			}
			is.Equal(server.conns.Load(), tc.conns)
		})
	}
}

func TestUnreachableAddressIsNotSent(t *testing.T) {
	is := is.New(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := lis.Addr().String()
	is.NoErr(lis.Close())
	_, err = exchange(t, newPool(), request(address, "a"))
	var notSent *exchanger.NotSentError
	is.True(errors.As(err, &notSent))
}

func TestFreshConnection(t *testing.T) {
	is := is.New(t)
	server := newTestServer(t, func(conn net.Conn, _ int, id string) bool { return write(conn, reply(id, id)) })
	pool := newPool()
	for range 2 {
		r := request(server.address, "a")
		r.NewConn = true
		_, err := exchange(t, pool, r)
		is.NoErr(err)
	}
	is.Equal(server.conns.Load(), int32(2))
}

func TestContextCancelsExchangeAndClosesConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	server := newTestServer(t, func(conn net.Conn, _ int, _ string) bool {
		var buf [1]byte
		_, _ = conn.Read(buf[:])
		close(closed)
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := newPool().Exchange(ctx, request(server.address, "a"))
	is.True(errors.Is(err, context.Canceled))
	select {
	case <-closed:
	case <-time.After(testTimeout):
		t.Fatal("the connection to the server was not closed")
	}
}

func TestEarlyResponseClosesConnection(t *testing.T) {
	is := is.New(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = lis.Close() })
	var conns atomic.Int32
	go func() {
		for {
			conn, aerr := lis.Accept()
			if aerr != nil {
				return
			}
			conns.Add(1)
			// Responds before it has read the body.
			br := bufio.NewReader(conn)
			for {
				line, rerr := br.ReadString('\n')
				if rerr != nil || strings.TrimSpace(line) == "" {
					break
				}
			}
			write(conn, reply("a", "e"))
		}
	}()
	pool := newPool()
	r := request(lis.Addr().String(), "a")
	r.Body = [][]byte{make([]byte, 5<<20), make([]byte, 3<<20)}
	for range 2 {
		body, err := exchange(t, pool, r)
		is.NoErr(err)
		is.Equal(body, "e")
	}
	is.Equal(conns.Load(), int32(2)) // on the first connection, the server would read a second request as the rest of the body
}
