package balancer

import (
	"math"
	"slices"
	"time"

	"flamingoledge.org/flamingoledge/pkg/advisor"
	"flamingoledge.org/flamingoledge/pkg/forecaster"
	"flamingoledge.org/flamingoledge/pkg/warmer"
)

// Result describes how a request ended at an endpoint.
type Result int

// Results of a request at an endpoint.
const (
	// ResultAnswered means that the endpoint returned an answer.
	ResultAnswered Result = iota
	// ResultFailed means that the endpoint returned an error.
	ResultFailed
	// ResultConnectionLost means that the connection broke during the request.
	ResultConnectionLost
	// ResultUnreachable means that no connection could be opened.
	ResultUnreachable
	// ResultRefused means that the endpoint had no free slot or was not the
	// intended one.
	ResultRefused
	// ResultMisdirected means that the endpoint has refused the request since it does not
	// have the weights, or is another one than intended.
	ResultMisdirected
	// ResultSilent means that the endpoint sent nothing for too long.
	ResultSilent
	// ResultCanceled means that the caller disconnected. It does not affect the
	// health of the endpoint.
	ResultCanceled
)

const (
	// maxReportAge is the age above which a load report is ignored; reports arrive
	// several times a second.
	maxReportAge = 1500 * time.Millisecond
	// minPause doubles with each consecutive pause up to maxPause. A crashed
	// endpoint is back within a few seconds.
	minPause = 400 * time.Millisecond
	maxPause = 3 * time.Second
	// failuresToPause and lossesToPause are the numbers of consecutive failures and
	// of consecutive lost connections that pause an endpoint. They are above 1 because
	// some requests fail regardless of the endpoint.
	failuresToPause = 4
	lossesToPause   = 2
	// refusedPause is how long an endpoint without a free slot is skipped; about one
	// request ends there in that time.
	refusedPause = 100 * time.Millisecond
	// firstOutputTolerance is how late a first output may be before its endpoint gets
	// no more requests. With all slots in use, first outputs arrive within 300 ms of
	// the expected time.
	firstOutputTolerance = 500 * time.Millisecond
	// pendingTimeout is how long a prompt counts as not yet prefilled. A request that
	// takes longer is waiting for a slot and not for prefill.
	pendingTimeout = time.Second
	// newStartWindow is how long a start that appeared in a report counts as not yet
	// prefilled: one pass of the engine plus the transit time of the report.
	newStartWindow = 150 * time.Millisecond
	// maxBacklog bounds the prefill time within one pass, which delays the output of
	// all running requests.
	maxBacklog = 280 * time.Millisecond
	// backlogCostPerSecond is what a second of prefill backlog adds to an endpoint's
	// cost, as a fraction of its capacity.
	backlogCostPerSecond = 2.0
	// memoryCost is what memory that is all in use adds to an endpoint's cost, as a fraction of
	// its capacity. Of endpoints with the same load, the one with shorter contexts runs more.
	// It is no limit, since engines free what they keep for later prompts.
	memoryCost = 0.25
	// localBacklogFactor times an even share of maxBacklog limits the prompts that one
	// process has sent and that are not yet prefilled, since the other processes
	// cannot see them.
	localBacklogFactor = 1.5
	// costJitterSlots is the random addition to an endpoint's cost, in slots. It keeps
	// processes with the same reports from all selecting the same endpoint. Endpoints
	// that have their home here don't need it.
	costJitterSlots = 4.0
	// homeReservedShare is the share of an endpoint's slots that is reserved for its home
	// while it is free, about as many as the home uses before the next report reaches the
	// other processes.
	homeReservedShare = 1.0 / 8
	// overloadHomeReservedShare is homeReservedShare while requests are shed. The home then
	// uses each slot at once, so that more free slots than those that it leaves for urgent
	// arrivals show that it has no queue. With 1/8, 0.26 of the urgent requests met a full
	// engine in a replay, with 1/3 0.14.
	overloadHomeReservedShare = 1.0 / 3
	// homeFirstTime is how long only its home uses an endpoint that has become ready during an
	// overload: until its reports show others that it is full. The home has enough waiting
	// requests. Prompts of others that it can't see would make its own late, as an empty engine
	// prefills one prompt after the other.
	homeFirstTime = 400 * time.Millisecond
	// remoteSlotShare is the share of the remaining free slots that all other processes
	// together may use. Without the limit they would all fill an endpoint that has
	// just loaded at the same moment.
	remoteSlotShare = 0.7
	// remoteHomePenalty is the additional cost of an endpoint that has its home at
	// another process, as a fraction of its capacity. Such an endpoint is used when
	// those with their home here are full.
	remoteHomePenalty = 1.0
	// unreportedHomeShare is the share of an endpoint that its home uses while no report tells
	// its load. Others send it little then, as they prefer their own homes.
	unreportedHomeShare = 0.9
	// lateReservedShare is the share of an endpoint's slots that late repeats leave to
	// other requests. An idle endpoint accepts them, however few slots it has.
	lateReservedShare = 0.25
	// returnShare is the share of an endpoint's slots that all processes together use after a
	// backoff until it has accepted a request. Each sends at least one.
	returnShare = 0.5
	// initialDuration is the assumed duration of a request until one has ended.
	initialDuration = time.Second
)

