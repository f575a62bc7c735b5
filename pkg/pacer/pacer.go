// Package pacer keeps transfers within a share of a link, so that live requests
// find no queue before it. While requests run the share is smaller.
package pacer

import (
	"sync"
	"time"
)

// Config configures a Pacer.
type Config struct {
	// BytesPerSecond is the link's rate; 0 means that it is not known and
	// nothing is paced.
	BytesPerSecond float64
	// BusyShare is the share for transfers while requests run.
	BusyShare float64
	// IdleShare is the share for transfers otherwise.
	IdleShare float64
	// BusyDuration is how long after the last request the link counts as busy.
	BusyDuration time.Duration
}

// Pacer paces the transfers over one link. Pieces follow each other without a
// burst, each as long after the one before as that takes on its share of the
// link. It is safe for concurrent use.
type Pacer struct {
	cfg Config

	mu        sync.Mutex
	busyUntil time.Time
	// free is when the share is free for the next piece.
	nextFree time.Time
}

// New returns a pacer of an idle link.
func New(cfg Config) *Pacer { return &Pacer{cfg: cfg} }

// RecordRequest records that a live request is in progress.
func (p *Pacer) RecordRequest(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busyUntil = now.Add(p.cfg.BusyDuration)
}

// Reserve takes n bytes and returns how long to wait before they are sent. A nil
// Pacer does not pace.
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

// share is the transfers' share of the link; the caller holds mu.
func (p *Pacer) transferShare(now time.Time) float64 {
	if now.Before(p.busyUntil) {
		return p.cfg.BusyShare
	}
	return p.cfg.IdleShare
}
