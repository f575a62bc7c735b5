package exchanger_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"flamingoledge.org/flamingoledge/internal/exchanger"
)

// uploadBytes is more than what the buffers of both sockets hold.
const uploadBytes = 16 << 20

// newEarlyServer passes each connection to a function once the head of its first request was read.
func newEarlyServer(t *testing.T, respond func(conn *net.TCPConn)) (address string) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			conn, aerr := lis.Accept()
			if aerr != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_ = conn.SetDeadline(time.Now().Add(testTimeout))
				// A small buffer reads little of the body.
				br := bufio.NewReaderSize(conn, 16)
				for line := ""; line != "\r\n"; {
					if line, aerr = br.ReadString('\n'); aerr != nil {
						return
					}
				}
				respond(conn.(*net.TCPConn))
			}()
		}
	}()
	return lis.Addr().String()
}

// reset waits and resets the connection.
func reset(delay time.Duration) func(*net.TCPConn) {
	return func(conn *net.TCPConn) {
		time.Sleep(delay)
		_ = conn.SetLinger(0)
	}
}

// readSlowly closes the connection for writing, pauses and reads the request to its end.
func readSlowly(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	time.Sleep(20 * time.Millisecond)
	_, _ = io.Copy(io.Discard, conn)
}

// TestEarlyResponse guards against responses that were cut off by a reset and look complete, since the
// reset was reported to the write of the request.
func TestEarlyResponse(t *testing.T) {
	body := strings.Repeat("x", 10_000)
	const unframed = "HTTP/1.1 200 OK\r\nId: a\r\n\r\n"
	tests := map[string]struct {
		head, tail string
		end        func(*net.TCPConn)
		lost       bool
	}{
		"no length, reset at once":       {head: unframed, end: reset(0), lost: true},
		"no length, reset soon":          {head: unframed, end: reset(3 * time.Millisecond), lost: true},
		"no length, reset later":         {head: unframed, end: reset(80 * time.Millisecond), lost: true},
		"no length, closed unread":       {head: unframed, end: func(*net.TCPConn) { time.Sleep(20 * time.Millisecond) }, lost: true}, // the kernel resets it
		"no length, read on and reset":   {head: unframed, end: func(conn *net.TCPConn) { _, _ = io.CopyN(io.Discard, conn, 300<<10); reset(0)(conn) }, lost: true},
		"no length, closed and reset":    {head: unframed, end: func(conn *net.TCPConn) { _ = conn.CloseWrite(); reset(50 * time.Millisecond)(conn) }, lost: true},
		"no length, closed, read slowly": {head: unframed, end: readSlowly},
		"no length, all read":            {head: unframed, end: func(conn *net.TCPConn) { _ = conn.CloseWrite(); _, _ = io.Copy(io.Discard, conn) }},
		"length, whole and reset":        {head: "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 10000\r\n\r\n", end: reset(50 * time.Millisecond)},
		"length, cut off":                {head: "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 10001\r\n\r\n", end: reset(0), lost: true},
		"chunks, whole and reset":        {head: "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n2710\r\n", tail: "\r\n0\r\n\r\n", end: reset(50 * time.Millisecond)},
		"chunks, without the last chunk": {head: "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n2710\r\n", tail: "\r\n", end: reset(0), lost: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			address := newEarlyServer(t, func(conn *net.TCPConn) {
				write(conn, tc.head+body+tc.tail)
				tc.end(conn)
			})
			pool := newPool()
			r := request(address, "a")
			r.NewConn = true
			r.Body = [][]byte{make([]byte, uploadBytes/2), make([]byte, uploadBytes/2)}
			for range 20 {
				got, err := exchange(t, pool, r)
				var lost *exchanger.ResponseLostError
				is.Equal(errors.As(err, &lost), tc.lost)
				is.Equal(err != nil, tc.lost)
				if !tc.lost {
					is.Equal(got, body)
				}
			}
		})
	}
}
