// Package drainer serves HTTP connections and drains them before a process stops. After the start
// of http.Server.Shutdown, requests whose header has not been read completely end without an
// answer, also if the rest arrives. A Server answers each request of which it has read a part.
package drainer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// pollInterval is the time between checks for connections that have become idle.
	pollInterval = 10 * time.Millisecond
	// firstRequestTimeout is how long a new connection may stay without a request while the
	// others are drained.
	firstRequestTimeout = 5 * time.Second
)

// Server is an HTTP server that can be drained.
type Server struct {
	server *http.Server
	lis    net.Listener

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// New returns a server of the connections of lis. It sets the ConnState and ConnContext hooks
// of server.
func New(server *http.Server, lis net.Listener) *Server {
	s := &Server{server: server, lis: lis, conns: map[*conn]struct{}{}}
	server.ConnState, server.ConnContext = s.recordState, withConn
	return s
}

// Serve serves connections until the listener is closed.
func (s *Server) Serve() error { return s.server.Serve(listener{s.lis}) }

// Drain closes the listener and each connection that is between two requests, until none is
// left or ctx ends. Handlers have to close the connections of further answers.
func (s *Server) Drain(ctx context.Context) {
	_ = s.lis.Close()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for s.expireIdle(time.Now()) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Close closes the listener and all connections.
func (s *Server) Close() error { return s.server.Close() }

// expireIdle makes the server close the connections that are between two requests, and returns the
// number of those that are open.
func (s *Server) expireIdle(now time.Time) (open int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.expireIfIdle(now)
	}
	return len(s.conns)
}

// recordState is the ConnState hook of the server.
func (s *Server) recordState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = struct{}{}
	case http.StateActive:
	case http.StateIdle:
		c.endRequest()
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

// listener tells which connections have read a part of a request.
type listener struct{ net.Listener }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(time.Now(), nc), nil
}
