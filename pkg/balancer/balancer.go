// Package balancer decides where a request starts, whether it waits and when it
// is refused, for one service and one of several entries that share its
// endpoints.
//
// The load it answers is a burst above what the endpoints can do. A request that
// an engine has no place for waits inside it for as long as another one takes,
// so that everything becomes late at once. Requests therefore wait here, for a
// place and only as long as a start is still useful, and the rest is refused at
// once with the time at which to come back.
//
// The second load is an engine that has just loaded and is empty: it has a place
// for everything that waits, but reads prompts one after the other. Prompts that
// are sent and not read yet are counted, so that a request goes where its first
// piece comes in time.
package balancer

import (
	"slices"
	"time"
)

// Config configures a Balancer.
type Config struct {
	// Region is where this process runs; endpoints elsewhere cost
	// RemotePenalty, in shares of an endpoint's capacity.
	Region        string
	RemotePenalty float64
	// MaxWaiting bounds the requests that wait.
	MaxWaiting int
	// Senders is how many processes send to the endpoints.
	Senders int
}

const (
	// retryLeast and retryMost bound what refused callers are told. Callers wait
	// up to a third of the time that they have left, which is a few seconds.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// smoothing is the share of a new measurement in the mean time of a request.
	durationSmoothing = 0.05
)

// Balancer is the state of one service. It has one owner at a time.
type Balancer struct {
	cfg        Config
	members    map[string]*member
	memberList []*member
	waiting    []Request
	// running are the starts of the requests at the endpoints, taken the mean
	// time that one is there.
	startedAt    map[uint64]time.Time
	meanDuration time.Duration
}

// New returns a balancer without endpoints.
func New(cfg Config) *Balancer {
	return &Balancer{cfg: cfg, members: map[string]*member{}, startedAt: map[uint64]time.Time{}}
}

// Waiting returns how many requests wait.
func (b *Balancer) Waiting() int { return len(b.waiting) }

// InFlight returns how many requests of this process are at the endpoints.
func (b *Balancer) InFlight() int { return len(b.startedAt) }

// SetSenders sets how many processes send to the endpoints.
func (b *Balancer) SetSenders(n int) { b.cfg.Senders = max(n, 1) }

// SetEndpoints takes the present endpoints. Counters of those known before are
// carried on. It returns the waiting requests that start now.
func (b *Balancer) SetEndpoints(now time.Time, endpoints []Endpoint) []Decision {
	current := make(map[string]*member, len(endpoints))
	b.memberList = b.memberList[:0]
	for _, e := range endpoints {
		m := b.members[e.ID]
		if m == nil {
			m = &member{}
		}
		if m.Address != e.Address {
			m.reset()
		}
		m.Endpoint = e
		current[e.ID] = m
		b.memberList = append(b.memberList, m)
	}
	b.members = current
	return b.startWaiting(now)
}

// UpdateLoad takes the load of an endpoint as it was at a moment. random spreads free
// places over the processes. It returns the waiting requests that start now.
func (b *Balancer) UpdateLoad(now, measuredAt time.Time, endpointID string, l Load, random uint64) []Decision {
	m := b.members[endpointID]
	if m == nil {
		return nil
	}
	m.updateLoad(measuredAt, l, b.cfg.Senders, random)
	return b.startWaiting(now)
}

// Offer takes a request. With OutcomeQueued its ID comes out of a later call,
// unless it is abandoned first.
func (b *Balancer) Offer(now time.Time, r Request) Decision {
	if b.mustQueue(r) {
		return b.enqueue(now, r)
	}
	if m := b.pick(now, r); m != nil {
		return b.start(now, r, m)
	}
	if !b.hasCandidate(now, r) {
		return Decision{ID: r.ID, Outcome: OutcomeNoEndpoint, RetryAfter: b.retryAfter()}
	}
	return b.enqueue(now, r)
}

// mustQueue tells whether requests that go before r wait already.
func (b *Balancer) mustQueue(r Request) bool {
	return len(b.waiting) > 0 && !startsBefore(r, b.waiting[0])
}

// before orders waiting requests: those that can be in time, the more urgent
// ones, those that have to start first.
func startsBefore(a, b Request) bool {
	switch {
	case a.Late != b.Late:
		return !a.Late
	case a.Priority != b.Priority:
		return a.Priority < b.Priority
	case !a.StartBy.Equal(b.StartBy):
		return a.StartBy.Before(b.StartBy)
	default:
		return a.ID < b.ID
	}
}

