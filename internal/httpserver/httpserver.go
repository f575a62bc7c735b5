// Package httpserver runs fasthttp servers until a context is canceled.
package httpserver

import (
	"context"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// Run serves lis until ctx ends, then waits up to grace for the requests in progress.
// It returns nil after a shutdown through ctx.
func Run(ctx context.Context, server *fasthttp.Server, lis net.Listener, grace time.Duration) error {
	served := make(chan error, 1)
	go func() { served <- server.Serve(lis) }()
	select {
	case err := <-served:
		if err == nil {
			// Serve returns no error if the listener was closed.
			err = net.ErrClosed
		}
		return eris.Wrap(err, "serve HTTP")
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
	defer cancel()
	_ = server.ShutdownWithContext(shutdownCtx)
	// Shutdown ignores a listener that Serve has not registered yet; without this,
	// the server would continue to accept connections.
	_ = lis.Close()
	return eris.Wrap(<-served, "stop serving HTTP")
}
