// Package stager delivers the planned versions of a model to one endpoint: it fetches
// and verifies their chunks, stages them at the endpoint and orders it to load them at
// the time that package switcher determines.
package stager

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/connector"
	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/internal/transferrer"
	"flamingoledge.org/flamingoledge/pkg/pacer"
	"flamingoledge.org/flamingoledge/pkg/planner"
	"flamingoledge.org/flamingoledge/pkg/switcher"
	"flamingoledge.org/flamingoledge/platform"
)

// Plan is the version that the endpoint should load and where to get it.
type Plan struct {
	Model   string
	Version uint64
	// NamedAt is when the version was named, or the best known estimate.
	NamedAt time.Time
	// Held is set if operators have not named the version but endpoints have loaded it.
	Held       bool
	Chunks     int
	ChunkBytes int
	// Origin is the address of the origin.
	Origin       string
	OriginRegion string
	// OriginBytesPerSecond is the rate of the origin's link; 0 if unknown.
	OriginBytesPerSecond float64
	Members              []planner.Member
	// Evacuated is set if the endpoint's availability zone is evacuated.
	Evacuated bool
}

// Endpoint is the endpoint on the same instance.
type Endpoint interface {
	StageChunk(model string, index int, data []byte) error
	// ReadStagedChunk reads back a chunk that was staged.
	ReadStagedChunk(model string, index int) ([]byte, error)
	// Load orders the endpoint to load the staged chunks. The endpoint refuses if it has
	// accepted a number of orders other than ordersAccepted.
	Load(model string, version uint64, ordersAccepted int64) (platform.OrderResult, error)
}

// Config configures a Stager.
type Config struct {
	Self     planner.Member
	Endpoint Endpoint
	Store    *transferrer.Store
	Dialer   *connector.Dialer
	Clock    func() time.Time
	// VersionBound is the time after the naming of a version from which older
	// versions may not start requests.
	VersionBound time.Duration
	// BytesPerSecond is the rate of the instance's link; 0 if unknown.
	BytesPerSecond float64
	// DownloadPacer limits the rate at which chunks are requested.
	DownloadPacer *pacer.Pacer
	// UploadPacer limits the rate at which chunks are written to the store.
	UploadPacer *pacer.Pacer
	// Archive configures which weights are kept in the store; the zero value keeps none.
	Archive ArchiveConfig
	// RecordChunk is called for each chunk that was fetched; it may be nil.
	RecordChunk func(source transferrer.Source, bytes int)
	// RecordLatency is called for each chunk from a peer; it may be nil.
	RecordLatency transferrer.RecordLatencyFunc
	Logger        *zap.Logger
}

// Stager manages the weights of one endpoint. SetPlan, Reconcile and Prefetch must be
// called from one goroutine.
type Stager struct {
	cfg           Config
	plan          Plan
	namedVersions []switcher.NamedVersion
	switchOrders  switcher.Orders
	// usualRunning is the moving average of the endpoint's running requests.
	usualRunning float64
	// switchAt is when the endpoint is due to load another version; the zero time if it is not
	// or that is unknown.
	switchAt time.Time
	// recentMembers are the instances to exchange chunks with.
	recentMembers recentMembers
	// fetches are the running and the completed fetches by version.
	fetches map[uint64]*fetch
	early   earlyStaging
	// plannedVersion is the version of the plan, for the goroutines of the fetches.
	plannedVersion atomic.Uint64

	// mu guards the fields below except switching and takenOut.
	mu sync.Mutex
	// switching is set while an order is being prepared or executed.
	switching atomic.Bool
	// takenOut is set while the endpoint accepts no new requests because of that. After a
	// failed order, it accepts them until the next one is issued.
	takenOut       atomic.Bool
	orderedAt      time.Time
	orderedVersion uint64
	// staging is set while chunks are staged, until the order has been issued.
	staging bool
	// hasFailed is set if the last order failed before it was issued or was refused, and
	// noOrderBefore is the earliest time of the next one then.
	hasFailed     bool
	noOrderBefore time.Time
	unknownOrder  unknownOrder
}

// New returns a stager without a plan.
func New(cfg Config) *Stager {
	return &Stager{cfg: cfg, fetches: map[uint64]*fetch{}}
}

// Switching reports whether the endpoint accepts no new requests because it is about to
// load another version.
func (s *Stager) Switching() bool { return s.takenOut.Load() }

