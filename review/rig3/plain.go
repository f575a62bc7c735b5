package rig3

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"flamingoledge.org/flamingoledge/platform/standin"
)

// Arrival is a request that has reached a runner.
type Arrival struct {
	ID string
	At time.Time
}

// PlainRunner is one start of a runner of a service without models.
type PlainRunner struct {
	id, service, address string
	store                *standin.Store
	server               *http.Server
	lis                  net.Listener
	born                 int64
	stop                 chan struct{}

	mu       sync.Mutex
	seq      int64
	draining bool
	arrivals []Arrival
}

const (
	heartbeat = 1200 * time.Millisecond
	workTime  = 15 * time.Millisecond
	slots     = 6
)

// StartPlain starts a runner, whose clock differs from the true time.
func StartPlain(id, service, address string, store *standin.Store, clock time.Duration) (*PlainRunner, error) {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &PlainRunner{id: id, service: service, address: address, store: store, lis: lis, born: time.Now().Add(clock).UnixMilli(), stop: make(chan struct{})}
	p.server = &http.Server{Handler: p, ReadHeaderTimeout: time.Minute}
	go func() { _ = p.server.Serve(lis) }()
	p.write()
	go p.beat()
	return p, nil
}

// Close ends the runner as a crash does.
func (p *PlainRunner) Close() {
	close(p.stop)
	_ = p.server.Close()
	_ = p.lis.Close()
}

// Born returns the start time by the runner's clock, in Unix milliseconds.
func (p *PlainRunner) Born() int64 { return p.born }

// Drain makes the runner report that it drains. It returns when the store has accepted that.
func (p *PlainRunner) Drain() time.Time {
	p.mu.Lock()
	p.draining = true
	p.mu.Unlock()
	p.write()
	return time.Now()
}

// Arrivals returns the requests that have reached the runner.
func (p *PlainRunner) Arrivals() []Arrival {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Arrival(nil), p.arrivals...)
}

func (p *PlainRunner) beat() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-p.stop:
			return
		case <-ticker.C:
			p.write()
		}
	}
}

func (p *PlainRunner) write() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seq++
	state := "ready"
	if p.draining {
		state = "draining"
	}
	b, _ := json.Marshal(map[string]any{
		"service": p.service, "address": p.address, "zone": "z", "version": "v1", "slots": slots, "state": state, "cold_left_ms": 0, "seq": p.seq, "born": p.born,
	})
	p.store.PutEndpoint(p.id, b)
}

// ServeHTTP implements http.Handler.
func (p *PlainRunner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h, id := w.Header(), r.Header.Get("X-Request-Id")
	h.Set("X-Request-Id", id)
	p.mu.Lock()
	if p.draining {
		h.Set("Server-Leaving", "1")
		h.Set("Connection", "close")
	}
	p.mu.Unlock()
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	p.mu.Lock()
	p.arrivals = append(p.arrivals, Arrival{ID: id, At: time.Now()})
	p.mu.Unlock()
	_, _ = io.Copy(io.Discard, r.Body)
	time.Sleep(workTime)
	h.Set("X-Server-Stamp", "stamp-"+id)
	_, _ = io.WriteString(w, strings.Repeat("x", 800))
}
