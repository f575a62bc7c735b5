package measurer

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/google/uuid"

	"flamingoledge.org/flamingoledge/internal/announcer"
	"flamingoledge.org/flamingoledge/internal/deployer"
	"flamingoledge.org/flamingoledge/internal/publisher"
	"flamingoledge.org/flamingoledge/internal/sidecarserver"
	"flamingoledge.org/flamingoledge/pkg/acceptor"
	"flamingoledge.org/flamingoledge/pkg/interpreter"
)

const (
	// The bounds of the rows, which are the stated targets.
	propagationBoundSeconds            = 1.0
	propagationPartitionedBoundSeconds = 3.0
	controlBytesPerSecondBound         = 3000.0
	controlCoresBound                  = 0.013
	controlMemoryBoundMB               = 128.0

	propagationSidecars      = 64
	propagationRecords       = 60
	propagationQuickRecords  = 20
	offsetPollInterval       = 2 * time.Millisecond
	propagationTimeout       = 10 * time.Second
	partitionSettleDelay     = 500 * time.Millisecond
	concurrentPublishers     = 6
	conflictRounds           = 20
	idleDuration             = 10 * time.Second
	idleQuickDuration        = 4 * time.Second
	idleSettleDelay          = 2 * time.Second
	targetEntries            = 320
	targetSidecars           = 2200
	megabyte                 = 1 << 20
	smallSidecars            = 8
	largeSidecars            = 64
	controlStreamsPerSidecar = 3
	regionCount              = 3
)

// measureConfig runs the experiments on configuration and the control plane.
func measureConfig(ctx context.Context, cfg Config, r *Report) error {
	// The idle cost comes first, because the shutdown of an earlier experiment would
	// distort it.
	for _, measure := range []func(context.Context, Config, *Report) error{measureControlPlaneCost, measurePropagation, measureConfigState} {
		if err := measure(ctx, cfg, r); err != nil {
			return err
		}
	}
	return nil
}

// configTopology returns three regions with one entry each, and plain endpoints.
func configTopology(sidecars int) deployer.Topology {
	return deployer.Topology{
		Regions: []string{"a", "b", "c"}, EntriesPerRegion: 1,
		Services: []deployer.Service{{Name: "orders", Kind: interpreter.ServiceKindPlain, Endpoints: sidecars, Concurrency: 8}},
	}
}

// measurePropagation measures the time from publishing a record until every process
// has applied it, with a healthy network and with region b partitioned from the log. It
// also counts decreasing through-offsets and conflicts without exactly one winner.
func measurePropagation(ctx context.Context, cfg Config, r *Report) error {
	return withTestbed(ctx, cfg, configTopology(propagationSidecars), deployer.Options{}, func(ctx context.Context, tb *testbed) error {
		n := propagationRecords
		if cfg.Quick {
			n = propagationQuickRecords
		}
		monitor := monitorOffsets(ctx, tb)
		healthy, err := tb.publishAndAwait(ctx, n)
		if err != nil {
			return err
		}
		invalidRounds, err := tb.publishConflicting(ctx)
		if err != nil {
			return err
		}
		tb.Network.SetPartitioned("a", "b", true)
		time.Sleep(partitionSettleDelay)
		partitioned, err := tb.publishAndAwait(ctx, n)
		if err != nil {
			return err
		}
		tb.Network.SetPartitioned("a", "b", false)
		r.addBounded("in_force_p99_seconds", healthy.percentile(99).Seconds(), "s", LowerIsBetter, propagationBoundSeconds)
		r.addBounded("in_force_cut_p99_seconds", partitioned.percentile(99).Seconds(), "s", LowerIsBetter, propagationPartitionedBoundSeconds)
		r.addBounded("reverts", float64(monitor.stop()), "falls", LowerIsBetter, 0)
		r.addBounded("two_winners", float64(invalidRounds), "bases", LowerIsBetter, 0)
		return nil
	})
}

// newRecord returns an envelope with a valid body for the subject.
func newRecord(subject string, base uint64) acceptor.Envelope {
	return acceptor.Envelope{
		SchemaVersion: interpreter.SchemaV1, RecordID: uuid.Must(uuid.NewV7()).String(), Subject: subject, Base: base,
		Body: fmt.Appendf(nil, `{"weight": 1, "priority": 0, "routes": [{"service": "orders"}]}`),
	}
}

