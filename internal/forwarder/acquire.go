package forwarder

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/pkg/balancer"
	"flamingoledge.org/flamingoledge/pkg/predictor"
)

// acquireEndpoint waits for an endpoint that can run the call.
func (f *Forwarder) acquireEndpoint(c *call) (balancer.Decision, *Problem) {
	dp := f.dispatchers.get(c.service)
	var d balancer.Decision
	for {
		startedAt := f.cfg.Clock()
		var err error
		d, err = dp.awaitDecision(c.ctx, f.cfg.Clock, f.balancerRequest(c, startedAt))
		c.waitTime += f.cfg.Clock().Sub(startedAt)
		if d.Declining > 0 {
			f.cfg.Metrics.Add("requests_kept_from_endpoints", 1)
		}
		if err != nil {
			return d, f.canceledProblem(c)
		}
		if d.Outcome != balancer.OutcomeStarted {
			break
		}
		// The conditions may have changed while the request was waiting.
		p := f.checkAllowed(c, f.cfg.RoutingState())
		now := f.cfg.Clock()
		if p == nil && f.mayBegin(c, d.Endpoint, now) {
			return d, nil
		}
		dp.recordEnd(now, d.Endpoint.ID, d.ID, balancer.ResultCanceled)
		if p != nil && c.unknownOutcome != nil {
			// An earlier attempt may have run the request, regardless of why another
			// one is not allowed.
			return d, f.unknownOutcome(c)
		}
		if p != nil {
			return d, p
		}
		// The endpoint's version has become too old, also if that was while the check
		// waited for probes.
	}
	if c.unknownOutcome != nil {
		return d, f.unknownOutcome(c)
	}
	code := CodeBusy
	if d.Outcome == balancer.OutcomeNoEndpoint {
		code = CodeNoEndpoint
	}
	return d, notRun(code, d.RetryAfter, "%d waiting, waited %d ms, first sent %d ms before, %d endpoints accept none now", d.Waiting, c.waitTime.Milliseconds(), c.receivedAt.Sub(c.firstSentAt).Milliseconds(), d.Declining)
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
	}
	return r
}

// balancerRequest returns the balancer's description of a call.
func (f *Forwarder) balancerRequest(c *call, now time.Time) balancer.Request {
	r := f.newBalancerRequest(c, now)
	r.Repeat = c.firstSentAt.Before(c.receivedAt)
	r.FirstOutputBy = c.firstSentAt.Add(c.route.Objective)
	r.StartBy = r.FirstOutputBy.Add(-r.FirstOutputDelay)
	if c.deliveredEvents > 0 {
		// The objective is that of the first output, which the caller has.
		r.Resumed, r.Repeat = true, false
		r.StartBy = now.Add(min(maxResumeWait, c.answerDeadline.Sub(now)/2))
		r.FirstOutputBy = r.StartBy.Add(r.FirstOutputDelay)
	}
	if !r.StartBy.After(now) {
		r.Late = true
		r.StartBy = now.Add(min(maxLateWait, c.answerDeadline.Sub(now)/4))
	}
	return r
}

// logRoute logs the endpoint chosen for a call and the state that the choice was based
// on. For an endpoint with an old version, that includes the time until its version bound,
// which tells a late begin at the endpoint from a naming time that is known wrongly.
func (f *Forwarder) logRoute(c *call, d balancer.Decision, now time.Time) {
	fields := []zap.Field{
		zap.String("request_id", c.RequestID), zap.String("service", c.service), zap.String("endpoint", d.Endpoint.ID),
		zap.Float64("load", d.Load), zap.Duration("load_age", d.LoadAge), zap.Int("waiting", d.Waiting), zap.Int("declining", d.Declining),
		zap.Duration("waited", c.waitTime), zap.Duration("since_first_send", c.receivedAt.Sub(c.firstSentAt)), zap.Uint64("weights", c.weightsVersion), zap.Uint64("config_version", c.configVersion),
		zap.Duration("config_age", c.configAge), zap.Int("sends", c.sendCount),
	}
	if bound := f.beginBound(c, d.Endpoint); !bound.IsZero() {
		fields = append(fields, zap.Duration("bound_left", bound.Sub(now)))
	}
	logger.Log(f.cfg.Logger, logger.RouteChosen, fields...)
}
