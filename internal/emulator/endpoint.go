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

// EndpointConfig configures an emulated endpoint.
type EndpointConfig struct {
	Name string
	// Seed seeds fault injection.
	Seed uint64
	// ChecksFencing makes the endpoint refuse orders with a fencing number lower than
	// the highest it has received.
	ChecksFencing bool
	// Capacity is the number of requests that run concurrently; others are queued.
	Capacity int
	// Slots is the number of versions that fit in memory.
	Slots int
	// FirstTokenDelay is the time to the first token of an answer.
	FirstTokenDelay time.Duration
	// PrefixMissDelay is added to FirstTokenDelay if the prefix of the request body is
	// not among the CachedPrefixes most recently used ones.
	PrefixMissDelay time.Duration
	CachedPrefixes  int
	// TokenInterval is the time between tokens.
	TokenInterval time.Duration
	// RestartAfter is the time that the endpoint is down after a request crashed it.
	RestartAfter time.Duration
}

// Run is the record of one request in an endpoint's history.
type Run struct {
	RequestID      string    `json:"request_id"`
	AttemptID      string    `json:"attempt_id"`
	IdempotencyKey string    `json:"idempotency_key,omitempty"`
	VersionDigest  string    `json:"version_digest,omitempty"`
	WeightsDigest  string    `json:"weights_digest,omitempty"`
	StartedAt      time.Time `json:"started_at"`
	// WeightsChanged is true if the weights loaded for the version changed while the
	// request ran.
	WeightsChanged bool `json:"mixed,omitempty"`
	// Interrupted is true if the request started but did not complete.
	Interrupted bool `json:"cut,omitempty"`
}

// Endpoint emulates a model engine and a plain service.
type Endpoint struct {
	cfg       EndpointConfig
	sampler   *sampler
	faults    atomic.Pointer[EndpointFaults]
	semaphore chan struct{}

	mu sync.Mutex
	// epoch counts the starts of the endpoint.
	epoch     uint64
	downUntil time.Time
	crashes   int
	// highestFencing is the highest fencing number of an order.
	highestFencing uint64
	role           string
	// staged maps the digest under which weights were uploaded to the digest of the
	// bytes received.
	staged  map[string]string
	loaded  []endpointclient.LoadedVersion
	running int
	queued  int
	// cancelled is the set of cancelled attempt IDs.
	cancelled map[string]bool
	runs      []*Run
	runsByKey map[string]int
	cache     *prefixCache
}

// NewEndpoint returns an endpoint without weights or loaded versions.
func NewEndpoint(cfg EndpointConfig) *Endpoint {
	cfg.Capacity = max(cfg.Capacity, 1)
	cfg.Slots = max(cfg.Slots, 1)
	e := &Endpoint{
		cfg:       cfg,
		sampler:   newSampler(cfg.Seed),
		semaphore: make(chan struct{}, cfg.Capacity),
		epoch:     1,
		staged:    map[string]string{},
		cancelled: map[string]bool{},
		runsByKey: map[string]int{},
		cache:     newPrefixCache(cfg.CachedPrefixes),
	}
	e.faults.Store(&EndpointFaults{})
	return e
}

// Serve serves the endpoint on lis until ctx is cancelled.
func (e *Endpoint) Serve(ctx context.Context, lis net.Listener) error {
	return serveHTTP(ctx, lis, true, e.handle)
}

// SetFaults replaces the injected faults. A change of Crashed discards the weights, the
// loaded versions, the role and the prefix cache.
func (e *Endpoint) SetFaults(f EndpointFaults) {
	if old := e.faults.Swap(&f); old.Crashed != f.Crashed {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.resetState()
	}
}

// Runs returns the history of all requests that the endpoint has started.
func (e *Endpoint) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	rs := make([]Run, len(e.runs))
	for i, r := range e.runs {
		rs[i] = *r
	}
	return rs
}

// CacheStats returns the number of hits and misses of the prefix cache since the last
// restart.
func (e *Endpoint) CacheStats() (hits, misses int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.hits, e.cache.misses
}

// CrashCount returns how many times a request has crashed the endpoint.
func (e *Endpoint) CrashCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// State returns the state that the endpoint reports to its sidecar.
func (e *Endpoint) State() endpointclient.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return endpointclient.State{
		Epoch:    e.epoch,
		Fencing:  e.highestFencing,
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
		handleJSON(ctx, e.SetFaults)
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
		handleJSON(ctx, func(o endpointclient.Order) { e.handleOrder(ctx, o) })
	case strings.HasPrefix(path, endpointclient.PathWeights):
		e.handleWeights(ctx, strings.TrimPrefix(path, endpointclient.PathWeights))
	case path == endpointclient.PathGenerate || path == endpointclient.PathCall:
		e.handleRequest(ctx, path == endpointclient.PathGenerate)
	case path == endpointclient.PathCancel:
		e.cancelAttempt(string(ctx.QueryArgs().Peek("attempt")))
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (e *Endpoint) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.Load().Crashed || time.Now().Before(e.downUntil)
}

// resetState starts a new epoch and discards what a restart loses. The caller must
// hold mu.
func (e *Endpoint) resetState() {
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
	e.resetState()
	e.downUntil = time.Now().Add(e.cfg.RestartAfter)
}

// handleWeights reads uploaded weights as a stream and stores only their digest. A
// shortened upload is accepted and recorded with the digest of the bytes received.
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
	status := e.applyOrder(o)
	if e.sampler.occurs(f.OrderReplyLossRate) {
		dropConnection(ctx)
		return
	}
	ctx.SetStatusCode(status)
}

// applyOrder applies an order and returns the HTTP status of the response.
func (e *Endpoint) applyOrder(o endpointclient.Order) (status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ChecksFencing && o.Fencing < e.highestFencing {
		return fasthttp.StatusConflict
	}
	e.highestFencing = max(e.highestFencing, o.Fencing)
	switch o.Kind {
	case endpointclient.OrderLoad:
		return e.loadVersion(o)
	case endpointclient.OrderUnload:
		e.loaded = slices.DeleteFunc(e.loaded, func(l endpointclient.LoadedVersion) bool { return l.VersionDigest == o.VersionDigest })
	case endpointclient.OrderRole:
		e.role = o.Role
	case endpointclient.OrderAdapter:
		return e.loadAdapter(o)
	default:
		return fasthttp.StatusBadRequest
	}
	return fasthttp.StatusOK
}

func (e *Endpoint) loadVersion(o endpointclient.Order) (status int) {
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
	e.loaded = append(e.loaded, endpointclient.LoadedVersion{Model: o.Model, VersionDigest: o.VersionDigest, WeightsDigest: staged})
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

func (e *Endpoint) cancelAttempt(attemptID string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelled[attemptID] = true
}
