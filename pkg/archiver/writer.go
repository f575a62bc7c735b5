package archiver

import (
	"math/rand/v2"
	"slices"
	"time"

	"flamingoledge.org/flamingoledge/pkg/chunker"
)

const (
	// writerRanks is the number of instances that may write a partition.
	writerRanks = 3
	// writerTakeover is how long the next rank waits after it holds a partition's chunks. It is
	// longer than instances differ in that (2 s in replays) and a write takes.
	writerTakeover = 4 * time.Second
	// writeRetry is the pause after a failed write. It doubles up to maxWriteRetry; a
	// random delay of up to the same length is added.
	writeRetry    = 500 * time.Millisecond
	maxWriteRetry = 8 * time.Second
	// recheckAfter is when the first writer looks again for records that it found: the store
	// may have been restored from an older copy.
	recheckAfter = time.Minute
	maxDoublings = 4
)

// Member is an instance with its region.
type Member struct {
	Instance, Region string
}

// Writer decides which partitions of a version an instance writes and when. It is not safe
// for concurrent use.
type Writer struct {
	self    string
	version string
	layout  Layout
	rand    *rand.Rand
	ranks   []int
	// partitions are the states of the partitions.
	partitions []writeState
}

// writeState is the state of a partition.
type writeState struct {
	// heldSince is when all its chunks were first held here.
	heldSince time.Time
	// notBefore is the earliest time of the next attempt.
	notBefore time.Time
	failures  int
	// done is set once nothing is left to do here.
	done bool
}

// NewWriter returns a writer of the instance self, which knows no members.
func NewWriter(self, version string, l Layout, random *rand.Rand) *Writer {
	w := &Writer{self: self, version: version, layout: l, rand: random, partitions: make([]writeState, l.Partitions())}
	w.SetMembers(nil)
	return w
}

// SetMembers replaces the members.
func (w *Writer) SetMembers(members []Member) {
	byRegion, regions := map[string][]string{}, []string{}
	for _, m := range members {
		if byRegion[m.Region] == nil {
			regions = append(regions, m.Region)
		}
		byRegion[m.Region] = append(byRegion[m.Region], m.Instance)
	}
	slices.Sort(regions)
	var readers [][][]string
	for _, r := range regions {
		readers = append(readers, w.layout.Readers(w.version, byRegion[r]))
	}
	w.ranks = w.ranks[:0]
	for p := range w.partitions {
		w.ranks = append(w.ranks, slices.Index(Writers(p, readers, writerRanks), w.self))
	}
}

// Next returns the partition to write now, given the chunks that are held.
func (w *Writer) Next(now time.Time, held chunker.IndexSet) (partition int, ok bool) {
	for p := range w.partitions {
		s := &w.partitions[p]
		if s.heldSince.IsZero() && w.holds(held, p) {
			s.heldSince = now
		}
	}
	for p, s := range w.partitions {
		if s.heldSince.IsZero() || s.done || w.ranks[p] < 0 || now.Before(s.notBefore) {
			continue
		}
		if now.Sub(s.heldSince) >= time.Duration(w.ranks[p])*writerTakeover {
			return p, true
		}
	}
	return 0, false
}

func (w *Writer) holds(held chunker.IndexSet, p int) bool {
	first, end := w.layout.Range(p)
	for i := first; i < end; i++ {
		if !held.Has(i) {
			return false
		}
	}
	return true
}

// RecordKept records that the store holds a partition's chunks.
func (w *Writer) RecordKept(now time.Time, p int) {
	s := &w.partitions[p]
	s.failures, s.done, s.notBefore = 0, w.ranks[p] != 0, now.Add(recheckAfter)
}

// RecordSuperseded records that the store holds a newer version in a partition.
func (w *Writer) RecordSuperseded(p int) { w.partitions[p].done = true }

// RecordFailure records that a partition could not be written.
func (w *Writer) RecordFailure(now time.Time, p int) {
	s := &w.partitions[p]
	pause := min(writeRetry<<min(s.failures, maxDoublings), maxWriteRetry)
	s.failures++
	s.notBefore = now.Add(pause + time.Duration(w.rand.Int64N(int64(pause))))
}
