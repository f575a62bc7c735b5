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
	maxReportAge = 1500 * time.Millisecond
	// pauseLeast doubles with each failure up to pauseMost. A crashed endpoint
	// is back after some seconds.
	minPause = 400 * time.Millisecond
	maxPause = 3 * time.Second
	// failuresToPause in a row are no chance: some requests fail by themselves.
	failuresToPause = 4
	lossesToPause   = 2
	// refusedPause is how long an endpoint that had no place is passed over;
	// about one request ends there meanwhile.
	refusedPause = 100 * time.Millisecond
	// overdue is how much later than expected a first piece comes only from an
	// endpoint that should get nothing more for now; with all places taken they
	// come within 300 ms of it.
	firstOutputTolerance = 500 * time.Millisecond
	// pendingMost is how long a prompt counts as not read; one that takes longer
	// waits for a place and not for the reader.
	pendingTimeout = time.Second
	// freshFor is how long a start that a report showed counts as one whose
	// prompt is not read: a pass and the way of the report.
	newStartWindow = 150 * time.Millisecond
	// backlogMost bounds the reading that one pass holds, which the running
	// requests see as a pause.
	maxBacklog = 280 * time.Millisecond
	// backlogCost is what a second of waiting prompts adds to an endpoint's cost,
	// in shares of its capacity.
	backlogCostPerSecond = 2.0
	// ownShare times its even share of backlogMost is what one process may send
	// that is not read yet, as the others can't see it.
	localBacklogFactor = 1.5
	// spreadPlaces is by how many places endpoints may differ and be chosen alike,
	// so that processes with the same reports do not meet at one of them. Those
	// that have their home here are safe from that.
	costJitterSlots = 4.0
	// homeReserve is how many free places of an endpoint are left to its home,
	// about what that takes until the others hear of it.
	homeReservedSlots = 2.0
	// elsewhereShare of the other free places may be taken by the others together:
	// an endpoint that has just loaded is free for all at the same moment.
	remoteSlotShare = 0.5
	// elsewherePenalty is what an endpoint costs that has its home elsewhere, in
	// shares of its capacity: it is used when the own ones are full.
	remoteHomePenalty = 1.0
	// maxRecent bounds the remembered starts of an endpoint.
	maxRecentStarts = 64
)

// member is an endpoint with what this process knows of its load and health.
type member struct {
	Endpoint
	// own counts the requests of this process that are there.
	localRequests int
	// recent are the moments of the latest own starts.
	recentStarts []time.Time
	// pending are the own requests without a first piece of their answer.
	pending []pending
	// fresh counts the starts of other processes that the last reports showed.
	newStarts   int
	newStartsAt time.Time
	// others counts the requests of other processes at the last report.
	otherRequests int
	// limit is how many own requests may be there until the next report.
	localLimit int
	reportedAt time.Time
	slowdown   float64

	failures    int
	losses      int
	pauses      int
	pausedUntil time.Time
}

// pending is a request whose first piece has not come.
type pending struct {
	requestID uint64
	sentAt    time.Time
	// first is when the piece is expected after since, read the part of it that
	// reads the prompt.
	firstOutputDelay time.Duration
	prefillTime      time.Duration
}

// restart forgets the load and health of an earlier start.
func (m *member) reset() {
	*m = member{localRequests: m.localRequests}
}

// report takes a load measured at a moment. Own requests that started after it
// are not part of it.
func (m *member) updateLoad(measuredAt time.Time, l Load, sharers int, random uint64) {
	if measuredAt.Before(m.reportedAt) {
		return
	}
	m.reportedAt = measuredAt
	if l.Slowdown > 0 {
		m.slowdown = l.Slowdown
	}
	startedSince := 0
	for _, t := range m.recentStarts {
		if t.After(measuredAt) {
			startedSince++
		}
	}
	otherRequests := max(l.Running+l.Queued-max(m.localRequests-startedSince, 0), 0)
	if measuredAt.Sub(m.newStartsAt) > newStartWindow {
		m.newStarts = 0
	}
	if otherRequests > m.otherRequests {
		m.newStarts += otherRequests - m.otherRequests
		m.newStartsAt = measuredAt
	}
	m.otherRequests = otherRequests
	m.updateLimit(sharers, random)
}

