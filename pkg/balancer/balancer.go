// Package balancer selects an endpoint for each request of one service, or queues
// or refuses the request. Each entry has its own balancer per service; several
// entries share the endpoints.
//
// Two situations determine the design:
//
//   - A burst above the capacity of the endpoints. A request sent to an engine
//     without a free slot is queued in the engine until another request ends,
//     which makes all requests late at once. Requests are therefore queued here,
//     only for as long as a start is still useful. All others are refused
//     immediately with a retry delay.
//   - An engine that has just loaded its weights and is empty. It has slots for
//     all waiting requests, but prefills prompts one after the other. Prompts
//     that were sent but not yet prefilled are therefore counted, and a request
//     is sent where its first output is expected in time.
package balancer

import (
	"slices"
	"time"

	"flamingoledge.org/flamingoledge/pkg/advisor"
	"flamingoledge.org/flamingoledge/pkg/limiter"
	"flamingoledge.org/flamingoledge/pkg/shedder"
)

// Config configures a Balancer.
type Config struct {
	// Name identifies this process among all that send to the endpoints.
	Name string
	// Region is the region of this process. Endpoints in other regions cost
	// RemoteRegionPenalty more, as a fraction of an endpoint's capacity.
	Region              string
	RemoteRegionPenalty float64
	// MaxWaiting is the maximum number of queued requests.
	MaxWaiting int
	// Senders is the number of processes that send to the endpoints. ExpectedSenders is the
	// number of which the settings tell; missing ones may only be unreachable.
	Senders         int
	ExpectedSenders int
	// Shedding configures which requests are admitted during an overload; nil admits all.
	Shedding *shedder.Config
}

const (
	// minRetryAfter and maxRetryAfter bound the retry delay of a refusal. Callers wait
	// for up to a third of their remaining time, which is a few seconds.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// durationSmoothing is the weight of a new sample in the moving average of the
	// request duration.
	durationSmoothing = 0.05
	// discoveryTime is the time after its start in which a process may not know all other
	// senders yet. It then assumes that there are at least minLimitSenders.
	discoveryTime   = 5 * time.Second
	minLimitSenders = 5
)

// Balancer holds the endpoints and queued requests of one service. It is not safe
// for concurrent use.
type Balancer struct {
	cfg        Config
	members    map[string]*member
	memberList []*member
	// waiting holds the queued requests in the order of startsBefore.
	waiting []Request
	// departed holds the endpoints that were removed from the list.
	departed departedEndpoints
	// createdAt is the time of the first call of SetEndpoints.
	createdAt time.Time
	// maxSenders is the highest number of senders so far. The missing ones may only be
	// unreachable from here, and still send to the endpoints.
	maxSenders int
	// resumedAt is when this process last went on after a suspension.
	resumedAt time.Time
	// backoffsCheckedAt is the time of the last call of EndedBackoffs.
	backoffsCheckedAt time.Time
	// running holds the in-flight requests, by request ID. releaseRate is the number of
	// slots per second that they are expected to free, without the unknownTimes requests
	// whose slot time is not known.
	running      map[uint64]running
	releaseRate  float64
	unknownTimes int
	// meanDuration is the moving average of the time from start to end.
	meanDuration time.Duration
	serviceTimes serviceTimes
	use          fleetUse
	admission    admission
	// lastSwitchAt is the latest time at which an endpoint was announced to switch versions.
	lastSwitchAt time.Time
}

// New returns a balancer without endpoints.
func New(cfg Config) *Balancer {
	b := &Balancer{cfg: cfg, maxSenders: max(cfg.Senders, cfg.ExpectedSenders), members: map[string]*member{}, departed: departedEndpoints{}, running: map[uint64]running{}}
	if cfg.Shedding != nil {
		b.admission.shedder = shedder.New(*cfg.Shedding)
	}
	return b
}

// Waiting returns the number of queued requests.
func (b *Balancer) Waiting() int { return len(b.waiting) }

// InFlight returns the number of requests of this process that are running at
// endpoints.
func (b *Balancer) InFlight() int { return len(b.running) }

// SetSenders sets the number of processes that send to the endpoints.
func (b *Balancer) SetSenders(n int) {
	b.cfg.Senders = max(n, 1)
	b.maxSenders = max(b.maxSenders, n)
}

