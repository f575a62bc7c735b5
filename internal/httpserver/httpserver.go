// Package httpserver runs fasthttp servers until a context ends.
package httpserver

import (
	"context"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// Run serves lis until ctx ends, then gives the requests in progress the grace to
// finish. It returns nil if ctx ended it.
func Run(ctx context.Context, server *fasthttp.Server, lis net.Listener, grace time.Duration) error {
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(lis) }()
	select {
	case err := <-failed:
		if err == nil {
			// Serve takes a closed listener for a usual end.
			err = net.ErrClosed
		}
		return eris.Wrap(err, "serve HTTP")
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
	defer cancel()
	_ = server.ShutdownWithContext(stop)
	// Shutdown passes over a listener that Serve has not registered yet; without
	// this, such a server would go on accepting.
	_ = lis.Close()
	return eris.Wrap(<-failed, "stop serving HTTP")
}
