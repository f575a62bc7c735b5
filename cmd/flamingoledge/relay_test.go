package main_test

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// relay passes TCP connections on to an address until it is cut, so that the way
// to a process can be lost while the process lives.
type relay struct {
	lis    net.Listener
	target string
	cut    atomic.Bool

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
		r.setCut(true)
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
		go r.pass(conn)
	}
}

func (r *relay) pass(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if r.cut.Load() {
		return
	}
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	r.track(conn, out)
	defer r.untrack(conn, out)
	go func() {
		_, _ = io.Copy(out, conn)
		_ = out.Close()
	}()
	_, _ = io.Copy(conn, out)
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

// setCut cuts or mends the way; a cut ends the connections too.
func (r *relay) setCut(cut bool) {
	r.cut.Store(cut)
	if !cut {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}