// member is an endpoint with its load and health as seen by this process.
type member struct {
	Endpoint
	// localRequests is the number of in-flight requests of this process.
	localRequests int
	// history tells how many requests of this process the endpoint had at an earlier time.
	history forecaster.History
	// pending holds the requests of this process without a first output.
	pending []pending
	// newStarts is the number of starts by other processes in the latest reports.
	newStarts   int
	newStartsAt time.Time
	// otherRequests is the number of requests of other processes in the last report, and
	// correction that of requests which reports don't show.
	otherRequests int
	correction    forecaster.Correction
	// credibility tells whether the reports can be true, and fleetUse which share of the
	// capacity of all endpoints was in use at the last one.
	credibility forecaster.Credibility
	fleetUse    float64
	// memoryPerRequest is the share of the memory that each request uses on average.
	memoryPerRequest float64
	// localLimit is the maximum of localRequests until the next report. rounding rounds it up
	// or down; it is drawn anew once a report shows what has become of the last draw.
	localLimit int
	rounding   float64
	roundedAt  time.Time
	reportedAt time.Time
	// updatedAt is when the last report arrived, and duration the mean time of a request then.
	updatedAt time.Time
	duration  time.Duration
	// pace tells how long work takes at the endpoint; slowdown is its value at the last load.
	pace     pace
	slowdown float64
	// switchAt is when the endpoint is due to switch versions; the zero time if unknown.
	switchAt time.Time
	// busyUntil is when the last of the requests of this process is expected to end.
	busyUntil time.Time
	// receivers is the number of processes that the load was last reported to; 0 if
	// unknown.
	receivers int
	// readySince is when the endpoint was first listed as ready since it was not.
	readySince time.Time
	// isShedding is set while requests for the endpoint are shed.
	isShedding bool

	// misdirectedAt is when the endpoint last refused a request for want of weights; the zero
	// time if it has been heard of since. unready is set while it counts as not ready.
	misdirectedAt time.Time
	unready       bool

	// advice is what the endpoint has said in its answers.
	advice advisor.Advice
	// ramp limits the requests to a cold endpoint. coldPhase spreads the processes' turns.
	ramp      warmer.Ramp
	coldPhase float64
	// acceptedAt is when the latest request with an output was sent.
	acceptedAt time.Time

	// failures, losses and pauses are counted since the last answer. A failure also
	// resets losses, and a pause resets failures and losses.
	failures    int
	losses      int
	pauses      int
	pausedAt    time.Time
	pausedUntil time.Time
	// onProbation is set from the start of a pause until a request that was sent since has an
	// output, or any request an answer. After silence, any output ends it.
	onProbation bool
	wasSilent   bool
}

// pending is a request whose first output has not arrived.
type pending struct {
	requestID uint64
	sentAt    time.Time
	// firstOutputDelay is the expected time from sentAt to the first output;
	// prefillTime is the part of it that the prompt takes to prefill.
	firstOutputDelay time.Duration
	prefillTime      time.Duration
}

