package stager

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/internal/sleeper"
	"flamingoledge.org/flamingoledge/pkg/archiver"
	"flamingoledge.org/flamingoledge/pkg/assembler"
	"flamingoledge.org/flamingoledge/pkg/planner"
	"flamingoledge.org/flamingoledge/platform"
)

const (
	// minArchiveTimeout bounds a call to the store, whose failure delays reads from the origin.
	// A call takes longer only if the transfer of a partition alone does, by archiveTimeouts
	// transfers, since others share the link.
	minArchiveTimeout = time.Second
	archiveTimeouts   = 3
	// writeTimeouts times the timeout of a read is that of a write. Nothing waits for a write, and
	// it shares the link with the chunks that peers ask for.
	writeTimeouts = 4
	// keepInterval is the time between looks for partitions to write, and keptInterval the
	// one after all chunks have arrived.
	keepInterval = 60 * time.Millisecond
	keptInterval = 300 * time.Millisecond
)

// ArchiveConfig configures which weights are kept in the platform's store.
type ArchiveConfig struct {
	// Address is that of the store.
	Address string
	Limits  archiver.Config
}

// ReadsStore reports whether the planned version is, or was, fetched while it may be in the store.
func (s *Stager) ReadsStore() bool {
	f := s.fetches[s.plan.Version]
	return f != nil && f.readsStore()
}

// keeper keeps the chunks of one version in the store and reads them back.
type keeper struct {
	fetch   *fetch
	layout  archiver.Layout
	timeout time.Duration
	// reader and writer are clients of the store, which are not safe for concurrent use.
	reader, writer *platform.WeightsStore

	// mu guards damaged, the partitions in which chunks were missing or corrupt.
	mu      sync.Mutex
	damaged map[int]bool
}

// newKeeper returns a keeper of the chunks, or nil if the version is not kept.
func (f *fetch) newKeeper(a *assembler.Assembly) *keeper {
	cfg := f.stager.cfg
	m := a.Manifest()
	layout, reason := archiver.NewLayout(cfg.Archive.Limits, archiver.Weights{Chunks: len(m.Chunks), ChunkBytes: m.ChunkBytes},
		archiver.Links{Own: cfg.BytesPerSecond, Origin: f.plan.OriginBytesPerSecond})
	if cfg.Archive.Address == "" || !layout.IsKept() {
		if reason != archiver.ReasonOriginFast && reason != archiver.ReasonNone {
			logger.Log(cfg.Logger, logger.WeightsUnkept, zap.Uint64("version", f.version), zap.String("reason", string(reason)))
		}
		return nil
	}
	first, end := layout.Range(0)
	seconds := float64((end-first)*m.ChunkBytes) / cfg.BytesPerSecond
	return &keeper{
		fetch: f, layout: layout, damaged: map[int]bool{},
		timeout: max(minArchiveTimeout, time.Duration(archiveTimeouts*seconds*float64(time.Second))),
		reader:  platform.NewWeightsStore(cfg.Archive.Address, f.model),
		writer:  platform.NewWeightsStore(cfg.Archive.Address, f.model),
	}
}

// copyTime returns how long a copy takes over the instance's link, which bounds a recovery from
// the store.
func (k *keeper) copyTime() time.Duration {
	bytes := float64(k.fetch.plan.Chunks) * float64(k.fetch.plan.ChunkBytes)
	return time.Duration(bytes / k.fetch.stager.cfg.BytesPerSecond * float64(time.Second))
}

// ReadChunks implements transferrer.Archive.
func (k *keeper) ReadChunks(ctx context.Context, partition, first, end int) (map[int][]byte, error) {
	chunks, err := k.reader.ReadChunks(ctx, partition, platform.KeptChunks{Version: k.fetch.version, First: first, End: end})
	if err != nil {
		k.reader.Close()
	}
	return chunks, err
}

// Contains implements transferrer.Archive.
func (k *keeper) Contains(ctx context.Context, partition int) (bool, error) {
	kept, err := k.reader.ReadKept(ctx, partition)
	if err != nil {
		k.reader.Close()
		return false, err
	}
	found, _, _ := k.compare(kept, partition)
	return found, nil
}

