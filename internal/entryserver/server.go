package entryserver

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"storj.io/drpc/drpcmux"

	"flamingoledge.org/flamingoledge/internal/announcer"
	"flamingoledge.org/flamingoledge/internal/auditor"
	"flamingoledge.org/flamingoledge/internal/connector"
	"flamingoledge.org/flamingoledge/internal/crashtracker"
	"flamingoledge.org/flamingoledge/internal/httpserver"
	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/internal/messenger"
	"flamingoledge.org/flamingoledge/internal/notifier"
	"flamingoledge.org/flamingoledge/internal/receiver"
	"flamingoledge.org/flamingoledge/internal/synchronizer"
	"flamingoledge.org/flamingoledge/pkg/controller"
	"flamingoledge.org/flamingoledge/pkg/provider"
	"flamingoledge.org/flamingoledge/pkg/retrier"
	"flamingoledge.org/flamingoledge/pkg/router"
)

const (
	controlQueueLength = 4096
	tickInterval       = 250 * time.Millisecond
	shutdownTimeout    = time.Second
	drainPollInterval  = 10 * time.Millisecond
	httpIdleTimeout    = 30 * time.Second
	// httpHeaderTimeout bounds the time until the head of a request has been read.
	httpHeaderTimeout = 10 * time.Second
	// maxAuditAppendsPerSecond limits the audit appends of all entries together.
	maxAuditAppendsPerSecond = 60
)

// Server runs one entry.
type Server struct {
	cfg           Config
	board         *controller.Board[state]
	workerPool    *ants.Pool
	conns         connector.Pool
	gates         gates
	windows       windows
	demand        demand
	retries       retryBudgets
	configChanged notifier.Notifier
	crashTracker  *crashtracker.Tracker
	audit         *auditor.Auditor
	announcer     *announcer.Announcer
	// callers keeps account of what callers hold. The control listener is not counted, as no caller
	// reaches it.
	callers    *receiver.Receiver
	recovering atomic.Bool

	draining atomic.Bool
	inFlight atomic.Int64
	metrics  *expvar.Map
}

// New returns an entry. Call Run to start it.
func New(cfg Config) (s *Server, err error) {
	s = &Server{cfg: cfg, metrics: new(expvar.Map).Init()}
	s.conns.Dialer = cfg.Dialer
	s.callers = receiver.New(receiver.Config{
		Limits: receiver.NewLimits(cfg.Callers, receiver.Resources{
			MemoryMB: cfg.MemoryMB, MaxDescriptors: cfg.MaxDescriptors, MaxBodyBytes: cfg.MaxBodyBytes, Copies: bodyCopies,
		}),
		Copies: bodyCopies, Logger: cfg.Logger, Metrics: s.metrics,
	})
	s.crashTracker = crashtracker.New(cfg.Log, cfg.Logger)
	s.audit = auditor.New(auditor.Config{Log: cfg.Log, Logger: cfg.Logger, Instance: cfg.Instance, Interval: s.auditInterval})
	if s.workerPool, err = ants.NewPool(cfg.TrafficGoroutines, ants.WithNonblocking(true)); err != nil {
		return nil, eris.Wrapf(err, "create pool of %d goroutines", cfg.TrafficGoroutines)
	}
	s.announcer = announcer.New(announcer.Config{
		Directory: cfg.Directory,
		Logger:    cfg.Logger,
		Metrics:   s.metrics,
		Interval:  cfg.ListInterval,
		Self: provider.Instance{
			Name: cfg.Instance, Role: provider.RoleEntry, AvailabilityZone: cfg.AvailabilityZone, Region: cfg.Region,
			Address: cfg.Address, HTTPAddress: cfg.HTTPAddress,
		},
		IsLeaving:   s.draining.Load,
		OnInstances: func(instances []provider.Instance) { s.board.Post(instancesRead{instances: instances}) },
	})
	now := time.Now()
	s.gates = gates{maxWaiting: cfg.MaxWaiting}
	s.retries = retryBudgets{cfg: cfg.Retries, startedAt: now}
	s.board = controller.New(controller.Config[state]{
		Initial: state{
			configuration: synchronizer.NewConfiguration(cfg.NewestSchema),
			sidecars:      map[string]sidecar{},
			table:         router.NewTable(nil, nil),
		},
		Controllers: []controller.Controller[state]{
			configurationController{},
			membershipController{heartbeatTimeout: cfg.HeartbeatTimeout},
		},
		QueueLength:  controlQueueLength,
		TickInterval: tickInterval,
		Clock:        time.Now,
		Perform:      s.perform,
		OnDrop: func(controller.Event) {
			s.metrics.Add("control_events_dropped", 1)
			logger.Log(cfg.Logger, logger.QueueFull)
		},
	})
	return s, nil
}