// share sets how many own requests the endpoint may get until the next report.
// What is free is split over the processes, for all see it at the same time; a
// place that an own request leaves is taken again without asking.
func (m *member) updateLimit(sharers int, random uint64) {
	total := float64(m.localRequests + m.otherRequests)
	free := m.capacity() - total
	if free <= 0 {
		m.localLimit = m.localRequests
		if total > 0 {
			m.localLimit = m.localRequests + int(math.Floor(free*float64(m.localRequests)/total))
		}
		return
	}
	slots := m.localFreeSlots(free, sharers)
	m.localLimit = m.localRequests + int(slots)
	if float64(random>>11)/(1<<53) < slots-math.Floor(slots) {
		m.localLimit++
	}
}

// freeShare is the part of the free places that is for this process; all parts
// together are what is free.
func (m *member) localFreeSlots(free float64, sharers int) float64 {
	remoteSlots := remoteSlotShare * max(free-homeReservedSlots, 0) / float64(max(sharers, 1))
	switch m.Home {
	case HomeLocal:
		return free - remoteSlots*float64(max(sharers-1, 0))
	case HomeRemote:
		return remoteSlots
	default:
		return free / float64(max(sharers, 1))
	}
}

// mayTake tells whether the endpoint may get one more own request.
func (m *member) canAccept(now time.Time, sharers int) bool {
	if now.Sub(m.reportedAt) < maxReportAge {
		return m.localRequests < m.localLimit
	}
	return float64(m.localRequests) < max(m.capacity()/float64(max(sharers, 1)), 1)
}

// backlog is how long the engine takes to read the prompts that wait there. read
// is the time of a usual one.
func (m *member) prefillBacklog(now time.Time, prefillTime time.Duration) (sum time.Duration) {
	for _, p := range m.pending {
		if now.Sub(p.sentAt) < pendingTimeout {
			sum += p.prefillTime
		}
	}
	if now.Sub(m.newStartsAt) < newStartWindow {
		sum += time.Duration(m.newStarts) * prefillTime
	}
	return sum
}

// isStuck tells whether a first piece is long overdue, as from an endpoint that
// hangs, is cut off or lies behind a choked link.
func (m *member) isStuck(now time.Time) bool {
	for _, p := range m.pending {
		if now.Sub(p.sentAt) > p.firstOutputDelay+firstOutputTolerance {
			return true
		}
	}
	return false
}

// read forgets a request whose first piece came.
func (m *member) removePending(requestID uint64) {
	m.pending = slices.DeleteFunc(m.pending, func(p pending) bool { return p.requestID == requestID })
}

// load estimates how many requests are at the endpoint.
func (m *member) load(now time.Time, sharers int) float64 {
	if now.Sub(m.reportedAt) < maxReportAge {
		return float64(m.localRequests + m.otherRequests)
	}
	// Without a report, the others are taken to send as much as this process.
	return float64(m.localRequests * max(sharers, 1))
}

// capacity is how many requests the endpoint runs well at a time.
func (m *member) capacity() float64 {
	return float64(m.Slots) / max(m.slowdown, 1)
}

func (m *member) recordStart(now time.Time, r Request) {
	m.localRequests++
	m.pending = append(m.pending, pending{requestID: r.ID, sentAt: now, firstOutputDelay: r.FirstOutputDelay, prefillTime: r.PrefillTime})
	m.recentStarts = append(m.recentStarts, now)
	if len(m.recentStarts) > maxRecentStarts {
		m.recentStarts = slices.Delete(m.recentStarts, 0, len(m.recentStarts)-maxRecentStarts)
	}
}

func (m *member) recordEnd(now time.Time, r Result) {
	m.localRequests = max(m.localRequests-1, 0)
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
	m.pausedUntil = now.Add(min(minPause<<min(m.pauses, 8), maxPause))
	m.pauses++
	m.failures, m.losses = 0, 0
}

// isTrial tells whether the endpoint's pause is over and no request has shown
// yet that it is well, so that one at a time is enough.
func (m *member) isOnProbation() bool { return m.pauses > 0 }

func (m *member) canRun(r Request) bool {
	return m.Ready && (r.Version == 0 || m.Version == r.Version) && m.Version >= r.MinVersion && !slices.Contains(r.Exclude, m.ID)
}