// SetPlan replaces the plan.
func (s *Stager) SetPlan(now time.Time, p Plan) {
	s.plan = p
	s.plannedVersion.Store(p.Version)
	s.recentMembers.record(now, p.Members)
	known := slices.IndexFunc(s.namedVersions, func(n switcher.NamedVersion) bool { return n.Version == p.Version })
	switch {
	case p.Version == 0:
	case known >= 0:
		// The entries may have learned since that the version was named earlier.
		if !p.Held && p.NamedAt.Before(s.namedVersions[known].At) {
			s.namedVersions[known].At = p.NamedAt
		}
	default:
		s.namedVersions = append(s.namedVersions, switcher.NamedVersion{Version: p.Version, At: p.NamedAt})
		slices.SortFunc(s.namedVersions, func(a, b switcher.NamedVersion) int { return int(int64(a.Version) - int64(b.Version)) })
	}
	for _, f := range s.fetches {
		f.setMembers(s.recentMembers.current(now))
	}
}

const (
	// orderTimeout is how long an order may have no effect before it is repeated.
	orderTimeout = 1500 * time.Millisecond
	// orderRetryDelay is the pause after a failed or refused order.
	orderRetryDelay = 200 * time.Millisecond
	// runningSmoothing is the weight of a report in the average of the running requests;
	// with a report each 60 ms, the average is that of the last two seconds.
	runningSmoothing = 0.03
	// adoptionAge is the time since its naming after which a version is assumed to
	// be held by other instances.
	adoptionAge = 3 * time.Second
)

// Reconcile compares the endpoint's current report with the plan and starts the fetch or
// issues the order that is due.
func (s *Stager) Reconcile(ctx context.Context, now time.Time, r platform.Report) {
	s.switchAt = time.Time{}
	if s.plan.Version == 0 {
		s.adoptLoaded(ctx, now, r)
		return
	}
	loaded := LoadedVersion(r, s.plan.Model)
	s.usualRunning += runningSmoothing * (float64(r.Active) - s.usualRunning)
	s.startFetch(ctx, now, loaded)
	s.delayOrder(now)
	if s.switching.Load() {
		s.checkOrder(now, r, loaded)
		return
	}
	state := s.switchState(now, r, loaded)
	version, ok := switcher.NextVersion(now, state)
	if !ok {
		s.switchAt, _ = switcher.SwitchAt(now, state)
	}
	if !ok || !s.startStaging(now, version) {
		s.stageHeld(ctx, r, loaded)
		return
	}
	go s.loadVersion(s.fetches[version], version, r.OrdersAccepted)
}

// switchState returns what the next switch depends on.
func (s *Stager) switchState(now time.Time, r platform.Report, loaded uint64) switcher.State {
	complete := s.complete()
	return switcher.State{
		Self:             s.cfg.Self.Instance,
		Members:          s.switchMembers(),
		Orders:           &s.switchOrders,
		NamedVersions:    s.namedVersions,
		Loaded:           loaded,
		Loading:          r.Loading,
		CompletedAt:      complete,
		Running:          r.Active,
		UsualRunning:     s.usualRunning,
		Peers:            s.peerProgress(now, complete, loaded),
		NewestExpectedAt: s.expectedCompletion(now),
		Evacuated:        s.plan.Evacuated,
		MaxSwitchDelay:   s.cfg.VersionBound,
		CopyTime:         s.copyTime(),
	}
}

// LoadedVersion returns the newest version of a model that the endpoint has loaded, or
// 0 if there is none.
func LoadedVersion(r platform.Report, model string) (version uint64) {
	for _, m := range r.Models {
		if m.Model == model && (m.LayersUnreported || m.To > m.From) {
			version = max(version, m.Version)
		}
	}
	return version
}

// checkOrder ends a switch when the version is loaded or the order has had no effect
// within orderTimeout. While chunks are staged, no second load may begin, however long
// that takes.
func (s *Stager) checkOrder(now time.Time, r platform.Report, loaded uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.staging:
	case loaded == s.orderedVersion && !r.Loading:
		logger.Log(s.cfg.Logger, logger.VersionServing, zap.String("model", s.plan.Model), zap.Uint64("version", loaded),
			zap.Duration("taken", now.Sub(s.orderedAt)))
		s.endSwitch()
	case r.Loading:
		s.orderedAt = now
	case now.Sub(s.orderedAt) > orderTimeout:
		logger.Log(s.cfg.Logger, logger.OrderFailed, zap.Uint64("version", s.orderedVersion), zap.String("reason", "no effect"))
		s.endSwitch()
	}
}

