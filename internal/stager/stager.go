// Package stager brings the wanted versions of a model to one endpoint: it fetches
// and verifies their chunks, hands them to the endpoint and orders it to load them
// when it is its turn.
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

// Plan is what the endpoint should hold and who can give it.
type Plan struct {
	Model   string
	Version uint64
	// NamedAt is when the version was named, as far as is known.
	NamedAt time.Time
	// Held says that nobody named the version and that endpoints hold it.
	Held         bool
	Chunks       int
	ChunkBytes   int
	Origin       string
	OriginRegion string
	// OriginBytesPerSecond is the rate of the origin's link; 0 if it is not known.
	OriginBytesPerSecond float64
	Members              []planner.Member
}

// Endpoint is the endpoint beside this process.
type Endpoint interface {
	StageChunk(model string, index int, data []byte) error
	ReadStagedChunk(model string, index int) ([]byte, error)
	Load(model string, version uint64, ordered int64) (platform.OrderResult, error)
}

// Config configures a Stager.
type Config struct {
	Self     planner.Member
	Endpoint Endpoint
	Store    *transferrer.Store
	Dialer   *connector.Dialer
	Clock    func() time.Time
	// VersionBound is the time from a naming after which older versions may not
	// begin.
	VersionBound time.Duration
	// BytesPerSecond is the rate of the instance's link; 0 if it is not known.
	BytesPerSecond float64
	Down           *pacer.Pacer
	Logger         *zap.Logger
}

// Stager is the state of one endpoint's weights. Step and SetPlan have one caller.
type Stager struct {
	cfg   Config
	plan  Plan
	named []switcher.Named
	// carriers are the instances that chunks are exchanged with.
	carriers carriers
	// fetches are the versions that are being fetched or complete.
	fetches map[uint64]*fetch

	mu sync.Mutex
	// switching says that an order is about to be given or under way.
	switching atomic.Bool
	orderedAt time.Time
	ordered   uint64
	refused   time.Time
}

// New returns a stager without a plan.
func New(cfg Config) *Stager {
	return &Stager{cfg: cfg, fetches: map[uint64]*fetch{}}
}

// Switching tells whether the endpoint takes no new requests because it is about
// to load another version.
func (s *Stager) Switching() bool { return s.switching.Load() }

// SetPlan takes a newer plan.
func (s *Stager) SetPlan(now time.Time, p Plan) {
	s.plan = p
	s.carriers.saw(now, p.Members)
	known := slices.ContainsFunc(s.named, func(n switcher.Named) bool { return n.Version == p.Version })
	if p.Version != 0 && !known {
		s.named = append(s.named, switcher.Named{Version: p.Version, At: p.NamedAt})
		slices.SortFunc(s.named, func(a, b switcher.Named) int { return int(int64(a.Version) - int64(b.Version)) })
	}
	for _, f := range s.fetches {
		f.setMembers(s.carriers.at(now))
	}
}

const (
	// orderTimeout is how long an order may show no effect before it is repeated.
	orderTimeout = 1500 * time.Millisecond
	// refusedPause is the pause after an order that did not fit.
	refusedPause = 200 * time.Millisecond
	// adoptAfter is how old a named version is from which others hold it already.
	adoptAfter = 3 * time.Second
)

// Step decides by the endpoint's present report what to do next.
func (s *Stager) Step(ctx context.Context, now time.Time, r platform.Report) {
	if s.plan.Version == 0 {
		return
	}
	loaded := LoadedVersion(r, s.plan.Model)
	s.startFetch(ctx, now, loaded)
	if s.switching.Load() {
		s.watchOrder(now, r, loaded)
		return
	}
	version, ok := switcher.Next(now, switcher.State{
		Self:     s.cfg.Self.Instance,
		Members:  switchMembers(s.plan.Members),
		Named:    s.named,
		Loaded:   loaded,
		Loading:  r.Loading,
		Complete: s.complete(),
		Bound:    s.cfg.VersionBound,
		CopyTime: s.copyTime(),
	})
	if !ok || now.Before(s.refused) {
		return
	}
	s.switching.Store(true)
	s.setOrdered(now, version)
	go s.load(s.fetches[version], version, r.OrdersAccepted)
}

