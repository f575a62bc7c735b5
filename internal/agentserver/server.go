// Package agentserver is the sidecar of an endpoint that entries call directly: it
// tells them of its endpoint's load and brings the wanted weights to it.
package agentserver

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"storj.io/drpc/drpcmux"

	"flamingoledge.org/flamingoledge/internal/configurator"
	"flamingoledge.org/flamingoledge/internal/connector"
	"flamingoledge.org/flamingoledge/internal/gossiper"
	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/internal/messenger"
	"flamingoledge.org/flamingoledge/internal/pauser"
	"flamingoledge.org/flamingoledge/internal/stager"
	"flamingoledge.org/flamingoledge/internal/transferrer"
	"flamingoledge.org/flamingoledge/pkg/pacer"
	"flamingoledge.org/flamingoledge/pkg/planner"
	"flamingoledge.org/flamingoledge/platform"
)

// Config configures a Server.
type Config struct {
	Settings *configurator.Node
	Clock    func() time.Time
	Logger   *zap.Logger
	Metrics  *expvar.Map
}

const (
	// reportInterval is how often the own endpoint is read; reading it costs
	// nothing there, and entries decide by it.
	reportInterval = 60 * time.Millisecond
	// tellInterval is how often entries are told when nothing has changed.
	tellInterval = 400 * time.Millisecond
	// transferShare of the link is for weights; the rest is for live requests.
	transferShare = 0.92
	// planWait is how long a question for the plan waits for news, and planPause
	// the wait after one that failed.
	planWait    = 3 * time.Second
	planTimeout = planWait + 700*time.Millisecond
	planPause   = 150 * time.Millisecond
	// maxTold bounds the entries that are told of the load.
	maxTold = 32
)

// Server is one sidecar.
type Server struct {
	cfg      Config
	self     string
	endpoint *platform.EndpointClient
	socket   *gossiper.Socket
	stager   *stager.Stager
	store    *transferrer.Store
	up       *pacer.Pacer
	dialer   connector.Dialer

	// entries are told of the load.
	entries atomic.Pointer[[]string]
	plans   chan *messenger.PlanReply
	model   string

	sequence uint64
	started  uint64
	last     *messenger.LoadReport
	toldAt   time.Time
}

// New returns a sidecar that does not run yet.
func New(cfg Config) (s *Server, err error) {
	n := cfg.Settings
	s = &Server{
		cfg:      cfg,
		self:     net.JoinHostPort(n.Address, strconv.Itoa(n.NodePort)),
		endpoint: platform.NewEndpointClient(n.EndpointAddress),
		store:    transferrer.NewStore(),
		plans:    make(chan *messenger.PlanReply, 1),
		started:  uint64(cfg.Clock().UnixNano()),
	}
	if s.socket, err = gossiper.Listen(s.self); err != nil {
		return nil, err
	}
	rate := n.LinkMbps * 1e6 / 8
	link := pacer.Config{BytesPerSecond: rate, IdleShare: transferShare, BusyShare: transferShare}
	s.up = pacer.New(link)
	s.stager = stager.New(stager.Config{
		Self:           planner.Member{Instance: s.self, Region: n.Instance.Region},
		Endpoint:       s.endpoint,
		Store:          s.store,
		Dialer:         &s.dialer,
		Clock:          cfg.Clock,
		VersionBound:   configurator.Millis(n.Bounds.VersionMillis),
		BytesPerSecond: rate,
		Down:           pacer.New(link),
		Logger:         cfg.Logger,
	})
	s.entries.Store(&[]string{})
	return s, nil
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	lis, err := net.Listen("tcp", s.self)
	if err != nil {
		return eris.Wrap(err, "node port")
	}
	mux := drpcmux.New()
	if err = messenger.DRPCRegisterTransfer(mux, &transferrer.Server{Store: s.store, Up: s.up}); err != nil {
		return eris.Wrap(err, "register transfer service")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { s.followPlan(ctx) })
	wg.Go(func() { s.report(ctx) })
	logger.Log(s.cfg.Logger, logger.ProcessStarted, zap.String("address", s.self), zap.String("endpoint", s.cfg.Settings.EndpointAddress))
	err = connector.Serve(ctx, lis, nil, mux)
	cancel()
	wg.Wait()
	s.socket.Close()
	logger.Log(s.cfg.Logger, logger.ProcessStopped)
	return err
}

// report reads the own endpoint, tells entries of it and lets the stager decide.
func (s *Server) report(ctx context.Context) {
	failing := false
	for pauser.Pause(ctx, reportInterval) {
		select {
		case p := <-s.plans:
			s.takePlan(p)
		default:
		}
		r, err := s.endpoint.Report()
		if err != nil {
			if !failing {
				logger.Log(s.cfg.Logger, logger.EndpointLost, zap.String("endpoint", s.cfg.Settings.EndpointAddress), zap.Error(err))
			}
			failing = true
			s.stager.Prepare(ctx, s.cfg.Clock())
			continue
		}
		if failing {
			failing = false
			logger.Log(s.cfg.Logger, logger.EndpointRegained, zap.String("endpoint", s.cfg.Settings.EndpointAddress), zap.Int64("born", r.Born))
		}
		now := s.cfg.Clock()
		s.stager.Step(ctx, now, r)
		s.tell(now, r)
	}
}

