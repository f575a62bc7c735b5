package forwarder

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/pkg/balancer"
	"flamingoledge.org/flamingoledge/pkg/predictor"
)

// place waits for an endpoint.
func (f *Forwarder) place(c *call) (balancer.Decision, *Problem) {
	began := f.cfg.Clock()
	r := f.request(c, began)
	g := f.gates.of(c.service)
	d, err := g.enter(c.ctx, f.cfg.Clock, r)
	now := f.cfg.Clock()
	c.waited += now.Sub(began)
	if err != nil {
		return d, f.ended(c)
	}
	if d.Outcome == balancer.OutcomeStarted {
		// What held when the request came may have changed while it waited.
		if p := f.mayStart(c, f.cfg.RoutingState()); p != nil {
			g.ended(now, d.Endpoint.ID, d.ID, balancer.ResultLeft)
			if c.unknown != nil {
				// An earlier attempt may have run it, whatever forbids another one.
				return d, f.unknown(c)
			}
			return d, p
		}
		return d, nil
	}
	if c.unknown != nil {
		return d, f.unknown(c)
	}
	code := CodeBusy
	if d.Outcome == balancer.OutcomeNoEndpoint {
		code = CodeNoEndpoint
	}
	return d, notRun(code, d.RetryAfter, "%d waiting, waited %d ms", d.Waiting, c.waited.Milliseconds())
}

// request says what a call needs of an endpoint.
func (f *Forwarder) request(c *call, now time.Time) balancer.Request {
	r := balancer.Request{
		ID:       f.ids.Add(1),
		Priority: c.priority(),
		Exclude:  c.tried,
		Version:  c.weights,
		Random:   rand.Uint64(),
	}
	if c.workspace != nil {
		r.Workspace = c.workspace.Name
	}
	r.First = f.paces.expected(c)
	r.FirstBy = c.began.Add(c.route.Objective)
	r.StartBy = r.FirstBy.Add(-r.First)
	if c.engine != nil {
		r.Read = predictor.Read(c.engine, c.prompt())
	}
	if !r.StartBy.After(now) {
		r.Late = true
		r.StartBy = now.Add(min(lateWait, c.answerBy.Sub(now)/4))
	}
	r.LeastVersion = f.leastVersion(c, now)
	return r
}

func (f *Forwarder) logRoute(c *call, d balancer.Decision) {
	logger.Log(f.cfg.Logger, logger.RouteChosen,
		zap.String("request_id", c.RequestID), zap.String("service", c.service), zap.String("endpoint", d.Endpoint.ID),
		zap.Float64("load", d.Load), zap.Duration("load_age", d.LoadAge), zap.Int("waiting", d.Waiting),
		zap.Duration("waited", c.waited), zap.Uint64("weights", c.weights), zap.Uint64("config_version", c.version),
		zap.Duration("config_age", c.proofAge), zap.Int("sends", c.sends))
}
