package gatewayserver

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"flamingoledge.org/flamingoledge/internal/messenger"
	"flamingoledge.org/flamingoledge/internal/notifier"
	"flamingoledge.org/flamingoledge/pkg/quarantiner"
)

// crashLedger records the requests during which endpoints crashed. Entries
// exchange its records in their presence messages. It is safe for concurrent use.
type crashLedger struct {
	clock func() time.Time

	mu     sync.Mutex
	ledger *quarantiner.CrashLedger
	// probeEnded wakes the calls of AwaitProbes.
	probeEnded notifier.Notifier
}

func newCrashLedger(clock func() time.Time) *crashLedger {
	return &crashLedger{clock: clock, ledger: quarantiner.NewCrashLedger()}
}

// IsConvicted implements forwarder.CrashRegistry.
func (c *crashLedger) IsConvicted(fingerprint uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.IsConvicted(c.clock(), fingerprint)
}

// AwaitProbes implements forwarder.CrashRegistry.
func (c *crashLedger) AwaitProbes(ctx context.Context, fingerprint uint64) error {
	for {
		probeEnded := c.probeEnded.Wait()
		if !c.isUndecided(fingerprint) {
			return nil
		}
		select {
		case <-probeEnded:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (c *crashLedger) isUndecided(fingerprint uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.IsUndecided(c.clock(), fingerprint)
}

// StartProbe implements forwarder.CrashRegistry.
func (c *crashLedger) StartProbe(fingerprint uint64, endpoint string) (end func(crashed bool)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.StartProbe(fingerprint)
	return func(crashed bool) {
		if crashed {
			c.add(quarantiner.Crash{Fingerprint: fingerprint, EndpointHash: xxhash.Sum64String(endpoint), At: c.clock()})
		}
		c.mu.Lock()
		c.ledger.EndProbe(fingerprint)
		c.mu.Unlock()
		c.probeEnded.Notify()
	}
}

// add adds a crash under the lock.
func (c *crashLedger) add(crash quarantiner.Crash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.Add(crash)
}

// recent returns the crashes to send to the other entries.
func (c *crashLedger) recent() (out []*messenger.Crash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	for _, crash := range c.ledger.Recent(now) {
		out = append(out, &messenger.Crash{
			Fingerprint: crash.Fingerprint, EndpointDigest: crash.EndpointHash, AgeMs: uint32(now.Sub(crash.At).Milliseconds()),
		})
	}
	return out
}

// merge adds the crashes that another entry sent.
func (c *crashLedger) merge(received []*messenger.Crash) {
	now := c.clock()
	for _, crash := range received {
		c.add(quarantiner.Crash{Fingerprint: crash.GetFingerprint(), EndpointHash: crash.GetEndpointDigest(), At: now.Add(-age(crash.GetAgeMs()))})
	}
}
