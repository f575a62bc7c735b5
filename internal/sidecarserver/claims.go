package sidecarserver

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/internal/sleeper"
	"flamingoledge.org/flamingoledge/internal/synchronizer"
	"flamingoledge.org/flamingoledge/pkg/claimer"
	"flamingoledge.org/flamingoledge/pkg/provider"
)

const (
	// claimBatchWindow is the minimum time for which entries are collected for one
	// append.
	claimBatchWindow = 2 * time.Millisecond
	// claimAppendsPerSecond limits the appends of all sidecars of a service together.
	claimAppendsPerSecond = 200
	// maxClaimBatch bounds the entries of one append.
	maxClaimBatch = 256
	// claimQueueLength bounds the entries queued for an append.
	claimQueueLength = 4096
	// appendRetryWait is the delay before a failed append to the log is retried.
	appendRetryWait = 50 * time.Millisecond
)

var (
	errClaimQueueFull = eris.New("claim queue is full")
	errLogNotRead     = eris.New("claims stream has not been read or the log is unreachable")
)

// claims follows the claims stream of the service and appends to it in batches.
type claims struct {
	stream string
	window time.Duration
	log    provider.Log
	logger *zap.Logger
	queue  chan claimer.Entry
	// claimants returns the number of sidecars that share the stream.
	claimants func() int
	// unreachable is true if the last call to the log failed.
	unreachable atomic.Bool

	mu      sync.Mutex
	ledger  *claimer.Ledger
	synced  bool
	updated chan struct{}
	// abandoned holds this sidecar's attempts that were answered as not run before
	// their claim was read back, by attempt ID. A claim that appears later is
	// released.
	abandoned map[string]time.Time
}

func newClaims(cfg claimer.Config, service string, log provider.Log, l *zap.Logger) *claims {
	return &claims{
		stream:    provider.ClaimsStream(service),
		window:    cfg.Window,
		log:       log,
		logger:    l,
		queue:     make(chan claimer.Entry, claimQueueLength),
		claimants: func() int { return 1 },
		ledger:    claimer.New(cfg),
		updated:   make(chan struct{}),
		abandoned: map[string]time.Time{},
	}
}

// run appends queued entries and follows the stream until ctx ends.
func (c *claims) run(ctx context.Context) {
	go c.appendBatches(ctx)
	from := func() uint64 {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.ledger.Next()
	}
	synchronizer.Tail(ctx, &reachabilityLog{Log: c.log, unreachable: &c.unreachable}, c.stream, c.logger, from, c.apply)
}

// reachabilityLog records whether the last read succeeded.
type reachabilityLog struct {
	provider.Log
	unreachable *atomic.Bool
}

// Read implements provider.Log.
func (l *reachabilityLog) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (provider.Page, error) {
	p, err := l.Log.Read(ctx, stream, from, limit, wait)
	l.unreachable.Store(err != nil)
	return p, err
}

// apply adds a page of the stream to the ledger and wakes the waiting attempts.
func (c *claims) apply(page provider.Page) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.Apply(now, page)
	c.synced = c.synced || c.ledger.Next() >= page.Next
	for _, r := range page.Records {
		c.releaseAbandoned(now, r.Data)
	}
	close(c.updated)
	c.updated = make(chan struct{})
}

// releaseAbandoned releases a late claim of an attempt that was answered as not run.
// The caller must hold mu.
func (c *claims) releaseAbandoned(now time.Time, data json.RawMessage) {
	if len(c.abandoned) == 0 {
		return
	}
	var e claimer.Entry
	if json.Unmarshal(data, &e) != nil || e.Kind != claimer.KindClaim {
		return
	}
	if _, ok := c.abandoned[e.AttemptID]; ok {
		e.Kind = claimer.KindRelease
		c.enqueue(e)
	}
	for id, at := range c.abandoned {
		if now.Sub(at) > c.window {
			delete(c.abandoned, id)
		}
	}
}

// enqueue queues an entry for the next append, and reports false if the queue is
// full.
func (c *claims) enqueue(e claimer.Entry) bool {
	select {
	case c.queue <- e:
		return true
	default:
		return false
	}
}

