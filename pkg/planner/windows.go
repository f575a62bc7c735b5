package planner

// manySources is the number of sources from which on one outstanding chunk at each keeps the links
// busy. Further ones would only queue, and the first copies of new chunks behind them, for which
// whole regions wait.
const manySources = 4

// originWindow returns how many chunks may be outstanding at the origin. Readers that know few
// others yet also read fewer chunks twice if they commit to fewer at a time.
func (p *Planner) originWindow() int {
	if p.cfg.OriginReaders > 0 && len(p.originReaders(p.cfg.OriginRegion)) >= manySources {
		return min(p.cfg.OriginWindow, 1)
	}
	return p.cfg.OriginWindow
}

// localWindow returns how many chunks may be outstanding at a peer of the region.
func (p *Planner) localWindow() int {
	connected := 0
	for _, n := range p.neighbors {
		if p.peers[n.Instance] != nil {
			connected++
		}
	}
	if connected >= manySources {
		return min(p.cfg.PeerWindow, 1)
	}
	return p.cfg.PeerWindow
}
