// Package agentserver implements the sidecar of an endpoint that entries call directly. It
// reports the endpoint's load to the entries and delivers the planned weights to the
// endpoint.
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
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"

	"flamingoledge.org/flamingoledge/internal/configurator"
	"flamingoledge.org/flamingoledge/internal/connector"
	"flamingoledge.org/flamingoledge/internal/gossiper"
	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/internal/messenger"
	"flamingoledge.org/flamingoledge/internal/pauselogger"
	"flamingoledge.org/flamingoledge/internal/sleeper"
	"flamingoledge.org/flamingoledge/internal/stager"
	"flamingoledge.org/flamingoledge/internal/transferrer"
	"flamingoledge.org/flamingoledge/pkg/archiver"
	"flamingoledge.org/flamingoledge/pkg/dater"
	"flamingoledge.org/flamingoledge/pkg/gauger"
	"flamingoledge.org/flamingoledge/pkg/pacer"
	"flamingoledge.org/flamingoledge/pkg/planner"
	"flamingoledge.org/flamingoledge/pkg/rotator"
	"flamingoledge.org/flamingoledge/platform"
)

// Config configures a Server.
type Config struct {
	Settings *configurator.Node
	// Seeds are the seeds as the settings name them now; nil for those of Settings.
	Seeds   *configurator.SeedList
	Clock   func() time.Time
	Logger  *zap.Logger
	Metrics *expvar.Map
}

const (
	// pollInterval is the time between reads of the endpoint's report, by which entries
	// route requests. A read costs the endpoint nothing.
	pollInterval = 60 * time.Millisecond
	// transferShare is the share of the link for weights; the rest is left to live
	// requests.
	transferShare = 0.92
	// idleTransferShare is the share of a recovery from the store while the endpoint has no
	// weights, and so no live requests. The rest is left to reports and announcements.
	idleTransferShare = 0.98
	// servingDuration is how long the link counts as used by live requests after the
	// endpoint last served some; several polls, since a poll may be late.
	servingDuration = 5 * pollInterval
	// planLongPollTimeout is how long an entry may delay its reply until the plan
	// changes. Sidecars wait for a random time of at least half of it, so that the entries'
	// last confirmations to all of them are not equally old.
	planLongPollTimeout = 3 * time.Second
	planTimeout         = planLongPollTimeout + 700*time.Millisecond
	// planDialTimeout bounds connecting to an entry, which has a latency of a few
	// milliseconds. After a loss of power, an entry that is not back yet does not respond, and
	// the retransmission of the SYN takes a second.
	planDialTimeout = 300 * time.Millisecond
	// planRetryDelay is the minimum pause after a failed request for the plan. A random
	// delay of up to the same length is added.
	planRetryDelay = 150 * time.Millisecond
	// startupTime is how long after its start a sidecar asks again after a third of that:
	// entries that have started at the same moment answer a little later.
	startupTime = 3 * time.Second
)

// Server is the sidecar of one endpoint.
type Server struct {
	cfg Config
	// self is the address of this sidecar's node port.
	self                       string
	endpoint                   *platform.EndpointClient
	socket                     *gossiper.Socket
	stager                     *stager.Stager
	store                      *transferrer.Store
	uploadPacer, downloadPacer *pacer.Pacer
	dialer                     connector.Dialer

	// confirmations are the versions that entries have confirmed. Only pollPlan uses it.
	confirmations dater.Confirmations
	// namings are the versions of which entries have told. Only pollPlan uses it.
	namings dater.Namings

	// entries are the addresses of the entries in the latest plan.
	entries atomic.Pointer[[]string]
	// planFailures are the entries that did not answer a request for the plan. Only pollPlan uses
	// it.
	planFailures rotator.Failures
	// receivers are the entries to which the load is reported.
	receivers receivers
	// linkGauge measures the delay of what is sent to this instance by the chunks that it
	// gets.
	linkGauge linkGauge
	// plans contains the latest plan that is not yet applied.
	plans chan *messenger.PlanReply
	// isPlanApplied is set once a plan was applied, model is the model of the latest one.
	isPlanApplied bool
	model         string

	// sequence is the number of the last load report. Together with startedNanos, the
	// start time of this process in Unix nanoseconds, it orders the reports.
	sequence     uint64
	startedNanos uint64
}

