package main_test

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// relay forwards TCP connections to an address and can be disconnected, to simulate
// the loss of the network path to a process that keeps running.
type relay struct {
	lis          net.Listener
	target       string
	disconnected atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{lis: lis, target: target, conns: map[net.Conn]struct{}{}}
	t.Cleanup(func() {
		_ = lis.Close()
		r.setDisconnected(true)
	})
	go r.accept()
	return r
}

func (r *relay) address() string { return r.lis.Addr().String() }

func (r *relay) accept() {
	for {
		conn, err := r.lis.Accept()
		if err != nil {
			return
		}
		go r.forward(conn)
	}
}

func (r *relay) forward(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if r.disconnected.Load() {
		return
	}
	upstream, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer func() { _ = upstream.Close() }()
	r.track(conn, upstream)
	defer r.untrack(conn, upstream)
	go func() {
		_, _ = io.Copy(upstream, conn)
		_ = upstream.Close()
	}()
	_, _ = io.Copy(conn, upstream)
}

func (r *relay) track(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		r.conns[c] = struct{}{}
	}
}

func (r *relay) untrack(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		delete(r.conns, c)
	}
}

// setDisconnected disconnects or reconnects the relay. Disconnecting also closes the
// open connections.
func (r *relay) setDisconnected(disconnected bool) {
	r.disconnected.Store(disconnected)
	if !disconnected {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}
