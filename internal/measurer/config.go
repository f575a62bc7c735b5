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
	inForceBound    = 1.0
	inForceCutBound = 3.0
	bytesBound      = 3000.0
	coreBound       = 0.013
	memoryBound     = 128.0

	spreadSidecars     = 64
	spreadPublishes    = 60
	spreadQuick        = 20
	spreadPoll         = 2 * time.Millisecond
	spreadTimeout      = 10 * time.Second
	cutSettle          = 500 * time.Millisecond
	racers             = 6
	racingRounds       = 20
	idleTime           = 10 * time.Second
	idleQuickTime      = 4 * time.Second
	idleSettle         = 2 * time.Second
	targetEntries      = 320
	targetSidecars     = 2200
	megabyte           = 1 << 20
	measuredSmall      = 8
	measuredLarge      = 64
	controlStreamsEach = 3
	regionCount        = 3
)

func measureConfig(ctx context.Context, cfg Config, r *Report) error {
	// The idle costs come first, so that no earlier experiment is still ending.
	for _, measure := range []func(context.Context, Config, *Report) error{measureControlCost, measureSpread, measureState} {
		if err := measure(ctx, cfg, r); err != nil {
			return err
		}
	}
	return nil
}

// spreadTopology has three regions, an entry in each, and plain endpoints.
func spreadTopology(sidecars int) deployer.Topology {
	return deployer.Topology{
		Regions: []string{"a", "b", "c"}, EntriesPerRegion: 1,
		Services: []deployer.Service{{Name: "orders", Kind: interpreter.ServicePlain, Endpoints: sidecars, Concurrency: 8}},
	}
}

// measureSpread publishes records and takes the time until each is in force on
// every process, with a healthy network and with a region cut off from the log.
func measureSpread(ctx context.Context, cfg Config, r *Report) error {
	return withRig(ctx, cfg, spreadTopology(spreadSidecars), deployer.Options{}, func(ctx context.Context, rg *rig) error {
		n := spreadPublishes
		if cfg.Quick {
			n = spreadQuick
		}
		w := watchOffsets(ctx, rg)
		healthy, err := rg.publishAndAwait(ctx, n)
		if err != nil {
			return err
		}
		two, err := rg.race(ctx)
		if err != nil {
			return err
		}
		rg.Network.Cut("a", "b", true)
		time.Sleep(cutSettle)
		cut, err := rg.publishAndAwait(ctx, n)
		if err != nil {
			return err
		}
		rg.Network.Cut("a", "b", false)
		r.bounded("in_force_p99_seconds", healthy.at(99).Seconds(), "s", LowerIsBetter, inForceBound)
		r.bounded("in_force_cut_p99_seconds", cut.at(99).Seconds(), "s", LowerIsBetter, inForceCutBound)
		r.bounded("reverts", float64(w.stop()), "falls", LowerIsBetter, 0)
		r.bounded("two_winners", float64(two), "bases", LowerIsBetter, 0)
		return nil
	})
}

func newRecord(subject string, base uint64) acceptor.Envelope {
	return acceptor.Envelope{
		SchemaVersion: interpreter.SchemaFirst, RecordID: uuid.Must(uuid.NewV7()).String(), Subject: subject, Base: base,
		Body: fmt.Appendf(nil, `{"weight": 1, "priority": 0, "routes": [{"service": "orders"}]}`),
	}
}

// publishAndAwait publishes records one after the other and returns how long each
// took from the call to being in force on every process.
func (r *rig) publishAndAwait(ctx context.Context, n int) (*latencies, error) {
	ls := newLatencies()
	for range n {
		started := time.Now()
		offset, err := publisher.Publish(ctx, r.Client, newRecord("workspace:"+newKey(), 0))
		if err != nil {
			return nil, err
		}
		for r.lowestThrough() < offset {
			if time.Since(started) > spreadTimeout {
				break
			}
			time.Sleep(spreadPoll)
		}
		ls.record(time.Since(started))
	}
	return ls, nil
}

// lowestThrough returns the lowest through-offset of all processes.
func (r *rig) lowestThrough() uint64 {
	lowest := ^uint64(0)
	for _, e := range r.EntryServers {
		lowest = min(lowest, e.Status().ThroughOffset)
	}
	for _, e := range r.Endpoints {
		lowest = min(lowest, e.Server.ThroughOffset())
	}
	return lowest
}

// offsetWatch counts falls of any process's through-offset.
type offsetWatch struct {
	cancel context.CancelFunc
	done   chan int
}

func watchOffsets(ctx context.Context, r *rig) *offsetWatch {
	ctx, cancel := context.WithCancel(ctx)
	w := &offsetWatch{cancel: cancel, done: make(chan int, 1)}
	go func() {
		falls := 0
		entries := make([]uint64, len(r.EntryServers))
		sidecars := make([]uint64, len(r.Endpoints))
		note := func(last *uint64, now uint64) {
			if now < *last {
				falls++
			}
			*last = now
		}
		for ctx.Err() == nil {
			for i, e := range r.EntryServers {
				note(&entries[i], e.Status().ThroughOffset)
			}
			for i, e := range r.Endpoints {
				note(&sidecars[i], e.Server.ThroughOffset())
			}
			time.Sleep(spreadPoll)
		}
		w.done <- falls
	}()
	return w
}

func (w *offsetWatch) stop() int {
	w.cancel()
	return <-w.done
}

