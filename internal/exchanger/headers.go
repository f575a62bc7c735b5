package exchanger

import (
	"net/http"
	"strings"
)

// connectionHeaders are the headers that apply to a single connection and are not
// forwarded.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Host",
}

// EndToEndHeaders returns the headers of h without those that apply to a single
// connection. The values are shared with h.
func EndToEndHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for k, v := range h {
		out[k] = v
	}
	for _, names := range h["Connection"] {
		for name := range strings.SplitSeq(names, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, k := range connectionHeaders {
		out.Del(k)
	}
	return out
}
