package planner

import "time"

const (
	// latencyLimit is the mean latency above which the number of outstanding
	// chunks is reduced: on a congested link they queue ahead of live requests.
	latencyLimit = 300 * time.Millisecond
	// initialLatency is assumed until chunks arrive, so that a transfer over a slow
	// link does not start with a full window.
	initialLatency = 3 * latencyLimit
	// latencyWeight is the weight of a new sample in the moving average.
	latencyWeight = 0.25
	// slowPeerFactor times the mean latency is the limit above which a peer's
	// link is considered congested.
	slowPeerFactor = 3
)

// recordLatency adds the latency of a fetch to the moving average. A peer that is
// much slower than the others is not used for slowPenalty.
func (p *Planner) recordLatency(now time.Time, pr *peer, f Fetch) {
	fs := p.activeFetches[f.Index]
	for k := range fs.n {
		if fs.all[k].source != f.Peer {
			continue
		}
		elapsed := now.Sub(fs.all[k].since)
		if p.meanLatency > 0 && elapsed > latencyLimit && elapsed > slowPeerFactor*p.meanLatency {
			pr.slowUntil = now.Add(slowPenalty)
			// The sample of one slow peer is capped. The average still grows
			// when all peers are slow, that is, when the local link is congested.
			elapsed = slowPeerFactor * p.meanLatency
		}
		p.meanLatency += time.Duration(latencyWeight * float64(elapsed-p.meanLatency))
	}
}

// maxOutstanding returns the current limit of outstanding chunks.
func (p *Planner) maxOutstanding() int {
	if p.meanLatency <= latencyLimit {
		return p.cfg.TotalWindow
	}
	return max(int(float64(p.cfg.TotalWindow)*float64(latencyLimit)/float64(p.meanLatency)), 1)
}
