package emulator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"flamingoledge.org/flamingoledge/internal/endpointclient"
)

// EndpointConfig configures an endpoint's stand-in.
type EndpointConfig struct {
	Name string
	Seed uint64
	// ChecksFencing makes the endpoint refuse an order with an old number.
	ChecksFencing bool
	// Capacity is how many requests run at a time; more wait.
	Capacity int
	// Slots is how many versions fit in memory.
	Slots int
	// FirstTokenDelay is the time to the first token of an answer.
	FirstTokenDelay time.Duration
	// PrefixMissDelay is how much longer the first token takes when the body's prefix
	// is not among the CachedPrefixes most recently used ones.
	PrefixMissDelay time.Duration
	CachedPrefixes  int
	// TokenInterval is the time between tokens.
	TokenInterval time.Duration
	// RestartAfter is how long a crashed endpoint stays down.
	RestartAfter time.Duration
}

// Run is one entry of an endpoint's own history.
type Run struct {
	RequestID      string    `json:"request_id"`
	AttemptID      string    `json:"attempt_id"`
	IdempotencyKey string    `json:"idempotency_key,omitempty"`
	VersionDigest  string    `json:"version_digest,omitempty"`
	WeightsDigest  string    `json:"weights_digest,omitempty"`
	StartedAt      time.Time `json:"started_at"`
	// WeightsChanged is true when the version changed while the request ran.
	WeightsChanged bool `json:"mixed,omitempty"`
	// Interrupted is true when the request was running and did not finish.
	Interrupted bool `json:"cut,omitempty"`
}

// Endpoint is the stand-in for a model engine and for a plain service.
type Endpoint struct {
	cfg    EndpointConfig
	dice   *dice
	faults atomic.Pointer[EndpointFaults]
	slots  chan struct{}

	mu        sync.Mutex
	epoch     uint64
	downUntil time.Time
	crashes   int
	fencing   uint64
	role      string
	staged    map[string]string
	loaded    []endpointclient.Loaded
	running   int
	queued    int
	cancelled map[string]bool
	runs      []*Run
	keyRuns   map[string]int
	cache     *prefixCache
}

// NewEndpoint returns an endpoint that holds nothing.
func NewEndpoint(cfg EndpointConfig) *Endpoint {
	cfg.Capacity = max(cfg.Capacity, 1)
	cfg.Slots = max(cfg.Slots, 1)
	e := &Endpoint{
		cfg:       cfg,
		dice:      newDice(cfg.Seed),
		slots:     make(chan struct{}, cfg.Capacity),
		epoch:     1,
		staged:    map[string]string{},
		cancelled: map[string]bool{},
		keyRuns:   map[string]int{},
		cache:     newPrefixCache(cfg.CachedPrefixes),
	}
	e.faults.Store(&EndpointFaults{})
	return e
}

// Serve serves the endpoint on lis until ctx ends.
func (e *Endpoint) Serve(ctx context.Context, lis net.Listener) error {
	return serveHTTP(ctx, lis, true, e.handle)
}

// SetFaults replaces the faults. Clearing Crashed restarts the endpoint empty.
func (e *Endpoint) SetFaults(f EndpointFaults) {
	if old := e.faults.Swap(&f); old.Crashed != f.Crashed {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.loseEverything()
	}
}

// Runs returns the endpoint's own history.
func (e *Endpoint) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	rs := make([]Run, len(e.runs))
	for i, r := range e.runs {
		rs[i] = *r
	}
	return rs
}

// CacheStats returns how many requests found their prefix cached, and how many not.
func (e *Endpoint) CacheStats() (hits, misses int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.hits, e.cache.misses
}

// CrashCount returns how often a request crashed the endpoint.
func (e *Endpoint) CrashCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// State returns what the endpoint reports about itself.
func (e *Endpoint) State() endpointclient.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return endpointclient.State{
		Epoch:    e.epoch,
		Fencing:  e.fencing,
		Role:     e.role,
		Loaded:   slices.Clone(e.loaded),
		Slots:    e.cfg.Slots,
		Running:  e.running,
		Queued:   e.queued,
		Capacity: e.cfg.Capacity,
	}
}