// update replaces the description of the endpoint. What it has said holds until it starts
// anew; a list that is older than the known incarnation does not undo that.
func (m *member) update(e Endpoint) {
	if m.Address != e.Address {
		m.reset()
	}
	if e.Born > m.Born {
		m.advice = advisor.Advice{}
	}
	if e.Born > m.Born || e.Version != m.Version || !e.Ready {
		m.misdirectedAt, m.switchAt = time.Time{}, time.Time{}
	}
	e.Born = max(e.Born, m.Born)
	m.ramp = m.ramp.WithCold(e.ColdUntil)
	m.Endpoint = e
}

// reset discards the load and the health of an endpoint that has moved, but not the number of
// in-flight requests and what the endpoint has said.
func (m *member) reset() {
	*m = member{Endpoint: m.Endpoint, localRequests: m.localRequests, advice: m.advice, ramp: m.ramp, coldPhase: m.coldPhase}
}

// updateLoad records a load measured at measuredAt, which does not include requests
// that this process has started since.
// duration is the mean time that a request takes.
func (m *member) updateLoad(now, measuredAt time.Time, l Load, senders int, duration time.Duration, random uint64) {
	if l.Receivers > 0 {
		m.recordSwitch(measuredAt, l.SwitchIn)
	}
	if measuredAt.Before(m.reportedAt) {
		return
	}
	m.reportedAt, m.updatedAt, m.duration = measuredAt, now, duration
	if measuredAt.After(m.misdirectedAt) && !l.Unready {
		m.misdirectedAt = time.Time{}
	}
	if l.Receivers == 0 {
		m.pace.recordAnswer(measuredAt, l.Slowdown)
	} else {
		m.pace.recordReport(l.Slowdown)
		m.memoryPerRequest = l.Memory / float64(max(l.Running, 1))
	}
	m.slowdown = m.pace.slowdown(measuredAt)
	if l.Receivers > 0 {
		m.receivers = l.Receivers
	}
	localRequests := m.history.At(measuredAt, m.localRequests)
	m.recordClaim(measuredAt, l, localRequests, senders, random)
	otherRequests := max(l.Running+l.Queued-localRequests, 0)
	if measuredAt.Sub(m.newStartsAt) > newStartWindow {
		m.newStarts = 0
	}
	if otherRequests > m.otherRequests {
		m.newStarts += otherRequests - m.otherRequests
		m.newStartsAt = measuredAt
	}
	m.otherRequests = otherRequests
	m.updateLimit(localRequests, m.limitBase(localRequests), m.senders(senders), random)
}

// senders returns the number of processes that send to the endpoint, of which there are
// all in total.
func (m *member) senders(all int) int {
	if m.receivers > 0 {
		return m.receivers
	}
	return max(all, 1)
}

// updateLimit sets how many requests this process may have at the endpoint until the
// next report. The free slots are split between the processes, since all of them see
// the same report. localRequests are those that this process had when the load was measured:
// a part that was used since then is not given again. A slot that a local request frees may
// be reused at once.
func (m *member) updateLimit(localRequests, base, senders int, random uint64) {
	total := float64(localRequests + m.otherRequests)
	free := m.capacity() - total - m.correction.Requests(m.updatedAt)
	if free <= 0 {
		m.localLimit = base
		if total > 0 {
			m.localLimit = base + int(math.Floor(free*float64(localRequests)/total))
		}
		return
	}
	slots := m.localFreeSlots(free, senders)
	m.localLimit = base + int(slots)
	if m.reportedAt.After(m.roundedAt) {
		m.roundedAt, m.rounding = m.updatedAt, unitFloat(random)
	}
	if m.rounding < slots-math.Floor(slots) {
		m.localLimit++
	}
}

// limitBase returns how many requests this process may have at the endpoint besides its part
// of the free slots, if it had so many when the load was measured. Slots that it has freed
// since are free for the endpoint's home.
func (m *member) limitBase(localRequests int) int {
	if m.Home == HomeRemote {
		return min(localRequests, m.localRequests)
	}
	return localRequests
}