// publishAndAwait publishes n records one after the other and returns, for each, the
// time from the call until every process has applied it.
func (tb *testbed) publishAndAwait(ctx context.Context, n int) (*latencyRecorder, error) {
	recorder := newLatencyRecorder()
	for range n {
		started := time.Now()
		offset, err := publisher.Publish(ctx, tb.Client, newRecord("workspace:"+newUUID(), 0))
		if err != nil {
			return nil, err
		}
		for tb.minThroughOffset() < offset {
			if time.Since(started) > propagationTimeout {
				break
			}
			time.Sleep(offsetPollInterval)
		}
		recorder.record(time.Since(started))
	}
	return recorder, nil
}

// minThroughOffset returns the lowest through-offset of all entries and sidecars.
func (tb *testbed) minThroughOffset() uint64 {
	lowest := ^uint64(0)
	for _, e := range tb.EntryServers {
		lowest = min(lowest, e.Status().ThroughOffset)
	}
	for _, e := range tb.Endpoints {
		lowest = min(lowest, e.Server.ThroughOffset())
	}
	return lowest
}

// offsetMonitor counts how often the through-offset of a process decreases.
type offsetMonitor struct {
	cancel context.CancelFunc
	result chan int
}

// monitorOffsets polls the through-offsets of all processes until stop is called.
func monitorOffsets(ctx context.Context, tb *testbed) *offsetMonitor {
	ctx, cancel := context.WithCancel(ctx)
	m := &offsetMonitor{cancel: cancel, result: make(chan int, 1)}
	go func() {
		decreases := 0
		entries := make([]uint64, len(tb.EntryServers))
		sidecars := make([]uint64, len(tb.Endpoints))
		observe := func(previous *uint64, current uint64) {
			if current < *previous {
				decreases++
			}
			*previous = current
		}
		for ctx.Err() == nil {
			for i, e := range tb.EntryServers {
				observe(&entries[i], e.Status().ThroughOffset)
			}
			for i, e := range tb.Endpoints {
				observe(&sidecars[i], e.Server.ThroughOffset())
			}
			time.Sleep(offsetPollInterval)
		}
		m.result <- decreases
	}()
	return m
}

// stop ends the polling and returns the number of decreases.
func (m *offsetMonitor) stop() int {
	m.cancel()
	return <-m.result
}

// publishConflicting publishes concurrently against the same base, in several rounds,
// and counts the rounds in which not exactly one publisher succeeds.
func (tb *testbed) publishConflicting(ctx context.Context) (invalidRounds int, err error) {
	subject := "workspace:raced"
	base := uint64(0)
	for range conflictRounds {
		var mu sync.Mutex
		var wg sync.WaitGroup
		var acceptedOffsets []uint64
		for range concurrentPublishers {
			wg.Go(func() {
				offset, publishErr := publisher.Publish(ctx, tb.Client, newRecord(subject, base))
				mu.Lock()
				defer mu.Unlock()
				var conflict *publisher.ConflictError
				switch {
				case publishErr == nil:
					acceptedOffsets = append(acceptedOffsets, offset)
				case !errors.As(publishErr, &conflict):
					err = publishErr
				}
			})
		}
		wg.Wait()
		if err != nil {
			return invalidRounds, err
		}
		if len(acceptedOffsets) != 1 {
			invalidRounds++
			continue
		}
		base = acceptedOffsets[0]
	}
	return invalidRounds, nil
}

// deploymentSize is the size of an idle deployment. The progress output prints its
// field names.
type deploymentSize struct {
	// entriesEach is the number of entries in each of the three regions.
	entriesEach int
	sidecars    int
	// streams is the number of entries to which a sidecar keeps control streams.
	streams int
}

// idleCost is the resource use of an idle deployment. The progress output prints its
// field names.
type idleCost struct {
	// entryBytes and sidecarBytes are the bytes per second that an entry and a sidecar
	// send and receive.
	entryBytes   float64
	sidecarBytes float64
	// cores is the CPU time per second of the whole process.
	cores float64
	// memory is the heap and stack memory of the whole process, in MB.
	memory float64
}

