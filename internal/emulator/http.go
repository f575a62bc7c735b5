package emulator

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"flamingoledge.org/flamingoledge/internal/httpserver"
	"flamingoledge.org/flamingoledge/internal/logger"
)

const shutdownTimeout = 200 * time.Millisecond

// serveHTTP serves h on lis until ctx is cancelled. With streamBodies, h runs before
// the request body has been read and reads it as a stream.
func serveHTTP(ctx context.Context, lis net.Listener, streamBodies bool, h fasthttp.RequestHandler) error {
	server := &fasthttp.Server{
		Handler:               h,
		MaxRequestBodySize:    maxRequestBytes,
		NoDefaultServerHeader: true,
		Logger:                logger.Discard{},
		CloseOnShutdown:       true,
		StreamRequestBody:     streamBodies,
	}
	return httpserver.Run(ctx, server, lis, shutdownTimeout)
}

// handleJSON decodes the request body and passes it to handle. It responds with
// status 400 if the body is not valid JSON.
func handleJSON[T any](ctx *fasthttp.RequestCtx, handle func(T)) {
	var v T
	if err := json.Unmarshal(requestBody(ctx), &v); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	handle(v)
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

// writeObject responds with data, or with status 404 if data is nil.
func writeObject(ctx *fasthttp.RequestCtx, data []byte) {
	if data == nil {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	ctx.SetBody(data)
}

// dropConnection closes the connection without sending a response, which simulates
// a response lost in transit.
func dropConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() })
}
