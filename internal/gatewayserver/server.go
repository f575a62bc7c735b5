// Package gatewayserver implements the entry that calls endpoints directly. It
// follows the platform's store, exchanges state with the other entries, receives
// load reports from the sidecars of the endpoints and forwards callers' requests.
package gatewayserver

import (
	"context"
	"expvar"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"storj.io/drpc/drpcmux"

	"flamingoledge.org/flamingoledge/internal/configurator"
	"flamingoledge.org/flamingoledge/internal/connector"
	"flamingoledge.org/flamingoledge/internal/drainer"
	"flamingoledge.org/flamingoledge/internal/exchanger"
	"flamingoledge.org/flamingoledge/internal/forwarder"
	"flamingoledge.org/flamingoledge/internal/gossiper"
	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/internal/messenger"
	"flamingoledge.org/flamingoledge/internal/notifier"
	"flamingoledge.org/flamingoledge/internal/pauselogger"
	"flamingoledge.org/flamingoledge/internal/receiver"
	"flamingoledge.org/flamingoledge/internal/sleeper"
	"flamingoledge.org/flamingoledge/pkg/assigner"
	"flamingoledge.org/flamingoledge/pkg/controller"
	"flamingoledge.org/flamingoledge/pkg/shedder"
	"flamingoledge.org/flamingoledge/platform"
)

// Config configures a Server.
type Config struct {
	Settings *configurator.Node
	// Seeds are the seeds as the settings name them now; nil for those of Settings.
	Seeds *configurator.SeedList
	// Clock returns the current time, which ages and timeouts are computed with.
	Clock   func() time.Time
	Logger  *zap.Logger
	Metrics *expvar.Map
}

const (
	// controlQueueLength bounds the events that wait for the controllers.
	controlQueueLength = 4096
	tickInterval       = 100 * time.Millisecond
	// dialTimeout bounds connecting to an endpoint, which has a latency of a few
	// milliseconds. It doesn't wait for the retransmission of a lost SYN, which
	// takes a second.
	dialTimeout = 400 * time.Millisecond
	// tcpUserTimeout is how long sent bytes may stay unacknowledged before the
	// connection counts as broken.
	tcpUserTimeout = 2 * time.Second
	// connIdleTimeout is how long an idle connection to an endpoint is reused.
	// Endpoints may drop idle connections without notice.
	connIdleTimeout = 2 * time.Second
	// maxIdleConnsPerEndpoint bounds the idle connections to one endpoint, which
	// accepts a few hundred from all processes together.
	maxIdleConnsPerEndpoint = 16
	// headerTimeout bounds reading the header of a request, and idleTimeout the
	// time between requests. Both exceed the limits that callers are given.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// maxHeaderBytes and maxBodyBytes exceed the limits that configurations allow.
	maxHeaderBytes = 64 << 10
	maxBodyBytes   = 8 << 20
	// deregisterDelay is how long after a stop request new connections still arrive:
	// the platform's load balancer checks readiness once a second and removes an
	// entry after two failed checks.
	deregisterDelay = 3 * time.Second
	// regularTime is how long after a stop request callers that the load balancer has just
	// connected send their requests: until its second failed check, and a moment more.
	regularTime = 2500 * time.Millisecond
	// deliveryTime is left at the end of a stop for the last part of an answer to reach its
	// caller.
	deliveryTime = 100 * time.Millisecond
	// stopMargin is the part of the grace period left unused before the platform
	// kills the process.
	stopMargin = 700 * time.Millisecond
	// dispatchInterval is the time between attempts to dispatch waiting requests, a
	// fraction of the time for which requests wait.
	dispatchInterval = 25 * time.Millisecond
	// revocationMargin covers the time from the check of a request's key until the
	// request reaches the endpoint.
	revocationMargin = 150 * time.Millisecond
	// denialAgeShare is the fraction of the configuration bound up to which a
	// configuration is recent enough to deny requests.
	denialAgeShare = 0.8
)