// measureControlPlaneCost measures idle deployments of several sizes and extrapolates
// from their differences the cost of an entry and of a sidecar at the target size.
func measureControlPlaneCost(ctx context.Context, cfg Config, r *Report) error {
	sizes := []deploymentSize{
		{entriesEach: 1, sidecars: smallSidecars, streams: controlStreamsPerSidecar},
		{entriesEach: 1, sidecars: largeSidecars, streams: controlStreamsPerSidecar},
		{entriesEach: 1, sidecars: largeSidecars, streams: 1},
		{entriesEach: 5, sidecars: smallSidecars, streams: controlStreamsPerSidecar},
	}
	costs := make([]idleCost, len(sizes))
	for i, s := range sizes {
		var err error
		if costs[i], err = measureIdle(ctx, cfg, s); err != nil {
			return err
		}
		cfg.progressf("idle %+v: %+v", s, costs[i])
	}
	small, large, singleStream, manyEntries := costs[0], costs[1], costs[2], costs[3]
	extraSidecars := float64(largeSidecars - smallSidecars)
	extraStreams := float64(largeSidecars * (controlStreamsPerSidecar - 1))
	extraEntries := float64(regionCount * (sizes[3].entriesEach - sizes[0].entriesEach))
	// The control streams of the sidecars are spread evenly over the entries.
	streamsPerEntry := float64(targetSidecars*controlStreamsPerSidecar) / targetEntries

	bytesPerStream := (large.entryBytes - small.entryBytes) / extraSidecars
	entryBytes := small.entryBytes + (streamsPerEntry-smallSidecars)*bytesPerStream
	r.addBounded("control_bytes_per_second", max(entryBytes, large.sidecarBytes), "bytes/s", LowerIsBetter, controlBytesPerSecondBound)
	r.add("control_bytes_per_second_entry", entryBytes, "bytes/s", LowerIsBetter)
	r.add("control_bytes_per_second_sidecar", large.sidecarBytes, "bytes/s", LowerIsBetter)
	r.add("control_bytes_per_second_each_stream", bytesPerStream, "bytes/s", LowerIsBetter)

	// The whole deployment runs in one process, so the marginal costs include the
	// emulators and both ends of a stream: they are upper bounds of a node's cost.
	r.addNodeCost("control_core_share", "cores", controlCoresBound, streamsPerEntry, marginalCosts{
		sidecar: (large.cores - small.cores) / extraSidecars,
		stream:  (large.cores - singleStream.cores) / extraStreams,
		entry:   (manyEntries.cores - small.cores) / extraEntries,
	})
	r.addNodeCost("control_memory_mb", "MB", controlMemoryBoundMB, streamsPerEntry, marginalCosts{
		sidecar: (large.memory - small.memory) / extraSidecars,
		stream:  (large.memory - singleStream.memory) / extraStreams,
		entry:   (manyEntries.memory - small.memory) / extraEntries,
	})
	return nil
}

// marginalCosts is the additional cost of one sidecar, control stream and entry.
type marginalCosts struct {
	sidecar, stream, entry float64
}

// addNodeCost adds rows for the cost of an entry and of a sidecar at the target size, and
// a bounded row for the higher of the two. It adds no row if a cost is zero or negative,
// which noise can cause.
func (r *Report) addNodeCost(name, unit string, bound, streamsPerEntry float64, s marginalCosts) {
	entry := s.entry + streamsPerEntry*s.stream
	if entry <= 0 || s.sidecar <= 0 {
		return
	}
	r.addBounded(name, max(entry, s.sidecar), unit, LowerIsBetter, bound)
	r.add(name+"_entry", entry, unit, LowerIsBetter)
	r.add(name+"_sidecar", s.sidecar, unit, LowerIsBetter)
	r.add(name+"_each_stream", s.stream, unit, LowerIsBetter)
}

// measureIdle starts a deployment of the given size and measures its idle cost.
func measureIdle(ctx context.Context, cfg Config, s deploymentSize) (c idleCost, err error) {
	duration := idleDuration
	if cfg.Quick {
		duration = idleQuickDuration
	}
	t := configTopology(s.sidecars)
	t.EntriesPerRegion = s.entriesEach
	o := deployer.Options{ListInterval: announcer.DefaultInterval, ConfigureSidecar: func(c *sidecarserver.Config) { c.ControlEntries = s.streams }}
	err = withTestbed(ctx, cfg, t, o, func(_ context.Context, tb *testbed) error {
		runtime.GC()
		time.Sleep(idleSettleDelay)
		entries, sidecars := tb.traffic()
		cpu := cpuTime()
		time.Sleep(duration)
		c.cores = (cpuTime() - cpu).Seconds() / duration.Seconds()
		entriesAfter, sidecarsAfter := tb.traffic()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		c.memory = float64(m.HeapInuse+m.StackInuse) / megabyte
		c.entryBytes = float64(entriesAfter-entries) / duration.Seconds() / float64(len(tb.Entries))
		c.sidecarBytes = float64(sidecarsAfter-sidecars) / duration.Seconds() / float64(s.sidecars)
		return nil
	})
	return c, err
}

// traffic returns the bytes that entries and sidecars have sent and received.
func (tb *testbed) traffic() (entries, sidecars int64) {
	for _, p := range tb.Entries {
		entries += tb.Network.InstanceBytes(p.Name)
	}
	for _, e := range tb.Endpoints {
		sidecars += tb.Network.InstanceBytes(e.Name)
	}
	return entries, sidecars
}

// cpuTime returns the user and system CPU time of this process, or 0 if it is unknown.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
