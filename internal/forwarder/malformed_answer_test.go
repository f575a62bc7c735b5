package forwarder_test

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestMalformedAnswer guards against bytes that are no answer of the protocol and reach callers as one.
func TestMalformedAnswer(t *testing.T) {
	const fields, secret = "Id: ID\r\nStamp: s\r\n", "id: 1\ndata: secret\n\n"
	const withLength = fields + "Content-Length: 20\r\n\r\n" + secret
	closed := func(net.Conn) {}
	tests := map[string]handler{
		"status 000":                          respondRaw("HTTP/1.1 000 OK\r\n"+withLength, closed),
		"status 000, kept open":               respondRaw("HTTP/1.1 000 OK\r\n"+withLength, untilClosed),
		"status 000, then an answer":          respondRaw("HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n"+signedHead+"Content-Length: 20\r\n\r\n"+secret, closed),
		"status 000 until close":              respondRaw("HTTP/1.1 000 OK\r\n"+fields+"\r\n"+secret, closed),
		"status 099":                          respondRaw("HTTP/1.1 099 OK\r\n"+withLength, closed),
		"status 999":                          respondRaw("HTTP/1.1 999 OK\r\n"+withLength, closed),
		"unasked upgrade":                     respondRaw("HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\n"+withLength, closed),
		"blank in a name":                     respondRaw("HTTP/1.1 200 OK\r\nSe cret: x\r\n"+withLength, closed),
		"blank in a name, chunks":             respondRaw("HTTP/1.1 200 OK\r\nSe cret: x\r\n"+fields+"Transfer-Encoding: chunked\r\n\r\n14\r\n"+secret+"\r\n0\r\n\r\n", closed),
		"blank in a name, until close":        respondRaw("HTTP/1.1 200 OK\r\nSe cret: x\r\n"+fields+"\r\n"+secret, closed),
		"blank after the name of the length":  respondRaw("HTTP/1.1 200 OK\r\n"+fields+"Content-Length : 19\r\n\r\n"+secret, closed),
		"control character in a name":         respondRaw("HTTP/1.1 200 OK\r\nSe\x01cret: x\r\n"+withLength, closed),
		"control character in a failure":      respondRaw("HTTP/1.1 500 Failed\r\nSe\x7fcret: x\r\n"+withLength, closed),
		"blank in a name of a refusal":        respondRaw("HTTP/1.1 503 Full\r\nSe cret: x\r\nNot-Run: 1\r\n"+withLength, closed),
		"chunks in HTTP/1.0":                  respondRaw("HTTP/1.0 200 OK\r\n"+fields+"Transfer-Encoding: chunked\r\n\r\n14\r\n"+secret+"\r\n0\r\n\r\n", closed),
		"length and chunks":                   respondRaw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"+withLength, closed),
		"head cut after a line":               respondRaw("HTTP/1.1 200 OK\r\n"+fields, closed),
		"head cut in a line":                  respondRaw("HTTP/1.1 200 OK\r\n"+fields+"Content-Le", closed),
		"head cut before the last byte":       respondRaw("HTTP/1.1 200 OK\r\n"+fields+"Content-Length: 0\r\n\r", closed),
		"head of a refusal cut":               respondRaw("HTTP/1.1 503 Full\r\nId: ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n", closed),
		"head cut after an informational one": respondRaw("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n"+fields, closed),
	}
	routes := map[string]struct {
		then   handler
		status int
		body   string
		runs   int32
	}{
		"safe":   {then: respondWith("yes"), status: http.StatusOK, body: "yes", runs: 2},
		"stream": {then: streamUpTo(4), status: http.StatusOK, body: events(1, 4), runs: 2},
		"unsafe": {then: respondWith("yes"), status: http.StatusBadGateway, runs: 1},
		"once":   {then: streamUpTo(4), status: http.StatusBadGateway, runs: 1},
	}
	for name, h := range tests {
		for route, tc := range routes {
			t.Run(name+"/"+route, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				h := firstThen(h, tc.then)
				a, b := newEndpoint(t, h), newEndpoint(t, h)
				got := newTestForwarder(t, a, b).callPatiently(t, route)
				is.Equal(got.status, tc.status)
				is.Equal(got.aborted, false)
				is.Equal(got.header.Get("Stamp") != "", tc.status == http.StatusOK)
				is.True(!strings.Contains(got.body, "secret"))
				for name := range got.header {
					is.True(!strings.HasPrefix(name, "Se"))
				}
				if tc.body != "" {
					is.Equal(got.body, tc.body)
				}
				is.Equal(a.runs.Load()+b.runs.Load(), tc.runs)
			})
		}
	}
}
