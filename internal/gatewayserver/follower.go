package gatewayserver

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/internal/sleeper"
	"flamingoledge.org/flamingoledge/pkg/provider"
	"flamingoledge.org/flamingoledge/platform"
)

const (
	// configReadShare is how long a read of the configuration waits for new records, as a
	// share of the age from which a configuration is too old to deny requests. The
	// confirmation of a configuration is one wait old when a read returns and two waits
	// old when the next one does.
	configReadShare = 0.375
	// listReadShare is the time between reads of the list, which gets new records
	// continuously, as a share of the time within which a leaving endpoint must stop
	// getting new work.
	listReadShare = 0.3
	// minReadInterval and maxReadInterval bound both times. Each read has its price, but
	// new endpoints should get requests soon.
	minReadInterval = 300 * time.Millisecond
	maxReadInterval = 1500 * time.Millisecond
	// startupTime is how long after its start an entry reads the list each minReadInterval.
	// After a loss of power, endpoints register within it, and sidecars that know few of
	// each other all read the same weights from the origin.
	startupTime = 3 * time.Second
	// storeTimeout bounds the time for a response beyond the requested wait.
	storeTimeout = 700 * time.Millisecond
	// minStorePause is the pause after the first failure. It doubles with each
	// further failure, up to maxStorePause.
	minStorePause = 50 * time.Millisecond
	maxStorePause = 800 * time.Millisecond
)

// topicReader reads a topic of the store, as platform.Store does.
type topicReader interface {
	Topic() string
	ReadLatest(timeout time.Duration) ([]platform.Value, provider.Position, error)
	Read(from provider.Position, wait, timeout time.Duration) (platform.Records, error)
	EpochProblem() string
	Close()
}

// follower follows one topic of the store: it reads the latest value of each key
// first and then the log.
type follower struct {
	server *Server
	store  topicReader
	// maxWait is how long a read waits for new records. It waits for less where its end
	// would confirm nothing or confirm late.
	maxWait  time.Duration
	interval time.Duration
	// apply sends what was read to the blackboard.
	apply func(r storeRead) error
	// onLost is called on the first failure, onRegained after the first successful
	// read that follows and has been applied.
	onLost     func(ctx context.Context)
	onRegained func(ctx context.Context)

	next        provider.Position
	hasSnapshot bool
	// lastStartedAt is when the last successful read started.
	lastStartedAt time.Time
	isLost        bool
	// failedAt is when the last failed read ended; the zero time after a read was applied.
	failedAt time.Time
	// isBehind is set if the last read returned records, but not the last ones.
	isBehind bool
	// isEpochUnknown is set while answers do not tell the store's epoch.
	isEpochUnknown bool
	retryPause     time.Duration
}

// readInterval returns a share of a bound as the time of a read.
func readInterval(bound time.Duration, share float64) time.Duration {
	return min(max(time.Duration(share*float64(bound)), minReadInterval), maxReadInterval)
}

// storeRead is the result of a read.
type storeRead struct {
	values []platform.Value
	// snapshot is set if values has the latest value of each key.
	snapshot bool
	// afterGap is set if the topic was not followed right before: values may be older than
	// the time at which a read would have returned them.
	afterGap bool
	// failedAt is when the last failed read before ended; the zero time if none failed.
	failedAt time.Time
	// epoch is the store's epoch; 0 if unknown.
	epoch uint64
	// end is the position after the last record at the time of a snapshot.
	end provider.Position
	// startedAt is when the read started; the values are at least as recent. It is zero if
	// the store did not return all values.
	startedAt time.Time
}

// configRead returns the event for a read of the configuration.
func (r storeRead) configRead() configRead {
	return configRead{values: r.values, snapshot: r.snapshot, end: r.end, afterGap: r.afterGap, failedAt: r.failedAt, startedAt: r.startedAt, epoch: r.epoch, source: sourceStore}
}

// listRead returns the event for a read of the list.
func (r storeRead) listRead() listRead {
	return listRead{values: r.values, snapshot: r.snapshot, startedAt: r.startedAt, epoch: r.epoch, source: sourceStore}
}

// run follows the topic until ctx ends.
func (f *follower) run(ctx context.Context) {
	runningSince := f.server.cfg.Clock()
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
		f.retryPause, f.lastStartedAt = 0, startedAt
		if !f.isBehind {
			sleeper.Sleep(ctx, f.readPause(startedAt.Sub(runningSince))-f.server.cfg.Clock().Sub(startedAt))
		}
	}
}

