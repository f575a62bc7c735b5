package balancer

import (
	"maps"
	"slices"
	"time"

	"flamingoledge.org/flamingoledge/pkg/forecaster"
)

// Exclusion is why a request is not sent to an endpoint.
type Exclusion string

// Exclusions of an endpoint.
const (
	// ExclusionNone means that the request may be sent to the endpoint.
	ExclusionNone Exclusion = ""
	// ExclusionEvacuated means that the endpoint's availability zone is evacuated.
	ExclusionEvacuated Exclusion = "evacuated"
	// ExclusionRegion means that neither route nor workspace allow the endpoint's region.
	ExclusionRegion Exclusion = "region"
	// ExclusionNotReady means that the endpoint is draining, or has not loaded what its
	// service needs.
	ExclusionNotReady Exclusion = "not_ready"
	// ExclusionLeaving means that the endpoint has said that it is leaving.
	ExclusionLeaving Exclusion = "leaving"
	// ExclusionVersion means that the endpoint has another version than the request needs, or
	// an older one than others that are available.
	ExclusionVersion Exclusion = "version"
	// ExclusionTried means that the request was sent to the endpoint already, or would arrive
	// there too late to begin before the bound of its version.
	ExclusionTried Exclusion = "tried"
	// ExclusionUnreported means that the endpoint does not report its load to this process.
	ExclusionUnreported Exclusion = "unreported"
	// ExclusionPaused means that requests failed at the endpoint, or that it has just refused
	// one.
	ExclusionPaused Exclusion = "paused"
	// ExclusionBackoff means that the endpoint has said that it accepts no request now.
	ExclusionBackoff Exclusion = "backoff"
	// ExclusionCold means that this process has used its share of a cold endpoint.
	ExclusionCold Exclusion = "cold"
	// ExclusionSilent means that a first output of the endpoint is long overdue.
	ExclusionSilent Exclusion = "silent"
	// ExclusionFull means that no slot of the endpoint is free for this process.
	ExclusionFull Exclusion = "full"
	// ExclusionSwitch means that the endpoint is due to switch versions before the request is
	// expected to end, and another endpoint can run it.
	ExclusionSwitch Exclusion = "switch"
	// ExclusionPrefill means that the endpoint has too many prompts to prefill before.
	ExclusionPrefill Exclusion = "prefill"
)

// Candidate is an endpoint of the service as this process sees it.
type Candidate struct {
	Endpoint Endpoint
	// Load is the estimated number of requests at the endpoint, Capacity how many it runs at
	// full speed, and Local how many are of this process, which may have Limit of them.
	Load, Capacity float64
	Local, Limit   int
	// ReportAge is the age of the last report; negative if there was none. Pace is how long work
	// takes, with 1 as usual.
	ReportAge time.Duration
	Pace      float64
	// Cost orders the candidates, with the random part for those that are not excluded.
	Cost      float64
	Exclusion Exclusion
	// Until is when the exclusion ends at the latest, if that is known.
	Until time.Time
}

// Explanation is what would become of a request now.
type Explanation struct {
	// Decision is what Offer would return.
	Decision   Decision
	Candidates []Candidate
	// Ahead is the number of queued requests that start before it, and ExpectedWait the time
	// that it is expected to wait in the queue; 0 if unknown. MustQueue is set if it may not
	// start before the queued ones.
	Ahead        int
	ExpectedWait time.Duration
	MustQueue    bool
	// ReservedSlots is the number of free slots that are left to more urgent requests, and
	// FreeSlots the number of slots that are free for this process.
	ReservedSlots, FreeSlots float64
	// Admitted and Share are the verdict of admission.
	Admitted bool
	Share    float64
}

// Explain returns what Offer would decide about a request now, and why. It changes nothing: it
// decides with a copy of the balancer.
func (b *Balancer) Explain(now time.Time, r Request) (e Explanation) {
	c := b.clone()
	c.updateUnready(now)
	j := c.judged(now, r)
	e.Ahead, e.MustQueue = c.position(j), c.mustQueue(j)
	e.ExpectedWait = c.expectedWait(e.Ahead)
	e.ReservedSlots, e.FreeSlots = j.reservedSlots, c.freeSlots(now)
	e.Admitted, e.Share = j.verdict.Admitted, j.verdict.Share
	e.Candidates = c.candidates(now, j)
	e.Decision = b.clone().Offer(now, r)
	return e
}