// Server is an entry that forwards requests to endpoints directly.
type Server struct {
	cfg Config
	// self is the node address of this entry.
	self    string
	board   *controller.Board[state]
	forward *forwarder.Forwarder
	// callers keeps account of what callers hold. Connections of the load balancer's readiness checks
	// and of other processes are not counted, as no caller reaches these listeners.
	callers     *receiver.Receiver
	pool        *exchanger.Pool
	socket      *gossiper.Socket
	peerConns   connector.Pool
	crashLedger *crashLedger
	// lastEvidenceReply is the time of the last reply of compareEvidence in Unix
	// nanoseconds.
	lastEvidenceReply atomic.Int64
	// subscriptions are the load reports that this entry requests.
	subscriptions subscriptions
	gauges        evacuationGauges
	plans         plans
	readySlots    readySlots
	// endpointsDirty holds an element while changed endpoints are not applied yet.
	endpointsDirty chan struct{}
	// homeLevels are the levels of demand by which homes are assigned. Only the goroutine that
	// applies the endpoints uses them.
	homeLevels homeLevels
	// demandHistory holds the demand of this entry by service, for the same goroutine.
	demandHistory map[string]assigner.History
	// homesCheckedAt is the time of the last check whether homes have to follow demand.
	homesCheckedAt time.Time
	// reportOrder finds load reports that arrive after a later one.
	reportOrder reportOrder
	// changed wakes the Plan calls that wait for a change.
	changed notifier.Notifier
	// fetching contains the addresses of the peers whose state is being fetched.
	fetching sync.Map
	leaving  atomic.Bool
}

// New returns a Server that listens for datagrams. Run starts it.
func New(cfg Config) (s *Server, err error) {
	n := cfg.Settings
	if cfg.Seeds == nil {
		cfg.Seeds = configurator.NewSeedList(n.Seeds)
	}
	s = &Server{cfg: cfg, self: net.JoinHostPort(n.Address, strconv.Itoa(n.NodePort)), endpointsDirty: make(chan struct{}, 1)}
	s.crashLedger = newCrashLedger(cfg.Clock, cfg.Logger, s.trialRank)
	s.peerConns.Dialer = &connector.Dialer{}
	s.pool = exchanger.New(exchanger.Config{DialTimeout: dialTimeout, IdleTimeout: connIdleTimeout, MaxIdleConnsPerAddress: maxIdleConnsPerEndpoint, TCPUserTimeout: tcpUserTimeout})
	if s.socket, err = gossiper.Listen(s.self); err != nil {
		return nil, err
	}
	s.callers = receiver.New(receiver.Config{
		Limits: receiver.NewLimits(n.Callers, receiver.Resources{
			MemoryMB: n.MemoryMB, MaxDescriptors: n.MaxDescriptors, MaxBodyBytes: maxBodyBytes, Copies: bodyCopies,
		}),
		Copies: bodyCopies, IdleTime: s.idleTime, Logger: cfg.Logger, Metrics: cfg.Metrics,
	})
	s.board = controller.New(controller.Config[state]{
		Controllers:  s.controllers(),
		QueueLength:  controlQueueLength,
		TickInterval: tickInterval,
		Clock:        cfg.Clock,
		Perform:      s.perform,
		OnDrop: func(controller.Event) {
			cfg.Metrics.Add("control_events_dropped", 1)
			logger.Log(cfg.Logger, logger.QueueFull)
		},
	})
	s.forward = forwarder.New(forwarder.Config{
		Translator:      platform.Headers{},
		Pool:            s.pool,
		RoutingState:    func() *forwarder.RoutingState { return s.board.View().routingState() },
		Clock:           cfg.Clock,
		Bounds:          bounds(n.Bounds),
		Name:            s.self,
		Region:          n.Instance.Region,
		MaxBodyBytes:    maxBodyBytes,
		ExpectedEntries: len(n.Seeds),
		Crashes:         s.crashLedger,
		Shedding:        shedder.Config{Weights: n.Admission.WorkspaceWeights, Reserved: n.Admission.ReservedShares},
		Logger:          cfg.Logger,
		Metrics:         cfg.Metrics,
	})
	return s, nil
}

// controllers returns the controllers of the board, in the order in which they get an event.
func (s *Server) controllers() []controller.Controller[state] {
	return []controller.Controller[state]{
		pauseController{}, storeController{}, evacuationsController{regions: s.cfg.Settings.Regions}, configurationController{}, datingController{}, endpointsController{}, peersController{self: s.self, listAdoptionMargin: s.listAdoptionMargin()}, demandController{self: s.self},
	}
}

// bounds converts the configured bounds to those of the forwarder.
func bounds(b configurator.Bounds) forwarder.Bounds {
	revocation := configurator.Millis(b.RevocationMillis) - revocationMargin
	if !b.RevocationStrict {
		revocation = unboundedDuration
	}
	return forwarder.Bounds{
		Revocation:    revocation,
		Configuration: time.Duration(denialAgeShare * float64(configurator.Millis(b.ConfigurationMillis))),
		Version:       configurator.Millis(b.VersionMillis),
		Evacuation:    configurator.Millis(b.EvacuateMillis),
		RetryRatio:    b.RetryRatio,
		RetryWindow:   configurator.Seconds(b.RetryWindowSeconds),
		RetryExtra:    b.RetryExtra,
	}
}

