// Package pacer limits transfers to a share of a link's bandwidth, so that requests
// are not queued behind them. The share is smaller while requests are in progress.
package pacer

import (
	"sync"
	"time"
)

// Config configures a Pacer.
type Config struct {
	// BytesPerSecond is the bandwidth of the link. 0 means unknown and disables
	// pacing.
	BytesPerSecond float64
	// BusyShare is the share for transfers while the link is busy with requests.
	BusyShare float64
	// IdleShare is the share for transfers otherwise.
	IdleShare float64
	// BusyDuration is how long after a request the link counts as busy.
	BusyDuration time.Duration
}

// Pacer paces the transfers over one link. It allows no bursts: the next piece may be
// sent when the previous one has been transferred at the allowed share of the
// bandwidth. It is safe for concurrent use.
type Pacer struct {
	cfg Config

	mu        sync.Mutex
	busyUntil time.Time
	// nextFree is the earliest time at which the next piece may be sent.
	nextFree time.Time
}

// New returns a pacer for an idle link.
func New(cfg Config) *Pacer { return &Pacer{cfg: cfg} }

// RecordRequest records that a request is in progress and marks the link as busy.
func (p *Pacer) RecordRequest(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busyUntil = now.Add(p.cfg.BusyDuration)
}

// Reserve reserves bandwidth for n bytes and returns how long to wait before sending
// them. A nil Pacer never waits.
func (p *Pacer) Reserve(now time.Time, n int) time.Duration {
	if p == nil || p.cfg.BytesPerSecond <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	start := now
	if p.nextFree.After(now) {
		start = p.nextFree
	}
	seconds := float64(n) / (p.cfg.BytesPerSecond * p.transferShare(now))
	p.nextFree = start.Add(time.Duration(seconds * float64(time.Second)))
	return start.Sub(now)
}

// transferShare returns the share of the bandwidth for transfers. The caller must hold
// mu.
func (p *Pacer) transferShare(now time.Time) float64 {
	if now.Before(p.busyUntil) {
		return p.cfg.BusyShare
	}
	return p.cfg.IdleShare
}
