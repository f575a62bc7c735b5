package sidecarserver

import (
	"context"
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/panjf2000/ants/v2"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"flamingoledge.org/flamingoledge/internal/announcer"
	"flamingoledge.org/flamingoledge/internal/auditor"
	"flamingoledge.org/flamingoledge/internal/connector"
	"flamingoledge.org/flamingoledge/internal/crashtracker"
	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/internal/messenger"
	"flamingoledge.org/flamingoledge/internal/notifier"
	"flamingoledge.org/flamingoledge/internal/synchronizer"
	"flamingoledge.org/flamingoledge/internal/transferrer"
	"flamingoledge.org/flamingoledge/pkg/claimer"
	"flamingoledge.org/flamingoledge/pkg/controller"
	"flamingoledge.org/flamingoledge/pkg/fencer"
	"flamingoledge.org/flamingoledge/pkg/pacer"
	"flamingoledge.org/flamingoledge/pkg/planner"
	"flamingoledge.org/flamingoledge/pkg/provider"
)

const (
	controlQueueLength = 1024
	tickInterval       = 500 * time.Millisecond
	probeInterval      = 300 * time.Millisecond
	drainPollInterval  = 10 * time.Millisecond
	// leaveNoticeDelay is how long a leaving sidecar waits for its heartbeats to reach
	// the entries.
	leaveNoticeDelay = 50 * time.Millisecond
	// auditInterval is the time between appends of audit entries. A sidecar records
	// only its orders and the versions it starts to serve, so most intervals need no
	// append.
	auditInterval = time.Second
)

// Server runs the sidecar role for one endpoint.
type Server struct {
	cfg              Config
	incarnation      string
	board            *controller.Board[state]
	workerPool       *ants.Pool
	store            *transferrer.Store
	admission        *admission
	claims           *claims
	executions       *executions
	lease            *leaseHolder
	rollout          *rollout
	stateChanged     notifier.Notifier
	uplink, downlink *pacer.Pacer
	crashTracker     *crashtracker.Tracker
	audit            *auditor.Auditor
	announcer        *announcer.Announcer
	deathTracker     *deathTracker
	// handlers is the number of Run calls in progress.
	handlers atomic.Int64
	metrics  *expvar.Map
}

