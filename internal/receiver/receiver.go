// Package receiver keeps account of what callers hold in a process: connections, heads of requests and
// bodies. It wraps the listener and the connections of an HTTP server, so that every byte that is read
// from a caller passes it, and carries out the decisions of package budgeter.
package receiver

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/internal/sleeper"
	"flamingoledge.org/flamingoledge/pkg/budgeter"
)

// Config configures a Receiver.
type Config struct {
	Limits Limits
	// Copies is how often the process holds the body of a request while it passes it on.
	Copies int
	// IdleTime returns how long a connection may be idle between two requests; 0 if the process does
	// not know yet. Nil for no limit.
	IdleTime func() time.Duration
	Logger   *zap.Logger
	Metrics  *expvar.Map
}

// Receiver keeps account of the connections of one server.
type Receiver struct {
	cfg Config

	mu     sync.Mutex
	budget *budgeter.Budget
	conns  map[budgeter.ID]*Conn
	lastID budgeter.ID
	// changed is closed and replaced when memory has become free or a connection was evicted.
	changed chan struct{}
	// evictions counts the connections that gave way by reason, refused those that were not accepted.
	evictions map[budgeter.Reason]int
	refused   int
	// logged is the sum of the counts at the last log line.
	logged int
}

// New returns a receiver without connections. Its figures are added to the metrics.
func New(cfg Config) *Receiver {
	r := &Receiver{
		cfg: cfg, budget: budgeter.New(cfg.Limits.budget()), conns: map[budgeter.ID]*Conn{}, changed: make(chan struct{}),
		evictions: map[budgeter.Reason]int{},
	}
	gauge := func(name string, value func() int64) {
		cfg.Metrics.Set(name, expvar.Func(func() any { return value() }))
	}
	gauge("callers_memory_bytes", func() int64 { return r.usage().MemoryBytes })
	gauge("callers_memory_limit_bytes", func() int64 { return cfg.Limits.MemoryBytes })
	gauge("callers_connections", func() int64 { return int64(r.usage().Conns) })
	gauge("callers_connections_limit", func() int64 { return int64(cfg.Limits.MaxConns) })
	return r
}

// Limits returns what the callers may hold.
func (r *Receiver) Limits() Limits { return r.cfg.Limits }

func (r *Receiver) usage() budgeter.Usage {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Usage()
}

// checkInterval is the time between checks for idle connections, and between log lines.
const checkInterval = time.Second

// Run closes connections that have been idle for too long, and logs evictions, until ctx ends.
func (r *Receiver) Run(ctx context.Context) {
	for sleeper.Sleep(ctx, checkInterval) {
		if r.cfg.IdleTime != nil {
			r.closeIdle(time.Now(), r.cfg.IdleTime())
		}
		r.logEvictions()
	}
}

func (r *Receiver) closeIdle(now time.Time, idleTime time.Duration) {
	if idleTime <= 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evict(r.budget.Expired(now, idleTime))
}

// logEvictions writes one line about the evictions since the last one.
func (r *Receiver) logEvictions() {
	r.mu.Lock()
	stalled, youngest, idle, refused := r.evictions[budgeter.ReasonStalled], r.evictions[budgeter.ReasonYoungest], r.evictions[budgeter.ReasonIdle], r.refused
	usage, sum := r.budget.Usage(), stalled+youngest+idle+refused
	isNew := sum != r.logged
	r.logged = sum
	r.mu.Unlock()
	if isNew {
		logger.Log(r.cfg.Logger, logger.CallersEvicted,
			zap.Int("stalled", stalled), zap.Int("youngest", youngest), zap.Int("idle", idle), zap.Int("refused", refused),
			zap.Int64("memory_bytes", usage.MemoryBytes), zap.Int64("memory_limit_bytes", r.cfg.Limits.MemoryBytes),
			zap.Int("connections", usage.Conns), zap.Int("connections_limit", r.cfg.Limits.MaxConns))
	}
}

// Listener returns a listener of the connections that the callers may open. Others are closed at once.
func (r *Receiver) Listener(lis net.Listener) net.Listener {
	if tcp, ok := lis.(*net.TCPListener); ok {
		setReceiveBuffer(tcp)
	}
	return &listener{Listener: lis, receiver: r}
}