// readPause returns the time between the starts of two reads after the follower has run for
// running.
func (f *follower) readPause(running time.Duration) time.Duration {
	if running < startupTime {
		return min(f.interval, minReadInterval)
	}
	return f.interval
}

// read reads once. The first read, and the one after unread records were deleted or the
// store was restored, fetches the latest value of each key.
func (f *follower) read(startedAt time.Time) (err error) {
	if !f.hasSnapshot {
		return f.readSnapshot(startedAt)
	}
	records, err := f.store.Read(f.next, f.wait(startedAt), storeTimeout)
	f.checkEpoch()
	var trimmed *platform.TrimmedError
	var restored *platform.RestoredError
	switch {
	case errors.As(err, &trimmed):
		logger.Log(f.server.cfg.Logger, logger.StoreTrimmed, zap.String("topic", f.store.Topic()), zap.Error(err))
		f.hasSnapshot = false
		return f.readSnapshot(f.server.cfg.Clock())
	case errors.As(err, &restored):
		return f.readSnapshot(f.server.cfg.Clock())
	case err != nil:
		return err
	}
	f.isBehind = !records.IsComplete() && records.Next != f.next
	f.next = records.Next
	if !records.IsComplete() {
		// Newer values exist, so the read does not confirm these.
		startedAt = time.Time{}
	}
	return f.applyRead(storeRead{values: records.Values, epoch: records.Next.Epoch, afterGap: f.isLost, startedAt: startedAt})
}

// wait returns how long a read that starts at now may wait for new records. The read after
// a failure and the first one after the store has settled don't wait, as they confirm what
// is known. Nor does one after a pause, so that it returns only what may have been written
// during the pause.
func (f *follower) wait(now time.Time) time.Duration {
	settledAt := f.server.board.View().store.settledAt()
	switch {
	case f.isLost, f.server.hasUnreadPause():
		return 0
	case now.Before(settledAt):
		return min(f.maxWait, settledAt.Sub(now)+time.Millisecond)
	case f.lastStartedAt.Before(settledAt):
		return 0
	default:
		return f.maxWait
	}
}

// readSnapshot reads the latest value of each key.
func (f *follower) readSnapshot(startedAt time.Time) error {
	values, next, err := f.store.ReadLatest(storeTimeout)
	f.checkEpoch()
	if err != nil {
		return err
	}
	if f.next.Epoch != 0 && next.Epoch > f.next.Epoch {
		logger.Log(f.server.cfg.Logger, logger.StoreRestored, zap.String("topic", f.store.Topic()),
			zap.Uint64("before", f.next.Epoch), zap.Uint64("after", next.Epoch), zap.Int64("end", next.Offset))
	}
	f.next, f.hasSnapshot = next, true
	return f.applyRead(storeRead{values: values, snapshot: true, afterGap: true, epoch: next.Epoch, end: next, startedAt: startedAt})
}

// applyRead applies what was read.
func (f *follower) applyRead(r storeRead) error {
	r.failedAt = f.failedAt
	if err := f.apply(r); err != nil {
		return err
	}
	f.failedAt = time.Time{}
	return nil
}

// checkEpoch logs the first of consecutive answers that do not tell the store's epoch.
func (f *follower) checkEpoch() {
	problem := f.store.EpochProblem()
	if problem != "" && !f.isEpochUnknown {
		logger.Log(f.server.cfg.Logger, logger.StoreEpochUnknown, zap.String("topic", f.store.Topic()), zap.String("problem", problem))
	}
	f.isEpochUnknown = problem != ""
}

// handleFailure logs the first of consecutive failures and pauses with backoff.
func (f *follower) handleFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.store.Close()
	f.server.cfg.Metrics.Add("store_failures", 1)
	f.failedAt = f.server.cfg.Clock()
	if !f.isLost {
		f.isLost = true
		logger.Log(f.server.cfg.Logger, logger.StoreLost, zap.String("topic", f.store.Topic()),
			zap.Duration("proof_age", f.server.cfg.Clock().Sub(f.server.board.View().config.confirmedAt)), zap.Error(err))
		f.onLost(ctx)
	}
	f.retryPause = min(max(f.retryPause*2, minStorePause), maxStorePause)
	sleeper.Sleep(ctx, f.server.jitter(f.retryPause))
}
