package planner

import "time"

const (
	// latencyMost is the mean latency above which fewer chunks are asked for at a
	// time: they queue before live requests on a choked link.
	latencyLimit = 300 * time.Millisecond
	// latencyShare is the share of a new chunk in the mean.
	latencyWeight = 0.25
	// chokedPeer times the mean latency shows that a peer's link is choked.
	slowPeerFactor = 3
)

// noteLatency learns how long chunks take. A peer that takes much longer than the
// others is left alone for a while.
func (p *Planner) recordLatency(now time.Time, pr *peer, f Fetch) {
	fs := p.activeFetches[f.Index]
	for k := range fs.n {
		if fs.all[k].source != f.Peer {
			continue
		}
		elapsed := now.Sub(fs.all[k].since)
		if p.meanLatency > 0 && elapsed > latencyLimit && elapsed > slowPeerFactor*p.meanLatency {
			pr.slowUntil = now.Add(slowPenalty)
			// One peer counts little; when all are slow, the own link is choked.
			elapsed = slowPeerFactor * p.meanLatency
		}
		p.meanLatency += time.Duration(latencyWeight * float64(elapsed-p.meanLatency))
	}
}

// window is how many chunks may be outstanding now.
func (p *Planner) maxOutstanding() int {
	if p.meanLatency <= latencyLimit {
		return p.cfg.TotalWindow
	}
	return max(int(float64(p.cfg.TotalWindow)*float64(latencyLimit)/float64(p.meanLatency)), 1)
}
