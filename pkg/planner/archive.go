package planner

import (
	"cmp"
	"slices"
	"time"

	"flamingoledge.org/flamingoledge/pkg/chunker"
	"flamingoledge.org/flamingoledge/pkg/ranker"
)

const (
	// archiveRanks is how many instances of a region may read a partition of the store. If both
	// fail, its chunks come from the origin.
	archiveRanks = 2
	// archiveTakeover is how long the second one waits for a partition's chunks to reach its
	// neighbors, so that those on their way through the region are not read again.
	archiveTakeover = 1100 * time.Millisecond
	// archiveWait is how long chunks that the store may hold are not read from the origin. In
	// this time, the reader of the next rank has read what a failed one has not.
	archiveWait = 2 * time.Second
	// archiveSample is the number of partitions after which those that were not checked are
	// taken to be like them if they all are present or all absent. A loss of power during a
	// naming leaves some written and others not.
	archiveSample = 3
)

// ArchiveRead is a decision to read from the store.
type ArchiveRead struct {
	Partition int
	// Probe is set if only the presence of the version's chunks is to be checked.
	Probe bool
}

// archiveState is what is known of the version in the store.
type archiveState struct {
	// readers are the readers of each partition in this region in rank order, and own the
	// partitions that this instance may read, by its rank.
	readers [][]string
	own     []ownPartition
	// startedAt is when partitions may first be read.
	startedAt time.Time
	// tried are the partitions that this instance has read or tried to, and reading is set
	// while it does.
	tried   map[int]bool
	reading bool
	// present tells for partitions that were read or checked whether they contain the
	// version's chunks.
	present map[int]bool
	// absent is set if the store can't be read or does not hold the version.
	absent bool
	// missing are the chunks that are known not to be in the store.
	missing chunker.IndexSet
}

// ownPartition is a partition that this instance may read, and its rank among the readers.
type ownPartition struct {
	partition, rank int
	weight          uint64
}

func newArchiveState(cfg Config) archiveState {
	return archiveState{tried: map[int]bool{}, present: map[int]bool{}, missing: chunker.NewIndexSet(cfg.Chunks)}
}

// rankArchiveReaders determines the partitions that this instance may read.
func (p *Planner) rankArchiveReaders() {
	if !p.readsArchive() {
		return
	}
	a := &p.archive
	a.readers = p.cfg.Archive.Readers(p.cfg.VersionDigest, p.instancesByRegion[p.cfg.Self.Region])
	a.own = a.own[:0]
	for k, readers := range a.readers {
		rank := slices.Index(readers[:min(len(readers), archiveRanks)], p.cfg.Self.Instance)
		if rank >= 0 {
			weight := ranker.WeightIndexed(p.cfg.VersionDigest+"/partition", k, p.cfg.Self.Instance)
			a.own = append(a.own, ownPartition{partition: k, rank: rank, weight: weight})
		}
	}
	// Instances that know different members read different partitions first.
	slices.SortFunc(a.own, func(x, y ownPartition) int {
		return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(y.weight, x.weight))
	})
}

// readsArchive reports whether the version may be in the store.
func (p *Planner) readsArchive() bool { return p.cfg.Archive.IsKept() && !p.archive.absent }

// awaitsArchive reports whether chunk i may still come from the store, so that it is not yet
// fetched from the origin or another region.
func (p *Planner) awaitsArchive(now time.Time, i int) bool {
	if !p.readsArchive() || p.archive.missing.Has(i) {
		return false
	}
	if present, ok := p.archive.present[p.cfg.Archive.Partition(i)]; ok && !present {
		return false
	}
	return p.archive.startedAt.IsZero() || now.Sub(p.archive.startedAt) < archiveWait
}

// NextArchiveRead returns the next read from the store. It stays in progress until a call to
// RecordArchiveRead ends it, and there is at most one at a time.
func (p *Planner) NextArchiveRead(now time.Time) (r ArchiveRead, ok bool) {
	a := &p.archive
	if !p.readsArchive() || p.Complete() || p.isSettling(now) {
		return r, false
	}
	if a.startedAt.IsZero() {
		a.startedAt = now
	}
	if a.reading || now.Sub(a.startedAt) >= archiveWait {
		return r, false
	}
	for _, o := range a.own {
		if now.Sub(a.startedAt) >= time.Duration(o.rank)*archiveTakeover && !a.tried[o.partition] && p.lacksPartition(o.partition) {
			return p.startArchiveRead(ArchiveRead{Partition: o.partition}), true
		}
	}
	if k, ok := p.uncheckedPartition(); ok {
		return p.startArchiveRead(ArchiveRead{Partition: k, Probe: true}), true
	}
	return r, false
}

// uncheckedPartition returns a partition of which this instance must know whether it is
// present, since it is the first to fetch a chunk of it from elsewhere.
func (p *Planner) uncheckedPartition() (partition int, ok bool) {
	a := &p.archive
	if present := countPresent(a.present); present >= archiveSample && present == len(a.present) {
		return 0, false
	}
	for _, i := range p.externalChunks {
		k := p.cfg.Archive.Partition(i)
		if _, isKnown := a.present[k]; !isKnown && p.paths[i].rank == 0 && !p.held.Has(i) && !p.requested.Has(i) {
			return k, true
		}
	}
	return 0, false
}

func countPresent(partitions map[int]bool) (n int) {
	for _, present := range partitions {
		if present {
			n++
		}
	}
	return n
}

// lacksPartition reports whether a chunk of a partition is held neither here nor, as far as
// is known, by another instance of the region.
func (p *Planner) lacksPartition(k int) bool {
	first, end := p.cfg.Archive.Range(k)
	for i := first; i < end; i++ {
		if !p.held.Has(i) && !p.requested.Has(i) && (p.copies[i] == 0 || !p.isHeldInRegion(i)) {
			return true
		}
	}
	return false
}

func (p *Planner) startArchiveRead(r ArchiveRead) ArchiveRead {
	p.archive.reading = true
	if r.Probe {
		return r
	}
	p.archive.tried[r.Partition] = true
	first, end := p.cfg.Archive.Range(r.Partition)
	for i := first; i < end; i++ {
		// They need not be requested from peers meanwhile.
		p.requested.Add(i)
	}
	return r
}

// RecordArchiveRead records the end of a read from the store. found is the number of chunks,
// or, for a probe, 1 if the version is present; ok is false if the store could not be read.
// What was found must have been recorded by RecordSuccess before.
func (p *Planner) RecordArchiveRead(r ArchiveRead, found int, ok bool) {
	p.archive.reading = false
	if !r.Probe {
		first, end := p.cfg.Archive.Range(r.Partition)
		for i := first; i < end; i++ {
			if p.activeFetches[i].n == 0 {
				p.requested.Remove(i)
			}
			if !p.held.Has(i) {
				p.archive.missing.Add(i)
			}
		}
	}
	a := &p.archive
	if ok {
		a.present[r.Partition] = found > 0
	}
	a.absent = a.absent || !ok || len(a.present) >= archiveSample && countPresent(a.present) == 0
}
