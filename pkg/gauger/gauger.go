// Package gauger measures how long bytes queue on the link to an instance.
//
// The load that determines the design is a link that narrows while chunks of weights are
// on it: a request that is sent then arrives a second or more later, and its sender learns
// so from the request itself only, that is, too late. The chunks queue in the same way. A
// chunk is also late if its sender is slow, but those of different senders that arrive in
// a row have only the receiver's link in common.
package gauger

import (
	"slices"
	"time"
)

const (
	// rowLength is the number of chunks in a row of which the shortest latency is a
	// delay of the link. They must come from two senders or more.
	rowLength = 3
	// rowDuration is how far apart they may arrive.
	rowDuration = 3 * time.Second
	// delayMemory is how long a delay counts. The queue grows and shrinks with each
	// chunk that is requested.
	delayMemory = 2500 * time.Millisecond
	// minDelay is the delay below which a link does not count as congested. It takes
	// less to serve a few chunks one after the other without a queue.
	minDelay = 250 * time.Millisecond
	// MaxDelay is the longest delay that is reported. The bounds that depend on it are
	// a few seconds long.
	MaxDelay = 5 * time.Second
)

// Gauge measures the delay of one link. It is not safe for concurrent use.
type Gauge struct {
	// row holds the latest chunks and delays the recent delays, both oldest first.
	row    []sample
	delays []sample
}

// sample is the latency of a chunk, or a delay.
type sample struct {
	at       time.Time
	sender   string
	duration time.Duration
}

// New returns a gauge without samples.
func New() *Gauge { return &Gauge{} }

// Record records how long after its request a chunk arrived from a sender.
func (g *Gauge) Record(now time.Time, sender string, latency time.Duration) {
	if len(g.row) == rowLength {
		g.row = slices.Delete(g.row, 0, 1)
	}
	g.row = append(g.row, sample{now, sender, latency})
	if d := g.rowDelay(now); d >= minDelay {
		g.prune(now)
		g.delays = append(g.delays, sample{at: now, duration: min(d, MaxDelay)})
	}
}

// Delay returns how long what is sent to the instance may queue; 0 if its link is not
// congested or too few chunks arrived lately.
func (g *Gauge) Delay(now time.Time) (longest time.Duration) {
	g.prune(now)
	for _, s := range g.delays {
		longest = max(longest, s.duration)
	}
	return longest
}

// rowDelay returns the shortest latency of the row; 0 if the row is not complete or may be
// late because of its sender.
func (g *Gauge) rowDelay(now time.Time) time.Duration {
	first := g.row[0]
	if len(g.row) < rowLength || now.Sub(first.at) >= rowDuration {
		return 0
	}
	if !slices.ContainsFunc(g.row, func(s sample) bool { return s.sender != first.sender }) {
		return 0
	}
	shortest := first.duration
	for _, s := range g.row {
		shortest = min(shortest, s.duration)
	}
	return shortest
}

// prune drops the delays that no longer count.
func (g *Gauge) prune(now time.Time) {
	g.delays = slices.DeleteFunc(g.delays, func(s sample) bool { return now.Sub(s.at) >= delayMemory })
}
