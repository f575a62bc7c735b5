package sidecarserver

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/keeper"
	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/internal/pauser"
	"flamingoledge.org/flamingoledge/pkg/claimer"
	"flamingoledge.org/flamingoledge/pkg/provider"
)

const (
	// claimBatchWindow is how long entries are gathered for one append at least.
	claimBatchWindow = 2 * time.Millisecond
	// claimAppendsPerSecond is what all sidecars of a service together append.
	claimAppendsPerSecond = 200
	// maxClaimBatch bounds the entries of one append.
	maxClaimBatch = 256
	// claimQueue bounds the entries that wait to be appended.
	claimQueue = 4096
	// claimRetryWait is the pause after a failed append.
	claimRetryWait = 50 * time.Millisecond
)

var (
	errClaimQueueFull = eris.New("too many claims wait for the log")
	errLogNotRead     = eris.New("the claims stream has not been read yet")
)

// claims follows the claims stream and appends to it in batches.
type claims struct {
	stream string
	window time.Duration
	log    provider.Log
	logger *zap.Logger
	queue  chan claimer.Entry
	// claimants returns how many sidecars share the stream.
	claimants func() int
	// down is true while the log does not answer.
	down atomic.Bool

	mu     sync.Mutex
	ledger *claimer.Ledger
	synced bool
	grown  chan struct{}
	// abandoned are own attempts that were told not run before their claim was
	// seen. If it shows up after all, it is released.
	abandoned map[string]time.Time
}

func newClaims(cfg claimer.Config, service string, log provider.Log, l *zap.Logger) *claims {
	return &claims{
		stream:    provider.ClaimsStream(service),
		window:    cfg.Window,
		log:       log,
		logger:    l,
		queue:     make(chan claimer.Entry, claimQueue),
		claimants: func() int { return 1 },
		ledger:    claimer.New(cfg),
		grown:     make(chan struct{}),
		abandoned: map[string]time.Time{},
	}
}

// run follows the stream until ctx ends.
func (c *claims) run(ctx context.Context) {
	go c.appendBatches(ctx)
	from := func() uint64 {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.ledger.Next()
	}
	keeper.Tail(ctx, &watchedLog{Log: c.log, down: &c.down}, c.stream, c.logger, from, c.apply)
}

// watchedLog notes whether reads succeed.
type watchedLog struct {
	provider.Log
	down *atomic.Bool
}

// Read implements provider.Log.
func (w *watchedLog) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (provider.Page, error) {
	p, err := w.Log.Read(ctx, stream, from, limit, wait)
	w.down.Store(err != nil)
	return p, err
}

func (c *claims) apply(page provider.Page) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.Apply(now, page)
	c.synced = c.synced || c.ledger.Next() >= page.Next
	for _, r := range page.Records {
		c.releaseAbandoned(now, r.Data)
	}
	close(c.grown)
	c.grown = make(chan struct{})
}

// releaseAbandoned releases a late claim of an attempt that was told not run;
// the caller holds mu.
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

func (c *claims) enqueue(e claimer.Entry) bool {
	select {
	case c.queue <- e:
		return true
	default:
		return false
	}
}

// appendBatches appends what is queued. A batch whose answer is lost is appended
// again: a second copy of an entry changes nothing. Appends keep a distance that
// grows with the claimants, so that all together stay within their share of the
// log; the first one after a pause goes at once.
func (c *claims) appendBatches(ctx context.Context) {
	var last time.Time
	for {
		batch, ok := c.gather(ctx, last)
		if !ok {
			return
		}
		last = time.Now()
		for ctx.Err() == nil {
			_, err := c.log.Append(ctx, c.stream, batch...)
			c.down.Store(err != nil)
			if err == nil {
				break
			}
			pauser.Pause(ctx, claimRetryWait)
		}
	}
}

// gather waits for an entry and then for others that come until the next append
// is due, last being the time of the one before.
func (c *claims) gather(ctx context.Context, last time.Time) (batch []json.RawMessage, ok bool) {
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
	distance := time.Second * time.Duration(c.claimants()) / claimAppendsPerSecond
	timer := time.NewTimer(max(distance-time.Since(last), claimBatchWindow))
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

// claim returns the claim that stands on the entry's key: the entry's own if it
// won. An error means that none could be shown; the attempt must not run then,
// and its claim is released should it appear later.
func (c *claims) claim(ctx context.Context, e claimer.Entry, issuedAt time.Time) (standing claimer.Claim, err error) {
	c.mu.Lock()
	if !c.synced {
		c.mu.Unlock()
		return claimer.Claim{}, errLogNotRead
	}
	if err = c.ledger.CheckAge(time.Now(), issuedAt); err != nil {
		c.mu.Unlock()
		return claimer.Claim{}, err
	}
	standing, ok := c.ledger.ActiveClaim(e.Key)
	c.mu.Unlock()
	if ok {
		return standing, nil
	}
	if !c.enqueue(e) {
		return claimer.Claim{}, errClaimQueueFull
	}
	if standing, err = c.await(ctx, e.Key); err != nil {
		c.abandon(e)
		return claimer.Claim{}, err
	}
	return standing, nil
}

// await waits until a claim stands on the key.
func (c *claims) await(ctx context.Context, k claimer.Key) (claimer.Claim, error) {
	for {
		c.mu.Lock()
		standing, ok := c.ledger.ActiveClaim(k)
		grown := c.grown
		c.mu.Unlock()
		if ok {
			return standing, nil
		}
		select {
		case <-ctx.Done():
			return claimer.Claim{}, eris.Wrap(ctx.Err(), "claim not read back")
		case <-grown:
		}
	}
}

func (c *claims) abandon(e claimer.Entry) {
	c.mu.Lock()
	c.abandoned[e.AttemptID] = time.Now()
	c.mu.Unlock()
	e.Kind = claimer.KindRelease
	c.enqueue(e)
}

// release gives back the claim of an attempt that was certainly not run, and
// waits until that is in force or ctx ends.
func (c *claims) release(ctx context.Context, e claimer.Entry) {
	c.abandon(e)
	logger.Log(c.logger, logger.ClaimReleased, zap.String("attempt_id", e.AttemptID), zap.String("request_id", e.RequestID))
	for {
		c.mu.Lock()
		standing, ok := c.ledger.ActiveClaim(e.Key)
		grown := c.grown
		c.mu.Unlock()
		if !ok || standing.Entry.AttemptID != e.AttemptID {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-grown:
		}
	}
}

// answered records that an attempt ran and was answered.
func (c *claims) answered(e claimer.Entry) {
	e.Kind = claimer.KindAnswered
	c.enqueue(e)
}