func (s *Stager) endSwitch() {
	s.switching.Store(false)
	s.takenOut.Store(false)
}

// startStaging begins a switch unless an order failed a moment before.
func (s *Stager) startStaging(now time.Time, version uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.noOrderBefore) {
		return false
	}
	s.orderedVersion, s.staging = version, true
	s.switching.Store(true)
	s.takenOut.Store(!s.hasFailed)
	return true
}

// recordOrder records that the order to load the staged version was issued at now.
func (s *Stager) recordOrder(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orderedAt, s.staging, s.hasFailed = now, false, false
	s.takenOut.Store(true)
}

// loadVersion stages all chunks at the endpoint and orders it to load them. It stages
// them right before the order, even those already staged, because staged chunks may
// become corrupt.
func (s *Stager) loadVersion(f *fetch, version uint64, ordersAccepted int64) {
	a := f.currentAssembly()
	s.early.mu.Lock()
	defer s.early.mu.Unlock()
	s.forgetStaged()
	startedAt := s.cfg.Clock()
	for i := range a.Manifest().Chunks {
		if err := s.cfg.Endpoint.StageChunk(f.model, i, a.Chunk(i)); err != nil {
			s.recordOrderFailure(version, "chunk not staged", err)
			return
		}
		if elapsed := s.cfg.Clock().Sub(startedAt); elapsed > maxStagingTime {
			s.recordOrderFailure(version, "staging took too long", nil)
			return
		}
	}
	result, err := s.cfg.Endpoint.Load(f.model, version, ordersAccepted)
	s.recordOrderResult(result, ordersAccepted)
	if result == platform.OrderRefused {
		s.recordOrderFailure(version, "refused", err)
		return
	}
	now := s.cfg.Clock()
	s.recordOrder(now)
	logger.Log(s.cfg.Logger, logger.OrderGiven, zap.String("model", f.model), zap.Uint64("version", version),
		zap.Bool("answered", result == platform.OrderAccepted), zap.Duration("staging", now.Sub(startedAt)), zap.Error(err))
}

// maxStagingTime is the maximum age of the first staged chunk when the order is issued:
// older chunks may have become corrupt and must be staged again.
const maxStagingTime = 2 * time.Second

// recordOrderFailure logs a failed order and ends the switch. The next order is issued
// after orderRetryDelay at the earliest.
func (s *Stager) recordOrderFailure(version uint64, reason string, err error) {
	logger.Log(s.cfg.Logger, logger.OrderFailed, zap.Uint64("version", version), zap.String("reason", reason), zap.Error(err))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noOrderBefore = s.cfg.Clock().Add(orderRetryDelay)
	s.staging, s.hasFailed = false, true
	s.endSwitch()
}

// copyTime returns how long the transfer of a new version takes. It takes place over the
// origin's link and the instance's link at the same time, so the slower one determines
// it.
func (s *Stager) copyTime() time.Duration {
	totalBytes := float64(s.plan.Chunks) * float64(s.plan.ChunkBytes)
	var seconds float64
	for _, rate := range []float64{s.cfg.BytesPerSecond, s.plan.OriginBytesPerSecond} {
		if rate > 0 {
			seconds = max(seconds, totalBytes/rate)
		}
	}
	return time.Duration(seconds * float64(time.Second))
}

// switchMembers returns the members of the plan and this instance. The plan of an entry
// that has not read the record of a started endpoint yet does not contain it, and
// endpoints that are not members do not wait for each other.
func (s *Stager) switchMembers() (members []switcher.Member) {
	for _, m := range s.plan.Members {
		members = append(members, switcher.Member{Address: m.Instance, Region: m.Region})
	}
	self := switcher.Member{Address: s.cfg.Self.Instance, Region: s.cfg.Self.Region}
	if !slices.Contains(members, self) {
		members = append(members, self)
	}
	return members
}

// versionName returns the identifier of a version in the transfer protocol.
func versionName(model string, version uint64) string {
	return model + "@" + strconv.FormatUint(version, 10)
}