// clone returns a balancer that decides like b and shares no state with it. The history of an
// endpoint's requests is left out, as only reports of the load use it.
func (b *Balancer) clone() *Balancer {
	c := *b
	c.members, c.memberList = make(map[string]*member, len(b.members)), make([]*member, 0, len(b.memberList))
	for _, m := range b.memberList {
		copied := *m
		copied.history, copied.pending = forecaster.History{}, slices.Clone(m.pending)
		c.members[m.ID] = &copied
		c.memberList = append(c.memberList, &copied)
	}
	c.waiting, c.departed, c.running = slices.Clone(b.waiting), maps.Clone(b.departed), maps.Clone(b.running)
	c.serviceTimes.ratios = maps.Clone(b.serviceTimes.ratios)
	if b.admission.shedder != nil {
		c.admission.shedder = b.admission.shedder.Clone()
	}
	return &c
}

// candidates returns all endpoints, those with the lowest cost first and excluded ones last.
func (b *Balancer) candidates(now time.Time, r Request) (out []Candidate) {
	usesUnreported := !b.canRunReported(r)
	if b.isSwitchNear(now) {
		before := r
		before.duration, before.beforeSwitches = b.normalSlotTime(r), true
		if b.pickLeastLoaded(now, before) != nil || b.mayWait(now, before) {
			r = before
		}
	}
	if r.PreferredVersion > r.MinVersion {
		preferred := r
		preferred.MinVersion = r.PreferredVersion
		if b.pickLowestCost(now, preferred, usesUnreported) != nil {
			r = preferred
		}
	}
	costs := maps.Collect(b.costs(now, r, usesUnreported))
	for _, m := range b.memberList {
		c := Candidate{
			Endpoint: m.Endpoint, Load: m.load(now, b.cfg.Senders), Capacity: m.capacity(), Local: m.localRequests, Limit: m.localLimit,
			ReportAge: -time.Millisecond, Pace: max(m.slowdown, 1),
		}
		if !m.reportedAt.IsZero() {
			c.ReportAge = now.Sub(m.reportedAt)
		}
		cost, isAvailable := costs[m]
		if c.Cost = cost; !isAvailable {
			c.Exclusion, c.Until = b.exclusion(now, m, r, usesUnreported)
			c.Cost = b.cost(now, m, m.slowed(m.prefillBacklog(now, r.PrefillTime)), 0)
		}
		out = append(out, c)
	}
	slices.SortStableFunc(out, compareCandidates)
	return out
}

func compareCandidates(a, b Candidate) int {
	switch isA, isB := a.Exclusion == ExclusionNone, b.Exclusion == ExclusionNone; {
	case isA != isB && isA:
		return -1
	case isA != isB:
		return 1
	case a.Cost < b.Cost:
		return -1
	case a.Cost > b.Cost:
		return 1
	default:
		return 0
	}
}

// exclusion returns why a request is not sent to an endpoint that costs does not have.
func (b *Balancer) exclusion(now time.Time, m *member, r Request, usesUnreported bool) (Exclusion, time.Time) {
	if !m.canRun(r) {
		return m.ineligibility(r)
	}
	next := b.nextAt(now, m)
	switch {
	case m.Unreported && !usesUnreported:
		return ExclusionUnreported, time.Time{}
	case now.Before(m.pausedUntil):
		return ExclusionPaused, m.pausedUntil
	case now.Before(m.advice.NextAt()):
		return ExclusionBackoff, next
	case now.Before(next):
		return ExclusionCold, next
	case m.isOnProbation() && m.localRequests > 0:
		return ExclusionPaused, time.Time{}
	case m.isStuck(now):
		return ExclusionSilent, time.Time{}
	case m.isDelayedBy(now, r):
		return ExclusionSwitch, m.switchAt
	case b.isLeftToHome(now, m):
		return ExclusionFull, time.Time{}
	case m.canAccept(now, b.cfg.Senders) && !m.isProbed(now, b.cfg.Senders) && b.leavesSlots(now, m, r):
		return ExclusionPrefill, time.Time{}
	default:
		return ExclusionFull, time.Time{}
	}
}

// ineligibility returns why the endpoint can't run a request, as canRun finds.
func (m *member) ineligibility(r Request) (Exclusion, time.Time) {
	switch {
	case m.Evacuated || slices.Contains(r.ExcludeZones, m.AvailabilityZone):
		return ExclusionEvacuated, time.Time{}
	case r.Regions != nil && !slices.Contains(r.Regions, m.Region):
		return ExclusionRegion, time.Time{}
	case !m.Ready || m.unready:
		return ExclusionNotReady, m.ReadyAt
	case m.advice.IsLeaving():
		return ExclusionLeaving, time.Time{}
	case slices.Contains(r.Exclude, m.ID):
		return ExclusionTried, time.Time{}
	default:
		return ExclusionVersion, time.Time{}
	}
}
