package gatewayserver

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/internal/messenger"
	"flamingoledge.org/flamingoledge/internal/notifier"
	"flamingoledge.org/flamingoledge/pkg/quarantiner"
)

// crashLedger records what crashes endpoints, and logs it. It is safe for concurrent use.
type crashLedger struct {
	clock  func() time.Time
	logger *zap.Logger
	// rank returns the rank of this entry for the trials of a key.
	rank func(quarantiner.Key) quarantiner.Rank

	mu     sync.Mutex
	ledger *quarantiner.CrashLedger
	// convicted are the convicted keys that were logged last.
	convicted []quarantiner.Key
	pace      quarantiner.Pace
	// probeEnded wakes the calls of AwaitProbes.
	probeEnded notifier.Notifier
	// changed holds an element while other entries may lack evidence of this one.
	changed chan struct{}
	// informed is closed once this process has the evidence of another entry, or has
	// waited for it long enough.
	informed     chan struct{}
	informedOnce sync.Once
}

// newCrashLedger returns an empty ledger. rank returns the rank of this entry for the trials
// of a key.
func newCrashLedger(clock func() time.Time, l *zap.Logger, rank func(quarantiner.Key) quarantiner.Rank) *crashLedger {
	return &crashLedger{
		clock: clock, logger: l, rank: rank, ledger: quarantiner.NewCrashLedger(),
		changed: make(chan struct{}, 1), informed: make(chan struct{}),
	}
}

// Judge implements forwarder.CrashRegistry.
func (c *crashLedger) Judge(keys []quarantiner.Key) quarantiner.Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	v := c.ledger.Judge(now, keys, c.rank)
	if v.Trial {
		c.ledger.StartTrial(now, v.Key)
	}
	return v
}

// Convicted returns the convicted keys. It starts no trial.
func (c *crashLedger) Convicted() []quarantiner.Key {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Convicted()
}

// MayRepeat implements forwarder.CrashRegistry.
func (c *crashLedger) MayRepeat(keys []quarantiner.Key) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.MayRepeat(c.clock(), keys)
}

// AwaitProbes implements forwarder.CrashRegistry.
func (c *crashLedger) AwaitProbes(ctx context.Context, keys []quarantiner.Key) error {
	select {
	case <-c.informed:
	case <-ctx.Done():
		return ctx.Err()
	}
	for {
		probeEnded := c.probeEnded.Wait()
		if !c.isUndecided(keys) {
			return nil
		}
		select {
		case <-probeEnded:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (c *crashLedger) isUndecided(keys []quarantiner.Key) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.IsUndecided(c.clock(), keys)
}

// StartProbe implements forwarder.CrashRegistry.
func (c *crashLedger) StartProbe(endpoint string, keys []quarantiner.Key) (end func(suspects []quarantiner.Key)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.StartProbe(keys)
	return func(suspects []quarantiner.Key) {
		c.mu.Lock()
		if len(suspects) > 0 {
			c.addCrash(endpoint, suspects)
		}
		c.ledger.EndProbe(keys)
		c.mu.Unlock()
		c.probeEnded.Notify()
	}
}

// addCrash records a crash that was observed here. The caller holds mu.
func (c *crashLedger) addCrash(endpoint string, suspects []quarantiner.Key) {
	now := c.clock()
	crash := quarantiner.Crash{ID: rand.Uint64(), EndpointHash: xxhash.Sum64String(endpoint), At: now, Suspects: suspects}
	if !c.ledger.AddCrash(now, crash) {
		return
	}
	logger.Log(c.logger, logger.CrashRecorded, zap.String("endpoint", endpoint), zap.Uint64s("suspects", toNumbers(suspects)))
	c.recordChange()
}

// RecordSoundRun implements forwarder.CrashRegistry.
func (c *crashLedger) RecordSoundRun(keys []quarantiner.Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	cleared := false
	for _, k := range keys {
		cleared = c.ledger.AddSoundRun(quarantiner.SoundRun{Key: k, At: now}) || cleared
	}
	if cleared {
		c.recordChange()
	}
}

// recordChange logs the convicted keys if they have changed, and marks the evidence as to
// be shared. The caller holds mu.
func (c *crashLedger) recordChange() {
	if convicted := c.ledger.Convicted(); !slices.Equal(convicted, c.convicted) {
		c.convicted = convicted
		logger.Log(c.logger, logger.ConvictionsChanged, zap.Uint64s("convicted", toNumbers(convicted)))
	}
	c.markChanged()
}

func (c *crashLedger) markChanged() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// toNumbers converts keys for the log and for messages.
func toNumbers(keys []quarantiner.Key) (numbers []uint64) {
	for _, k := range keys {
		numbers = append(numbers, uint64(k))
	}
	return numbers
}

// toKeys converts the keys in messages.
func toKeys(numbers []uint64) (keys []quarantiner.Key) {
	for _, n := range numbers {
		keys = append(keys, quarantiner.Key(n))
	}
	return keys
}

// digest returns a hash of the evidence, 0 if there is none.
func (c *crashLedger) digest() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Digest(c.clock())
}

// reply returns as much of the evidence as may be sent to an entry that has other evidence.
func (c *crashLedger) reply() *messenger.CrashEvidence {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	return encodeEvidence(now, c.ledger.Evidence(now, c.pace.ReplyBytes(now)))
}

// takeChanges returns what is new for a number of other entries.
func (c *crashLedger) takeChanges(receivers int) *messenger.CrashEvidence {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	e, more := c.ledger.TakeChanges(now, c.pace.MessageBytes(now, receivers))
	if more {
		c.markChanged()
	}
	return encodeEvidence(now, e)
}

// recordChanges records that changes were sent. It returns the pause until more may be sent.
func (c *crashLedger) recordChanges(msg *messenger.CrashEvidence, receivers int) (pause time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	c.pace.RecordChanges(now, receivers*proto.Size(msg))
	return c.pace.Pause(now)
}

// recordReply records that evidence was sent to an entry that has other evidence.
func (c *crashLedger) recordReply(msg *messenger.CrashEvidence) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pace.RecordReply(c.clock(), proto.Size(msg))
}

// mayReply reports whether evidence may be sent to an entry that has other evidence.
func (c *crashLedger) mayReply() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pace.MayReply(c.clock())
}

func encodeEvidence(now time.Time, e quarantiner.Evidence) *messenger.CrashEvidence {
	msg := &messenger.CrashEvidence{}
	for _, crash := range e.Crashes {
		msg.Crashes = append(msg.Crashes, &messenger.Crash{
			Id: crash.ID, EndpointDigest: crash.EndpointHash, AgeMs: uint32(now.Sub(crash.At).Milliseconds()),
			Suspects: toNumbers(crash.Suspects), Cleared: toNumbers(crash.Cleared),
		})
	}
	return msg
}

// merge adds the evidence of another entry.
func (c *crashLedger) merge(msg *messenger.CrashEvidence) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	var e quarantiner.Evidence
	for _, crash := range msg.GetCrashes() {
		e.Crashes = append(e.Crashes, quarantiner.Crash{
			ID: crash.GetId(), EndpointHash: crash.GetEndpointDigest(), At: now.Add(-age(crash.GetAgeMs())),
			Suspects: toKeys(crash.GetSuspects()), Cleared: toKeys(crash.GetCleared()),
		})
	}
	if c.ledger.Merge(now, e) {
		c.recordChange()
	}
}

// markInformed records that this process has the evidence of another entry, or has waited
// for it long enough.
func (c *crashLedger) markInformed() { c.informedOnce.Do(func() { close(c.informed) }) }
