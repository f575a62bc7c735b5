package forwarder_test

import (
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// TestHeadersOfConnectionDoNotCount guards against a success without its signature, which the endpoint's Connection
// header keeps from callers.
func TestHeadersOfConnectionDoNotCount(t *testing.T) {
	tests := map[string]struct {
		connection string
		status     int
	}{
		"signature":   {connection: "stamp", status: http.StatusBadGateway},
		"request ID":  {connection: "keep-alive, Id", status: http.StatusBadGateway},
		"other field": {connection: "keep-alive, Other", status: http.StatusOK},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newTestForwarder(t, newEndpoint(t, respondRaw(signedHead+"Other: x\r\nConnection: "+tc.connection+"\r\nContent-Length: 3\r\n\r\nyes", func(net.Conn) {})))
			got := f.call(t.Context(), t, "unsafe")
			is.Equal(got.status, tc.status)
			is.Equal(got.header.Get("Stamp") != "", tc.status == http.StatusOK)
			is.Equal(got.header.Get("Other"), "")
		})
	}
}