// Metrics returns the counters of the entry.
func (s *Server) Metrics() *expvar.Map { return s.metrics }

// Run serves until ctx ends and then drains: the listeners are closed after the
// requests in progress have finished or the drain timeout has passed.
func (s *Server) Run(ctx context.Context) error {
	backgroundCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	server := s.newCallersServer()
	var wg sync.WaitGroup
	serveErrs := make(chan error, 2)
	wg.Go(func() { s.board.Run(backgroundCtx) })
	wg.Go(func() { s.tailConfiguration(backgroundCtx) })
	wg.Go(func() { s.crashTracker.Run(backgroundCtx) })
	wg.Go(func() { s.audit.Run(backgroundCtx) })
	wg.Go(func() { s.writeSnapshots(backgroundCtx) })
	wg.Go(func() { s.catchUp(backgroundCtx) })
	wg.Go(func() { s.announcer.Run(backgroundCtx) })
	wg.Go(func() { s.callers.Run(backgroundCtx) })
	wg.Go(func() { serveErrs <- connector.Serve(backgroundCtx, s.cfg.ControlListener, s.cfg.ServerTLS, s.mux()) })
	servingCtx, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	served := make(chan struct{})
	wg.Go(func() {
		defer close(served)
		serveErrs <- httpserver.Run(servingCtx, server, s.callers.Listener(s.cfg.HTTPListener), shutdownTimeout)
	})
	logger.Log(s.cfg.Logger, logger.ProcessStarted, zap.String("address", s.cfg.Address), zap.String("http_address", s.cfg.HTTPAddress),
		zap.Int64("callers_memory_bytes", s.callers.Limits().MemoryBytes), zap.Int("callers_connections", s.callers.Limits().MaxConns))
	var err error
	select {
	case <-ctx.Done():
		s.drain()
	case err = <-serveErrs:
	}
	stopServing()
	<-served
	stop()
	s.conns.Close()
	wg.Wait()
	s.workerPool.Release()
	logger.Log(s.cfg.Logger, logger.ProcessStopped, zap.Int64("cut_off", s.inFlight.Load()))
	return err
}

// newCallersServer returns the server of callers. It leaves bodies to the handler, which reads them as
// far as there is memory for them.
func (s *Server) newCallersServer() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:                      s.handle,
		MaxRequestBodySize:           s.cfg.MaxBodyBytes,
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		Logger:                       logger.Discard{},
		ReadTimeout:                  httpHeaderTimeout,
		IdleTimeout:                  httpIdleTimeout,
		HeaderReceived:               s.prepareBody,
		ExpectHandler:                s.expectBody,
		ErrorHandler:                 s.handleProtocolError,
		CloseOnShutdown:              true,
		ConnState: func(nc net.Conn, state fasthttp.ConnState) {
			if state == fasthttp.StateIdle {
				s.callers.RecordIdle(nc)
			}
		},
	}
}