// unboundedDuration is longer than the lifetime of any process.
const unboundedDuration = 100 * 365 * 24 * time.Hour

// Run serves until ctx ends or a listener fails. When ctx ends, it drains the
// requests in progress before it returns.
func (s *Server) Run(ctx context.Context) error {
	n := s.cfg.Settings
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	callers, err := net.Listen("tcp", n.CallersAddress)
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	ready, err := net.Listen("tcp", n.ReadyAddress)
	if err != nil {
		return eris.Wrap(err, "listen for readiness checks")
	}
	nodes, err := net.Listen("tcp", s.self)
	if err != nil {
		return eris.Wrap(err, "listen for nodes")
	}
	callersServer := s.newCallersServer(background)
	server := drainer.New(callersServer, s.callers.Listener(callers))
	s.callers.Attach(callersServer)
	readiness := &http.Server{Handler: http.HandlerFunc(s.handleReady), ReadHeaderTimeout: headerTimeout}
	var wg sync.WaitGroup
	serveErrs := make(chan error, 3)
	wg.Go(func() { s.board.Run(background) })
	wg.Go(func() { s.socket.Receive(background, s.handleDatagram) })
	wg.Go(func() { s.applyChangedEndpoints(background) })
	wg.Go(func() { s.broadcastPresence(background) })
	wg.Go(func() { s.shareDemand(background) })
	wg.Go(func() { s.spreadEvidence(background) })
	wg.Go(func() { s.renewSubscriptions(background) })
	wg.Go(func() { s.configFollower().run(background) })
	wg.Go(func() { s.listFollower().run(background) })
	wg.Go(func() { s.pruneConns(background) })
	wg.Go(func() { s.updateGauges(background) })
	wg.Go(func() { s.callers.Run(background) })
	wg.Go(func() { s.dispatchWaiting(background) })
	wg.Go(func() { pauselogger.Run(background, s.cfg.Clock, s.cfg.Logger) })
	wg.Go(func() { serveErrs <- connector.Serve(background, nodes, nil, s.newMux()) })
	wg.Go(func() { serveErrs <- readiness.Serve(ready) })
	wg.Go(func() { serveErrs <- server.Serve() })
	logger.Log(s.cfg.Logger, logger.ProcessStarted, zap.String("address", s.self), zap.String("callers_address", n.CallersAddress),
		zap.Int64("callers_memory_bytes", s.callers.Limits().MemoryBytes), zap.Int("callers_connections", s.callers.Limits().MaxConns))
	select {
	case <-ctx.Done():
		s.drain(server)
	case err = <-serveErrs:
	}
	stop()
	_ = server.Close()
	_ = readiness.Close()
	s.peerConns.Close()
	wg.Wait()
	logger.Log(s.cfg.Logger, logger.ProcessStopped, zap.Int64("cut_off", s.forward.InFlight()))
	return err
}

