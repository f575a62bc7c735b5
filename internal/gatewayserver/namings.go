package gatewayserver

import (
	"context"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/platform"
)

const (
	// namingTries and namingPause bound the tries to note a naming; the other
	// entries note the same one.
	namingAttempts   = 3
	namingRetryPause = 300 * time.Millisecond
)

// readNamings reads when versions were named. Without an answer the versions count
// from now on, as far as this process knows.
func (s *Server) loadVersionAges() []versionAge {
	store := platform.NewNamingStore(s.cfg.Settings.Store)
	defer store.Close()
	out, err := s.readVersionAges(store)
	if err != nil {
		logger.Log(s.cfg.Logger, logger.NamingsUnread, zap.Error(err))
	}
	return out
}

func (s *Server) readVersionAges(store *platform.Store) (out []versionAge, err error) {
	values, _, err := store.ReadLatest(storeTimeout)
	if err != nil {
		return nil, err
	}
	for _, v := range values {
		n, derr := platform.DecodeNamingRecord(v.Key, v.Data)
		if derr != nil {
			logger.Log(s.cfg.Logger, logger.NamingsUnread, zap.Error(derr))
			continue
		}
		out = append(out, versionAge{model: n.Model, version: n.Version, age: n.Age(time.Now())})
	}
	return out, nil
}

// noteNaming keeps in the store that a version was named at a time, unless that is
// kept already: what is there is from an entry that learned of it before.
func (s *Server) recordNaming(model string, version uint64, at time.Time) {
	store := platform.NewNamingStore(s.cfg.Settings.Store)
	defer store.Close()
	var err error
	for range namingAttempts {
		if err = s.tryRecordNaming(store, platform.NamingRecord{Model: model, Version: version, NamedUnixMillis: at.UnixMilli()}); err == nil {
			return
		}
		time.Sleep(s.jitter(namingRetryPause))
	}
	logger.Log(s.cfg.Logger, logger.NamingUnkept, zap.String("model", model), zap.Uint64("version", version), zap.Error(err))
}

func (s *Server) tryRecordNaming(store *platform.Store, n platform.NamingRecord) error {
	kept, err := s.readVersionAges(store)
	if err != nil {
		return err
	}
	for _, one := range kept {
		if one.model == n.Model && one.version == n.Version {
			return s.board.Send(context.Background(), configRead{versionAges: []versionAge{one}})
		}
	}
	value, err := n.Encode()
	if err != nil {
		return err
	}
	return store.Append(n.Key(), value, storeTimeout)
}
