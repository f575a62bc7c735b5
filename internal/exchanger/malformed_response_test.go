package exchanger_test

import (
	"errors"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"

	"flamingoledge.org/flamingoledge/internal/exchanger"
)

// TestMalformedResponse guards against bytes that http.ReadResponse takes for a response.
func TestMalformedResponse(t *testing.T) {
	const rest = "Id: ID\r\nContent-Length: 4\r\n\r\nbody"
	tests := map[string]string{
		"status 000":                    "HTTP/1.1 000 OK\r\n" + rest,
		"status 000, then another":      "HTTP/1.1 000 OK\r\n" + rest + "HTTP/1.1 200 OK\r\n" + rest,
		"status 000 without a body":     "HTTP/1.1 000 OK\r\n\r\nHTTP/1.1 200 OK\r\n" + rest,
		"status 099":                    "HTTP/1.1 099 OK\r\n" + rest,
		"status 999":                    "HTTP/1.1 999 OK\r\n" + rest,
		"status with a sign":            "HTTP/1.1 +20 OK\r\n" + rest,
		"unasked upgrade":               "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\n" + rest,
		"informational with a body":     "HTTP/1.1 103 Early Hints\r\nContent-Length: 4\r\n\r\nHTTP/1.1 200 OK\r\n" + rest,
		"blank in a name":               "HTTP/1.1 200 OK\r\nA B: x\r\n" + rest,
		"blank after a name":            "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n" + rest,
		"control character in a name":   "HTTP/1.1 200 OK\r\nA\x01B: x\r\n" + rest,
		"control character in a value":  "HTTP/1.1 200 OK\r\nA: x\x01\r\n" + rest,
		"control character in a reason": "HTTP/1.1 200 O\x01K\r\n" + rest,
		"folded line":                   "HTTP/1.1 200 OK\r\nA: x\r\n Content-Length: 2\r\n" + rest,
		"lines that end with LF":        strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+rest, "\r", ""),
		"chunks in HTTP/1.0":            "HTTP/1.0 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"length and chunks":             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + rest,
		"two lengths":                   "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + rest,
		"compressed chunks":             "HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"no content with a body":        "HTTP/1.1 204 No Content\r\n" + rest,
		"chunk without its end":         "HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbodyxx0\r\n\r\n",
		"chunk size with a sign":        "HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n+4\r\nbody\r\n0\r\n\r\n",
		"chunk size with a prefix":      "HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n0x4\r\nbody\r\n0\r\n\r\n",
		"empty chunk size":              "HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n\r\n\r\n",
		"chunk line that ends with LF":  "HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n4\nbody\r\n0\r\n\r\n",
		"blank in a trailer's name":     "HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nA B: x\r\n\r\n",
		"folded trailer":                "HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nA: x\r\n y\r\n\r\n",
		"trailer that ends with LF":     "HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nA: x\n\n\r\n\r\n",
	}
	for name, data := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server, pool := newTestServer(t, func(conn net.Conn, _ int, id string) bool {
				write(conn, strings.ReplaceAll(data, "ID", id))
				return false
			}), newPool()
			for range 2 {
				_, err := exchange(t, pool, request(server.address, "a"))
				var lost *exchanger.ResponseLostError
				is.True(errors.As(err, &lost))
				var invalid *exchanger.InvalidResponseError
				is.True(errors.As(err, &invalid))
			}
			is.Equal(server.conns.Load(), int32(2))
		})
	}
}

// TestCutHead checks that a head of which a part is missing is no response, wherever it ends.
func TestCutHead(t *testing.T) {
	t.Parallel()
	const head = "HTTP/1.1 200 OK\r\nId: a\r\nStamp: s\r\n\r\n"
	for end, closeConn := range map[string]func(net.Conn){"closed": func(net.Conn) {}, "closed for writing": closeWrite, "reset": resetConn} {
		for n := range len(head) {
			is := is.New(t)
			server := newTestServer(t, func(conn net.Conn, _ int, _ string) bool {
				write(conn, head[:n])
				closeConn(conn)
				return false
			})
			_, err := exchange(t, newPool(), request(server.address, "a"))
			var lost *exchanger.ResponseLostError
			is.True(errors.As(err, &lost))
			if err == nil {
				t.Fatalf("head of %d bytes, %s", n, end)
			}
		}
	}
}

// TestLargeHead checks that a head larger than the usual buffer is read whole, and that bytes after its
// response are not taken for the next one.
func TestLargeHead(t *testing.T) {
	is := is.New(t)
	server, pool := newTestServer(t, func(conn net.Conn, _ int, id string) bool {
		large := "A: " + strings.Repeat("x", 1000) + "\r\n"
		return write(conn, strings.Replace(reply(id, id), "Id:", strings.Repeat(large, 10)+"Id:", 1)+reply(id, "z"))
	}), newPool()
	for _, id := range []string{"a", "b"} {
		body, err := exchange(t, pool, request(server.address, id))
		is.NoErr(err)
		is.Equal(body, id)
	}
}
