package stager

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"flamingoledge.org/flamingoledge/pkg/assembler"
	"flamingoledge.org/flamingoledge/pkg/chunker"
	"flamingoledge.org/flamingoledge/platform"
)

// earlyStaging stages chunks of a version as they arrive, long before its load order. The
// endpoint's memory survives a restart of this process, which then reads them back
// instead of fetching them again.
type earlyStaging struct {
	// running is set while a goroutine stages chunks.
	running atomic.Bool
	// unanswered is set if the endpoint has not answered an upload. It may still store the
	// chunk, which must not happen between the chunks of a load order.
	unanswered atomic.Bool

	// mu is held while a chunk is staged, and from the first staged chunk of a load order
	// until the endpoint has answered the order: it loads what is staged at that moment.
	mu sync.Mutex
	// version is the version of which chunks were last staged early, and staged are these.
	version uint64
	staged  chunker.IndexSet
}

// unknownOrder is a load order without an answer. The endpoint may still accept it, with the
// chunks that are staged then.
type unknownOrder struct {
	issued         bool
	ordersAccepted int64
}

// isPending reports whether the endpoint, according to its report, may still accept the order.
func (o unknownOrder) isPending(r platform.Report) bool {
	return o.issued && r.OrdersAccepted == o.ordersAccepted
}

// stageHeld starts to stage the held chunks of the planned version that are not staged yet,
// unless an order is being prepared or may still be accepted.
func (s *Stager) stageHeld(ctx context.Context, r platform.Report, loaded uint64) {
	f := s.fetches[s.plan.Version]
	if f == nil || f.adopt || loaded == s.plan.Version || r.Loading || s.isOrderPending(r) {
		return
	}
	a := f.currentAssembly()
	if a == nil || !s.early.running.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.early.running.Store(false)
		for i := range a.Manifest().Chunks {
			if ctx.Err() != nil || !s.stageEarly(f, a, i) {
				return
			}
		}
	}()
}

// stageEarly stages chunk i if it is held and not staged yet. It returns false if a switch
// has begun or the endpoint did not take the chunk.
func (s *Stager) stageEarly(f *fetch, a *assembler.Assembly, i int) bool {
	data := a.Chunk(i)
	if data == nil {
		return true
	}
	e := &s.early
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.switching.Load() {
		return false
	}
	if e.version != f.version || len(e.staged) == 0 {
		e.version, e.staged = f.version, chunker.NewIndexSet(len(a.Manifest().Chunks))
	}
	if e.staged.Has(i) {
		return true
	}
	if err := s.cfg.Endpoint.StageChunk(f.model, i, data); err != nil {
		e.unanswered.Store(true)
		return false
	}
	e.staged.Add(i)
	return true
}

// delayOrder puts off the next order if an upload was not answered. It is called once the
// endpoint has answered a later call, and so handles what it has received before.
func (s *Stager) delayOrder(now time.Time) {
	if s.early.unanswered.Swap(false) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.noOrderBefore = now.Add(orderRetryDelay)
	}
}

// forgetStaged records that the staged chunks are about to be overwritten. The caller holds
// early.mu.
func (s *Stager) forgetStaged() { s.early.version, s.early.staged = 0, nil }

// isOrderPending reports whether the last order had no answer and may still be accepted.
func (s *Stager) isOrderPending(r platform.Report) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unknownOrder.isPending(r)
}

// recordOrderResult records whether the last order was answered.
func (s *Stager) recordOrderResult(result platform.OrderResult, ordersAccepted int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unknownOrder = unknownOrder{issued: result == platform.OrderUnknown, ordersAccepted: ordersAccepted}
}
