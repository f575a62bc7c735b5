package forwarder

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/exchanger"
	"flamingoledge.org/flamingoledge/pkg/balancer"
	"flamingoledge.org/flamingoledge/pkg/estimator"
	"flamingoledge.org/flamingoledge/pkg/evacuator"
	"flamingoledge.org/flamingoledge/pkg/quarantiner"
	"flamingoledge.org/flamingoledge/pkg/resolver"
	"flamingoledge.org/flamingoledge/pkg/retrier"
	"flamingoledge.org/flamingoledge/pkg/shedder"
)

// RoutingState is a snapshot of the state that routing decisions depend on. It is
// immutable.
type RoutingState struct {
	// Table is nil until a configuration is known.
	Table *resolver.Table
	// ConfirmedAt is the latest time at which the configuration was known to be the
	// newest one.
	ConfirmedAt time.Time
	// Versions holds the named versions of each model, sorted by version.
	Versions map[string][]Version
	// EntryCount is the number of entries that share the load and the retry budget.
	EntryCount int
	// Evacuations are the availability zones that must get no requests.
	Evacuations evacuator.Zones
}

// Version is a version of a model's weights that operators named as the one to
// serve.
type Version struct {
	Version uint64
	// KnownSince is the earliest naming time of the version that this process knows of.
	// The version bound counts from it.
	KnownSince time.Time
}

// Bounds holds the limits that the forwarder enforces on requests.
type Bounds struct {
	// Revocation is the age of the configuration's last confirmation up to which
	// requests with a key may run.
	Revocation time.Duration
	// Configuration is the age of the configuration's last confirmation up to which
	// requests may be denied because of it.
	Configuration time.Duration
	// Version is the time after the naming of a version during which endpoints with
	// older versions may still begin requests; 0 for no limit.
	Version time.Duration
	// Evacuation is the time after the evacuation of an availability zone from which no request
	// may reach its endpoints; 0 for no limit. It concerns requests on their way only, as none
	// is sent once the evacuation is known.
	Evacuation time.Duration
	// RetryRatio, RetryWindow and RetryExtra bound the retries of all entries together.
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
	// Name identifies this entry among all.
	Name   string
	Region string
	// ExpectedEntries is the number of entries of which the settings tell.
	ExpectedEntries int
	// MaxBodyBytes bounds a request's body unless the configuration sets a limit.
	MaxBodyBytes int64
	Crashes      CrashRegistry
	// Shedding configures which requests are admitted during an overload.
	Shedding shedder.Config
	Logger   *zap.Logger
	Metrics  *expvar.Map
}

// CrashRegistry records what crashes endpoints: requests and parts of prompts.
type CrashRegistry interface {
	// Judge decides whether a request with the given keys may run. A verdict with Trial
	// set is given to one request only.
	Judge(keys []quarantiner.Key) quarantiner.Verdict
	// MayRepeat reports whether a request during which an endpoint crashed may run at
	// another one.
	MayRepeat(keys []quarantiner.Key) bool
	// AwaitProbes waits for the probes in progress if their results may convict a
	// request, and for the evidence of other entries after a start. It returns the error
	// of ctx if that ends before.
	AwaitProbes(ctx context.Context, keys []quarantiner.Key) error
	// StartProbe records that an endpoint may have crashed while it ran a request. end
	// has to be called with the keys that are suspect then; none if it has not crashed.
	StartProbe(endpoint string, keys []quarantiner.Key) (end func(suspects []quarantiner.Key))
	// RecordSoundRun records that an endpoint ran a request without crashing.
	RecordSoundRun(keys []quarantiner.Key)
}

// Forwarder is an http.Handler that forwards callers' requests to endpoints.
type Forwarder struct {
	cfg                Config
	dispatchers        dispatchers
	retryBudgets       retryBudgets
	startEstimator     startEstimator
	firstByteEstimator firstByteEstimator
	deliveryDelays     deliveryDelays
	silence            silenceWatch
	adviceProblems     adviceProblems
	answerMemory       answerMemory
	keptFromZones      keptFromZones
	countedWorkspaces  workspaceNames
	undelivered        undelivered
	// nextBackoffCheck is used by DispatchWaiting only.
	nextBackoffCheck time.Time

	inFlight   atomic.Int64
	stopping   stopState
	requestIDs atomic.Uint64
	latency    *latencyHistogram
}

// New returns a forwarder without endpoints.
func New(cfg Config) *Forwarder {
	f := &Forwarder{cfg: cfg, silence: newSilenceWatch(), latency: newLatencyHistogram(cfg.Metrics), stopping: stopState{begun: make(chan struct{})}}
	f.startEstimator.estimator = estimator.New()
	f.dispatchers.cfg = balancer.Config{Name: cfg.Name, Region: cfg.Region, RemoteRegionPenalty: remotePenalty, MaxWaiting: maxWaiting, Senders: 1, ExpectedSenders: cfg.ExpectedEntries, Shedding: &cfg.Shedding}
	f.retryBudgets.cfg = retrier.Config{
		Ratio:       cfg.Bounds.RetryRatio * retryBudgetShare,
		Window:      cfg.Bounds.RetryWindow,
		MaxAttempts: maxSendCount,
		BackoffBase: retryBackoffBase,
		BackoffCap:  retryBackoffCap,
		// Broken-off streams are rarer than failed attempts, but cost more.
		ResumeReserve: resumeReserve,
	}
	f.retryBudgets.extraRetries = cfg.Bounds.RetryExtra * retryBudgetShare
	return f
}

