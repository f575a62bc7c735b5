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

// serveHTTP serves h on lis until ctx ends. With streamBodies a handler reads
// bodies as they come.
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

func decodeThen[T any](ctx *fasthttp.RequestCtx, then func(T)) {
	var v T
	if err := json.Unmarshal(requestBody(ctx), &v); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	then(v)
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

func writeObject(ctx *fasthttp.RequestCtx, data []byte) {
	if data == nil {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	ctx.SetBody(data)
}

// dropConnection ends the connection without any answer, as if it was lost on
// the way.
func dropConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() })
}