func (s *Server) newCallersServer(ctx context.Context) *http.Server {
	return &http.Server{
		Handler:           s.forward,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          zap.NewStdLog(zap.NewNop()),
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
}

// bodyCopies is how often the process holds the body of a request.
const bodyCopies = 1

// idleTime returns for how long callers may leave a connection idle by the configuration; 0 if none
// is known.
func (s *Server) idleTime() time.Duration {
	table := s.board.View().config.table
	if table == nil {
		return 0
	}
	return table.Configuration().Limits.IdleTimeout
}

// dispatchWaiting periodically makes the forwarder retry to dispatch the requests that
// wait for the end of an endpoint's pause.
func (s *Server) dispatchWaiting(ctx context.Context) {
	for sleeper.Sleep(ctx, dispatchInterval) {
		s.forward.DispatchWaiting(s.cfg.Clock())
	}
}

// pruneConns periodically closes expired idle connections.
func (s *Server) pruneConns(ctx context.Context) {
	for sleeper.Sleep(ctx, connIdleTimeout) {
		s.pool.Prune(time.Now())
	}
}

func (s *Server) newMux() *drpcmux.Mux {
	m := drpcmux.New()
	if err := messenger.DRPCRegisterRelay(m, s); err != nil {
		s.cfg.Logger.Panic("register relay service", zap.Error(err))
	}
	return m
}

// perform executes an action of the controllers. It runs on the control goroutine.
func (s *Server) perform(a controller.Action) {
	switch a := a.(type) {
	case logLine:
		logger.Log(s.cfg.Logger, a.event, a.fields...)
	case endpointsChanged:
		select {
		case s.endpointsDirty <- struct{}{}:
		default:
		}
	case versionFirstSeen:
		go s.recordNaming(a.model, a.version, time.Now().Add(-a.age))
	case namingNeeded:
		go s.checkNaming(a.named)
	case namingsLost:
		go s.rewriteNamings(s.jitter(namingRewriteDelay))
	case peerStateNeeded:
		s.startStateFetch(a.address)
	}
}

// applyChangedEndpoints applies the endpoints after each change until ctx ends. Changes come
// in series, for example while endpoints switch versions, so it pauses after each time.
func (s *Server) applyChangedEndpoints(ctx context.Context) {
	demandChecks := time.NewTicker(historyInterval)
	defer demandChecks.Stop()
	for s.awaitChangedEndpoints(ctx, demandChecks.C) {
		s.applyEndpoints()
		s.changed.Notify()
		sleeper.Sleep(ctx, applyPause)
	}
}

// applyPause is the least time between two changes of the endpoints. It delays a change by
// less than a load report takes.
const applyPause = 25 * time.Millisecond

// applyEndpoints passes the current endpoints of each service to the forwarder.
func (s *Server) applyEndpoints() {
	view := s.board.View()
	byService := view.endpoints(s.cfg.Clock(), s.cfg.Settings.Regions)
	self := assigner.Entry{Name: s.self, Region: s.cfg.Settings.Instance.Region}
	reportIntervals := map[netip.AddrPort]time.Duration{}
	// The shares of cold endpoints depend on whether all entries are there.
	s.forward.SetEntryCount(view.peers.Len() + 1)
	for name, es := range byService {
		view.setColdLimits(name, s.cfg.Settings.Bounds, es)
		if engineOf(view.config.table, name) != nil {
			view.setHomes(self, es, s.homeLevels[name])
			maps.Copy(reportIntervals, s.selectReported(es))
		}
		s.forward.SetEndpoints(name, es)
	}
	s.subscribe(reportIntervals)
	s.readySlots.set(byService)
	for _, name := range servicesWithoutEndpoints(s.forward.Services(), byService) {
		s.forward.SetEndpoints(name, nil)
	}
	s.forward.SetEntryCount(view.peers.Len() + 1)
}

func (s *Server) configFollower() *follower {
	return &follower{
		server: s, store: platform.NewConfigurationStore(s.cfg.Settings.Store),
		maxWait: readInterval(bounds(s.cfg.Settings.Bounds).Configuration, configReadShare),
		apply: func(r storeRead) error {
			e := r.configRead()
			if r.snapshot || s.hasUnreadPause() {
				e = e.withNamings(time.Now(), s.loadNamings())
			}
			return s.board.Send(context.Background(), e)
		},
		onLost:     func(context.Context) {},
		onRegained: func(context.Context) {},
	}
}

func (s *Server) listFollower() *follower {
	return &follower{
		server: s, store: platform.NewEndpointStore(s.cfg.Settings.Store),
		interval: s.listInterval(),
		apply: func(r storeRead) error {
			return s.board.Send(context.Background(), r.listRead())
		},
		onLost:     func(ctx context.Context) { _ = s.board.Send(ctx, storeLost{}) },
		onRegained: func(ctx context.Context) { _ = s.board.Send(ctx, storeRegained{}) },
	}
}

// listInterval returns the time between reads of the list.
func (s *Server) listInterval() time.Duration {
	return readInterval(configurator.Millis(s.cfg.Settings.Bounds.DrainMillis), listReadShare)
}

// listAdoptionMargin returns how much later a peer's list must have been confirmed for it
// to be adopted.
func (s *Server) listAdoptionMargin() time.Duration { return 2 * s.listInterval() }

// sourceStore is the source in log lines for values read from the store.
const sourceStore = "store"

// jitter returns a random duration between half of d and d, so that processes don't
// act at the same time.
func (*Server) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)/2+1))
}

// nodeAddress returns the node address of the instance with the address ip.
func (s *Server) nodeAddress(ip netip.Addr) netip.AddrPort {
	return netip.AddrPortFrom(ip, uint16(s.cfg.Settings.NodePort))
}