// localFreeSlots returns the part of the free slots that this process may use. The
// parts of all processes add up to free.
func (m *member) localFreeSlots(free float64, senders int) float64 {
	remoteSlots := remoteSlotShare * max(free-m.homeReserve(), 0) / float64(max(senders, 1))
	switch m.Home {
	case HomeLocal:
		return free - remoteSlots*float64(max(senders-1, 0))
	case HomeRemote:
		return remoteSlots
	default:
		return free / float64(max(senders, 1))
	}
}

// homeReserve returns how many free slots are reserved for the endpoint's home.
func (m *member) homeReserve() float64 {
	if m.isShedding {
		return overloadHomeReservedShare * m.capacity()
	}
	return homeReservedShare * m.capacity()
}

// canAccept reports whether this process may send another request to the endpoint.
func (m *member) canAccept(now time.Time, senders int) bool {
	if m.isReported(now) {
		return m.localRequests < m.localLimit
	}
	return float64(m.localRequests) < max(m.capacity()*m.unreportedShare(senders), 1)
}

// unreportedShare returns the share of the endpoint's requests that are assumed to be those of
// this process, without a current report.
func (m *member) unreportedShare(senders int) float64 {
	n := float64(m.senders(senders))
	switch {
	case m.Home == HomeLocal && n > 1:
		return unreportedHomeShare
	case m.Home == HomeRemote && n > 1:
		return (1 - unreportedHomeShare) / (n - 1)
	default:
		return 1 / n
	}
}

// prefillBacklog returns the time that the engine needs for the prompts that are not
// yet prefilled. prefillTime is assumed for each prompt of another process.
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

// isStuck reports whether a first output is long overdue, for example because the
// endpoint hangs, is unreachable or is behind a congested link.
func (m *member) isStuck(now time.Time) bool {
	for _, p := range m.pending {
		if now.Sub(p.sentAt) > p.firstOutputDelay+firstOutputTolerance {
			return true
		}
	}
	return false
}

// removePending removes a request from pending.
func (m *member) removePending(requestID uint64) {
	m.pending = slices.DeleteFunc(m.pending, func(p pending) bool { return p.requestID == requestID })
}

// load estimates the number of requests at the endpoint.
func (m *member) load(now time.Time, senders int) float64 {
	if m.isReported(now) {
		return m.reportedLoad() + m.correction.Requests(now)
	}
	load := float64(m.localRequests) / m.unreportedShare(senders)
	if m.Home == HomeRemote && m.credibility.IsDoubted(now) {
		// Its home may have filled it, whatever it claims.
		load += m.capacity()
	}
	return load
}

// reportedLoad is the number of requests at the endpoint by the last report and those that
// this process has started since.
func (m *member) reportedLoad() float64 { return float64(m.localRequests + m.otherRequests) }

// claim is what the reports say about the endpoint.
func (m *member) claim() forecaster.Claim {
	return forecaster.Claim{Requests: m.reportedLoad(), Capacity: m.capacity(), Duration: m.duration}
}

// capacity returns how many requests the endpoint can run concurrently at full speed.
func (m *member) capacity() float64 {
	return float64(m.Slots) / max(m.slowdown, 1)
}

// memoryShare estimates the share of the memory in use.
func (m *member) memoryShare(load float64) float64 { return min(m.memoryPerRequest*load, 1) }

// slowed returns how long work that usually takes d takes at the endpoint now.
func (m *member) slowed(d time.Duration) time.Duration {
	return time.Duration(float64(d) * max(m.slowdown, 1))
}

// recordStart records the start of a request of this process.
func (m *member) recordStart(now time.Time, r Request) {
	m.localRequests++
	m.pending = append(m.pending, pending{requestID: r.ID, sentAt: now, firstOutputDelay: r.FirstOutputDelay, prefillTime: r.PrefillTime})
	m.history.RecordStart(now)
}

// recordFirstOutput records the first output of a request of this process, which was sent at
// startedAt.
func (m *member) recordFirstOutput(now, startedAt time.Time, requestID uint64) {
	m.correct(now, requestID)
	m.removePending(requestID)
	if startedAt.After(m.acceptedAt) {
		m.acceptedAt = startedAt
	}
	if m.onProbation && (m.wasSilent || startedAt.After(m.pausedAt)) {
		m.pausedUntil, m.onProbation = time.Time{}, false
	}
}

