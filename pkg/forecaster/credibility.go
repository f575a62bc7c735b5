package forecaster

import "time"

const (
	// MinContradictionTime is how long a request has to be without an output before a report
	// has to contain it: more than it takes from an entry to an endpoint.
	MinContradictionTime = 200 * time.Millisecond
	// maxMissingRequests is how many of an entry's requests a report may lack. Answers that
	// their callers read slowly have ended at the endpoint, but not yet at the entry.
	maxMissingRequests = 2
	// doubtTime is how long a contradiction counts. It doubles with each further one, up to
	// maxDoubtTime, until a report contains the entry's requests.
	doubtTime    = 2 * time.Second
	maxDoubtTime = time.Minute
	// maxUnchangedTime is how long the claim of an idle endpoint may stay the same while most
	// slots of the others are in use. Such an endpoint gets requests of many entries, several
	// times in the time that a request takes.
	maxUnchangedTime = time.Second
	// lowUse is the share of the slots below which an endpoint has many free ones, and idleUse
	// that below which it is idle. They differ since a sound endpoint whose home has few callers
	// may stay half empty.
	lowUse  = 0.5
	idleUse = 0.1
)

// Credibility tells whether the reports of an endpoint agree with what is known of it. It is
// immutable; the zero value is that of an endpoint that was never doubted.
type Credibility struct {
	claimed        int
	unchangedSince time.Time
	reportedAt     time.Time
	// doubtedUntil is until when the last contradiction counts, contradictions their number
	// since a report has contained the entry's requests.
	doubtedUntil   time.Time
	contradictions int
	// isImplausible is set if the claim has not changed for too long. isTried is set if this
	// entry believes it nevertheless until triedUntil.
	isImplausible, isTried bool
	triedUntil             time.Time
}

// Report is a report of an endpoint and what the entry knows of the time of its measurement.
type Report struct {
	MeasuredAt time.Time
	// Claimed is the number of requests in the report.
	Claimed int
	// Own is the number of the entry's requests, and Waiting that of those that have had no
	// output for MinContradictionTime.
	Own, Waiting int
	// Capacity is the number of requests that run at full speed.
	Capacity float64
	// FleetUse is the share of the capacity of all endpoints that is in use.
	FleetUse float64
	// Senders is the number of entries that get the report.
	Senders int
}

// WithReport returns the credibility after a report. random in [0, 1) selects the entry that
// tries an endpoint which all doubt.
func (c Credibility) WithReport(r Report, random float64) Credibility {
	if c.unchangedSince.IsZero() || r.Claimed != c.claimed {
		c.unchangedSince = r.MeasuredAt
	}
	c.claimed, c.reportedAt = r.Claimed, r.MeasuredAt
	switch {
	case r.Claimed < r.Waiting || r.Own-r.Claimed > maxMissingRequests:
		c = c.withContradiction(r.MeasuredAt)
	case r.Own > 0 && r.Claimed > 0:
		c.doubtedUntil, c.contradictions = time.Time{}, 0
	}
	isIdle := float64(r.Claimed) < idleUse*r.Capacity
	c.isImplausible = isIdle && r.FleetUse > lowUse && r.MeasuredAt.Sub(c.unchangedSince) >= maxUnchangedTime
	if !r.MeasuredAt.Before(c.triedUntil) {
		c.isTried, c.triedUntil = random*float64(r.Senders) < 1, r.MeasuredAt.Add(maxUnchangedTime)
	}
	return c
}

// WithLateOutput returns the credibility after a first output which was so late that the
// request, sent at sentAt, has waited for a slot. capacity is as in Report.
func (c Credibility) WithLateOutput(now, sentAt time.Time, capacity float64) Credibility {
	if c.reportedAt.Before(sentAt) || float64(c.claimed) >= lowUse*capacity {
		return c
	}
	return c.withContradiction(now)
}

// withContradiction returns the credibility after a report that can't be true.
func (c Credibility) withContradiction(at time.Time) Credibility {
	if at.Before(c.doubtedUntil) {
		return c
	}
	c.doubtedUntil = at.Add(min(doubtTime<<min(c.contradictions, 10), maxDoubtTime))
	c.contradictions++
	return c
}

// IsDoubted reports whether the reports of the endpoint can't be used.
func (c Credibility) IsDoubted(now time.Time) bool {
	return now.Before(c.doubtedUntil) || c.isImplausible && !c.isTried
}
