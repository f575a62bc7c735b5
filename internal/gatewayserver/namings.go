package gatewayserver

import (
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/platform"
)

const (
	// namingTries and namingPause bound the tries to note a naming; the other
	// entries note the same one.
	namingTries = 3
	namingPause = 300 * time.Millisecond
)

// readNamings reads when versions were named. Without an answer the versions count
// from now on, as far as this process knows.
func (s *Server) readNamings() (out []naming) {
	store := platform.NewNamingStore(s.cfg.Settings.Store)
	defer store.Close()
	values, _, err := store.Newest(storeTimeout)
	if err != nil {
		logger.Log(s.cfg.Logger, logger.NamingsUnread, zap.Error(err))
		return nil
	}
	for _, v := range values {
		n, derr := platform.DecodeNaming(v.Key, v.Data)
		if derr != nil {
			logger.Log(s.cfg.Logger, logger.NamingsUnread, zap.Error(derr))
			continue
		}
		out = append(out, naming{model: n.Model, version: n.Version, age: n.Age(time.Now())})
	}
	return out
}

// noteNaming keeps in the store that a version was named now.
func (s *Server) noteNaming(model string, version uint64) {
	store := platform.NewNamingStore(s.cfg.Settings.Store)
	defer store.Close()
	n := platform.Naming{Model: model, Version: version, NamedUnixMillis: time.Now().UnixMilli()}
	value, err := n.Encode()
	for range namingTries {
		if err == nil {
			err = store.Append(n.Key(), value, storeTimeout)
		}
		if err == nil {
			return
		}
		time.Sleep(s.jitter(namingPause))
	}
	logger.Log(s.cfg.Logger, logger.NamingUnkept, zap.String("model", model), zap.Uint64("version", version), zap.Error(err))
}
