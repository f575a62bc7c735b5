package forwarder_test

import (
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestBrokenStreamToHTTP10Caller guards against a stream that broke off and looks complete to a caller with HTTP/1.0,
// whose answers end with the connection.
func TestBrokenStreamToHTTP10Caller(t *testing.T) {
	for name, tc := range map[string]struct {
		end    func(net.Conn)
		broken bool
	}{
		"broken": {end: sendThenReset(events(1, 2)), broken: true},
		"whole":  {end: sendThenClose(events(1, 2))},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newTestForwarder(t, newEndpoint(t, respondRaw(unframedHead, tc.end)))
			answer, err := f.exchangeRaw(t, "POST /once/1 HTTP/1.0")
			is.Equal(err != nil, tc.broken)
			is.True(tc.broken || strings.HasSuffix(answer, events(1, 2)))
		})
	}
}
