package measurer

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	"flamingoledge.org/flamingoledge/internal/synchronizer"
	"flamingoledge.org/flamingoledge/pkg/interpreter"
	"flamingoledge.org/flamingoledge/pkg/provider"
)

const (
	fewSubjects       = 1000
	manySubjects      = 4000
	additionalRecords = 50
)

// measureConfigState measures the time to apply a record, and the memory and encoded
// size of a process's configuration per subject.
func measureConfigState(_ context.Context, _ Config, r *Report) error {
	few, err := measureStateCost(fewSubjects)
	if err != nil {
		return err
	}
	many, err := measureStateCost(manySubjects)
	if err != nil {
		return err
	}
	extraSubjects := float64(manySubjects - fewSubjects)
	r.add("fold_seconds_a_record_1000_subjects", few.seconds, "s", LowerIsBetter)
	r.add("fold_seconds_a_record_each_1000_subjects_more", (many.seconds-few.seconds)/extraSubjects*fewSubjects, "s", LowerIsBetter)
	r.add("state_bytes_each_subject", (many.memory-few.memory)/extraSubjects, "bytes", LowerIsBetter)
	r.add("update_bytes_each_record", few.update, "bytes", LowerIsBetter)
	r.add("snapshot_bytes_each_subject", (many.snapshot-few.snapshot)/extraSubjects, "bytes", LowerIsBetter)
	return nil
}

// stateCost is the cost of a configuration with a given number of subjects.
type stateCost struct {
	// seconds is the time to apply one more record.
	seconds float64
	// memory, update and snapshot are sizes in bytes: of the heap, of the encoded update
	// for one record and of the encoded snapshot.
	memory   float64
	update   float64
	snapshot float64
}

// measureStateCost applies a page with a record for each subject and then single records,
// and measures the cost.
func measureStateCost(subjects int) (c stateCost, err error) {
	cfg := synchronizer.NewConfiguration(interpreter.SchemaLatest)
	before := heapInUse()
	if cfg, err = applyPage(cfg, 1, subjects); err != nil {
		return c, err
	}
	c.memory = heapInUse() - before
	started := time.Now()
	for i := range additionalRecords {
		if cfg, err = applyPage(cfg, uint64(subjects+i+1), 1); err != nil {
			return c, err
		}
	}
	c.seconds = time.Since(started).Seconds() / additionalRecords
	c.update = float64(proto.Size(cfg.Update(cfg.State.LastOffset() - 1)))
	snapshot, err := json.Marshal(cfg.Snapshot())
	c.snapshot = float64(len(snapshot))
	return c, err
}

// heapInUse returns the bytes of live heap objects after a garbage collection.
func heapInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// applyPage applies a page of n records for new subjects, starting at firstOffset.
func applyPage(cfg synchronizer.Configuration, firstOffset uint64, n int) (synchronizer.Configuration, error) {
	page := provider.Page{FirstRetained: 1, Next: firstOffset + uint64(n)}
	for i := range n {
		offset := firstOffset + uint64(i)
		data, err := json.Marshal(newRecord(fmt.Sprint("workspace:w", offset), 0))
		if err != nil {
			return cfg, err
		}
		page.Records = append(page.Records, provider.Record{Offset: offset, Data: data})
	}
	next, _, err := cfg.WithPage(page)
	return next, err
}
