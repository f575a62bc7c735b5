package balancer

import (
	"math"
	"slices"
	"time"
)

// Result is how a request ended at an endpoint.
type Result int

// Results.
const (
	// ResultAnswered means that the endpoint gave an answer.
	ResultAnswered Result = iota
	// ResultFailed means that it failed the request.
	ResultFailed
	// ResultConnectionLost means that the connection broke.
	ResultConnectionLost
	// ResultUnreachable means that no connection could be opened.
	ResultUnreachable
	// ResultRefused means that it had no place or was not the one meant.
	ResultRefused
	// ResultCanceled means that the caller left, which says nothing of the endpoint.
	ResultCanceled
)

const (
	// staleAfter is the age from which a report says nothing any more; reports
	// come several times a second.
	staleAfter = 1500 * time.Millisecond
	// pauseLeast doubles with each failure up to pauseMost. A crashed endpoint
	// is back after some seconds.
	pauseLeast = 400 * time.Millisecond
	pauseMost  = 3 * time.Second
	// failuresToPause in a row are no chance: some requests fail by themselves.
	failuresToPause = 4
	lossesToPause   = 2
	// refusedPause is how long an endpoint that had no place is passed over;
	// about one request ends there meanwhile.
	refusedPause = 100 * time.Millisecond
	// overdue is how much later than expected a first piece comes only from an
	// endpoint that should get nothing more for now; with all places taken they
	// come within 300 ms of it.
	overdue = 500 * time.Millisecond
	// pendingMost is how long a prompt counts as not read; one that takes longer
	// waits for a place and not for the reader.
	pendingMost = time.Second
	// freshFor is how long a start that a report showed counts as one whose
	// prompt is not read: a pass and the way of the report.
	freshFor = 150 * time.Millisecond
	// backlogMost bounds the reading that one pass holds, which the running
	// requests see as a pause.
	backlogMost = 280 * time.Millisecond
	// backlogCost is what a second of waiting prompts adds to an endpoint's cost,
	// in shares of its capacity.
	backlogCost = 2.0
	// ownShare times its even share of backlogMost is what one process may send
	// that is not read yet, as the others can't see it.
	ownShare = 1.5
	// spreadPlaces is by how many places endpoints may differ and be chosen alike,
	// so that processes with the same reports do not meet at one of them. Those
	// that have their home here are safe from that.
	spreadPlaces = 4.0
	// homeReserve is how many free places of an endpoint are left to its home,
	// about what that takes until the others hear of it.
	homeReserve = 2.0
	// elsewhereShare of the other free places may be taken by the others together:
	// an endpoint that has just loaded is free for all at the same moment.
	elsewhereShare = 0.5
	// elsewherePenalty is what an endpoint costs that has its home elsewhere, in
	// shares of its capacity: it is used when the own ones are full.
	elsewherePenalty = 1.0
	// maxRecent bounds the remembered starts of an endpoint.
	maxRecent = 64
)

// member is an endpoint with what this process knows of its load and health.
type member struct {
	Endpoint
	// own counts the requests of this process that are there.
	own int
	// recent are the moments of the latest own starts.
	recent []time.Time
	// pending are the own requests without a first piece of their answer.
	pending []pending
	// fresh counts the starts of other processes that the last reports showed.
	fresh   int
	freshAt time.Time
	// others counts the requests of other processes at the last report.
	others int
	// limit is how many own requests may be there until the next report.
	limit      int
	reportedAt time.Time
	pace       float64

	failures    int
	losses      int
	pauses      int
	pausedUntil time.Time
}

// pending is a request whose first piece has not come.
type pending struct {
	request uint64
	since   time.Time
	// first is when the piece is expected after since, read the part of it that
	// reads the prompt.
	first time.Duration
	read  time.Duration
}

// restart forgets the load and health of an earlier start.
func (m *member) restart() {
	*m = member{own: m.own}
}

// report takes a load measured at a moment. Own requests that started after it
// are not part of it.
func (m *member) report(at time.Time, l Load, sharers int, random uint64) {
	if at.Before(m.reportedAt) {
		return
	}
	m.reportedAt = at
	if l.Slowdown > 0 {
		m.pace = l.Slowdown
	}
	since := 0
	for _, t := range m.recent {
		if t.After(at) {
			since++
		}
	}
	others := max(l.Running+l.Queued-max(m.own-since, 0), 0)
	if at.Sub(m.freshAt) > freshFor {
		m.fresh = 0
	}
	if others > m.others {
		m.fresh += others - m.others
		m.freshAt = at
	}
	m.others = others
	m.share(sharers, random)
}