// correct compares the first output of a request to the reported load.
func (m *member) correct(now time.Time, requestID uint64) {
	i := slices.IndexFunc(m.pending, func(p pending) bool { return p.requestID == requestID })
	if i < 0 || now.Sub(m.updatedAt) >= maxReportAge {
		return
	}
	p := m.pending[i]
	expected := m.slowed(p.firstOutputDelay)
	m.correction = m.correction.WithFirstOutput(now, now.Sub(p.sentAt), expected, m.claim())
	if now.Sub(p.sentAt) > expected+firstOutputTolerance {
		m.credibility = m.credibility.WithLateOutput(now, p.sentAt, m.capacity())
	}
}

// recordEnd records the end of a request of this process, which was sent at startedAt, and
// pauses the endpoint after failures.
func (m *member) recordEnd(now, startedAt time.Time, r Result) {
	m.localRequests = max(m.localRequests-1, 0)
	m.history.RecordEnd(now)
	switch r {
	case ResultAnswered:
		m.failures, m.losses, m.pauses = 0, 0, 0
		m.pausedUntil, m.onProbation = time.Time{}, false
	case ResultFailed:
		m.losses = 0
		if m.failures++; m.failures >= failuresToPause {
			m.pause(now, r)
		}
	case ResultConnectionLost:
		if m.losses++; m.losses >= lossesToPause {
			m.pause(now, r)
		}
	case ResultUnreachable:
		m.pause(now, r)
	case ResultSilent:
		m.recordSilence(now, startedAt)
	case ResultRefused:
		m.pausedUntil = now.Add(refusedPause)
		if now.Sub(m.updatedAt) < maxReportAge {
			m.correction = m.correction.WithRefusal(now, m.claim())
		}
	case ResultMisdirected:
		m.recordMisdirected(now)
	case ResultCanceled:
	}
}

// recordSilence records that a request that was sent at startedAt has no output. All requests
// of an endpoint fall silent at once, which is one failure.
func (m *member) recordSilence(now, startedAt time.Time) {
	if m.pauses == 0 || startedAt.After(m.pausedAt) {
		m.pause(now, ResultSilent)
	}
}

// pause excludes the endpoint from selection after a result, for longer each time.
func (m *member) pause(now time.Time, r Result) {
	m.pausedAt, m.pausedUntil = now, now.Add(min(minPause<<min(m.pauses, 8), maxPause))
	m.pauses++
	m.onProbation, m.wasSilent = true, r == ResultSilent
	m.failures, m.losses = 0, 0
}

// isProbed reports whether the endpoint has as many requests as it gets after a backoff until
// it has accepted one. All entries return to it at about the same time.
func (m *member) isProbed(now time.Time, senders int) bool {
	end := m.advice.BackoffEnd()
	if end.IsZero() || !m.acceptedAt.Before(end) {
		return false
	}
	probes := 0
	for _, p := range m.pending {
		if !p.sentAt.Before(end) && now.Sub(p.sentAt) < pendingTimeout {
			probes++
		}
	}
	return float64(probes) >= max(math.Floor(returnShare*m.capacity()/float64(max(senders, 1))), 1)
}

// isOnProbation reports whether the endpoint has shown nothing since it was last paused. Such
// an endpoint gets one request at a time.
func (m *member) isOnProbation() bool { return m.onProbation }

// canRun reports whether the endpoint is ready and eligible for a request.
func (m *member) canRun(r Request) bool {
	return !m.Evacuated && !slices.Contains(r.ExcludeZones, m.AvailabilityZone) && m.canRunAnywhere(r)
}

// canRunAnywhere reports whether the endpoint could run a request if its zone were not
// evacuated.
func (m *member) canRunAnywhere(r Request) bool {
	if r.Regions != nil && !slices.Contains(r.Regions, m.Region) {
		return false
	}
	return m.Ready && !m.unready && !m.advice.IsLeaving() && (r.Version == 0 || m.Version == r.Version) && m.Version >= r.MinVersion && !slices.Contains(r.Exclude, m.ID)
}
