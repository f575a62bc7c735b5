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
	configReadWait = 600 * time.Millisecond
	// listInterval is the time between reads of the list, whose records come all
	// the time; it is a part of the time in which a leaving endpoint must get no
	// more work.
	listInterval = 600 * time.Millisecond
	// storeTimeout bounds an answer beyond its wait.
	storeTimeout = 700 * time.Millisecond
	// storePause is the pause after a failure, which doubles up to storePauseMost.
	minStorePause = 50 * time.Millisecond
	maxStorePause = 800 * time.Millisecond
)

// follower reads one topic of the store: the newest of each key, then the log.
type follower struct {
	server   *Server
	store    *platform.Store
	maxWait  time.Duration
	interval time.Duration
	// take hands what was read to the blackboard.
	apply func(values []platform.Value, snapshot bool, startedAt time.Time) error
	// away and back are told of the first failure and of the first answer after
	// it, once that was taken.
	onLost     func(ctx context.Context)
	onRegained func(ctx context.Context)

	nextOffset  int64
	hasSnapshot bool
	isLost      bool
	retryPause  time.Duration
}

// run follows until ctx ends.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		startedAt := f.server.cfg.Clock()
		err := f.read(startedAt)
		if err != nil {
			f.handleFailure(ctx, err)
			continue
		}
		if f.isLost {
			f.isLost = false
			logger.Log(f.server.cfg.Logger, logger.StoreRegained, zap.String("topic", f.store.Topic()))
			f.onRegained(ctx)
		}
		f.retryPause = 0
		pauser.Pause(ctx, f.interval-f.server.cfg.Clock().Sub(startedAt))
	}
}

// read reads once. The first reading and one after deleted records take the newest
// of each key.
func (f *follower) read(startedAt time.Time) (err error) {
	var values []platform.Value
	snapshot := !f.hasSnapshot
	if snapshot {
		values, f.nextOffset, err = f.store.ReadLatest(storeTimeout)
	} else {
		values, f.nextOffset, err = f.store.Read(f.nextOffset, f.maxWait, storeTimeout)
	}
	var trimmed *platform.TrimmedError
	if errors.As(err, &trimmed) {
		logger.Log(f.server.cfg.Logger, logger.StoreTrimmed, zap.String("topic", f.store.Topic()), zap.Error(err))
		f.hasSnapshot = false
		return nil
	}
	if err != nil {
		return err
	}
	f.hasSnapshot = true
	return f.apply(values, snapshot, startedAt)
}

func (f *follower) handleFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.store.Close()
	f.server.cfg.Metrics.Add("store_failures", 1)
	if !f.isLost {
		f.isLost = true
		logger.Log(f.server.cfg.Logger, logger.StoreLost, zap.String("topic", f.store.Topic()),
			zap.Duration("proof_age", f.server.cfg.Clock().Sub(f.server.board.View().config.confirmedAt)), zap.Error(err))
		f.onLost(ctx)
	}
	f.retryPause = min(max(f.retryPause*2, minStorePause), maxStorePause)
	pauser.Pause(ctx, f.server.jitter(f.retryPause))
}