// share sets how many own requests the endpoint may get until the next report.
// What is free is split over the processes, for all see it at the same time; a
// place that an own request leaves is taken again without asking.
func (m *member) share(sharers int, random uint64) {
	total := float64(m.own + m.others)
	free := m.capacity() - total
	if free <= 0 {
		m.limit = m.own
		if total > 0 {
			m.limit = m.own + int(math.Floor(free*float64(m.own)/total))
		}
		return
	}
	part := m.freeShare(free, sharers)
	m.limit = m.own + int(part)
	if float64(random>>11)/(1<<53) < part-math.Floor(part) {
		m.limit++
	}
}

// freeShare is the part of the free places that is for this process; all parts
// together are what is free.
func (m *member) freeShare(free float64, sharers int) float64 {
	elsewhere := elsewhereShare * max(free-homeReserve, 0) / float64(max(sharers, 1))
	switch m.Home {
	case HomeLocal:
		return free - elsewhere*float64(max(sharers-1, 0))
	case HomeRemote:
		return elsewhere
	default:
		return free / float64(max(sharers, 1))
	}
}

// mayTake tells whether the endpoint may get one more own request.
func (m *member) mayTake(now time.Time, sharers int) bool {
	if now.Sub(m.reportedAt) < staleAfter {
		return m.own < m.limit
	}
	return float64(m.own) < max(m.capacity()/float64(max(sharers, 1)), 1)
}

// backlog is how long the engine takes to read the prompts that wait there. read
// is the time of a usual one.
func (m *member) backlog(now time.Time, read time.Duration) (sum time.Duration) {
	for _, p := range m.pending {
		if now.Sub(p.since) < pendingMost {
			sum += p.read
		}
	}
	if now.Sub(m.freshAt) < freshFor {
		sum += time.Duration(m.fresh) * read
	}
	return sum
}

// isStuck tells whether a first piece is long overdue, as from an endpoint that
// hangs, is cut off or lies behind a choked link.
func (m *member) isStuck(now time.Time) bool {
	for _, p := range m.pending {
		if now.Sub(p.since) > p.first+overdue {
			return true
		}
	}
	return false
}

// read forgets a request whose first piece came.
func (m *member) read(request uint64) {
	m.pending = slices.DeleteFunc(m.pending, func(p pending) bool { return p.request == request })
}

// load estimates how many requests are at the endpoint.
func (m *member) load(now time.Time, sharers int) float64 {
	if now.Sub(m.reportedAt) < staleAfter {
		return float64(m.own + m.others)
	}
	// Without a report, the others are taken to send as much as this process.
	return float64(m.own * max(sharers, 1))
}

// capacity is how many requests the endpoint runs well at a time.
func (m *member) capacity() float64 {
	return float64(m.Slots) / max(m.pace, 1)
}

func (m *member) begin(now time.Time, r Request) {
	m.own++
	m.pending = append(m.pending, pending{request: r.ID, since: now, first: r.FirstOutputDelay, read: r.PrefillTime})
	m.recent = append(m.recent, now)
	if len(m.recent) > maxRecent {
		m.recent = slices.Delete(m.recent, 0, len(m.recent)-maxRecent)
	}
}

func (m *member) end(now time.Time, r Result) {
	m.own = max(m.own-1, 0)
	switch r {
	case ResultAnswered:
		m.failures, m.losses, m.pauses = 0, 0, 0
		m.pausedUntil = time.Time{}
	case ResultFailed:
		m.losses = 0
		if m.failures++; m.failures >= failuresToPause {
			m.pause(now)
		}
	case ResultConnectionLost:
		if m.losses++; m.losses >= lossesToPause {
			m.pause(now)
		}
	case ResultUnreachable:
		m.pause(now)
	case ResultRefused:
		m.pausedUntil = now.Add(refusedPause)
	case ResultCanceled:
	}
}

// pause keeps new requests away for a while, longer each time.
func (m *member) pause(now time.Time) {
	m.pausedUntil = now.Add(min(pauseLeast<<min(m.pauses, 8), pauseMost))
	m.pauses++
	m.failures, m.losses = 0, 0
}

// isTrial tells whether the endpoint's pause is over and no request has shown
// yet that it is well, so that one at a time is enough.
func (m *member) isTrial() bool { return m.pauses > 0 }

func (m *member) mayRun(r Request) bool {
	return m.Ready && (r.Version == 0 || m.Version == r.Version) && m.Version >= r.MinVersion && !slices.Contains(r.Exclude, m.ID)
}
