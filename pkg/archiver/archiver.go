// Package archiver decides where the chunks of a version lie in a store, which instance of a
// region reads them back and which one writes them. It addresses restarts in which no
// instance holds a chunk and the origin's link is slower than an instance's own: at 45
// instances, the origin needs 4.3 s for a copy that an instance's link carries in 2.6 s.
//
// Everything follows from the version and the members, so that instances agree without
// messages. The present time is an argument.
package archiver

import (
	"slices"
	"time"

	"flamingoledge.org/flamingoledge/pkg/ranker"
)

// Config contains the limits of the store.
type Config struct {
	// MaxBytes is the size of the largest weights that are kept; 0 to keep none.
	MaxBytes int64
	// Partitions is the largest number of partitions of a topic.
	Partitions int
	// RecordBytes bounds a record and CallBytes the records of one write.
	RecordBytes, CallBytes int
}

// Weights is the size of a version's weights.
type Weights struct {
	Chunks, ChunkBytes int
}

// Links are the rates of the instance's and of the origin's link in bytes per second; 0 if
// unknown.
type Links struct {
	Own, Origin float64
}

// Reason tells why weights are not kept.
type Reason string

// Reasons.
const (
	ReasonNone        Reason = ""
	ReasonOriginFast  Reason = "the origin's link is not known to be slower than the instance's"
	ReasonTooLarge    Reason = "the weights are larger than the limit"
	ReasonRecordLarge Reason = "a chunk is larger than a record may be"
	ReasonCallLarge   Reason = "the chunks of a partition are larger than a write may be"
)

const (
	// partitionTime is how long the read of a partition is to occupy an instance's link.
	partitionTime = 200 * time.Millisecond
	// encodedRatio is the size of a read in relation to the chunks: the store answers in
	// base64.
	encodedRatio = 4.0 / 3
	// rateTolerance, in bytes per second, is the precision of the origin's rate in plans.
	rateTolerance = 1
	// recordOverhead is the space of the framing and the key of a record, and of its share of
	// the records that delete the previous version.
	recordOverhead = 600
)

// partitionCounts are the numbers of partitions that are used. They are few, so that instances
// whose links differ a little agree.
var partitionCounts = []int{1, 2, 3, 4, 6, 8, 12, 16, 24, 32, 48, 64, 96, 128}

// Layout is the assignment of chunks to partitions. The zero value keeps nothing.
type Layout struct {
	chunks, partitions int
}

// NewLayout returns the layout of weights in the store, or the reason why they are not kept.
func NewLayout(cfg Config, w Weights, l Links) (Layout, Reason) {
	total := int64(w.Chunks) * int64(w.ChunkBytes)
	switch {
	case l.Own <= 0 || l.Origin <= 0 || l.Origin > l.Own-rateTolerance:
		return Layout{}, ReasonOriginFast
	case total <= 0 || total > cfg.MaxBytes:
		return Layout{}, ReasonTooLarge
	case w.ChunkBytes+recordOverhead > cfg.RecordBytes:
		return Layout{}, ReasonRecordLarge
	}
	wanted := float64(total) * encodedRatio / (l.Own * partitionTime.Seconds())
	layout := Layout{chunks: w.Chunks, partitions: 1}
	for _, n := range partitionCounts {
		if n > min(cfg.Partitions, w.Chunks) {
			break
		}
		layout.partitions = n
		if float64(n) >= wanted {
			break
		}
	}
	largest := (w.Chunks + layout.partitions - 1) / layout.partitions
	if largest*(w.ChunkBytes+recordOverhead) > cfg.CallBytes {
		return Layout{}, ReasonCallLarge
	}
	return layout, ReasonNone
}

// IsKept reports whether the weights are kept.
func (l Layout) IsKept() bool { return l.partitions > 0 }

// Partitions returns the number of partitions.
func (l Layout) Partitions() int { return l.partitions }

// Partition returns the partition of chunk i.
func (l Layout) Partition(i int) int {
	p := i * l.partitions / l.chunks
	if _, end := l.Range(p); i >= end {
		p++
	}
	return p
}

// Range returns the first chunk of partition p and the one after its last.
func (l Layout) Range(p int) (first, end int) {
	return p * l.chunks / l.partitions, (p + 1) * l.chunks / l.partitions
}

// Readers returns for each partition all members of a region in the order in which they read
// it. The first ones are rendezvous choices, except that each member is the first for an
// equal share of the partitions: the last chunks of a member with more would come late.
func (l Layout) Readers(version string, members []string) [][]string {
	if len(members) == 0 {
		return nil
	}
	readers, firsts := make([][]string, l.partitions), map[string]int{}
	most := (l.partitions + len(members) - 1) / len(members)
	for p := range readers {
		ranked := ranker.TopIndexed(version+"/partition", p, members, len(members))
		k := slices.IndexFunc(ranked, func(m string) bool { return firsts[m] < most })
		first := ranked[k]
		firsts[first]++
		readers[p] = slices.Insert(slices.Delete(ranked, k, k+1), 0, first)
	}
	return readers
}

// Writers returns the instances that write partition p, in rank order, given the readers of
// each region in the order of the regions' names: the first readers of all regions and then
// the second ones. A writer is also a reader, so that it knows what it read and what was missing.
func Writers(p int, readersByRegion [][][]string, ranks int) (writers []string) {
	for rank := range ranks {
		for r := range readersByRegion {
			readers := readersByRegion[(p+r)%len(readersByRegion)]
			if len(writers) < ranks && len(readers) > 0 && rank < len(readers[p]) {
				writers = append(writers, readers[p][rank])
			}
		}
	}
	return writers
}
