package keeper

import (
	"context"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/internal/pauser"
	"flamingoledge.org/flamingoledge/pkg/provider"
)

const (
	// PageLimit is how many records are read at once.
	PageLimit = 1000
	// pollWait is how long the log may hold a read until a record comes. A longer
	// one costs less traffic and delays nothing.
	maxPollWait = 8 * time.Second
	// pauseAfterError is the pause after the log did not answer.
	pauseAfterError = 200 * time.Millisecond
)

// Tail reads a stream until ctx ends. from returns the offset to read next, and
// take is given each page. The first read, and the first one after an outage, does
// not wait for records, so that the stream's end is known at once. An outage is
// logged once when it begins.
func Tail(ctx context.Context, log provider.Log, stream string, l *zap.Logger, nextOffset func() uint64, handlePage func(provider.Page)) {
	down := false
	wait := time.Duration(0)
	for ctx.Err() == nil {
		page, err := log.Read(ctx, stream, nextOffset(), PageLimit, wait)
		if err == nil {
			down = false
			wait = maxPollWait
			handlePage(page)
			continue
		}
		if !down && ctx.Err() == nil {
			logger.Log(l, logger.LogUnavailable, zap.String("stream", stream), zap.Error(err))
		}
		down = true
		wait = 0
		pauser.Pause(ctx, pauseAfterError)
	}
}

// ReadNewestSnapshot returns the newest snapshot of the log; false if there is none.
func ReadNewestSnapshot(ctx context.Context, log provider.Log) (s Snapshot, ok bool, err error) {
	var newest Snapshot
	for next := uint64(1); ; {
		var page provider.Page
		if page, err = log.Read(ctx, provider.StreamSnapshots, next, PageLimit, 0); err != nil {
			return Snapshot{}, false, err
		}
		if s, found := NewestSnapshot(page.Records); found && (!ok || s.ThroughOffset > newest.ThroughOffset) {
			newest, ok = s, true
		}
		if len(page.Records) == 0 {
			return newest, ok, nil
		}
		next = page.Records[len(page.Records)-1].Offset + 1
	}
}