type listener struct {
	net.Listener
	receiver *Receiver
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.receiver.open(nc); c != nil {
			return c, nil
		}
		_ = nc.Close()
	}
}

// open returns the connection if it may stay open, otherwise nil.
func (r *Receiver) open(nc net.Conn) *Conn {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastID++
	c := &Conn{Conn: nc, receiver: r, id: r.lastID}
	d := r.budget.Open(time.Now(), c.id)
	r.evict(d.Evictions)
	if d.Outcome != budgeter.OutcomeGranted {
		r.refused++
		r.cfg.Metrics.Add("callers_refused_connections", 1)
		return nil
	}
	r.conns[c.id] = c
	return c
}

// remove removes a connection from the account.
func (r *Receiver) remove(c *Conn) {
	r.update(func(b *budgeter.Budget) {
		b.Close(c.id)
		delete(r.conns, c.id)
	})
}

// refuse records that the request on a connection was refused, and lets its rest be read until a deadline.
func (r *Receiver) refuse(c *Conn, deadline time.Time) {
	r.update(func(b *budgeter.Budget) {
		b.Refuse(time.Now(), c.id)
		c.reason = ""
		c.revive(deadline)
	})
}

// evict ends reading from connections, so that the server closes them. The caller holds r.mu.
func (r *Receiver) evict(evictions []budgeter.Eviction) {
	for _, e := range evictions {
		r.evictions[e.Reason]++
		r.cfg.Metrics.Add("callers_evicted_"+string(e.Reason), 1)
		if c := r.conns[e.ID]; c != nil {
			c.reason = e.Reason
			c.expire()
		}
	}
	if len(evictions) > 0 {
		r.notify()
	}
}

// notify wakes the requests that wait for memory. The caller holds r.mu.
func (r *Receiver) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Attach sets the hooks of a server that serves the connections of a listener of this receiver.
func (r *Receiver) Attach(server *http.Server) {
	recordState, connContext := server.ConnState, server.ConnContext
	server.ConnState = func(nc net.Conn, state http.ConnState) {
		if recordState != nil {
			recordState(nc, state)
		}
		if state == http.StateIdle {
			r.RecordIdle(nc)
		}
	}
	server.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, nc)
		}
		return context.WithValue(ctx, connKey{}, nc)
	}
}

// RecordIdle records that the request on a connection has been answered and the connection is kept.
func (r *Receiver) RecordIdle(nc net.Conn) {
	if c := ConnOf(nc); c != nil {
		c.inRequest.Store(false)
		r.update(func(b *budgeter.Budget) { b.Answer(time.Now(), c.id) })
	}
}

// update changes the account in a way that may free memory.
func (r *Receiver) update(change func(*budgeter.Budget)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.budget.Usage().MemoryBytes
	change(r.budget)
	if r.budget.Usage().MemoryBytes < before {
		r.notify()
	}
}

// record tells the budget that a part of a request has been received. It returns false if the connection
// was evicted.
func (r *Receiver) record(c *Conn, tell func(b *budgeter.Budget) bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !tell(r.budget) {
		return false
	}
	if c.reason != "" {
		c.reason = ""
		c.revive(time.Time{})
	}
	return true
}

// grow waits until n more bytes of memory are granted to the request on a connection.
func (r *Receiver) grow(c *Conn, n int64) error {
	for {
		now := time.Now()
		r.mu.Lock()
		d := r.budget.Grow(now, c.id, n)
		r.evict(d.Evictions)
		reason, usage, changed := c.reason, r.budget.Usage(), r.changed
		r.mu.Unlock()
		switch d.Outcome {
		case budgeter.OutcomeGranted:
			return nil
		case budgeter.OutcomeRefused:
			if reason == "" {
				reason = d.Reason
			}
			return &NoMemoryError{Reason: reason, Usage: usage, RetryAfter: r.retryAfter()}
		case budgeter.OutcomeWait:
			timer := time.NewTimer(d.RetryAt.Sub(now))
			select {
			case <-changed:
			case <-timer.C:
			}
			timer.Stop()
		}
	}
}

// retryAfter returns when a caller may send its request again. By then, those who hold memory have made
// progress or given way. It is spread so that not all refused callers return at the same time.
func (r *Receiver) retryAfter() time.Duration {
	return r.cfg.Limits.StallTime + rand.N(r.cfg.Limits.StallTime)
}
