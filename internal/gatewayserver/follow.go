package gatewayserver

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/internal/pauser"
	"flamingoledge.org/flamingoledge/platform"
)

const (
	// configWait is how long a read of the configuration waits for news. A proof
	// is one wait old when it comes and two when the next one does, which must be
	// well below the age from which nothing is denied by it.
	configWait = 600 * time.Millisecond
	// listInterval is the time between reads of the list, whose records come all
	// the time; it is a part of the time in which a leaving endpoint must get no
	// more work.
	listInterval = 600 * time.Millisecond
	// storeTimeout bounds an answer beyond its wait.
	storeTimeout = 700 * time.Millisecond
	// storePause is the pause after a failure, which doubles up to storePauseMost.
	storePause     = 50 * time.Millisecond
	storePauseMost = 800 * time.Millisecond
)

// follower reads one topic of the store: the newest of each key, then the log.
type follower struct {
	server   *Server
	store    *platform.Store
	wait     time.Duration
	interval time.Duration
	// take hands what was read to the blackboard.
	take func(values []platform.Value, snapshot bool, began time.Time) error
	// away and back are told of the first failure and of the first answer after
	// it, once that was taken.
	away func(ctx context.Context)
	back func(ctx context.Context)

	next    int64
	started bool
	lost    bool
	pause   time.Duration
}

// run follows until ctx ends.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		began := f.server.cfg.Clock()
		err := f.read(began)
		if err != nil {
			f.failed(ctx, err)
			continue
		}
		if f.lost {
			f.lost = false
			logger.Log(f.server.cfg.Logger, logger.StoreRegained, zap.String("topic", f.store.Topic()))
			f.back(ctx)
		}
		f.pause = 0
		pauser.Pause(ctx, f.interval-f.server.cfg.Clock().Sub(began))
	}
}

// read reads once. The first reading and one after deleted records take the newest
// of each key.
func (f *follower) read(began time.Time) (err error) {
	var values []platform.Value
	snapshot := !f.started
	if snapshot {
		values, f.next, err = f.store.ReadLatest(storeTimeout)
	} else {
		values, f.next, err = f.store.Read(f.next, f.wait, storeTimeout)
	}
	var trimmed *platform.TrimmedError
	if errors.As(err, &trimmed) {
		logger.Log(f.server.cfg.Logger, logger.StoreTrimmed, zap.String("topic", f.store.Topic()), zap.Error(err))
		f.started = false
		return nil
	}
	if err != nil {
		return err
	}
	f.started = true
	return f.take(values, snapshot, began)
}

func (f *follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.store.Close()
	f.server.cfg.Metrics.Add("store_failures", 1)
	if !f.lost {
		f.lost = true
		logger.Log(f.server.cfg.Logger, logger.StoreLost, zap.String("topic", f.store.Topic()),
			zap.Duration("proof_age", f.server.cfg.Clock().Sub(f.server.board.View().config.provenAt)), zap.Error(err))
		f.away(ctx)
	}
	f.pause = min(max(f.pause*2, storePause), storePauseMost)
	pauser.Pause(ctx, f.server.jitter(f.pause))
}
