// Package monitor serves a process's metrics on its admin address, in the form
// of expvar: the process's own counters beside the run time's memory figures.
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

// Serve serves the counters on address until ctx ends. An empty address serves
// nothing.
func Serve(ctx context.Context, address string, counters *expvar.Map) error {
	if address == "" {
		return nil
	}
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrap(err, "admin address")
	}
	server := &fasthttp.Server{NoDefaultServerHeader: true, Handler: func(rc *fasthttp.RequestCtx) {
		if string(rc.Path()) != pathVars {
			rc.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
		rc.SetContentType("application/json")
		_, _ = fmt.Fprintf(rc, "{%q: %s, %q: %s}\n", "flamingoledge", counters, "memstats", expvar.Get("memstats"))
	}}
	return eris.Wrap(httpserver.Run(ctx, server, lis, shutdownTimeout), "metrics")
}

// PathMetrics is where ServeText serves.
const PathMetrics = "/metrics"

// ServeText serves the counters on address until ctx ends, one name and value a
// line.
func ServeText(ctx context.Context, address string, counters *expvar.Map) error {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrap(err, "metrics address")
	}
	server := &fasthttp.Server{NoDefaultServerHeader: true, Handler: func(rc *fasthttp.RequestCtx) {
		if string(rc.Path()) != PathMetrics {
			rc.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
		rc.SetContentType("text/plain; charset=utf-8")
		counters.Do(func(kv expvar.KeyValue) {
			_, _ = fmt.Fprintf(rc, "%s %s\n", kv.Key, kv.Value)
		})
	}}
	return eris.Wrap(httpserver.Run(ctx, server, lis, shutdownTimeout), "metrics")
}
