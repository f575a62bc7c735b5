package gatewayserver

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"flamingoledge.org/flamingoledge/internal/messenger"
	"flamingoledge.org/flamingoledge/pkg/quarantiner"
)

// crashes is the ledger of requests under which endpoints broke down, shared with
// the other entries by presence.
type crashes struct {
	clock func() time.Time

	mu     sync.Mutex
	ledger *quarantiner.CrashLedger
}

func newCrashes(clock func() time.Time) *crashes {
	return &crashes{clock: clock, ledger: quarantiner.NewCrashLedger()}
}

// IsConvicted implements forwarder.CrashRegistry.
func (c *crashes) IsConvicted(fingerprint uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.IsConvicted(c.clock(), fingerprint)
}

// RecordCrash implements forwarder.CrashRegistry.
func (c *crashes) RecordCrash(fingerprint uint64, endpoint string) {
	c.add(quarantiner.Crash{Fingerprint: fingerprint, EndpointHash: xxhash.Sum64String(endpoint), At: c.clock()})
}

func (c *crashes) add(crash quarantiner.Crash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.Add(crash)
}

// recent returns the crashes to tell the other entries of.
func (c *crashes) recent() (out []*messenger.Crash) {
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

func (c *crashes) hear(heard []*messenger.Crash) {
	now := c.clock()
	for _, h := range heard {
		c.add(quarantiner.Crash{Fingerprint: h.GetFingerprint(), EndpointHash: h.GetEndpointDigest(), At: now.Add(-age(h.GetAgeMs()))})
	}
}
