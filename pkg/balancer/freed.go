package balancer

import "time"

// FreedPerSecond returns how many slots per second the endpoints free for requests of this
// process while as many of them run as now; 0 if that is not known.
func (b *Balancer) FreedPerSecond() float64 {
	wait := b.expectedWait(0)
	if wait <= 0 {
		return 0
	}
	return 1 / wait.Seconds()
}

// FreeSlots returns how many slots of the endpoints that may run r are free, regardless of
// which process may use them.
func (b *Balancer) FreeSlots(now time.Time, r Request) (free int) {
	for _, m := range b.memberList {
		if m.canRun(r) {
			free += max(int(m.capacity()-m.load(now, b.cfg.Senders)), 0)
		}
	}
	return free
}