func (e *Endpoint) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch path {
	case "/admin/faults":
		decodeThen(ctx, e.SetFaults)
		return
	case "/admin/history":
		writeJSON(ctx, e.Runs())
		return
	}
	if e.isDown() {
		dropConnection(ctx)
		return
	}
	switch {
	case path == endpointclient.PathState:
		writeJSON(ctx, e.State())
	case path == endpointclient.PathOrders:
		decodeThen(ctx, func(o endpointclient.Order) { e.handleOrder(ctx, o) })
	case strings.HasPrefix(path, endpointclient.PathWeights):
		e.handleWeights(ctx, strings.TrimPrefix(path, endpointclient.PathWeights))
	case path == endpointclient.PathGenerate || path == endpointclient.PathCall:
		e.handleRequest(ctx, path == endpointclient.PathGenerate)
	case path == endpointclient.PathCancel:
		e.cancel(string(ctx.QueryArgs().Peek("attempt")))
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (e *Endpoint) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.Load().Crashed || time.Now().Before(e.downUntil)
}

// loseEverything is what a restart does; the caller holds mu.
func (e *Endpoint) loseEverything() {
	e.epoch++
	e.loaded = nil
	e.role = ""
	e.staged = map[string]string{}
	e.cache = newPrefixCache(e.cfg.CachedPrefixes)
}

func (e *Endpoint) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashes++
	e.loseEverything()
	e.downUntil = time.Now().Add(e.cfg.RestartAfter)
}

// handleWeights takes weights as they come and digests them. Weights that end
// early are kept as what they are, under the digest of what arrived.
func (e *Endpoint) handleWeights(ctx *fasthttp.RequestCtx, name string) {
	h := sha256.New()
	body := ctx.RequestBodyStream()
	if body == nil {
		_, _ = h.Write(ctx.Request.Body())
	} else if _, err := io.Copy(h, body); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staged[name] = hex.EncodeToString(h.Sum(nil))
}

func (e *Endpoint) handleOrder(ctx *fasthttp.RequestCtx, o endpointclient.Order) {
	f := e.faults.Load()
	sleepMillis(f.OrderLatencyMillis)
	status := e.order(o)
	if e.dice.happens(f.OrderReplyLossRate) {
		dropConnection(ctx)
		return
	}
	ctx.SetStatusCode(status)
}

func (e *Endpoint) order(o endpointclient.Order) (status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ChecksFencing && o.Fencing < e.fencing {
		return fasthttp.StatusConflict
	}
	e.fencing = max(e.fencing, o.Fencing)
	switch o.Kind {
	case endpointclient.OrderLoad:
		return e.load(o)
	case endpointclient.OrderUnload:
		e.loaded = slices.DeleteFunc(e.loaded, func(l endpointclient.Loaded) bool { return l.VersionDigest == o.VersionDigest })
	case endpointclient.OrderRole:
		e.role = o.Role
	case endpointclient.OrderAdapter:
		return e.loadAdapter(o)
	default:
		return fasthttp.StatusBadRequest
	}
	return fasthttp.StatusOK
}

func (e *Endpoint) load(o endpointclient.Order) (status int) {
	staged, ok := e.staged[o.WeightsDigest]
	if !ok {
		return fasthttp.StatusNotFound
	}
	for _, l := range e.loaded {
		if l.VersionDigest == o.VersionDigest {
			return fasthttp.StatusOK
		}
	}
	if len(e.loaded) >= e.cfg.Slots {
		return fasthttp.StatusInsufficientStorage
	}
	e.loaded = append(e.loaded, endpointclient.Loaded{Model: o.Model, VersionDigest: o.VersionDigest, WeightsDigest: staged})
	return fasthttp.StatusOK
}

func (e *Endpoint) loadAdapter(o endpointclient.Order) (status int) {
	for i, l := range e.loaded {
		if l.VersionDigest != o.VersionDigest {
			continue
		}
		if !slices.Contains(l.Adapters, o.Adapter) {
			e.loaded[i].Adapters = append(slices.Clone(l.Adapters), o.Adapter)
		}
		return fasthttp.StatusOK
	}
	return fasthttp.StatusNotFound
}

func (e *Endpoint) cancel(attemptID string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelled[attemptID] = true
}
