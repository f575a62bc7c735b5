package keeper

import (
	"context"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/pkg/provider"
)

const (
	// PageLimit is how many records are read at once.
	PageLimit = 1000
	// pollWait is how long the log may hold a read until a record comes. A longer
	// one costs less traffic and delays nothing.
	pollWait = 8 * time.Second
	// pauseAfterError is the pause after the log did not answer.
	pauseAfterError = 200 * time.Millisecond
)

// Tail reads a stream until ctx ends. from returns the offset to read next, and
// take is given each page. An outage is logged once when it begins.
func Tail(ctx context.Context, log provider.Log, stream string, l *zap.Logger, from func() uint64, take func(provider.Page)) {
	down := false
	for ctx.Err() == nil {
		page, err := log.Read(ctx, stream, from(), PageLimit, pollWait)
		if err == nil {
			down = false
			take(page)
			continue
		}
		if !down && ctx.Err() == nil {
			logger.Log(l, logger.LogUnavailable, zap.String("stream", stream), zap.Error(err))
		}
		down = true
		select {
		case <-ctx.Done():
		case <-time.After(pauseAfterError):
		}
	}
}

// ReadSnapshot returns the newest snapshot of the log; false if there is none.
func ReadSnapshot(ctx context.Context, log provider.Log) (s Snapshot, ok bool, err error) {
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
