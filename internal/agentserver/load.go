package agentserver

import (
	"net/netip"
	"sync"
	"time"

	"flamingoledge.org/flamingoledge/internal/messenger"
	"flamingoledge.org/flamingoledge/internal/stager"
	"flamingoledge.org/flamingoledge/pkg/gauger"
	"flamingoledge.org/flamingoledge/pkg/switcher"
	"flamingoledge.org/flamingoledge/platform"
)

const (
	// subscriptionTimeout is how long a subscription lasts without renewal; it covers
	// several lost ones.
	subscriptionTimeout = 3 * time.Second
	// unchangedReportInterval is the time after which an unchanged load is reported
	// again.
	unchangedReportInterval = 400 * time.Millisecond
	// intervalTolerance is how much too early a report may be sent, because polls are
	// not exactly pollInterval apart.
	intervalTolerance = pollInterval / 2
	// switchTolerance is the change of the time of a switch that is reported at once, a small
	// part of switcher.NoticePeriod, and minSwitchNotice the time before a switch from which
	// on such changes are: entries need the time from NoticePeriod before, and a report may
	// be lost.
	switchTolerance = 50 * time.Millisecond
	minSwitchNotice = switcher.NoticePeriod + 300*time.Millisecond
)

// receiver is an entry that has subscribed to the endpoint's load.
type receiver struct {
	interval  time.Duration
	expiresAt time.Time
	// lastLoad is the load reported last, at lastSentAt.
	lastLoad   *messenger.LoadReport
	lastSentAt time.Time
}

// receivers holds the receivers by address. It is safe for concurrent use.
type receivers struct {
	mu        sync.Mutex
	byAddress map[netip.AddrPort]*receiver
}

// subscribe adds or renews the subscription of an entry.
func (rs *receivers) subscribe(now time.Time, from netip.AddrPort, interval time.Duration) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.byAddress == nil {
		rs.byAddress = map[netip.AddrPort]*receiver{}
	}
	r := rs.byAddress[from]
	if r == nil {
		r = &receiver{}
		rs.byAddress[from] = r
	}
	r.interval, r.expiresAt = interval, now.Add(subscriptionTimeout)
}

// addresses returns the entries with a subscription.
func (rs *receivers) addresses(now time.Time) (addresses []string) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for address, r := range rs.byAddress {
		if now.Before(r.expiresAt) {
			addresses = append(addresses, address.String())
		}
	}
	return addresses
}

// due returns the receivers to which l is to be reported now, and the number of all
// receivers. It records the report.
func (rs *receivers) due(now time.Time, l *messenger.LoadReport) (due []netip.AddrPort, total int) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for address, r := range rs.byAddress {
		if !now.Before(r.expiresAt) {
			delete(rs.byAddress, address)
			continue
		}
		if r.isDue(now, l) {
			r.lastLoad, r.lastSentAt = l, now
			due = append(due, address)
		}
	}
	return due, len(rs.byAddress)
}

// isDue reports whether l is to be reported to r now. A change of what the endpoint
// serves is reported at once, a change of its load after the subscribed interval.
func (r *receiver) isDue(now time.Time, l *messenger.LoadReport) bool {
	elapsed := now.Sub(r.lastSentAt)
	switch {
	case r.lastLoad == nil || !isSameStatus(l, r.lastLoad) || !isSwitchKnown(l, r.lastLoad, elapsed):
		return true
	case !isSameLoad(l, r.lastLoad):
		return elapsed >= r.interval-intervalTolerance
	default:
		return elapsed >= max(r.interval, unchangedReportInterval)
	}
}

// isSameStatus reports whether the endpoint serves the same in a and b.
func isSameStatus(a, b *messenger.LoadReport) bool {
	return a.GetBorn() == b.GetBorn() && a.GetVersion() == b.GetVersion() && a.GetSwitching() == b.GetSwitching()
}

// isSwitchKnown reports whether an entry knows from last, sent elapsed before l, when the
// endpoint is due to switch. It needn't know that as long as the switch is not near.
func isSwitchKnown(l, last *messenger.LoadReport, elapsed time.Duration) bool {
	switchIn, known := time.Duration(l.GetSwitchInMs())*time.Millisecond, time.Duration(last.GetSwitchInMs())*time.Millisecond
	isNear := switchIn > 0 && switchIn <= minSwitchNotice
	wasNear := known > 0 && known-elapsed <= minSwitchNotice
	switch {
	case !isNear && !wasNear:
		return true
	case switchIn == 0 || known == 0:
		return false
	default:
		return (known - elapsed - switchIn).Abs() <= switchTolerance
	}
}

// isSameLoad reports whether the load is the same in a and b. It ignores the use of the
// KV cache.
func isSameLoad(a, b *messenger.LoadReport) bool {
	return a.GetActive() == b.GetActive() && a.GetQueued() == b.GetQueued() && a.GetPace() == b.GetPace()
}

// handleDatagram processes a received subscription.
func (s *Server) handleDatagram(from netip.AddrPort, d *messenger.Datagram) {
	if sub := d.GetSubscription(); sub != nil {
		s.receivers.subscribe(s.cfg.Clock(), from, time.Duration(sub.GetIntervalMs())*time.Millisecond)
	}
}

// recordLatency records how long after its request a chunk arrived from a peer.
func (s *Server) recordLatency(peer string, latency time.Duration) {
	s.linkGauge.record(s.cfg.Clock(), peer, latency)
}

// linkGauge measures the delay of this instance's link. It is safe for concurrent use.
type linkGauge struct {
	mu    sync.Mutex
	gauge *gauger.Gauge
}

// record records the latency of a chunk from a peer.
func (lg *linkGauge) record(now time.Time, peer string, latency time.Duration) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	lg.gauge.Record(now, peer, latency)
}

// delay returns how long what is sent to this instance may queue.
func (lg *linkGauge) delay(now time.Time) time.Duration {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	return lg.gauge.Delay(now)
}

// reportLoad reports the endpoint's load to the receivers to which it is due. Before the
// first plan, the model is not known, and so not which version of it is loaded.
func (s *Server) reportLoad(now time.Time, r platform.Report) {
	if !s.isPlanApplied {
		return
	}
	l := &messenger.LoadReport{
		Endpoint:     s.cfg.Settings.EndpointAddress,
		Born:         uint64(r.Born),
		Active:       uint32(r.Active),
		Queued:       uint32(r.Queued),
		KvUsed:       uint32(r.KVUsed),
		KvTotal:      uint32(r.KVTotal),
		Pace:         float32(r.Pace),
		Version:      stager.LoadedVersion(r, s.model),
		Switching:    s.stager.Switching() || r.Loading,
		StartedNanos: s.startedNanos,
		LinkDelayMs:  uint32(s.linkGauge.delay(now).Milliseconds()),
	}
	if readyIn, missing := s.stager.ReadyIn(now, r); readyIn > 0 {
		l.ReadyInMs, l.MissingChunks = uint32(readyIn.Milliseconds()), uint32(missing)
	}
	l.SwitchInMs = uint32(s.stager.SwitchIn(now).Milliseconds())
	due, total := s.receivers.due(now, l)
	if len(due) == 0 {
		return
	}
	s.sequence++
	l.Sequence, l.Receivers = s.sequence, uint32(total)
	unsent, err := s.socket.SendAll(due, &messenger.Datagram{Load: l})
	if err != nil {
		s.cfg.Metrics.Add("reports_unsent", int64(unsent))
	}
}