// prepareBody is called after the head of a request has been read, before fasthttp reads the first part
// of the body. It bounds the time for that. A body over the limit is not read at all: fasthttp asks
// expectBody about a request that waits for "100 Continue" before it reads from it.
func (s *Server) prepareBody(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if h.ContentLength() > s.cfg.MaxBodyBytes {
		h.Set(fasthttp.HeaderExpect, "100-continue")
	}
	timeout := bodyTimeout
	if ms, err := strconv.ParseInt(string(h.Peek(HeaderDeadline)), 10, 64); err == nil && ms > 0 && ms < timeout.Milliseconds() {
		timeout = time.Duration(ms) * time.Millisecond
	}
	return fasthttp.RequestConfig{ReadTimeout: timeout}
}

// expectBody decides whether the body of a request may be sent. It responds if not.
func (s *Server) expectBody(ctx *fasthttp.RequestCtx) (status int) {
	if ctx.Request.Header.ContentLength() <= s.cfg.MaxBodyBytes {
		return fasthttp.StatusContinue
	}
	p := unreadBody(&receiver.TooLargeError{LimitBytes: int64(s.cfg.MaxBodyBytes)})
	s.refuse(ctx, &call{}, p)
	return p.Status
}

// drain refuses new requests and waits for those in progress, up to the drain timeout.
func (s *Server) drain() {
	logger.Log(s.cfg.Logger, logger.ProcessDraining, zap.Int64("in_progress", s.inFlight.Load()))
	s.draining.Store(true)
	s.announcer.AnnounceLeaving()
	deadline := time.Now().Add(s.cfg.DrainTimeout)
	for s.inFlight.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
}

// auditInterval returns the interval between audit appends: one second, or longer if
// the live entries together would exceed maxAuditAppendsPerSecond.
func (s *Server) auditInterval() time.Duration {
	entries := liveEntries(s.board.View().instances)
	return max(time.Second, time.Duration(entries)*time.Second/maxAuditAppendsPerSecond)
}

func (s *Server) mux() *drpcmux.Mux {
	m := drpcmux.New()
	if err := messenger.DRPCRegisterControl(m, s); err != nil {
		s.cfg.Logger.Panic("register control service", zap.Error(err))
	}
	return m
}

// perform executes the actions of the controllers. It runs on the control goroutine.
func (s *Server) perform(a controller.Action) {
	switch a := a.(type) {
	case logAction:
		logger.Log(s.cfg.Logger, a.event, a.fields...)
	case configurationChanged:
		s.configChanged.Notify()
	case retentionGapFound:
		s.recoverState()
	case throughOffsetRegressed:
		logger.Log(s.cfg.Logger, logger.ThroughOffsetFell, zap.Uint64("from", a.from), zap.Uint64("to", a.to))
	}
}

// tailConfiguration reads the configuration stream until ctx ends.
func (s *Server) tailConfiguration(ctx context.Context) {
	next := uint64(1)
	nextOffset := func() uint64 {
		next = max(next, s.board.View().configuration.State.LastOffset()+1)
		return next
	}
	synchronizer.Tail(ctx, s.cfg.Log, provider.StreamConfiguration, s.cfg.Logger, nextOffset, func(p provider.Page) {
		if s.board.Send(ctx, pageRead{page: p}) != nil {
			return
		}
		if n := len(p.Records); n > 0 {
			s.awaitThroughOffset(ctx, p.Records[n-1].Offset)
		}
	})
}

// awaitThroughOffset waits until the control goroutine has applied records up to
// offset, so that the next read starts after them.
func (s *Server) awaitThroughOffset(ctx context.Context, offset uint64) {
	for range 100 {
		if ctx.Err() != nil || s.board.View().configuration.State.LastOffset() >= offset {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// retryBudgets contains the retry budget of each service.
type retryBudgets struct {
	cfg       retrier.Config
	startedAt time.Time

	mu      sync.Mutex
	budgets map[string]*retrier.Budget
}

func (r *retryBudgets) forService(service string) *retrier.Budget {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.budgets[service]
	if b == nil {
		if r.budgets == nil {
			r.budgets = map[string]*retrier.Budget{}
		}
		b = retrier.New(r.cfg, r.startedAt, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
		r.budgets[service] = b
	}
	return b
}
