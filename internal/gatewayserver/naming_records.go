package gatewayserver

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/pkg/provider"
	"flamingoledge.org/flamingoledge/platform"
)

const (
	// namingRetryPause is the pause after the first failure to store a naming time. It
	// doubles with each further failure, up to maxNamingRetryPause, until
	// namingRetryTime has passed. No entry can store the time while the store is away,
	// and if all of them stop before one has, the version bound counts anew.
	namingRetryPause    = 300 * time.Millisecond
	maxNamingRetryPause = 2 * time.Second
	namingRetryTime     = time.Minute
	// namingRewriteDelay is the longest delay before naming times are stored again after
	// the store was restored. The delays of the entries differ, so that those that
	// come later find the times stored.
	namingRewriteDelay = 1500 * time.Millisecond
	// namingTolerance is how much later than the known time a stored naming time may be
	// without being replaced, as the clocks of instances differ. A clock that is further
	// ahead would prolong the version bound.
	namingTolerance = 100 * time.Millisecond
)

// loadNamings reads from the store when versions were named. If the read fails,
// this process treats the versions as named when it first reads them.
func (s *Server) loadNamings() []platform.NamingRecord {
	store := platform.NewNamingStore(s.cfg.Settings.Store)
	defer store.Close()
	stored, _, err := s.readNamings(store)
	if err != nil {
		logger.Log(s.cfg.Logger, logger.NamingsUnread, zap.Error(err))
	}
	return stored
}

// withNamings returns e with the versions in naming records.
func (e configRead) withNamings(wallTime time.Time, records []platform.NamingRecord) configRead {
	for _, n := range records {
		if n.Undated {
			e.undatedAges = append(e.undatedAges, versionAges(wallTime, []platform.NamingRecord{n})...)
		} else {
			e.versionAges = append(e.versionAges, versionAges(wallTime, []platform.NamingRecord{n})...)
		}
	}
	return e
}

// readNamings reads and decodes the naming records and skips invalid ones. It returns the
// position after the last one too.
func (s *Server) readNamings(store *platform.Store) (out []platform.NamingRecord, end provider.Position, err error) {
	values, end, err := store.ReadLatest(storeTimeout)
	if err != nil {
		return nil, end, err
	}
	for _, v := range values {
		n, derr := platform.DecodeNamingRecord(v.Key, v.Data)
		if derr != nil {
			logger.Log(s.cfg.Logger, logger.NamingsUnread, zap.Error(derr))
			continue
		}
		out = append(out, n)
	}
	return out, end, nil
}

// versionAges returns the ages of the versions in naming records at a wall time.
func versionAges(wallTime time.Time, records []platform.NamingRecord) (out []versionAge) {
	for _, n := range records {
		out = append(out, versionAge{model: n.Model, version: n.Version, age: n.Age(wallTime)})
	}
	return out
}

// recordNaming stores the time at which a version was named. An earlier time that is already
// stored takes precedence, since it comes from an entry that noticed the version earlier.
func (s *Server) recordNaming(model string, version uint64, at time.Time) {
	n := platform.NamingRecord{Model: model, Version: version, NamedUnixMillis: at.UnixMilli()}
	n.Undated = s.board.View().config.isUndated(model, version)
	s.retryNaming(model, version, func(store *platform.Store) error { return s.tryRecordNaming(store, n) })
}

// checkNaming adopts the stored naming time of a version, or reports that there is none.
func (s *Server) checkNaming(named modelVersion) {
	s.retryNaming(named.model, named.version, func(store *platform.Store) error {
		if _, _, err := s.adoptNamings(store, named); err != nil {
			return err
		}
		return s.board.Send(context.Background(), namingUnstored{named: named})
	})
}

// retryNaming calls try until it succeeds or namingRetryTime has passed.
func (s *Server) retryNaming(model string, version uint64, try func(*platform.Store) error) {
	store := platform.NewNamingStore(s.cfg.Settings.Store)
	defer store.Close()
	startedAt := s.cfg.Clock()
	for pause := namingRetryPause; ; pause = min(2*pause, maxNamingRetryPause) {
		err := try(store)
		if err == nil {
			return
		}
		if s.cfg.Clock().Sub(startedAt) >= namingRetryTime {
			logger.Log(s.cfg.Logger, logger.NamingUnkept, zap.String("model", model), zap.Uint64("version", version), zap.Error(err))
			return
		}
		time.Sleep(s.jitter(pause))
	}
}

// rewriteNamings stores the known naming times after a delay, except those that are
// stored.
func (s *Server) rewriteNamings(delay time.Duration) {
	time.Sleep(delay)
	now, versions := s.cfg.Clock(), s.board.View().config.versions
	for _, model := range slices.Sorted(maps.Keys(versions)) {
		for _, v := range versions[model] {
			s.recordNaming(model, v.Version, time.Now().Add(-now.Sub(v.KnownSince)))
		}
	}
}

// adoptNamings adopts and returns the stored naming times of a version and of older ones,
// whose bounds end earlier; the read at the start may have failed. It returns the position after
// the last record too.
func (s *Server) adoptNamings(store *platform.Store, named modelVersion) ([]platform.NamingRecord, provider.Position, error) {
	stored, end, err := s.readNamings(store)
	if err != nil {
		return nil, end, err
	}
	stored = slices.DeleteFunc(stored, func(v platform.NamingRecord) bool { return v.Model != named.model || v.Version > named.version })
	return stored, end, s.board.Send(context.Background(), configRead{}.withNamings(time.Now(), stored))
}

// tryRecordNaming makes one attempt of recordNaming. It fails if another record was stored since
// the read: several entries notice a version at the same moment, and the clocks of some may be
// ahead.
func (s *Server) tryRecordNaming(store *platform.Store, n platform.NamingRecord) error {
	stored, end, err := s.adoptNamings(store, modelVersion{model: n.Model, version: n.Version})
	if err != nil {
		return err
	}
	latest := n.NamedUnixMillis + namingTolerance.Milliseconds()
	if slices.ContainsFunc(stored, func(v platform.NamingRecord) bool {
		return v.Version == n.Version && v.NamedUnixMillis <= latest && (n.Undated || !v.Undated)
	}) {
		return nil
	}
	value, err := n.Encode()
	if err != nil {
		return err
	}
	return store.AppendAt(end, n.Key(), value, storeTimeout)
}