// New returns a Server that listens on its UDP socket; Run starts it.
func New(cfg Config) (s *Server, err error) {
	n := cfg.Settings
	if cfg.Seeds == nil {
		cfg.Seeds = configurator.NewSeedList(n.Seeds)
	}
	s = &Server{
		cfg:          cfg,
		self:         net.JoinHostPort(n.Address, strconv.Itoa(n.NodePort)),
		endpoint:     platform.NewEndpointClient(n.EndpointAddress),
		store:        transferrer.NewStore(),
		plans:        make(chan *messenger.PlanReply, 1),
		linkGauge:    linkGauge{gauge: gauger.New()},
		startedNanos: uint64(cfg.Clock().UnixNano()),
	}
	if s.socket, err = gossiper.Listen(s.self); err != nil {
		return nil, err
	}
	rate := n.LinkMbps * 1e6 / 8
	link := pacer.Config{BytesPerSecond: rate, IdleShare: idleTransferShare, BusyShare: transferShare, BusyDuration: servingDuration}
	s.uploadPacer, s.downloadPacer = pacer.New(link), pacer.New(link)
	s.recordServing(time.Now())
	s.stager = stager.New(stager.Config{
		Self:           planner.Member{Instance: s.self, Region: n.Instance.Region},
		Endpoint:       s.endpoint,
		Store:          s.store,
		Dialer:         &s.dialer,
		Clock:          cfg.Clock,
		VersionBound:   configurator.Millis(n.Bounds.VersionMillis),
		BytesPerSecond: rate,
		DownloadPacer:  s.downloadPacer,
		UploadPacer:    s.uploadPacer,
		Archive: stager.ArchiveConfig{Address: n.Store, Limits: archiver.Config{
			MaxBytes: int64(n.Weights.MaxKeptMB * 1e6), Partitions: n.Weights.Partitions, RecordBytes: n.Weights.RecordBytes, CallBytes: n.Weights.CallBytes,
		}},
		RecordLatency: s.recordLatency,
		RecordChunk: func(source transferrer.Source, bytes int) {
			cfg.Metrics.Add("weights_chunks_from_"+string(source), 1)
			cfg.Metrics.Add("weights_bytes_from_"+string(source), int64(bytes))
		},
		Logger: cfg.Logger,
	})
	s.entries.Store(&[]string{})
	return s, nil
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	lis, err := net.Listen("tcp", s.self)
	if err != nil {
		return eris.Wrap(err, "listen on node port")
	}
	mux := drpcmux.New()
	if err = messenger.DRPCRegisterTransfer(mux, &transferrer.Server{Store: s.store, UploadPacer: s.uploadPacer}); err != nil {
		return eris.Wrap(err, "register transfer service")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { s.pollPlan(ctx) })
	wg.Go(func() { s.monitorEndpoint(ctx) })
	wg.Go(func() { pauselogger.Run(ctx, s.cfg.Clock, s.cfg.Logger) })
	wg.Go(func() { s.socket.Receive(ctx, s.handleDatagram) })
	logger.Log(s.cfg.Logger, logger.ProcessStarted, zap.String("address", s.self), zap.String("endpoint", s.cfg.Settings.EndpointAddress))
	err = connector.Serve(ctx, lis, nil, mux)
	cancel()
	wg.Wait()
	logger.Log(s.cfg.Logger, logger.ProcessStopped)
	return err
}

// monitorEndpoint polls the endpoint's report, passes it to the stager and sends the load
// to the entries.
func (s *Server) monitorEndpoint(ctx context.Context) {
	failing := false
	for sleeper.Sleep(ctx, pollInterval) {
		select {
		case p := <-s.plans:
			s.applyPlan(p)
		default:
		}
		r, err := s.endpoint.Report()
		if err != nil {
			if !failing {
				logger.Log(s.cfg.Logger, logger.EndpointLost, zap.String("endpoint", s.cfg.Settings.EndpointAddress), zap.Error(err))
			}
			failing = true
			s.recordServing(time.Now())
			s.stager.Prefetch(ctx, s.cfg.Clock())
			continue
		}
		if failing {
			failing = false
			logger.Log(s.cfg.Logger, logger.EndpointRegained, zap.String("endpoint", s.cfg.Settings.EndpointAddress), zap.Int64("born", r.Born))
		}
		now := s.cfg.Clock()
		if r.Active > 0 || stager.LoadedVersion(r, s.model) != 0 || !s.stager.ReadsStore() {
			s.recordServing(time.Now())
		}
		s.stager.Reconcile(ctx, now, r)
		s.reportLoad(now, r)
	}
}

// recordServing records that live requests may use the link. Transfers read time.Now, not the
// configured clock.
func (s *Server) recordServing(now time.Time) {
	s.uploadPacer.RecordRequest(now)
	s.downloadPacer.RecordRequest(now)
}

// applyPlan converts a plan and passes it to the stager.
func (s *Server) applyPlan(p *messenger.PlanReply) {
	now := s.cfg.Clock()
	plan := decodePlan(now, p, s.cfg.Settings.Instance.AvailabilityZone)
	s.isPlanApplied, s.model = true, plan.Model
	s.stager.SetPlan(now, plan)
}