// SetEndpoints replaces the list of endpoints. An endpoint that is still listed
// keeps its reported load and its health unless its address has changed. SetEndpoints
// returns the queued requests that start now.
func (b *Balancer) SetEndpoints(now time.Time, endpoints []Endpoint) []Decision {
	if b.createdAt.IsZero() {
		b.createdAt = now
	}
	b.departed.removeExpired(now)
	current := make(map[string]*member, len(endpoints))
	b.memberList = b.memberList[:0]
	for _, e := range endpoints {
		m := b.members[e.ID]
		if m == nil {
			m = b.departed.take(e)
		}
		if e.Ready && !m.Ready {
			m.readySince = now
		}
		m.update(e)
		m.coldPhase = b.coldPhase(m.ID)
		current[e.ID] = m
		b.memberList = append(b.memberList, m)
	}
	for id, m := range b.members {
		if current[id] == nil {
			b.departed.add(now, m)
		}
	}
	b.members = current
	return b.startWaiting(now)
}

// UpdateLoad records the load of an endpoint measured at measuredAt. random rounds
// this process's share of the free slots up or down. It returns the queued requests
// that start now.
func (b *Balancer) UpdateLoad(now, measuredAt time.Time, endpointID string, l Load, random uint64) []Decision {
	m := b.members[endpointID]
	if m == nil {
		return nil
	}
	m.isShedding, m.fleetUse = b.isShedding(now), b.fleetUse(now)
	m.updateLoad(now, measuredAt, l, b.cfg.Senders, b.requestDuration(m), random)
	if m.switchAt.After(b.lastSwitchAt) {
		b.lastSwitchAt = m.switchAt
	}
	return b.startWaiting(now)
}

// requestDuration returns the mean time that a request takes at an endpoint.
func (b *Balancer) requestDuration(m *member) time.Duration {
	if b.meanDuration == 0 {
		return initialDuration
	}
	return time.Duration(float64(b.meanDuration) * max(m.slowdown, 1))
}

// RecordAnswer records what an endpoint says in an answer, also if it is no longer listed. born
// is the incarnation that the request was sent to; what one before the known one says is
// ignored. random spreads the processes over time. It returns the advice before and after.
func (b *Balancer) RecordAnswer(now time.Time, endpointID string, born int64, answer advisor.Answer, random uint64) (before, after advisor.Advice) {
	var advice *advisor.Advice
	var home Home
	if m := b.members[endpointID]; m != nil && born >= m.Born {
		advice, home = &m.advice, m.Home
	} else if e := b.departed[endpointID]; m == nil && e != nil && born >= e.born {
		advice, home = &e.advice, e.home
	} else {
		return before, after
	}
	before = *advice
	*advice = before.WithAnswer(now, answer, b.limitShare(now, home), unitFloat(random))
	return before, *advice
}

// EndedBackoffs returns the endpoints whose backoff has ended since the last call.
func (b *Balancer) EndedBackoffs(now time.Time) (ids []string) {
	b.noticeSuspension(now)
	for _, m := range b.memberList {
		if end := m.advice.BackoffEnd(); end.After(b.backoffsCheckedAt) && !end.After(now) {
			ids = append(ids, m.ID)
		}
	}
	b.backoffsCheckedAt = now
	return ids
}

// limitShare returns the share that this process has of an endpoint's limit.
func (b *Balancer) limitShare(now time.Time, home Home) float64 {
	senders := b.maxSenders
	if now.Sub(b.createdAt) < discoveryTime {
		senders = max(senders, minLimitSenders)
	}
	switch home {
	case HomeLocal:
		return limiter.HomeShare()
	case HomeRemote:
		return limiter.RemoteShare(senders)
	default:
		return limiter.EvenShare(senders)
	}
}

// Offer starts, queues or refuses a request. A queued request is returned by a later
// call of another method, unless Abandon removes it first.
func (b *Balancer) Offer(now time.Time, r Request) Decision {
	b.updateUnready(now)
	r = b.judged(now, r)
	var m *member
	if b.mustQueue(r) {
		m = b.pickPastHeld(now, r)
	} else {
		m, r.isHeld = b.pickFor(now, r)
	}
	if m != nil {
		b.recordIdle(now, r)
		return b.start(now, r, m)
	}
	if !b.hasCandidate(now, r) {
		return b.noEndpoint(now, r)
	}
	return b.enqueue(now, r)
}

// judged returns a request with the shedder's verdict and its place among others.
func (b *Balancer) judged(now time.Time, r Request) Request {
	r.comesLast = r.Late && !r.Kept && (r.Repeat || !r.FirstOutputBy.After(now))
	v := b.admit(now, r)
	r.unadmitted, r.assured, r.verdict = !v.Admitted, v.Assured, v
	r.topPriority, r.reservedSlots = b.topPriority(now), b.reservedSlots(now, r)
	return r
}

// noEndpoint returns the refusal of a request that no endpoint can run in time.
func (b *Balancer) noEndpoint(now time.Time, r Request) Decision {
	return Decision{
		ID: r.ID, Outcome: OutcomeNoEndpoint, Waiting: len(b.waiting), Declining: b.declining(now), Evacuated: b.evacuated(r),
		RetryAfter: max(b.retryAfter(), b.adviceWait(now, r), b.ReadyWait(now, r)),
	}
}

