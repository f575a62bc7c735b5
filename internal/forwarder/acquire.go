package forwarder

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/pkg/balancer"
	"flamingoledge.org/flamingoledge/pkg/predictor"
	"flamingoledge.org/flamingoledge/pkg/shedder"
)

// acquireEndpoint waits for an endpoint that can run the call.
func (f *Forwarder) acquireEndpoint(c *call) (balancer.Decision, *Problem) {
	dp := f.dispatchers.get(c.service)
	f.recordOffer(c, dp)
	var d balancer.Decision
	var r balancer.Request
	// zones were evacuated so recently that the balancer did not know.
	var zones []string
	for {
		startedAt := f.cfg.Clock()
		if p := f.checkStop(c, startedAt); p != nil {
			return d, f.orUnknownOutcome(c, p)
		}
		var err error
		r = f.withinStop(c, f.balancerRequest(c, startedAt))
		r.ExcludeZones = zones
		d, err = dp.awaitDecision(c.ctx, f.stopBegun(), f.cfg.Clock, r)
		c.waitTime += f.cfg.Clock().Sub(startedAt)
		if d.Declining > 0 {
			f.cfg.Metrics.Add("requests_kept_from_endpoints", 1)
		}
		if errors.Is(err, errRevised) {
			continue
		}
		if err != nil {
			return d, f.canceledProblem(c)
		}
		if d.Outcome != balancer.OutcomeStarted {
			break
		}
		c.isAdmitted = true
		// The conditions may have changed while the request was waiting.
		p := f.checkAllowed(c, f.cfg.RoutingState())
		now := f.cfg.Clock()
		isEvacuated := f.isEvacuated(d.Endpoint)
		if p == nil && !isEvacuated && f.mayBegin(c, d.Endpoint, now) {
			f.recordAdmission(c, dp, r, d, retryTime{})
			return d, nil
		}
		if isEvacuated {
			zones = append(zones, d.Endpoint.AvailabilityZone)
			f.recordRedecidedByEvacuation()
		}
		dp.recordEnd(now, d.Endpoint.ID, d.ID, balancer.ResultCanceled)
		if p != nil {
			return d, f.orUnknownOutcome(c, p)
		}
		// The endpoint's version has become too old or its zone was evacuated, also if that
		// was while the check waited for probes.
	}
	return d, f.refuse(c, dp, r, d)
}

// refuse returns the problem of a call that the balancer refused.
func (f *Forwarder) refuse(c *call, dp *dispatcher, r balancer.Request, d balancer.Decision) *Problem {
	if d.Evacuated > 0 {
		f.recordRefusedByEvacuation()
	}
	if c.unknownOutcome != nil {
		return f.unknownOutcome(c)
	}
	if p := f.checkStop(c, f.cfg.Clock()); p != nil {
		f.recordAdmission(c, dp, r, d, retryTime{delay: p.RetryAfter})
		return p
	}
	code := CodeBusy
	if d.Outcome == balancer.OutcomeNoEndpoint {
		code = CodeNoEndpoint
	}
	told := f.retryAfter(c, dp, d)
	f.recordAdmission(c, dp, r, d, told)
	return notRun(code, told.delay, "%s, %d waiting, waited %d ms, first sent %d ms before, %d endpoints accept none now, %d are in evacuated zones", refusalReason(d), d.Waiting, c.waitTime.Milliseconds(), c.receivedAt.Sub(c.firstSentAt).Milliseconds(), d.Declining, d.Evacuated)
}

// orUnknownOutcome returns why another attempt of a call is not allowed, unless an earlier one may
// have run the request.
func (f *Forwarder) orUnknownOutcome(c *call, p *Problem) *Problem {
	if c.unknownOutcome != nil {
		return f.unknownOutcome(c)
	}
	return p
}

// refusalReason describes why the balancer refused a request.
func refusalReason(d balancer.Decision) string {
	switch {
	case d.Outcome == balancer.OutcomeNoEndpoint:
		return "no endpoint can run the request"
	case d.Cause == shedder.CausePriority:
		return fmt.Sprintf("%.2f of this priority are admitted", d.Share)
	case d.Cause == shedder.CauseWorkspace:
		return fmt.Sprintf("%.2f of this workspace's requests are admitted", d.Share)
	case d.Cause == shedder.CauseRepeat:
		return fmt.Sprintf("repeated while %.2f of this priority are admitted", d.Share)
	default:
		return "no slot is expected in time"
	}
}