// race lets operators publish against the same base and counts the bases that
// more than one of them is told to have won.
func (r *rig) race(ctx context.Context) (twoWinners int, err error) {
	subject := "workspace:raced"
	base := uint64(0)
	for range racingRounds {
		var mu sync.Mutex
		var wg sync.WaitGroup
		var winners []uint64
		for range racers {
			wg.Go(func() {
				offset, perr := publisher.Publish(ctx, r.Client, newRecord(subject, base))
				mu.Lock()
				defer mu.Unlock()
				var conflict *publisher.ConflictError
				switch {
				case perr == nil:
					winners = append(winners, offset)
				case !errors.As(perr, &conflict):
					err = perr
				}
			})
		}
		wg.Wait()
		if err != nil {
			return twoWinners, err
		}
		if len(winners) != 1 {
			twoWinners++
			continue
		}
		base = winners[0]
	}
	return twoWinners, nil
}

// shape is the size of an idle deployment.
type shape struct {
	// entriesEach is how many entries each of the three regions has.
	entriesEach int
	sidecars    int
	// streams is to how many entries a sidecar holds control streams.
	streams int
}

// idleCost is what an idle deployment costs.
type idleCost struct {
	entryBytes   float64
	sidecarBytes float64
	cores        float64
	memory       float64
}

// measureControlCost takes the slopes between deployments of several sizes and
// works out a node's cost at the target size.
func measureControlCost(ctx context.Context, cfg Config, r *Report) error {
	shapes := []shape{
		{entriesEach: 1, sidecars: measuredSmall, streams: controlStreamsEach},
		{entriesEach: 1, sidecars: measuredLarge, streams: controlStreamsEach},
		{entriesEach: 1, sidecars: measuredLarge, streams: 1},
		{entriesEach: 5, sidecars: measuredSmall, streams: controlStreamsEach},
	}
	costs := make([]idleCost, len(shapes))
	for i, s := range shapes {
		var err error
		if costs[i], err = idle(ctx, cfg, s); err != nil {
			return err
		}
		cfg.say("idle %+v: %+v", s, costs[i])
	}
	small, large, single, many := costs[0], costs[1], costs[2], costs[3]
	more := float64(measuredLarge - measuredSmall)
	streams := float64(measuredLarge * (controlStreamsEach - 1))
	entries := float64(regionCount * (shapes[3].entriesEach - shapes[0].entriesEach))
	// Each sidecar holds its control streams to entries that are spread evenly.
	attached := float64(targetSidecars*controlStreamsEach) / targetEntries

	bytesEach := (large.entryBytes - small.entryBytes) / more
	entryBytes := small.entryBytes + (attached-measuredSmall)*bytesEach
	r.bounded("control_bytes_per_second", max(entryBytes, large.sidecarBytes), "bytes/s", LowerIsBetter, bytesBound)
	r.add("control_bytes_per_second_entry", entryBytes, "bytes/s", LowerIsBetter)
	r.add("control_bytes_per_second_sidecar", large.sidecarBytes, "bytes/s", LowerIsBetter)
	r.add("control_bytes_per_second_each_stream", bytesEach, "bytes/s", LowerIsBetter)

	// The slopes of one process contain its stand-ins and both ends of a stream,
	// so they bound what a node spends.
	r.addNode("control_core_share", "cores", coreBound, attached, slopes{
		sidecar: (large.cores - small.cores) / more,
		stream:  (large.cores - single.cores) / streams,
		entry:   (many.cores - small.cores) / entries,
	})
	r.addNode("control_memory_mb", "MB", memoryBound, attached, slopes{
		sidecar: (large.memory - small.memory) / more,
		stream:  (large.memory - single.memory) / streams,
		entry:   (many.memory - small.memory) / entries,
	})
	return nil
}

// slopes is what one more sidecar, control stream and entry costs.
type slopes struct {
	sidecar, stream, entry float64
}

// addNode adds the cost of the dearer kind of node at the target size. Slopes that
// the noise has turned negative are no measurement, and leave the rows out.
func (r *Report) addNode(name, unit string, bound, attached float64, s slopes) {
	entry := s.entry + attached*s.stream
	if entry <= 0 || s.sidecar <= 0 {
		return
	}
	r.bounded(name, max(entry, s.sidecar), unit, LowerIsBetter, bound)
	r.add(name+"_entry", entry, unit, LowerIsBetter)
	r.add(name+"_sidecar", s.sidecar, unit, LowerIsBetter)
	r.add(name+"_each_stream", s.stream, unit, LowerIsBetter)
}

func idle(ctx context.Context, cfg Config, s shape) (c idleCost, err error) {
	length := idleTime
	if cfg.Quick {
		length = idleQuickTime
	}
	t := spreadTopology(s.sidecars)
	t.EntriesPerRegion = s.entriesEach
	o := deployer.Options{ListInterval: announcer.DefaultInterval, Sidecar: func(c *sidecarserver.Config) { c.ControlEntries = s.streams }}
	err = withRig(ctx, cfg, t, o, func(_ context.Context, rg *rig) error {
		runtime.GC()
		time.Sleep(idleSettle)
		entries, sidecars := rg.traffic()
		cpu := processorTime()
		time.Sleep(length)
		c.cores = (processorTime() - cpu).Seconds() / length.Seconds()
		entriesAfter, sidecarsAfter := rg.traffic()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		c.memory = float64(m.HeapInuse+m.StackInuse) / megabyte
		c.entryBytes = float64(entriesAfter-entries) / length.Seconds() / float64(len(rg.Entries))
		c.sidecarBytes = float64(sidecarsAfter-sidecars) / length.Seconds() / float64(s.sidecars)
		return nil
	})
	return c, err
}

// traffic returns the bytes that entries and sidecars have sent and received.
func (r *rig) traffic() (entries, sidecars int64) {
	for _, p := range r.Entries {
		entries += r.Network.Traffic(p.Name)
	}
	for _, e := range r.Endpoints {
		sidecars += r.Network.Traffic(e.Name)
	}
	return entries, sidecars
}

// processorTime returns the time that this process has spent on processors.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