// tell sends the endpoint's load to the entries, when it has changed or the last
// report is some time ago.
func (s *Server) tell(now time.Time, r platform.Report) {
	l := &messenger.LoadReport{
		Endpoint:     s.cfg.Settings.EndpointAddress,
		Born:         uint64(r.Born),
		Active:       uint32(r.Active),
		Queued:       uint32(r.Queued),
		KvUsed:       uint32(r.KVUsed),
		KvTotal:      uint32(r.KVTotal),
		Pace:         float32(r.Pace),
		Version:      stager.LoadedVersion(r, s.model),
		Switching:    s.stager.Switching() || r.Loading,
		StartedNanos: s.started,
	}
	if s.last != nil && now.Sub(s.toldAt) < tellInterval && isSame(l, s.last) {
		return
	}
	s.sequence++
	l.Sequence = s.sequence
	s.last, s.toldAt = l, now
	for _, address := range *s.entries.Load() {
		ap, err := netip.ParseAddrPort(address)
		if err != nil {
			continue
		}
		if err = s.socket.Send(ap, &messenger.Datagram{Load: l}); err != nil {
			s.cfg.Metrics.Add("reports_unsent", 1)
		}
	}
}

func isSame(a, b *messenger.LoadReport) bool {
	return a.GetBorn() == b.GetBorn() && a.GetActive() == b.GetActive() && a.GetQueued() == b.GetQueued() &&
		a.GetVersion() == b.GetVersion() && a.GetSwitching() == b.GetSwitching() && a.GetPace() == b.GetPace()
}

// takePlan hands a plan to the stager.
func (s *Server) takePlan(p *messenger.PlanReply) {
	now := s.cfg.Clock()
	plan := stager.Plan{
		Chunks: int(p.GetChunks()), ChunkBytes: int(p.GetChunkBytes()),
		Origin: p.GetOriginAddress(), OriginRegion: p.GetOriginRegion(),
		OriginBytesPerSecond: float64(p.GetOriginBytesPerSecond()),
	}
	for _, v := range p.GetVersions() {
		// An endpoint holds one model; the platform's services have one each.
		plan.Model, plan.Version, plan.Held = v.GetModel(), v.GetVersion(), v.GetHeld()
		plan.NamedAt = now.Add(-time.Duration(v.GetAgeMs()) * time.Millisecond)
	}
	for _, m := range p.GetMembers() {
		plan.Members = append(plan.Members, planner.Member{Instance: m.GetAddress(), Region: m.GetRegion()})
	}
	s.model = plan.Model
	s.stager.SetPlan(now, plan)
}

// followPlan asks one entry after the other what the endpoint should hold.
func (s *Server) followPlan(ctx context.Context) {
	var known uint64
	address := ""
	for ctx.Err() == nil {
		if address == "" {
			address = s.chooseEntry()
		}
		p, err := s.askPlan(ctx, address, known)
		if err != nil || !p.GetKnown() {
			address = ""
			pauser.Pause(ctx, planPause+time.Duration(rand.Int64N(int64(planPause))))
			continue
		}
		if p.GetDigest() == known {
			continue
		}
		known = p.GetDigest()
		entries := p.GetEntries()
		rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
		told := slices.Clone(entries[:min(len(entries), maxTold)])
		s.entries.Store(&told)
		select {
		case <-s.plans:
		default:
		}
		s.plans <- p
	}
}

// chooseEntry returns an entry at random, or a seed.
func (s *Server) chooseEntry() string {
	var all []string
	for _, seed := range s.cfg.Settings.Seeds {
		if ap, err := netip.ParseAddrPort(seed); err == nil {
			all = append(all, netip.AddrPortFrom(ap.Addr(), uint16(s.cfg.Settings.NodePort)).String())
		}
	}
	all = append(all, *s.entries.Load()...)
	if len(all) == 0 {
		return ""
	}
	return all[rand.IntN(len(all))]
}

func (s *Server) askPlan(ctx context.Context, address string, known uint64) (*messenger.PlanReply, error) {
	ctx, cancel := context.WithTimeout(ctx, planTimeout)
	defer cancel()
	conn, err := s.dialer.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	return messenger.NewDRPCRelayClient(conn).Plan(ctx, &messenger.PlanRequest{
		Service: s.cfg.Settings.Service, KnownDigest: known, WaitMs: uint32(planWait.Milliseconds()),
	})
}