// maxResumeWait is how long an interrupted stream waits for an endpoint that can go on.
// Its caller gives up after two seconds without an event.
const maxResumeWait = 1200 * time.Millisecond

// newBalancerRequest returns the balancer's description of a call, without the times until
// which it may wait.
func (f *Forwarder) newBalancerRequest(c *call, now time.Time) balancer.Request {
	r := balancer.Request{
		ID:               f.requestIDs.Add(1),
		Priority:         c.priority(),
		Exclude:          append(f.slowEndpoints(c, now), c.triedEndpoints...),
		Regions:          c.regions(),
		Version:          c.weightsVersion,
		MinVersion:       f.newestDue(c, now, newRequestMargin),
		PreferredVersion: f.newestDue(c, now, newRequestMargin+silenceMargin),
		FirstOutputDelay: f.firstByteEstimator.estimate(c),
		Random:           rand.Uint64(),
	}
	if c.workspace != nil {
		r.Workspace = c.workspace.Name
	}
	if c.engine != nil {
		r.PrefillTime = predictor.PrefillTime(c.engine, c.prompt())
		r.SlotTime = slotTime(c, c.answerTokens())
	}
	// The ID tells apart the requests of a workspace with the same content.
	r.Rank = shedder.Rank(c.fingerprint, xxhash.Sum64String(c.RequestID))
	r.Admitted = c.isAdmitted
	return r
}

// slotTime returns how long a call whose answer has a number of tokens is expected to occupy a slot
// of an engine that is otherwise full.
func slotTime(c *call, answerTokens int) time.Duration {
	e := c.engine
	passes := (answerTokens + e.Stride - 1) / max(e.Stride, 1)
	context := float64(c.prompt()) + float64(answerTokens)/2
	return predictor.TimeToFirstToken(e, e.Slots, 0, c.prompt()) + time.Duration(max(passes-1, 0))*predictor.PassTime(e, e.Slots, context)
}

// balancerRequest returns the balancer's description of a call.
func (f *Forwarder) balancerRequest(c *call, now time.Time) balancer.Request {
	r := f.newBalancerRequest(c, now)
	r.Repeat = c.isRepeat()
	r.FirstOutputBy = c.firstSentAt.Add(c.route.Objective)
	r.StartBy = r.FirstOutputBy.Add(-r.FirstOutputDelay)
	if c.deliveredEvents > 0 {
		// The objective is that of the first output, which the caller has.
		r.Resumed, r.Repeat = true, false
		r.StartBy = now.Add(min(maxResumeWait, c.answerDeadline.Sub(now)/2))
		r.FirstOutputBy = r.StartBy.Add(r.FirstOutputDelay)
	}
	r.Kept = r.Repeat && c.isPunctual()
	switch {
	case r.StartBy.After(now):
	case r.Kept:
		r.StartBy = now.Add(min(maxKeptWait, c.answerDeadline.Sub(now)/4))
		r.FirstOutputBy = r.StartBy.Add(r.FirstOutputDelay)
	default:
		r.Late = true
		r.StartBy = now.Add(f.lateWait(c, now))
	}
	return r
}

// logRoute logs the endpoint chosen for a call and the state that the choice was based
// on. For an endpoint with an old version, that includes the time until its version bound,
// which tells a late begin at the endpoint from a naming time that is known wrongly.
func (f *Forwarder) logRoute(c *call, d balancer.Decision, now time.Time) {
	fields := []zap.Field{
		zap.String("request_id", c.RequestID), zap.String("service", c.service), zap.Int("priority", c.priority()), zap.String("endpoint", d.Endpoint.ID),
		zap.Float64("load", d.Load), zap.Duration("load_age", d.LoadAge), zap.Int("waiting", d.Waiting), zap.Int("declining", d.Declining),
		zap.Duration("waited", c.waitTime), zap.Duration("since_first_send", c.receivedAt.Sub(c.firstSentAt)), zap.Uint64("weights", c.weightsVersion), zap.Uint64("config_version", c.configVersion),
		zap.Duration("config_age", c.configAge), zap.Int("sends", c.sendCount),
	}
	if bound := f.beginBound(c, d.Endpoint); !bound.IsZero() {
		fields = append(fields, zap.Duration("bound_left", bound.Sub(now)))
	}
	logger.Log(f.cfg.Logger, logger.RouteChosen, fields...)
}
