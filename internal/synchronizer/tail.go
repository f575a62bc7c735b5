package synchronizer

import (
	"context"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/internal/sleeper"
	"flamingoledge.org/flamingoledge/pkg/provider"
)

const (
	// PageLimit is the maximum number of records per read.
	PageLimit = 1000
	// maxPollWait is the time for which a read waits for new records. A read returns
	// as soon as there is one, so a longer wait saves traffic without added latency.
	maxPollWait = 8 * time.Second
	// pauseAfterError is the pause after a failed read.
	pauseAfterError = 200 * time.Millisecond
)

// Tail reads a stream until ctx ends. nextOffset returns the offset of the next read,
// and handlePage is called with each page. The first read, and the first one after an
// outage, does not wait for records, so that the end of the stream is known
// immediately. An outage is logged once, when it begins.
func Tail(ctx context.Context, log provider.Log, stream string, l *zap.Logger, nextOffset func() uint64, handlePage func(provider.Page)) {
	outage := false
	wait := time.Duration(0)
	for ctx.Err() == nil {
		page, err := log.Read(ctx, stream, nextOffset(), PageLimit, wait)
		if err == nil {
			outage = false
			wait = maxPollWait
			handlePage(page)
			continue
		}
		if !outage && ctx.Err() == nil {
			logger.Log(l, logger.LogUnavailable, zap.String("stream", stream), zap.Error(err))
		}
		outage = true
		wait = 0
		sleeper.Sleep(ctx, pauseAfterError)
	}
}

// ReadNewestSnapshot returns the snapshot of the log with the highest through-offset. ok
// is false if there is none.
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