// queue lets a request wait if a place is expected in time.
func (b *Balancer) enqueue(now time.Time, r Request) Decision {
	index, _ := slices.BinarySearchFunc(b.waiting, r, func(w, r Request) int {
		if startsBefore(w, r) {
			return -1
		}
		return 1
	})
	refusal := Decision{ID: r.ID, Outcome: OutcomeBusy, Waiting: len(b.waiting), RetryAfter: b.retryAfter()}
	if !now.Before(r.StartBy) || len(b.waiting) >= b.cfg.MaxWaiting || now.Add(b.expectedWait(index)).After(r.StartBy) {
		return refusal
	}
	b.waiting = slices.Insert(b.waiting, index, r)
	return Decision{ID: r.ID, Outcome: OutcomeQueued, Waiting: len(b.waiting)}
}

// expectedWait estimates when a request with some before it starts: the places in
// use become free evenly over the time of a request. Without any it is not known
// and 0.
func (b *Balancer) expectedWait(ahead int) time.Duration {
	if len(b.startedAt) == 0 {
		return 0
	}
	return time.Duration(ahead+1) * b.meanDuration / time.Duration(len(b.startedAt))
}

// retryAfter is the time in which the endpoints work off what waits and half of
// what is running.
func (b *Balancer) retryAfter() time.Duration {
	wait := b.expectedWait(len(b.waiting) + b.InFlight()/2)
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

func (b *Balancer) start(now time.Time, r Request, m *member) Decision {
	d := Decision{
		ID: r.ID, Outcome: OutcomeStarted, Endpoint: m.Endpoint,
		Load: m.load(now, b.cfg.Senders), LoadAge: now.Sub(m.reportedAt), Waiting: len(b.waiting),
	}
	m.recordStart(now, r)
	b.startedAt[r.ID] = now
	return d
}

// startWaiting starts the waiting requests that there is a place for, in their
// order.
func (b *Balancer) startWaiting(now time.Time) (started []Decision) {
	for i := 0; i < len(b.waiting); {
		r := b.waiting[i]
		m := b.pick(now, r)
		if m == nil {
			if len(r.Exclude) == 0 && r.Version == 0 && r.MinVersion == 0 {
				break
			}
			// This one may not go where the others may.
			i++
			continue
		}
		b.waiting = slices.Delete(b.waiting, i, i+1)
		started = append(started, b.start(now, r, m))
	}
	return started
}

// RetryWaiting looks again at the waiting requests, as when the pause of an endpoint is over,
// and returns those that start now.
func (b *Balancer) RetryWaiting(now time.Time) []Decision { return b.startWaiting(now) }

// Expire refuses the waiting requests whose last useful start is over.
func (b *Balancer) Expire(now time.Time) (refused []Decision) {
	b.waiting = slices.DeleteFunc(b.waiting, func(w Request) bool {
		if now.Before(w.StartBy) {
			return false
		}
		refused = append(refused, Decision{ID: w.ID, Outcome: OutcomeBusy, Waiting: len(b.waiting)})
		return true
	})
	for i := range refused {
		refused[i].RetryAfter = b.retryAfter()
	}
	return refused
}

// Abandon takes a waiting request out, as when its caller is gone. It returns
// false if the request does not wait.
func (b *Balancer) Abandon(id uint64) bool {
	n := len(b.waiting)
	b.waiting = slices.DeleteFunc(b.waiting, func(w Request) bool { return w.ID == id })
	return len(b.waiting) < n
}

// RecordFirstOutput records that the first piece of a request's answer came, so that its
// prompt is read. It returns the waiting requests that start now.
func (b *Balancer) RecordFirstOutput(now time.Time, endpointID string, requestID uint64) []Decision {
	if m := b.members[endpointID]; m != nil {
		m.removePending(requestID)
	}
	return b.startWaiting(now)
}

// RecordEnd records the end of a request at an endpoint. It returns the waiting
// requests that start now.
func (b *Balancer) RecordEnd(now time.Time, endpointID string, requestID uint64, r Result) []Decision {
	if started, ok := b.startedAt[requestID]; ok {
		delete(b.startedAt, requestID)
		if b.meanDuration == 0 {
			b.meanDuration = now.Sub(started)
		}
		b.meanDuration += time.Duration(durationSmoothing * float64(now.Sub(started)-b.meanDuration))
	}
	if m := b.members[endpointID]; m != nil {
		m.removePending(requestID)
		m.recordEnd(now, r)
	}
	return b.startWaiting(now)
}
