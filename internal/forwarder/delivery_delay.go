package forwarder

import (
	"sync"
	"time"

	"flamingoledge.org/flamingoledge/internal/exchanger"
	"flamingoledge.org/flamingoledge/pkg/balancer"
	"flamingoledge.org/flamingoledge/pkg/gauger"
)

const (
	// deliveryMemory is how long a measured delay counts. It has to last from the last
	// request to an endpoint until the version bound: a delay of 2 s keeps requests
	// from it for 4 s, so that nothing is measured meanwhile.
	deliveryMemory = 6 * time.Second
	// deliveryCheckInterval is the time between checks of whether a request has been
	// delivered, and so the resolution of the measured delays.
	deliveryCheckInterval = 25 * time.Millisecond
	// maxReportedDelay bounds the delays that sidecars report. A longer one keeps
	// requests from an endpoint no more.
	maxReportedDelay = gauger.MaxDelay
)

// deliveryDelays knows how long requests take to arrive at endpoints: those of this
// process, and by the reports of the endpoints' sidecars those of all others. A canceled
// request can't be called back from a congested link, so the delay decides until when
// an endpoint with an old version may get requests. A request that is delivered at its
// first check has no delay.
type deliveryDelays struct {
	mu         sync.Mutex
	byEndpoint map[string]*endpointDelay
}

// endpointDelay holds the measurements for one endpoint.
type endpointDelay struct {
	version uint64
	// undelivered holds the delays so far of the requests on their way, by request ID.
	undelivered map[uint64]time.Duration
	// recent are the delays of the latest delivered requests, oldest first.
	recent []deliverySample
	// reported is the delay that the endpoint's sidecar reported last.
	reported deliverySample
}

// deliverySample is the delay of one request, or a reported one.
type deliverySample struct {
	at    time.Time
	delay time.Duration
}

// counts reports whether the sample is recent enough to count.
func (s deliverySample) counts(now time.Time) bool {
	return s.delay > 0 && now.Sub(s.at) < deliveryMemory
}

// recordUndelivered records that a request to an endpoint had not been delivered yet
// after a delay.
func (dd *deliveryDelays) recordUndelivered(e balancer.Endpoint, request uint64, delay time.Duration) {
	dd.mu.Lock()
	defer dd.mu.Unlock()
	dd.get(e).undelivered[request] = delay
}

// report sets the delay that the sidecar of an endpoint reports.
func (dd *deliveryDelays) report(now time.Time, e balancer.Endpoint, delay time.Duration) {
	dd.mu.Lock()
	defer dd.mu.Unlock()
	if delay > 0 || dd.byEndpoint[e.ID] != nil {
		dd.get(e).reported = deliverySample{now, min(delay, maxReportedDelay)}
	}
}

// get returns the measurements for an endpoint with its present version. The caller must
// hold mu.
func (dd *deliveryDelays) get(e balancer.Endpoint) *endpointDelay {
	if dd.byEndpoint == nil {
		dd.byEndpoint = map[string]*endpointDelay{}
	}
	ed := dd.byEndpoint[e.ID]
	if ed == nil {
		ed = &endpointDelay{undelivered: map[uint64]time.Duration{}}
		dd.byEndpoint[e.ID] = ed
	}
	ed.version = e.Version
	return ed
}

// setVersions sets the versions that endpoints have loaded. One that has loaded a
// newer version since its delay was measured may get requests again.
func (dd *deliveryDelays) setVersions(endpoints []balancer.Endpoint) {
	dd.mu.Lock()
	defer dd.mu.Unlock()
	for _, e := range endpoints {
		if ed := dd.byEndpoint[e.ID]; ed != nil {
			ed.version = e.Version
		}
	}
}

// recordDelivery records that a request was delivered, or was canceled. A canceled
// request takes at least as long as it did so far, so both count the same. Further
// calls for a request have no effect.
func (dd *deliveryDelays) recordDelivery(now time.Time, endpoint string, request uint64) {
	dd.mu.Lock()
	defer dd.mu.Unlock()
	ed := dd.byEndpoint[endpoint]
	if ed == nil {
		return
	}
	delay, ok := ed.undelivered[request]
	if !ok {
		return
	}
	delete(ed.undelivered, request)
	ed.prune(now)
	ed.recent = append(ed.recent, deliverySample{now, delay})
}

// delay returns how long a request to an endpoint may take to arrive.
func (dd *deliveryDelays) delay(now time.Time, endpoint string) time.Duration {
	dd.mu.Lock()
	defer dd.mu.Unlock()
	if ed := dd.byEndpoint[endpoint]; ed != nil {
		return ed.delay(now)
	}
	return 0
}

// slowEndpoints returns the endpoints with versions below version whose delay is more
// than limit. It forgets endpoints without recent measurements.
func (dd *deliveryDelays) slowEndpoints(now time.Time, version uint64, limit time.Duration) (ids []string) {
	dd.mu.Lock()
	defer dd.mu.Unlock()
	for id, ed := range dd.byEndpoint {
		if ed.prune(now); len(ed.recent)+len(ed.undelivered) == 0 && !ed.reported.counts(now) {
			delete(dd.byEndpoint, id)
			continue
		}
		if ed.version < version && ed.delay(now) > limit {
			ids = append(ids, id)
		}
	}
	return ids
}

// prune drops the samples that no longer count.
func (ed *endpointDelay) prune(now time.Time) {
	n := 0
	for n < len(ed.recent) && !ed.recent[n].counts(now) {
		n++
	}
	ed.recent = ed.recent[n:]
}

// delay returns the longest recent delay, reported or measured. That of an undelivered request is a lower
// bound of the current one.
func (ed *endpointDelay) delay(now time.Time) (longest time.Duration) {
	if ed.reported.counts(now) {
		longest = ed.reported.delay
	}
	for _, s := range ed.recent {
		if s.counts(now) {
			longest = max(longest, s.delay)
		}
	}
	for _, delay := range ed.undelivered {
		longest = max(longest, delay)
	}
	return longest
}

// newDelivery returns the tracker of an attempt's delivery, or nil if the delay does
// not matter because the endpoint has the newest version.
func (f *Forwarder) newDelivery(c *call, e balancer.Endpoint) *exchanger.Delivery {
	for _, v := range f.namedVersions(c) {
		if v.Version > e.Version {
			return &exchanger.Delivery{}
		}
	}
	return nil
}