const (
	// remotePenalty is added to the load of endpoints in other regions, as traffic
	// between regions is expensive. Such an endpoint is chosen if it has about one
	// free slot of sixteen more.
	remotePenalty = 0.08
	// maxWaiting bounds the number of waiting requests of a service, and so their
	// memory.
	maxWaiting = 512
	// retryBudgetShare is the share of the common retry budget that is used. The rest
	// covers entries that have started or stopped and are not yet detected.
	retryBudgetShare = 0.7
	// resumeReserve is the share of the retry budget that is kept for streams that an
	// endpoint broke off.
	resumeReserve = 0.25
	// maxSendCount bounds the sends of one request, regardless of its route's limit.
	maxSendCount     = 4
	retryBackoffBase = 5 * time.Millisecond
	retryBackoffCap  = 50 * time.Millisecond
)

// InFlight returns the number of requests in progress.
func (f *Forwarder) InFlight() int64 { return f.inFlight.Load() }

// SetEndpoints replaces the endpoints of a service.
func (f *Forwarder) SetEndpoints(service string, endpoints []balancer.Endpoint) {
	f.deliveryDelays.setVersions(endpoints)
	f.dispatchers.get(service).setEndpoints(f.cfg.Clock(), endpoints)
}

// Services returns the sorted names of the services that endpoints were set for.
func (f *Forwarder) Services() []string { return f.dispatchers.services() }

// SetEntryCount sets the number of entries that share the load and the retry budgets.
func (f *Forwarder) SetEntryCount(n int) {
	f.dispatchers.each(func(dp *dispatcher) { dp.setSenders(n) })
	f.retryBudgets.setEntryCount(n)
}

// DispatchWaiting retries to dispatch the waiting requests and replaces the attempts whose
// endpoint has fallen silent. It has to be called regularly, since neither the end of an endpoint's
// pause nor silence causes an event, and not concurrently.
func (f *Forwarder) DispatchWaiting(now time.Time) {
	f.replaceSilent(now)
	f.logEndedBackoffs(now)
	f.logKeptFromZones(now)
	f.cancelEvacuated(now)
	f.dispatchers.each(func(dp *dispatcher) { dp.retryWaiting(now) })
}

// ReportLoad sets the load that an endpoint had at a time.
func (f *Forwarder) ReportLoad(service, endpoint string, at time.Time, l balancer.Load) {
	f.dispatchers.get(service).updateLoad(f.cfg.Clock(), at, endpoint, l)
}

// ReportLinkDelay sets how long requests queue on the link to an endpoint, as its sidecar
// reports at a time, and the version that the endpoint had loaded then.
func (f *Forwarder) ReportLinkDelay(endpoint string, version uint64, at time.Time, delay time.Duration) {
	f.deliveryDelays.report(at, balancer.Endpoint{ID: endpoint, Version: version}, delay)
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	if f.isStopping() {
		w.Header().Set("Connection", "close")
	}
	c := f.newCall(r)
	c.conn.BeginRequest()
	defer c.releaseBody()
	defer f.recoverHandler(w, c)
	if p := f.readRequest(w, c); p != nil {
		f.writeProblem(w, c, p)
		return
	}
	defer c.cancel()
	f.serveCall(w, c)
}

// retryBudgets holds the retry budget of each service.
type retryBudgets struct {
	cfg          retrier.Config
	extraRetries float64

	mu         sync.Mutex
	entryCount int
	byService  map[string]*retrier.Budget
}

// get returns the retry budget of a service and creates it on first use.
func (b *retryBudgets) get(now time.Time, service string) *retrier.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.byService[service]
	if budget == nil {
		if b.byService == nil {
			b.byService = map[string]*retrier.Budget{}
		}
		cfg := b.cfg
		cfg.MinPerSecond = b.extraRetries / float64(max(b.entryCount, minBudgetEntries)) / b.cfg.Window.Seconds()
		budget = retrier.New(cfg, now, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
		b.byService[service] = budget
	}
	return budget
}

// minBudgetEntries is the minimum number of entries that a budget is divided by, since
// an entry that has just started has not discovered the others yet.
const minBudgetEntries = 5

// setEntryCount resets the budgets if more entries share them than before. If there are
// fewer, the smaller share is kept, since the missing entries may only be unreachable
// from here.
func (b *retryBudgets) setEntryCount(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > b.entryCount && n > minBudgetEntries {
		b.byService = nil
	}
	b.entryCount = max(n, b.entryCount)
}
