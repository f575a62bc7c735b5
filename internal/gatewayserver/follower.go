package gatewayserver

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/internal/sleeper"
	"flamingoledge.org/flamingoledge/platform"
)

const (
	// configReadWait is how long a read of the configuration waits for new records.
	// The confirmation of a configuration is one wait old when a read returns and
	// two waits old when the next one does. That must be well below the age from
	// which a configuration is too old to deny requests.
	configReadWait = 600 * time.Millisecond
	// listInterval is the time between reads of the list, which gets new records
	// continuously. It is part of the time within which a leaving endpoint must
	// stop getting new work.
	listInterval = 600 * time.Millisecond
	// storeTimeout bounds the time for a response beyond the requested wait.
	storeTimeout = 700 * time.Millisecond
	// minStorePause is the pause after the first failure. It doubles with each
	// further failure, up to maxStorePause.
	minStorePause = 50 * time.Millisecond
	maxStorePause = 800 * time.Millisecond
)

// follower follows one topic of the store: it reads the latest value of each key
// first and then the log.
type follower struct {
	server   *Server
	store    *platform.Store
	maxWait  time.Duration
	interval time.Duration
	// apply sends the values that were read to the blackboard.
	apply func(values []platform.Value, snapshot bool, startedAt time.Time) error
	// onLost is called on the first failure, onRegained after the first successful
	// read that follows and has been applied.
	onLost     func(ctx context.Context)
	onRegained func(ctx context.Context)

	nextOffset  int64
	hasSnapshot bool
	isLost      bool
	retryPause  time.Duration
}

// run follows the topic until ctx ends.
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
		sleeper.Sleep(ctx, f.interval-f.server.cfg.Clock().Sub(startedAt))
	}
}

// read reads once. The first read, and the one after unread records were deleted,
// fetches the latest value of each key.
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

// handleFailure logs the first of consecutive failures and pauses with backoff.
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
	sleeper.Sleep(ctx, f.server.jitter(f.retryPause))
}
