package gatewayserver

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"flamingoledge.org/flamingoledge/internal/messenger"
	"flamingoledge.org/flamingoledge/pkg/quarantiner"
)

// crashLedger records the requests during which endpoints crashed. Entries
// exchange its records in their presence messages. It is safe for concurrent use.
type crashLedger struct {
	clock func() time.Time

	mu     sync.Mutex
	ledger *quarantiner.CrashLedger
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

// RecordCrash implements forwarder.CrashRegistry.
func (c *crashLedger) RecordCrash(fingerprint uint64, endpoint string) {
	c.add(quarantiner.Crash{Fingerprint: fingerprint, EndpointHash: xxhash.Sum64String(endpoint), At: c.clock()})
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
