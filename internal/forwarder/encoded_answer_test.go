package forwarder_test

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestEncodedAnswer guards against a body in an encoding that the caller did not ask for.
func TestEncodedAnswer(t *testing.T) {
	tests := map[string]struct {
		encoding, accepted string
		status             int
	}{
		"not asked for": {encoding: "gzip", status: http.StatusBadGateway},
		"other one":     {encoding: "br", accepted: "gzip", status: http.StatusBadGateway},
		"asked for":     {encoding: "br", accepted: "gzip, BR;q=0.5", status: http.StatusOK},
		"none":          {encoding: "identity", status: http.StatusOK},
	}
	for name, tc := range tests {
		for _, route := range []string{"unsafe", "once"} {
			t.Run(name+"/"+route, func(t *testing.T) {
				is := is.New(t)
				f := newTestForwarder(t, newEndpoint(t, respondRaw(signedHead+"Content-Encoding: "+tc.encoding+"\r\nContent-Length: 21\r\n\r\n"+event(1), func(net.Conn) {})))
				accept := ""
				if tc.accepted != "" {
					accept = "\r\nAccept-Encoding: " + tc.accepted
				}
				answer, err := f.exchangeRaw(t, "POST /"+route+"/1 HTTP/1.1"+accept)
				is.NoErr(err)
				is.True(strings.HasPrefix(answer, "HTTP/1.1 "+strconv.Itoa(tc.status)))
			})
		}
	}
}