// appendBatches appends the queued entries. A batch whose response is lost is
// appended again, which is safe because a duplicate entry has no effect. The
// interval between appends grows with the number of claimants, so that all of them
// together stay within claimAppendsPerSecond; after an idle period the first append
// waits for claimBatchWindow only.
func (c *claims) appendBatches(ctx context.Context) {
	var last time.Time
	for {
		batch, ok := c.collectBatch(ctx, last)
		if !ok {
			return
		}
		last = time.Now()
		for ctx.Err() == nil {
			_, err := c.log.Append(ctx, c.stream, batch...)
			c.unreachable.Store(err != nil)
			if err == nil {
				break
			}
			sleeper.Sleep(ctx, appendRetryWait)
		}
	}
}

// collectBatch waits for an entry and then collects further ones until the next
// append is due or the batch is full. last is the time of the previous append.
func (c *claims) collectBatch(ctx context.Context, last time.Time) (batch []json.RawMessage, ok bool) {
	add := func(e claimer.Entry) {
		if data, err := e.Encode(); err == nil {
			batch = append(batch, data)
		}
	}
	select {
	case <-ctx.Done():
		return nil, false
	case e := <-c.queue:
		add(e)
	}
	interval := time.Second * time.Duration(c.claimants()) / claimAppendsPerSecond
	timer := time.NewTimer(max(interval-time.Since(last), claimBatchWindow))
	defer timer.Stop()
	for len(batch) < maxClaimBatch {
		select {
		case <-ctx.Done():
			return nil, false
		case e := <-c.queue:
			add(e)
		case <-timer.C:
			return batch, true
		}
	}
	return batch, true
}

// claim returns the claim in force on the entry's key, which is the entry's own if
// it won. After an error the attempt must not run, and its claim is released if it
// appears later.
func (c *claims) claim(ctx context.Context, e claimer.Entry, issuedAt time.Time) (current claimer.Claim, err error) {
	c.mu.Lock()
	if !c.synced {
		c.mu.Unlock()
		return claimer.Claim{}, errLogNotRead
	}
	if err = c.ledger.CheckAge(time.Now(), issuedAt); err != nil {
		c.mu.Unlock()
		return claimer.Claim{}, err
	}
	current, ok := c.ledger.ActiveClaim(e.Key)
	c.mu.Unlock()
	if ok {
		return current, nil
	}
	if !c.enqueue(e) {
		return claimer.Claim{}, errClaimQueueFull
	}
	if current, err = c.waitForClaim(ctx, e.Key); err != nil {
		c.abandon(e)
		return claimer.Claim{}, err
	}
	return current, nil
}

// waitForClaim waits until a claim on the key is in force, and returns it.
func (c *claims) waitForClaim(ctx context.Context, k claimer.Key) (claimer.Claim, error) {
	for {
		c.mu.Lock()
		current, ok := c.ledger.ActiveClaim(k)
		updated := c.updated
		c.mu.Unlock()
		if ok {
			return current, nil
		}
		select {
		case <-ctx.Done():
			return claimer.Claim{}, eris.Wrap(ctx.Err(), "wait for claim to be read back from the log")
		case <-updated:
		}
	}
}

// abandon releases the claim of an attempt that is not run, also if the claim is
// read back only later.
func (c *claims) abandon(e claimer.Entry) {
	c.mu.Lock()
	c.abandoned[e.AttemptID] = time.Now()
	c.mu.Unlock()
	e.Kind = claimer.KindRelease
	c.enqueue(e)
}

// release releases the claim of an attempt that was certainly not run, and waits
// until the release is in force or ctx ends.
func (c *claims) release(ctx context.Context, e claimer.Entry) {
	c.abandon(e)
	logger.Log(c.logger, logger.ClaimReleased, zap.String("attempt_id", e.AttemptID), zap.String("request_id", e.RequestID))
	for {
		c.mu.Lock()
		current, ok := c.ledger.ActiveClaim(e.Key)
		updated := c.updated
		c.mu.Unlock()
		if !ok || current.Entry.AttemptID != e.AttemptID {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-updated:
		}
	}
}

// recordAnswered records in the log that an attempt ran to its end.
func (c *claims) recordAnswered(e claimer.Entry) {
	e.Kind = claimer.KindAnswered
	c.enqueue(e)
}