// decodePlan converts a plan for an endpoint in an availability zone.
func decodePlan(now time.Time, p *messenger.PlanReply, zone string) stager.Plan {
	plan := stager.Plan{
		Chunks: int(p.GetChunks()), ChunkBytes: int(p.GetChunkBytes()),
		Origin: p.GetOriginAddress(), OriginRegion: p.GetOriginRegion(),
		OriginBytesPerSecond: float64(p.GetOriginBytesPerSecond()),
		Evacuated:            slices.Contains(p.GetEvacuatedZones(), zone),
	}
	for _, v := range p.GetVersions() {
		// An endpoint serves one model, because each service of the platform has
		// exactly one.
		plan.Model, plan.Version, plan.Held = v.GetModel(), v.GetVersion(), v.GetHeld()
		plan.NamedAt = now.Add(-time.Duration(v.GetAgeMs()) * time.Millisecond)
	}
	for _, m := range p.GetMembers() {
		plan.Members = append(plan.Members, planner.Member{Instance: m.GetAddress(), Region: m.GetRegion()})
	}
	return plan
}

// pollPlan requests the plan from an entry by long polling, and from another entry if
// that fails.
func (s *Server) pollPlan(ctx context.Context) {
	var knownDigest uint64
	startedAt := s.cfg.Clock()
	address := ""
	for ctx.Err() == nil {
		if address == "" {
			address = s.chooseEntry()
		}
		p, err := s.requestPlan(ctx, address, knownDigest)
		if err != nil || !p.GetKnown() {
			s.planFailures = s.planFailures.With(s.cfg.Clock(), address)
			address = ""
			d := planRetry(s.cfg.Clock().Sub(startedAt))
			sleeper.Sleep(ctx, d+time.Duration(rand.Int64N(int64(d))))
			continue
		}
		s.planFailures = s.planFailures.Without(address)
		if p.GetDigest() == knownDigest {
			continue
		}
		knownDigest = p.GetDigest()
		entries := p.GetEntries()
		s.entries.Store(&entries)
		select {
		case <-s.plans:
		default:
		}
		s.plans <- p
	}
}

// planRetry returns the minimum pause after a failed request for the plan when the sidecar has
// run for running.
func planRetry(running time.Duration) time.Duration {
	if running < startupTime {
		return planRetryDelay / 3
	}
	return planRetryDelay
}

// chooseEntry returns the address of the entry to ask for the plan, or "" if none is known.
func (s *Server) chooseEntry() string {
	candidates := s.knownEntries()
	s.planFailures = s.planFailures.Among(candidates)
	return s.planFailures.Next(candidates, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}

// knownEntries returns the addresses of the seeds, of the entries in the latest plan and of those
// that have subscribed to the load. The seeds may all be gone, and only entries that run subscribe.
func (s *Server) knownEntries() (addresses []string) {
	for _, seed := range s.cfg.Seeds.Get() {
		if ap, err := netip.ParseAddrPort(seed); err == nil {
			addresses = append(addresses, netip.AddrPortFrom(ap.Addr(), uint16(s.cfg.Settings.NodePort)).String())
		}
	}
	addresses = append(addresses, *s.entries.Load()...)
	addresses = append(addresses, s.receivers.addresses(s.cfg.Clock())...)
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// dialPlan connects to an entry.
func (s *Server) dialPlan(ctx context.Context, address string) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, planDialTimeout)
	defer cancel()
	return s.dialer.Dial(ctx, address)
}

// requestPlan requests the plan from an entry, which replies when the plan's digest
// differs from knownDigest or after planLongPollTimeout.
func (s *Server) requestPlan(ctx context.Context, address string, knownDigest uint64) (*messenger.PlanReply, error) {
	ctx, cancel := context.WithTimeout(ctx, planTimeout)
	defer cancel()
	conn, err := s.dialPlan(ctx, address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	sentAt := s.cfg.Clock()
	wait := planLongPollTimeout/2 + time.Duration(rand.Int64N(int64(planLongPollTimeout/2)))
	p, err := messenger.NewDRPCRelayClient(conn).Plan(ctx, &messenger.PlanRequest{
		Service: s.cfg.Settings.Service, KnownDigest: knownDigest, WaitMs: uint32(wait.Milliseconds()), Confirmed: toConfirmed(sentAt, s.confirmations),
		Named: toNamed(sentAt, s.namings),
	})
	if err == nil {
		s.confirmations = withConfirmed(s.confirmations, sentAt, p)
		s.namings = withNamed(s.namings, s.cfg.Clock(), p)
	}
	return p, err
}