// mustQueue reports whether requests that precede r are already queued.
func (b *Balancer) mustQueue(r Request) bool {
	return len(b.waiting) > 0 && !startsBefore(r, b.waiting[0])
}

// startsBefore reports whether a is dequeued before b. Requests whose answer was broken
// off come first, then those that can still meet their objective, then higher priorities,
// then earlier StartBy times. A first attempt that is expected to be late still counts as
// one that can meet its objective: the expectation has a margin, and an urgent request with
// a large prompt would else come after all that may wait.
func startsBefore(a, b Request) bool {
	switch {
	case a.Resumed != b.Resumed:
		return a.Resumed
	case a.comesLast != b.comesLast:
		return b.comesLast
	case a.queuePriority() != b.queuePriority():
		return a.queuePriority() < b.queuePriority()
	case a.unadmitted != b.unadmitted:
		return b.unadmitted
	case !a.StartBy.Equal(b.StartBy):
		return a.StartBy.Before(b.StartBy)
	default:
		return a.ID < b.ID
	}
}

// enqueue queues a request if a slot is expected to become free in time, and refuses
// it otherwise.
func (b *Balancer) enqueue(now time.Time, r Request) Decision {
	index := b.position(r)
	refusal := b.busy(r)
	refusal.Declining, refusal.RetryAfter = b.declining(now), b.retryAfter()
	// Those that leave a free slot to others would else have started.
	held := b.heldBefore(index)
	if !now.Before(r.StartBy) || len(b.waiting)-held >= b.cfg.MaxWaiting {
		b.recordOutcome(now, r, false)
		return refusal
	}
	// A resumed request gets the next free slot anyway, and has more to lose than time.
	if !r.Resumed && now.Add(b.expectedWait(index-held)).After(r.StartBy) {
		b.recordOutcome(now, r, false)
		return refusal
	}
	b.waiting = slices.Insert(b.waiting, index, r)
	return Decision{ID: r.ID, Outcome: OutcomeQueued, Waiting: len(b.waiting)}
}

// position returns the number of queued requests that start before r.
func (b *Balancer) position(r Request) int {
	index, _ := slices.BinarySearchFunc(b.waiting, r, func(w, r Request) int {
		if startsBefore(w, r) {
			return -1
		}
		return 1
	})
	return index
}

// expectedWait estimates how long a request with the given number of requests ahead
// of it waits. It assumes that in-flight requests end evenly distributed over their
// expected durations. Without in-flight requests the wait is unknown and 0 is returned.
func (b *Balancer) expectedWait(ahead int) time.Duration {
	rate := b.releaseRate
	if b.meanDuration > 0 {
		rate += float64(b.unknownTimes) / b.meanDuration.Seconds()
	}
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(ahead+1) / rate * float64(time.Second))
}

