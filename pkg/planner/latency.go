package planner

import "time"

const (
	// latencyMost is the mean latency above which fewer chunks are asked for at a
	// time: they queue before live requests on a choked link.
	latencyMost = 300 * time.Millisecond
	// latencyShare is the share of a new chunk in the mean.
	latencyShare = 0.25
	// chokedPeer times the mean latency shows that a peer's link is choked.
	chokedPeer = 3
)

// noteLatency learns how long chunks take. A peer that takes much longer than the
// others is left alone for a while.
func (p *Planner) noteLatency(now time.Time, pr *peer, f Fetch) {
	fs := p.flights[f.Index]
	for k := range fs.n {
		if fs.all[k].source != f.Peer {
			continue
		}
		taken := now.Sub(fs.all[k].since)
		if p.latency > 0 && taken > latencyMost && taken > chokedPeer*p.latency {
			pr.slowTill = now.Add(slowPenalty)
			// One peer counts little; when all are slow, the own link is choked.
			taken = chokedPeer * p.latency
		}
		p.latency += time.Duration(latencyShare * float64(taken-p.latency))
	}
}

// window is how many chunks may be outstanding now.
func (p *Planner) window() int {
	if p.latency <= latencyMost {
		return p.cfg.TotalWindow
	}
	return max(int(float64(p.cfg.TotalWindow)*float64(latencyMost)/float64(p.latency)), 1)
}
