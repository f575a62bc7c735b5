// Package flooder emulates crowds of callers that ignore the rules of an interface: they send more
// than it allows, or stop before the end of a request and keep the connection open. It also measures
// what a process holds for its callers.
package flooder

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Request writes a request, or a part of one, on a new connection. It returns an error if the process
// has closed the connection.
type Request func(w io.Writer, rng *rand.Rand) error

// Config configures a Crowd.
type Config struct {
	// Address is the IP address and port of the interface.
	Address string
	// Callers is the number of callers. Each sends its request on a connection of its own.
	Callers int
	// Attempts is how often a caller connects again after the process has closed its connection.
	Attempts int
	// Request is sent by each caller.
	Request Request
	// Seed is the seed of the callers' random numbers.
	Seed uint64
}

// Crowd is a number of callers that have begun to send. Each keeps its connection open after its
// request, until the process closes it.
type Crowd struct {
	cfg     Config
	stopped chan struct{}
	callers sync.WaitGroup
	// sending counts the callers that have not come to the end of what they send.
	sending sync.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

const (
	dialTimeout = 2 * time.Second
	// retryPause is the time after which a caller connects again.
	retryPause = 20 * time.Millisecond
)

// Start starts a crowd. Close ends it.
func Start(cfg Config) *Crowd {
	c := &Crowd{cfg: cfg, stopped: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	for i := range cfg.Callers {
		c.sending.Add(1)
		c.callers.Go(func() { c.run(rand.New(rand.NewPCG(cfg.Seed, uint64(i)))) })
	}
	return c
}

// AwaitSent waits until each caller has sent its request once or has used up its attempts. It
// returns false if that takes longer than timeout.
func (c *Crowd) AwaitSent(timeout time.Duration) bool {
	sent := make(chan struct{})
	go func() {
		c.sending.Wait()
		close(sent)
	}()
	select {
	case <-sent:
		return true
	case <-time.After(timeout):
		return false
	}
}

// Close closes the callers' connections and waits until all have ended.
func (c *Crowd) Close() {
	close(c.stopped)
	c.mu.Lock()
	for conn := range c.conns {
		_ = conn.Close()
	}
	c.mu.Unlock()
	c.callers.Wait()
}

func (c *Crowd) run(rng *rand.Rand) {
	var once sync.Once
	sent := func() { once.Do(c.sending.Done) }
	defer sent()
	for range c.cfg.Attempts {
		c.attempt(rng, sent)
		select {
		case <-c.stopped:
			return
		case <-time.After(retryPause):
		}
	}
}

// attempt sends a request and waits until the connection ends.
func (c *Crowd) attempt(rng *rand.Rand, sent func()) {
	conn, err := net.DialTimeout("tcp", c.cfg.Address, dialTimeout)
	if err != nil || !c.add(conn) {
		return
	}
	defer c.remove(conn)
	received := make(chan struct{})
	go func() {
		defer close(received)
		_, _ = io.Copy(io.Discard, conn)
	}()
	if c.cfg.Request(conn, rng) == nil {
		sent()
	}
	<-received
}

// add registers a connection, unless the crowd has ended, in which case it is closed.
func (c *Crowd) add(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.stopped:
		_ = conn.Close()
		return false
	default:
		c.conns[conn] = struct{}{}
		return true
	}
}

func (c *Crowd) remove(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
	_ = conn.Close()
}
