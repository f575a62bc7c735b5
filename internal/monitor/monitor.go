// Package monitor serves a process's metrics over HTTP, either as expvar JSON with the
// memory statistics of the Go runtime or as plain text.
package monitor

import (
	"context"
	"expvar"
	"fmt"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"flamingoledge.org/flamingoledge/internal/httpserver"
)

const (
	pathVars        = "/debug/vars"
	shutdownTimeout = 100 * time.Millisecond
)

// Serve serves the counters on address until ctx ends. It does nothing if address is
// empty.
func Serve(ctx context.Context, address string, counters *expvar.Map) error {
	if address == "" {
		return nil
	}
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listen on admin address %s", address)
	}
	server := &fasthttp.Server{NoDefaultServerHeader: true, Handler: func(rc *fasthttp.RequestCtx) {
		if string(rc.Path()) != pathVars {
			rc.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
		rc.SetContentType("application/json")
		_, _ = fmt.Fprintf(rc, "{%q: %s, %q: %s}\n", "flamingoledge", counters, "memstats", expvar.Get("memstats"))
	}}
	return eris.Wrapf(httpserver.Run(ctx, server, lis, shutdownTimeout), "serve metrics on %s", address)
}

// PathMetrics is the URL path of ServeText.
const PathMetrics = "/metrics"

// Pages are further handlers of ServeText, by URL path.
type Pages map[string]fasthttp.RequestHandler

// ServeText serves the counters on address as text until ctx ends, one name and value
// per line, and further pages.
func ServeText(ctx context.Context, address string, counters *expvar.Map, pages Pages) error {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listen on metrics address %s", address)
	}
	server := &fasthttp.Server{NoDefaultServerHeader: true, Handler: func(rc *fasthttp.RequestCtx) {
		if page := pages[string(rc.Path())]; page != nil {
			page(rc)
			return
		}
		if string(rc.Path()) != PathMetrics {
			rc.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
		rc.SetContentType("text/plain; charset=utf-8")
		counters.Do(func(kv expvar.KeyValue) {
			_, _ = fmt.Fprintf(rc, "%s %s\n", kv.Key, kv.Value)
		})
	}}
	return eris.Wrapf(httpserver.Run(ctx, server, lis, shutdownTimeout), "serve metrics on %s", address)
}