// LoadedVersion returns the version of a model of which the endpoint holds all
// layers; 0 if it holds none.
func LoadedVersion(r platform.Report, model string) (version uint64) {
	for _, m := range r.Models {
		if m.Model == model && (m.LayersUnreported || m.To > m.From) {
			version = max(version, m.Version)
		}
	}
	return version
}

// watchOrder ends a switch when the version is loaded, or when the order had no
// effect.
func (s *Stager) watchOrder(now time.Time, r platform.Report, loaded uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case loaded == s.ordered && !r.Loading:
		logger.Log(s.cfg.Logger, logger.VersionServing, zap.String("model", s.plan.Model), zap.Uint64("version", loaded),
			zap.Duration("taken", now.Sub(s.orderedAt)))
		s.switching.Store(false)
	case r.Loading:
		s.orderedAt = now
	case now.Sub(s.orderedAt) > orderTimeout:
		logger.Log(s.cfg.Logger, logger.OrderFailed, zap.Uint64("version", s.ordered), zap.String("reason", "no effect"))
		s.switching.Store(false)
	}
}

func (s *Stager) setOrdered(now time.Time, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orderedAt, s.ordered = now, version
}

// load hands every chunk to the endpoint and orders it to load them. The chunks
// are handed over right before the order, whatever lies there already, because
// what lies there may turn bad.
func (s *Stager) load(f *fetch, version uint64, ordered int64) {
	a := f.assembly()
	began := s.cfg.Clock()
	for i := range a.Manifest().Chunks {
		if err := s.cfg.Endpoint.StageChunk(f.model, i, a.Chunk(i)); err != nil {
			s.orderFailed(version, "chunk not staged", err)
			return
		}
	}
	if taken := s.cfg.Clock().Sub(began); taken > maxStaging {
		s.orderFailed(version, "staging took too long", nil)
		return
	}
	answer, err := s.cfg.Endpoint.Load(f.model, version, ordered)
	if answer == platform.OrderRefused {
		s.orderFailed(version, "refused", err)
		return
	}
	now := s.cfg.Clock()
	s.setOrdered(now, version)
	logger.Log(s.cfg.Logger, logger.OrderGiven, zap.String("model", f.model), zap.Uint64("version", version),
		zap.Bool("answered", answer == platform.OrderAccepted), zap.Duration("staging", now.Sub(began)), zap.Error(err))
}

// maxStaging bounds the age of the first staged chunk at the order: chunks that
// lie longer may have turned bad and must be handed over again.
const maxStaging = 2 * time.Second

func (s *Stager) orderFailed(version uint64, reason string, err error) {
	logger.Log(s.cfg.Logger, logger.OrderFailed, zap.Uint64("version", version), zap.String("reason", reason), zap.Error(err))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused = s.cfg.Clock().Add(refusedPause)
	s.switching.Store(false)
}

func (s *Stager) complete() map[uint64]time.Time {
	versions := map[uint64]time.Time{}
	for v, f := range s.fetches {
		if f.isComplete() {
			versions[v] = f.completedAt()
		}
	}
	return versions
}

// copyTime is how long a new version takes to come out of the origin and over the
// own link, which both carry it at the same time.
func (s *Stager) copyTime() time.Duration {
	bytes := float64(s.plan.Chunks) * float64(s.plan.ChunkBytes)
	var seconds float64
	for _, rate := range []float64{s.cfg.BytesPerSecond, s.plan.OriginBytesPerSecond} {
		if rate > 0 {
			seconds = max(seconds, bytes/rate)
		}
	}
	return time.Duration(seconds * float64(time.Second))
}

func switchMembers(ms []planner.Member) []switcher.Member {
	out := make([]switcher.Member, len(ms))
	for i, m := range ms {
		out[i] = switcher.Member{Address: m.Instance, Region: m.Region}
	}
	return out
}

// versionName names a version among the sidecars.
func versionName(model string, version uint64) string {
	return model + "@" + strconv.FormatUint(version, 10)
}
