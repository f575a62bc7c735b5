// Package gatewayserver is the entry that calls endpoints directly: it follows
// the platform's store, exchanges beliefs with the other entries, hears of the
// endpoints' load from the sidecars beside them and forwards callers' requests.
package gatewayserver

import (
	"context"
	"expvar"
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
	"flamingoledge.org/flamingoledge/internal/exchanger"
	"flamingoledge.org/flamingoledge/internal/forwarder"
	"flamingoledge.org/flamingoledge/internal/gossiper"
	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/internal/messenger"
	"flamingoledge.org/flamingoledge/internal/notifier"
	"flamingoledge.org/flamingoledge/internal/pauser"
	"flamingoledge.org/flamingoledge/pkg/apportioner"
	"flamingoledge.org/flamingoledge/pkg/controller"
	"flamingoledge.org/flamingoledge/platform"
)

// Config configures a Server.
type Config struct {
	Settings *configurator.Node
	// Clock returns the time that leases are counted with.
	Clock   func() time.Time
	Logger  *zap.Logger
	Metrics *expvar.Map
}

const (
	controlQueueLength = 4096
	tickInterval       = 100 * time.Millisecond
	// dialTimeout bounds a connection to an endpoint, which is a few
	// milliseconds away; a lost opening packet is repeated after a second.
	dialTimeout = 400 * time.Millisecond
	// userTimeout is how long a cut may go unnoticed while bytes are on the way.
	tcpUserTimeout = 2 * time.Second
	// maxIdle is how long a connection to an endpoint is kept idle; endpoints may
	// drop idle ones without notice.
	connIdleTimeout = 2 * time.Second
	// maxIdleConns bounds the idle connections to one endpoint, which takes a few
	// hundred from all processes.
	maxIdleConnsPerEndpoint = 16
	// headerTimeout bounds the reading of a request's head, idleTimeout the pause
	// between requests; both are above what callers are told.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// maxHeaderBytes and maxBodyBytes are above what configurations allow.
	maxHeaderBytes = 64 << 10
	maxBodyBytes   = 8 << 20
	// rotationTime is how long after a stop was asked for new connections still
	// come: the balancer asks once a second and needs two misses.
	deregisterDelay = 3 * time.Second
	// stopMargin is kept before the platform kills the process.
	stopMargin = 700 * time.Millisecond
	// wakeInterval is a fraction of the time for which requests wait.
	wakeInterval = 25 * time.Millisecond
	// revocationMargin covers the way of a request from the check to the endpoint.
	revocationMargin = 150 * time.Millisecond
	// denialShare of the configuration bound is how old a proof may be to deny a
	// request by it.
	denialAgeShare = 0.8
)

// Server is one entry.
type Server struct {
	cfg         Config
	self        string
	board       *controller.Board[state]
	forward     *forwarder.Forwarder
	pool        *exchanger.Pool
	socket      *gossiper.Socket
	peerConns   connector.Pool
	crashLedger *crashLedger
	changed     notifier.Notifier
	fetching    sync.Map
	leaving     atomic.Bool
}

// New returns an entry that does not run yet.
func New(cfg Config) (s *Server, err error) {
	n := cfg.Settings
	s = &Server{cfg: cfg, self: net.JoinHostPort(n.Address, strconv.Itoa(n.NodePort)), crashLedger: newCrashLedger(cfg.Clock)}
	s.peerConns.Dialer = &connector.Dialer{}
	s.pool = exchanger.New(exchanger.Config{DialTimeout: dialTimeout, IdleTimeout: connIdleTimeout, MaxIdleConnsPerAddress: maxIdleConnsPerEndpoint, TCPUserTimeout: tcpUserTimeout})
	if s.socket, err = gossiper.Listen(s.self); err != nil {
		return nil, err
	}
	s.board = controller.New(controller.Config[state]{
		Controllers: []controller.Controller[state]{
			configurationController{}, endpointsController{}, peersController{self: s.self},
		},
		QueueLength:  controlQueueLength,
		TickInterval: tickInterval,
		Clock:        cfg.Clock,
		Perform:      s.perform,
		Dropped: func(controller.Event) {
			cfg.Metrics.Add("control_events_dropped", 1)
			logger.Log(cfg.Logger, logger.QueueFull)
		},
	})
	s.forward = forwarder.New(forwarder.Config{
		Translator:   platform.Headers{},
		Pool:         s.pool,
		Beliefs:      func() *forwarder.Beliefs { return s.board.View().beliefs() },
		Clock:        cfg.Clock,
		Bounds:       bounds(n.Bounds),
		Region:       n.Instance.Region,
		MaxBodyBytes: maxBodyBytes,
		Crashes:      s.crashLedger,
		Logger:       cfg.Logger,
		Metrics:      cfg.Metrics,
	})
	return s, nil
}

func bounds(b configurator.Bounds) forwarder.Bounds {
	revocation := configurator.Millis(b.RevocationMillis) - revocationMargin
	if !b.RevocationStrict {
		revocation = unboundedDuration
	}
	return forwarder.Bounds{
		Revocation:    revocation,
		Configuration: time.Duration(denialAgeShare * float64(configurator.Millis(b.ConfigurationMillis))),
		Version:       configurator.Millis(b.VersionMillis),
		RetryRatio:    b.RetryRatio,
		RetryWindow:   configurator.Seconds(b.RetryWindowSeconds),
		RetryExtra:    b.RetryExtra,
	}
}

