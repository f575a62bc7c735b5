package main

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"flamingoledge.org/flamingoledge/platform/standin"
)

// origin is the origin of the weights, which may be down.
type origin struct {
	inner    *standin.Origin
	listener net.Listener
	server   *http.Server
	isDown   atomic.Bool
}

func newOrigin(w *standin.Weights) (*origin, error) {
	inner, err := standin.NewOrigin(w)
	if err != nil {
		return nil, err
	}
	inner.SetChunkTime(chunkTime)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	o := &origin{inner: inner, listener: lis}
	o.server = &http.Server{Handler: o, ReadHeaderTimeout: time.Minute}
	go func() { _ = o.server.Serve(lis) }()
	return o, nil
}

func (o *origin) address() string { return o.listener.Addr().String() }

func (o *origin) close() {
	_ = o.server.Close()
	o.inner.Close()
}

// setDown sets whether the origin breaks off all connections.
func (o *origin) setDown(isDown bool) { o.isDown.Store(isDown) }

// ServeHTTP implements http.Handler.
func (o *origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if o.isDown.Load() {
		panic(http.ErrAbortHandler)
	}
	o.inner.ServeHTTP(w, r)
}
