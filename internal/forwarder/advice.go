package forwarder

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/logger"
)

// recordAdvice records what an answer says about the requests that its endpoint accepts, and
// logs changes.
func (f *Forwarder) recordAdvice(a *attempt, info ResponseInfo) {
	now := f.cfg.Clock()
	before, after := a.dispatcher.recordAnswer(now, a.endpoint.ID, a.endpoint.Born, info.Advice)
	fields := []zap.Field{zap.String("endpoint", a.endpoint.ID), zap.String("request_id", a.call.RequestID)}
	if info.AdviceProblem != "" && f.adviceProblems.isDue(now, a.endpoint.ID) {
		logger.Log(f.cfg.Logger, logger.AdviceUnreadable, append(fields, zap.String("problem", info.AdviceProblem))...)
	}
	if after.IsLeaving() && !before.IsLeaving() {
		f.cfg.Metrics.Add("endpoints_leaving", 1)
		logger.Log(f.cfg.Logger, logger.EndpointLeaving, fields...)
	}
	if after.InBackoff(now) && !before.InBackoff(now) {
		f.cfg.Metrics.Add("endpoint_backoffs", 1)
		logger.Log(f.cfg.Logger, logger.EndpointBackoff, append(fields, zap.Duration("backoff", info.Advice.Backoff))...)
	}
	if after.Limit() != before.Limit() {
		f.cfg.Metrics.Add("endpoint_limits_changed", 1)
		logger.Log(f.cfg.Logger, logger.EndpointLimited, append(fields, zap.Float64("limit", after.Limit()), zap.Float64("before", before.Limit()))...)
	}
}

// logEndedBackoffs logs the endpoints that accept requests again. It checks now and then only,
// as it goes through all endpoints. It must not be called concurrently.
func (f *Forwarder) logEndedBackoffs(now time.Time) {
	if now.Before(f.nextBackoffCheck) {
		return
	}
	f.nextBackoffCheck = now.Add(backoffCheckInterval)
	f.dispatchers.each(func(dp *dispatcher) {
		for _, id := range dp.endedBackoffs(now) {
			logger.Log(f.cfg.Logger, logger.EndpointBackoffEnded, zap.String("endpoint", id))
		}
	})
}

// backoffCheckInterval is the time between checks for ended backoffs, and the delay of their
// log lines at most.
const backoffCheckInterval = time.Second

// adviceProblemInterval is the time between log lines about one endpoint's headers.
const adviceProblemInterval = time.Minute

// adviceProblems holds when the headers of endpoints were last logged as not plausible.
type adviceProblems struct {
	mu       sync.Mutex
	loggedAt map[string]time.Time
}

// isDue reports whether to log a problem of an endpoint now.
func (p *adviceProblems) isDue(now time.Time, endpoint string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, at := range p.loggedAt {
		if now.Sub(at) >= adviceProblemInterval {
			delete(p.loggedAt, id)
		}
	}
	if _, isRecent := p.loggedAt[endpoint]; isRecent {
		return false
	}
	if p.loggedAt == nil {
		p.loggedAt = map[string]time.Time{}
	}
	p.loggedAt[endpoint] = now
	return true
}