// RecordDamaged implements transferrer.Archive.
func (k *keeper) RecordDamaged(partition int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.damaged[partition] = true
}

// compare returns whether the version is among those that a partition contains, those that
// are older, and whether one is newer.
func (k *keeper) compare(kept []platform.KeptChunks, partition int) (found bool, older []platform.KeptChunks, superseded bool) {
	first, end := k.layout.Range(partition)
	for _, c := range kept {
		switch {
		case c.Version > k.fetch.version:
			superseded = true
		case c.Version < k.fetch.version:
			older = append(older, c)
		default:
			found = c.First == first && c.End == end
		}
	}
	return found, older, superseded
}

// run writes partitions of the version, as soon as their chunks are held, until ctx ends. It
// writes nothing while another version is planned.
func (k *keeper) run(ctx context.Context, a *assembler.Assembly) {
	defer k.writer.Close()
	f := k.fetch
	w := archiver.NewWriter(f.stager.cfg.Self.Instance, f.name, k.layout, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	interval := keepInterval
	for failing := false; sleeper.Sleep(ctx, interval); {
		if a.IsComplete() {
			interval = keptInterval
		}
		if f.stager.plannedVersion.Load() != f.version {
			continue
		}
		w.SetMembers(archiveMembers(f.currentMembers()))
		p, ok := w.Next(f.stager.cfg.Clock(), a.HeldChunks())
		if !ok {
			continue
		}
		err := k.keep(ctx, w, a, p)
		if err != nil {
			k.writer.Close()
			w.RecordFailure(f.stager.cfg.Clock(), p)
			if !failing {
				logger.Log(f.stager.cfg.Logger, logger.WeightsUnkept, zap.Uint64("version", f.version), zap.Int("partition", p),
					zap.String("reason", "the store is unavailable"), zap.Error(err))
			}
		}
		failing = err != nil
	}
}

// keep writes a partition if the store does not contain its chunks, and deletes those of older
// versions.
func (k *keeper) keep(ctx context.Context, w *archiver.Writer, a *assembler.Assembly, partition int) error {
	f := k.fetch
	kept, err := k.readKept(ctx, partition)
	if err != nil {
		return err
	}
	found, older, superseded := k.compare(kept, partition)
	if superseded {
		w.RecordSuperseded(partition)
		return nil
	}
	mustWrite := !found || k.isDamaged(partition)
	if mustWrite || len(older) > 0 {
		first, end := k.layout.Range(partition)
		chunks := platform.KeptChunks{Version: f.version, First: first, End: end}
		wctx, cancel := context.WithTimeout(ctx, writeTimeouts*k.timeout)
		defer cancel()
		pace := func(n int) { sleeper.Sleep(wctx, f.stager.cfg.UploadPacer.Reserve(time.Now(), n)) }
		if err = k.writer.Write(wctx, partition, chunks, a.Chunk, older, pace); err != nil {
			return err
		}
	}
	k.mu.Lock()
	delete(k.damaged, partition)
	k.mu.Unlock()
	w.RecordKept(f.stager.cfg.Clock(), partition)
	logger.Log(f.stager.cfg.Logger, logger.WeightsKept, zap.String("model", f.model), zap.Uint64("version", f.version),
		zap.Int("partition", partition), zap.Bool("written", mustWrite), zap.Int("deleted", len(older)))
	return nil
}

func (k *keeper) readKept(ctx context.Context, partition int) ([]platform.KeptChunks, error) {
	ctx, cancel := context.WithTimeout(ctx, k.timeout)
	defer cancel()
	return k.writer.ReadKept(ctx, partition)
}

func (k *keeper) isDamaged(partition int) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.damaged[partition]
}

func archiveMembers(members []planner.Member) []archiver.Member {
	out := make([]archiver.Member, len(members))
	for i, m := range members {
		out[i] = archiver.Member{Instance: m.Instance, Region: m.Region}
	}
	return out
}