// noBound is longer than any process lives.
const unboundedDuration = 100 * 365 * 24 * time.Hour

// Run serves until ctx ends, then leaves: requests in progress are finished
// before the process ends.
func (s *Server) Run(ctx context.Context) error {
	n := s.cfg.Settings
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	callers, err := net.Listen("tcp", n.CallersAddress)
	if err != nil {
		return eris.Wrap(err, "callers' address")
	}
	ready, err := net.Listen("tcp", n.ReadyAddress)
	if err != nil {
		return eris.Wrap(err, "ready address")
	}
	nodes, err := net.Listen("tcp", s.self)
	if err != nil {
		return eris.Wrap(err, "node port")
	}
	server := s.newCallersServer(background)
	readiness := &http.Server{Handler: http.HandlerFunc(s.handleReady), ReadHeaderTimeout: headerTimeout}
	var wg sync.WaitGroup
	serveErrs := make(chan error, 3)
	wg.Go(func() { s.board.Run(background) })
	wg.Go(func() { s.socket.Receive(background, s.handleDatagram) })
	wg.Go(func() { s.broadcastPresence(background) })
	wg.Go(func() { s.configFollower().run(background) })
	wg.Go(func() { s.listFollower().run(background) })
	wg.Go(func() { s.pruneConns(background) })
	wg.Go(func() { s.wakeWaiting(background) })
	wg.Go(func() { serveErrs <- connector.Serve(background, nodes, nil, s.newMux()) })
	wg.Go(func() { serveErrs <- readiness.Serve(ready) })
	wg.Go(func() { serveErrs <- server.Serve(callers) })
	logger.Log(s.cfg.Logger, logger.ProcessStarted, zap.String("address", s.self), zap.String("callers_address", n.CallersAddress))
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

// wake lets requests that wait for the end of a pause be looked at.
func (s *Server) wakeWaiting(ctx context.Context) {
	for pauser.Pause(ctx, wakeInterval) {
		s.forward.Wake(s.cfg.Clock())
	}
}

func (s *Server) pruneConns(ctx context.Context) {
	for pauser.Pause(ctx, connIdleTimeout) {
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

// perform starts the controllers' actions; it runs on the control goroutine.
func (s *Server) perform(a controller.Action) {
	switch a := a.(type) {
	case logLine:
		logger.Log(s.cfg.Logger, a.event, a.fields...)
	case endpointsChanged:
		s.applyEndpoints()
		s.changed.Notify()
	case versionFirstSeen:
		go s.recordNaming(a.model, a.version, time.Now())
	case peerStateNeeded:
		s.startStateFetch(a.address)
	}
}

// applyEndpoints hands the endpoints to the forwarder.
func (s *Server) applyEndpoints() {
	view := s.board.View()
	byService := view.endpoints(s.cfg.Clock(), s.cfg.Settings.Regions)
	self := apportioner.Entry{Name: s.self, Region: s.cfg.Settings.Instance.Region}
	for name, es := range byService {
		if engineOf(view.config.table, name) != nil {
			view.setHomes(self, es)
		}
		s.forward.SetEndpoints(name, es)
	}
	for _, name := range servicesWithoutEndpoints(s.forward.Services(), byService) {
		s.forward.SetEndpoints(name, nil)
	}
	s.forward.SetEntries(len(view.peers) + 1)
}

func (s *Server) configFollower() *follower {
	return &follower{
		server: s, store: platform.NewConfigurationStore(s.cfg.Settings.Store), maxWait: configReadWait,
		apply: func(values []platform.Value, snapshot bool, startedAt time.Time) error {
			e := configRead{values: values, startedAt: startedAt, source: sourceStore}
			if snapshot {
				e.versionAges = s.loadVersionAges()
			}
			return s.board.Send(context.Background(), e)
		},
		onLost:     func(context.Context) {},
		onRegained: func(context.Context) {},
	}
}

func (s *Server) listFollower() *follower {
	return &follower{
		server: s, store: platform.NewEndpointStore(s.cfg.Settings.Store), interval: listInterval,
		apply: func(values []platform.Value, snapshot bool, startedAt time.Time) error {
			return s.board.Send(context.Background(), listRead{values: values, snapshot: snapshot, startedAt: startedAt, source: sourceStore})
		},
		onLost:     func(ctx context.Context) { _ = s.board.Send(ctx, storeLost{}) },
		onRegained: func(ctx context.Context) { _ = s.board.Send(ctx, storeRegained{}) },
	}
}

// sourceStore names the store in the log.
const sourceStore = "store"

// jitter spreads a pause so that processes do not come together.
func (*Server) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)/2+1))
}

// nodeAddress returns the node address of the instance with an IP address.
func (s *Server) nodeAddress(ip netip.Addr) netip.AddrPort {
	return netip.AddrPortFrom(ip, uint16(s.cfg.Settings.NodePort))
}