// retryAfter estimates the time in which the endpoints process the queued requests
// and half of the in-flight ones.
func (b *Balancer) retryAfter() time.Duration {
	wait := b.expectedWait(len(b.waiting) + b.InFlight()/2)
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// start records the start of a request at an endpoint.
func (b *Balancer) start(now time.Time, r Request, m *member) Decision {
	d := Decision{
		ID: r.ID, Outcome: OutcomeStarted, Endpoint: m.Endpoint,
		Load: m.load(now, b.cfg.Senders), LoadAge: now.Sub(m.reportedAt), Waiting: len(b.waiting), Declining: b.declining(now),
	}
	m.recordStart(now, r)
	m.advice = m.advice.WithStart(now, b.limitShare(now, m.Home))
	if m.ColdLimit > 0 {
		m.ramp = m.ramp.WithStart(now, r.ID)
	}
	b.addRunning(now, r, m)
	b.recordOutcome(now, r, true)
	return d
}

// startWaiting starts the queued requests for which an endpoint has a free slot, in
// queue order.
func (b *Balancer) startWaiting(now time.Time) (started []Decision) {
	b.updateUnready(now)
	// Most requests may run at the same endpoints, so these are not searched for each of them.
	full := map[eligibility]bool{}
	var held heldRequest
	for i := 0; i < len(b.waiting); {
		r := b.waiting[i]
		key := eligibility{version: r.Version, minVersion: r.MinVersion, lateRepeat: r.comesLast && r.Repeat}
		if full[key] && !r.isRestricted() {
			i++
			continue
		}
		// What is reserved for more urgent requests follows their arrivals.
		r.reservedSlots = b.reservedSlots(now, r)
		m, isHeld := b.pickWaiting(now, r, key, &held)
		b.waiting[i].isHeld = isHeld
		if m == nil {
			// Late repeats come last, each with at least the reserve of the one before.
			if !held.isSet && !r.isRestricted() && (r.reservedSlots == 0 || key.lateRepeat) {
				full[key] = true
			}
			i++
			continue
		}
		b.waiting = slices.Delete(b.waiting, i, i+1)
		started = append(started, b.start(now, r, m))
	}
	return started
}

// eligibility is what requests that are not restricted to some endpoints differ in.
type eligibility struct {
	version, minVersion uint64
	lateRepeat          bool
}

// isRestricted reports whether only some of the endpoints with its version may run the request.
func (r Request) isRestricted() bool {
	return len(r.Exclude) > 0 || len(r.ExcludeZones) > 0 || r.Regions != nil
}

// RetryWaiting tries to start the queued requests again, for example after the pause
// of an endpoint has ended. It returns those that start now.
func (b *Balancer) RetryWaiting(now time.Time) []Decision { return b.startWaiting(now) }

// RefuseUnservable refuses the queued requests that no endpoint can start in time any more:
// all that could are gone, are not ready, have another version, or accept none until later.
// A pause after failures does not count, since any output ends it.
func (b *Balancer) RefuseUnservable(now time.Time) (refused []Decision) {
	b.updateUnready(now)
	// Most requests differ only in their times, so the endpoints are not searched for each.
	acceptedFrom := map[eligibility]time.Time{}
	var unservable []Request
	b.waiting = slices.DeleteFunc(b.waiting, func(w Request) bool {
		key := eligibility{version: w.Version, minVersion: w.MinVersion}
		earliest, ok := acceptedFrom[key]
		isRestricted := w.isRestricted()
		if !ok || isRestricted {
			earliest, ok = b.acceptedFrom(now, w)
		}
		if ok && !isRestricted {
			acceptedFrom[key] = earliest
		}
		if ok && w.StartBy.After(earliest) {
			return false
		}
		unservable = append(unservable, w)
		return true
	})
	for _, w := range unservable {
		refused = append(refused, b.noEndpoint(now, w))
	}
	return refused
}

// Expire refuses the queued requests whose StartBy time has passed. Those that leave a slot to
// shorter ones start in it instead.
func (b *Balancer) Expire(now time.Time) (decided []Decision) {
	if slices.ContainsFunc(b.waiting, func(w Request) bool { return w.isHeld && !now.Before(w.StartBy) }) {
		decided = b.startWaiting(now)
	}
	return append(decided, b.refuseExpired(now)...)
}

// refuseExpired refuses the queued requests whose StartBy time has passed.
func (b *Balancer) refuseExpired(now time.Time) (refused []Decision) {
	b.waiting = slices.DeleteFunc(b.waiting, func(w Request) bool {
		if now.Before(w.StartBy) {
			return false
		}
		b.recordOutcome(now, w, false)
		refused = append(refused, b.busy(w))
		return true
	})
	for i := range refused {
		refused[i].RetryAfter = b.retryAfter()
	}
	return refused
}

// Abandon removes a request from the queue, for example because its caller has
// disconnected. It returns false if the request is not queued.
func (b *Balancer) Abandon(id uint64) bool {
	n := len(b.waiting)
	b.waiting = slices.DeleteFunc(b.waiting, func(w Request) bool { return w.ID == id })
	return len(b.waiting) < n
}

// RecordFirstOutput records that the first output of a request has arrived, so its
// prompt is prefilled. It returns the queued requests that start now.
func (b *Balancer) RecordFirstOutput(now time.Time, endpointID string, requestID uint64) []Decision {
	if m := b.members[endpointID]; m != nil {
		m.recordFirstOutput(now, b.running[requestID].startedAt, requestID)
		m.recordArrival(now, requestID, ResultAnswered)
	}
	return b.startWaiting(now)
}

// RecordSilence records that an endpoint has sent nothing for too long to a request that is
// still running there.
func (b *Balancer) RecordSilence(now time.Time, endpointID string, requestID uint64) {
	if m := b.members[endpointID]; m != nil {
		m.recordSilence(now, b.running[requestID].startedAt)
	}
}

// RecordEnd records the end of a request at an endpoint. It returns the queued
// requests that start now.
func (b *Balancer) RecordEnd(now time.Time, endpointID string, requestID uint64, r Result) []Decision {
	started := b.running[requestID].startedAt
	b.removeRunning(now, requestID, r)
	if m := b.members[endpointID]; m != nil {
		m.removePending(requestID)
		m.recordEnd(now, started, r)
		m.recordArrival(now, requestID, r)
	}
	return b.startWaiting(now)
}