// New returns a sidecar. Call Run to start it.
func New(cfg Config) (s *Server, err error) {
	s = &Server{
		cfg:         cfg,
		incarnation: uuid.Must(uuid.NewV7()).String(),
		store:       transferrer.NewStore(),
		admission:   newAdmission(),
		claims:      newClaims(claimer.Config{Window: cfg.ClaimWindow, ClockSkew: cfg.ClockSkew}, cfg.Service, cfg.Log, cfg.Logger),
		executions:  newExecutions(),
		uplink:      newLinkPacer(cfg.Transfer.LinkBytesPerSecond),
		downlink:    newLinkPacer(cfg.Transfer.LinkBytesPerSecond),
		metrics:     new(expvar.Map).Init(),
	}
	if s.workerPool, err = ants.NewPool(cfg.TrafficGoroutines, ants.WithNonblocking(true)); err != nil {
		return nil, eris.Wrap(err, "create goroutine pool")
	}
	lease := fencer.Config{Endpoint: cfg.Instance, Incarnation: s.incarnation, Duration: cfg.LeaseDuration}
	s.lease = newLeaseHolder(lease, cfg.Log, cfg.Logger, s.handleSuperseded)
	s.claims.claimants = s.countClaimants
	s.rollout = newRollout(s)
	s.crashTracker = crashtracker.New(cfg.Log, cfg.Logger)
	s.deathTracker = newDeathTracker(s)
	s.audit = auditor.New(auditor.Config{
		Log: cfg.Log, Logger: cfg.Logger, Instance: cfg.Instance, Interval: func() time.Duration { return auditInterval },
	})
	s.announcer = announcer.New(announcer.Config{
		Directory: cfg.Directory,
		Logger:    cfg.Logger,
		Metrics:   s.metrics,
		Interval:  cfg.ListInterval,
		Self: provider.Instance{
			Name: cfg.Instance, Role: provider.RoleSidecar, AvailabilityZone: cfg.AvailabilityZone, Region: cfg.Region,
			Service: cfg.Service, Address: cfg.Address,
		},
		IsLeaving:   func() bool { return !s.admission.isAccepting() },
		OnInstances: func(instances []provider.Instance) { s.board.Post(instancesRead{instances: instances}) },
	})
	s.board = controller.New(controller.Config[state]{
		Initial: state{configuration: synchronizer.NewConfiguration(cfg.NewestSchema)},
		Controllers: []controller.Controller[state]{
			configurationController{},
			endpointController{},
			placementController{self: s.member(), service: cfg.Service, scaleDownDelay: cfg.ScaleDownDelay},
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

func (s *Server) member() planner.Member {
	return planner.Member{Instance: s.cfg.Instance, Region: s.cfg.Region}
}

// ThroughOffset returns the offset through which the configuration is in force.
func (s *Server) ThroughOffset() uint64 { return s.board.View().configuration.State.LastOffset() }

// Metrics returns the sidecar's counters.
func (s *Server) Metrics() *expvar.Map { return s.metrics }

// Run serves until ctx ends and then drains: it notifies the entries, refuses new
// attempts as not run, and waits for running attempts up to the drain timeout.
func (s *Server) Run(ctx context.Context) error {
	backgroundCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg sync.WaitGroup
	serveErrs := make(chan error, 1)
	wg.Go(func() { s.board.Run(backgroundCtx) })
	wg.Go(func() { s.lease.run(backgroundCtx) })
	wg.Go(func() { s.claims.run(backgroundCtx) })
	wg.Go(func() { s.crashTracker.Run(backgroundCtx) })
	wg.Go(func() { s.audit.Run(backgroundCtx) })
	wg.Go(func() { s.probe(backgroundCtx) })
	wg.Go(func() { s.rollout.run(backgroundCtx) })
	wg.Go(func() { s.attachToEntries(backgroundCtx) })
	wg.Go(func() { s.announcer.Run(backgroundCtx) })
	wg.Go(func() { serveErrs <- connector.Serve(backgroundCtx, s.cfg.Listener, s.cfg.ServerTLS, s.mux()) })
	logger.Log(s.cfg.Logger, logger.ProcessStarted, zap.String("address", s.cfg.Address), zap.String("incarnation", s.incarnation))
	var err error
	select {
	case <-ctx.Done():
		s.drain()
	case err = <-serveErrs:
	}
	stop()
	wg.Wait()
	s.workerPool.Release()
	s.cfg.Endpoint.Close()
	logger.Log(s.cfg.Logger, logger.ProcessStopped, zap.Int64("cut_off", s.handlers.Load()))
	return err
}

func (s *Server) mux() *drpcmux.Mux {
	m := drpcmux.New()
	if err := messenger.DRPCRegisterExecution(m, executor{server: s}); err != nil {
		s.cfg.Logger.Panic("register execution service", zap.Error(err))
	}
	if err := messenger.DRPCRegisterTransfer(m, &transferrer.Server{Store: s.store, UploadPacer: s.uplink}); err != nil {
		s.cfg.Logger.Panic("register transfer service", zap.Error(err))
	}
	if err := messenger.DRPCRegisterControl(m, &stateServer{server: s}); err != nil {
		s.cfg.Logger.Panic("register control service", zap.Error(err))
	}
	return m
}

// stateServer sends the accepted records to entries that can't read them from the log.
type stateServer struct {
	messenger.DRPCControlUnimplementedServer
	server *Server
}

// State implements messenger.DRPCControlServer. It returns the accepted records above
// the requested offset.
func (s *stateServer) State(_ context.Context, req *messenger.StateRequest) (*messenger.Update, error) {
	return s.server.board.View().configuration.UpdateFor(req)
}

// drain announces that the sidecar leaves and waits until no attempt is in progress
// or the drain timeout has passed.
func (s *Server) drain() {
	logger.Log(s.cfg.Logger, logger.ProcessDraining, zap.Int64("in_progress", s.handlers.Load()))
	s.admission.startLeaving()
	s.stateChanged.Notify()
	s.announcer.AnnounceLeaving()
	time.Sleep(leaveNoticeDelay)
	deadline := time.Now().Add(s.cfg.DrainTimeout)
	for time.Now().Before(deadline) {
		if _, running := s.admission.inProgress(""); running == 0 && s.handlers.Load() == 0 {
			return
		}
		time.Sleep(drainPollInterval)
	}
}

// handleSuperseded stops orders and new attempts after a newer incarnation has
// taken the lease. Running attempts are finished.
func (s *Server) handleSuperseded() {
	s.admission.setSuperseded()
	s.stateChanged.Notify()
}

// perform executes an action of the controllers. It runs on the control goroutine.
func (s *Server) perform(a controller.Action) {
	switch a := a.(type) {
	case logAction:
		logger.Log(s.cfg.Logger, a.event, a.fields...)
	case stateChanged:
		s.stateChanged.Notify()
	case throughOffsetRegressed:
		logger.Log(s.cfg.Logger, logger.ThroughOffsetFell, zap.Uint64("from", a.from), zap.Uint64("to", a.to))
	}
}

// probe polls the state of the endpoint until ctx ends.
func (s *Server) probe(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		st, err := s.cfg.Endpoint.State(ctx)
		s.rollout.handleProbe(st, err)
		s.board.Post(endpointProbed{state: st, reachable: err == nil})
		s.executions.expire(time.Now(), s.cfg.ClaimWindow)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// countClaimants returns the number of live sidecars of the same service, at least 1.
func (s *Server) countClaimants() (n int) {
	for _, i := range s.board.View().instances {
		if i.Role == provider.RoleSidecar && i.Service == s.cfg.Service && i.State == provider.InstanceLive {
			n++
		}
	}
	return max(n, 1)
}

// dialInstance opens a connection to another instance by its name.
func (s *Server) dialInstance(ctx context.Context, instance string) (drpc.Conn, error) {
	for _, i := range s.board.View().instances {
		if i.Name == instance {
			return s.cfg.Dialer.Dial(ctx, i.Address)
		}
	}
	return nil, &UnknownInstanceError{Instance: instance}
}

// UnknownInstanceError reports that an instance is not in the platform's instance list.
type UnknownInstanceError struct {
	Instance string
}

// Error implements error.
func (e *UnknownInstanceError) Error() string {
	return "instance " + e.Instance + " is not in the platform's list"
}
