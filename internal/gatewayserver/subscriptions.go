package gatewayserver

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"flamingoledge.org/flamingoledge/internal/messenger"
	"flamingoledge.org/flamingoledge/internal/sleeper"
	"flamingoledge.org/flamingoledge/pkg/balancer"
	"flamingoledge.org/flamingoledge/pkg/subscriber"
)

const (
	// homeReportInterval is the time between two reports of a changing load for an
	// endpoint with its home here: one poll of its sidecar.
	homeReportInterval = 60 * time.Millisecond
	// maxOtherReported bounds the other endpoints whose load is reported to this entry,
	// and otherReportsPerSecond the reports of all of them together.
	maxOtherReported      = 64
	otherReportsPerSecond = 320
	// subscriptionRenewal is the time between renewals of subscriptions. Sidecars
	// retain a subscription for several of them, and a sidecar that has restarted
	// gets it again with the next one.
	subscriptionRenewal = 800 * time.Millisecond
)

// subscriptions holds the reports that an entry requests, as the shortest time between
// two reports by the address of the sidecar. Only applyEndpoints replaces them.
type subscriptions struct {
	intervals atomic.Pointer[map[netip.AddrPort]time.Duration]
}

// selectReported selects the endpoints of a service whose load is to be reported to this
// entry, and marks the others in es.
func (s *Server) selectReported(es []balancer.Endpoint) map[netip.AddrPort]time.Duration {
	candidates := make([]subscriber.Endpoint, len(es))
	for i, e := range es {
		candidates[i] = subscriber.Endpoint{ID: e.ID, Region: e.Region, IsHome: e.Home == balancer.HomeLocal}
	}
	selected := subscriber.Select(subscriber.Config{
		Self: s.self, Region: s.cfg.Settings.Instance.Region,
		HomeInterval: homeReportInterval, MaxOthers: maxOtherReported, OthersPerSecond: otherReportsPerSecond,
	}, candidates)
	intervals := map[netip.AddrPort]time.Duration{}
	for i, e := range es {
		interval, ok := selected[e.ID]
		es[i].Unreported = !ok
		if ap, err := netip.ParseAddrPort(e.Address); ok && err == nil {
			intervals[s.nodeAddress(ap.Addr())] = interval
		}
	}
	return intervals
}

// subscribe replaces the subscriptions. It sends those that are new or more frequent at
// once.
func (s *Server) subscribe(intervals map[netip.AddrPort]time.Duration) {
	before := s.subscriptions.intervals.Swap(&intervals)
	for address, interval := range intervals {
		if before != nil {
			if old, ok := (*before)[address]; ok && old <= interval {
				continue
			}
		}
		s.sendSubscription(address, interval)
	}
}

// renewSubscriptions renews the subscriptions until ctx ends.
func (s *Server) renewSubscriptions(ctx context.Context) {
	for sleeper.Sleep(ctx, s.jitter(2*subscriptionRenewal)*2/3) {
		intervals := s.subscriptions.intervals.Load()
		if intervals == nil {
			continue
		}
		for address, interval := range *intervals {
			s.sendSubscription(address, interval)
		}
	}
}

func (s *Server) sendSubscription(to netip.AddrPort, interval time.Duration) {
	d := &messenger.Datagram{Subscription: &messenger.Subscription{IntervalMs: uint32(interval.Milliseconds())}}
	if err := s.socket.Send(to, d); err != nil {
		s.cfg.Metrics.Add("subscriptions_unsent", 1)
	}
}
