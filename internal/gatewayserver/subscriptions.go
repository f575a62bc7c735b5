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
	// minOtherReportsPerSecond lets each of maxOtherReported be reported once a second, which
	// is within the age up to which a report counts.
	minOtherReportsPerSecond = 64
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
// entry, and marks the others in es. Those of an evacuated zone get no requests, so they
// report none.
func (s *Server) selectReported(es []balancer.Endpoint) map[netip.AddrPort]time.Duration {
	candidates := make([]subscriber.Endpoint, 0, len(es))
	homes, homesOfAll := 0, 0
	for _, e := range es {
		if !e.Evacuated {
			candidates = append(candidates, subscriber.Endpoint{ID: e.ID, Region: e.Region, IsHome: e.Home == balancer.HomeLocal})
		}
		if e.Home == balancer.HomeLocal {
			homes++
		}
		if e.Home != balancer.HomeNone {
			homesOfAll++
		}
	}
	others := otherReports(homes, homesOfAll, s.board.View().peers.Len()+1)
	selected := subscriber.Select(subscriber.Config{
		Self: s.self, Region: s.cfg.Settings.Instance.Region,
		HomeInterval: homeReportInterval, MaxOthers: maxOtherReported, OthersPerSecond: others,
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

// otherReports returns the reports per second of endpoints that have no home here. An entry with
// more homes than an even share gets that many fewer of the others, so that its reports are as
// many as with an even share.
func otherReports(homes, homesOfAll, entries int) float64 {
	even := (homesOfAll + entries - 1) / entries
	extra := float64(max(homes-even, 0)) / homeReportInterval.Seconds()
	return max(otherReportsPerSecond-extra, minOtherReportsPerSecond)
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
