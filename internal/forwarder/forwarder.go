package forwarder

import (
	"expvar"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/exchanger"
	"flamingoledge.org/flamingoledge/pkg/balancer"
	"flamingoledge.org/flamingoledge/pkg/resolver"
	"flamingoledge.org/flamingoledge/pkg/retrier"
)

// RoutingState is what requests are decided by. It is immutable.
type RoutingState struct {
	// Table is nil until a configuration is known.
	Table *resolver.Table
	// ConfirmedAt is the latest moment at which the configuration is known to have
	// been the newest one.
	ConfirmedAt time.Time
	// Versions are the named versions by model, in the order of their naming.
	Versions map[string][]Version
	// EntryCount is how many entries share the load and the retry budget.
	EntryCount int
}

// Version is a named version of a model's weights.
type Version struct {
	Version uint64
	// KnownSince is when this process learned of it.
	KnownSince time.Time
}

// Bounds are the promises that requests are checked against.
type Bounds struct {
	// Revocation is how old a proof of the configuration may be for requests
	// with a key to run.
	Revocation time.Duration
	// Configuration is how old it may be for a request to be denied by it.
	Configuration time.Duration
	// Version is how long after the naming of a version older ones may begin.
	Version time.Duration
	// RetryRatio, RetryWindow and RetryExtra bound the attempts beyond the first
	// of all entries together.
	RetryRatio  float64
	RetryWindow time.Duration
	RetryExtra  float64
}

// Config configures a Forwarder.
type Config struct {
	Translator   Translator
	Pool         *exchanger.Pool
	RoutingState func() *RoutingState
	Clock        func() time.Time
	Bounds       Bounds
	Region       string
	// MaxBodyBytes bounds a request's body until a configuration says more.
	MaxBodyBytes int64
	Crashes      CrashRegistry
	Logger       *zap.Logger
	Metrics      *expvar.Map
}

// CrashRegistry knows the requests that break endpoints down.
type CrashRegistry interface {
	// IsConvicted tells whether a request must not run any more.
	IsConvicted(fingerprint uint64) bool
	// RecordCrash notes that an endpoint broke down under a request.
	RecordCrash(fingerprint uint64, endpoint string)
}

// Forwarder is an http.Handler for callers' requests.
type Forwarder struct {
	cfg      Config
	gates    gates
	budgets  budgets
	patience patience
	paces    paces

	inFlight atomic.Int64
	leaving  atomic.Bool
	ids      atomic.Uint64
	latency  *latencies
}

// New returns a forwarder without endpoints.
func New(cfg Config) *Forwarder {
	f := &Forwarder{cfg: cfg, latency: newLatencies(cfg.Metrics)}
	f.gates.cfg = balancer.Config{Region: cfg.Region, RemotePenalty: remotePenalty, MaxWaiting: maxWaiting, Sharers: 1}
	f.budgets.cfg = retrier.Config{
		Ratio:       cfg.Bounds.RetryRatio * budgetShare,
		Window:      cfg.Bounds.RetryWindow,
		MaxAttempts: maxSends,
		BackoffBase: retryPauseBase,
		BackoffCap:  retryPauseCap,
	}
	f.budgets.extra = cfg.Bounds.RetryExtra * budgetShare
	return f
}

const (
	// remotePenalty makes an endpoint of another region the choice when it has
	// about one place of sixteen more: bytes between regions are dear.
	remotePenalty = 0.08
	// maxWaiting bounds the memory of waiting requests.
	maxWaiting = 512
	// budgetShare of the retries that all entries may make together is used, as
	// entries come and go unseen for a moment.
	budgetShare = 0.7
	// maxSends bounds the sends of one request whatever its route says.
	maxSends       = 4
	retryPauseBase = 5 * time.Millisecond
	retryPauseCap  = 50 * time.Millisecond
)

// InFlight returns how many requests are in progress.
func (f *Forwarder) InFlight() int64 { return f.inFlight.Load() }

// StartDraining makes every answer close its connection from now on.
func (f *Forwarder) StartDraining() { f.leaving.Store(true) }

// SetEndpoints takes the present endpoints of a service.
func (f *Forwarder) SetEndpoints(service string, endpoints []balancer.Endpoint) {
	f.gates.of(service).setEndpoints(f.cfg.Clock(), endpoints)
}

// Services returns the services that endpoints were set for.
func (f *Forwarder) Services() []string { return f.gates.services() }

// SetEntryCount tells how many entries share load and budgets.
func (f *Forwarder) SetEntryCount(n int) {
	f.gates.each(func(g *gate) { g.setSharers(n) })
	f.budgets.setEntries(n)
}

// DispatchWaiting looks again at the requests that wait; time alone ends the pause of an
// endpoint.
func (f *Forwarder) DispatchWaiting(now time.Time) {
	f.gates.each(func(g *gate) { g.wake(now) })
}

// ReportLoad takes the load of an endpoint at a moment.
func (f *Forwarder) ReportLoad(service, endpoint string, at time.Time, l balancer.Load) {
	f.gates.of(service).report(f.cfg.Clock(), at, endpoint, l)
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	if f.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	c, p := f.take(w, r)
	if p != nil {
		f.refuse(w, c, p)
		return
	}
	defer c.cancel()
	f.run(w, c)
}

// budgets holds the retry budget of each service.
type budgets struct {
	cfg   retrier.Config
	extra float64

	mu      sync.Mutex
	entries int
	byName  map[string]*retrier.Budget
}

func (b *budgets) of(now time.Time, service string) *retrier.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.byName[service]
	if r == nil {
		if b.byName == nil {
			b.byName = map[string]*retrier.Budget{}
		}
		cfg := b.cfg
		cfg.FloorPerSecond = b.extra / float64(max(b.entries, assumedEntries)) / b.cfg.Window.Seconds()
		r = retrier.New(cfg, now, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
		b.byName[service] = r
	}
	return r
}

// assumedEntries is how many entries share a budget at least: a starting entry
// does not know the others yet.
const assumedEntries = 5

// setEntries renews the budgets when more entries share them than before. With
// fewer, the smaller share is kept, for they may only be out of sight.
func (b *budgets) setEntries(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > b.entries && n > assumedEntries {
		b.byName = nil
	}
	b.entries = max(n, b.entries)
}
