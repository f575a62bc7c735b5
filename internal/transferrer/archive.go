package transferrer

import (
	"context"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/internal/sleeper"
	"flamingoledge.org/flamingoledge/pkg/planner"
)

// encodedSize returns the size of n bytes in an answer of the store, which is encoded in
// base64.
func encodedSize(n int) int { return n * 4 / 3 }

// archiveRead is a read from the store and its result.
type archiveRead struct {
	planner.ArchiveRead
	// found is the number of valid chunks, or 1 if a check found the version.
	found int
	// corrupt is the number of chunks that did not match their digests.
	corrupt int
	taken   time.Duration
}

// startArchiveRead starts the read from the store that the planner returns, if any.
func (t *Transfer) startArchiveRead(ctx context.Context, now time.Time) {
	if t.cfg.Archive == nil {
		return
	}
	r, ok := t.planner.NextArchiveRead(now)
	if !ok {
		return
	}
	if err := t.cfg.Submit(func() { t.readArchive(ctx, r) }); err != nil {
		t.planner.RecordArchiveRead(r, 0, false)
	}
}

// readArchive reads from the store and posts the result.
func (t *Transfer) readArchive(ctx context.Context, r planner.ArchiveRead) {
	first, end := t.cfg.Planner.Archive.Range(r.Partition)
	if !r.Probe && !sleeper.Sleep(ctx, t.cfg.DownloadPacer.Reserve(time.Now(), encodedSize(t.chunkBytes(first, end)))) {
		return
	}
	startedAt := time.Now()
	read := archiveRead{ArchiveRead: r}
	ctx, cancel := context.WithTimeout(ctx, t.cfg.ArchiveTimeout)
	defer cancel()
	var err error
	if r.Probe {
		var isPresent bool
		if isPresent, err = t.cfg.Archive.Contains(ctx, r.Partition); isPresent {
			read.found = 1
		}
	} else {
		var chunks map[int][]byte
		chunks, err = t.cfg.Archive.ReadChunks(ctx, r.Partition, first, end)
		t.storeArchivedChunks(&read, chunks)
	}
	read.taken = time.Since(startedAt)
	t.post(event{kind: eventArchiveRead, read: read, err: err})
}

// storeArchivedChunks verifies chunks from the store and stores those that are valid.
func (t *Transfer) storeArchivedChunks(read *archiveRead, chunks map[int][]byte) {
	for i, data := range chunks {
		added, err := t.cfg.Assembly.Put(i, data)
		if err != nil {
			read.corrupt++
			logger.Log(t.cfg.Logger, logger.ChunkCorrupt, zap.Int("chunk", i), zap.String("peer", string(SourceStore)), zap.Error(err))
			continue
		}
		read.found++
		if added {
			t.post(event{kind: eventChunkReceived, fetch: planner.FromStore(i), bytes: len(data)})
		}
	}
}

// chunkBytes returns the size of the chunks from first to before end.
func (t *Transfer) chunkBytes(first, end int) (n int) {
	for i := first; i < end; i++ {
		n += t.cfg.Assembly.Manifest().ChunkLen(i)
	}
	return n
}

// handleArchiveRead passes the result of a read to the planner and logs it.
func (t *Transfer) handleArchiveRead(e event) {
	t.planner.RecordArchiveRead(e.read.ArchiveRead, e.read.found, e.err == nil)
	fields := []zap.Field{
		zap.String("version_digest", t.cfg.Assembly.VersionDigest()), zap.Int("partition", e.read.Partition),
		zap.Duration("taken", e.read.taken),
	}
	first, end := t.cfg.Planner.Archive.Range(e.read.Partition)
	if e.err == nil && !e.read.Probe && e.read.found < end-first {
		t.cfg.Archive.RecordDamaged(e.read.Partition)
	}
	switch {
	case e.err != nil:
		logger.Log(t.cfg.Logger, logger.WeightsUnread, append(fields, zap.String("reason", "the store can't be read"), zap.Error(e.err))...)
	case e.read.found == 0:
		logger.Log(t.cfg.Logger, logger.WeightsUnread, append(fields, zap.String("reason", "not in the store"), zap.Int("corrupt", e.read.corrupt))...)
	case e.read.Probe:
	case e.read.found < end-first:
		logger.Log(t.cfg.Logger, logger.WeightsUnread, append(fields, zap.String("reason", "chunks are missing or corrupt"),
			zap.Int("chunks", e.read.found), zap.Int("corrupt", e.read.corrupt))...)
	default:
		logger.Log(t.cfg.Logger, logger.WeightsReadBack, append(fields, zap.Int("chunks", e.read.found))...)
	}
}
