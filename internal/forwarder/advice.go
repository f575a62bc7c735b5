package forwarder

import (
	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/pkg/advisor"
)

// recordAdvice records what an answer says about the requests that its endpoint accepts, and
// logs changes.
func (f *Forwarder) recordAdvice(a *attempt, answer advisor.Answer) {
	before, after := a.dispatcher.recordAnswer(f.cfg.Clock(), a.endpoint.ID, answer)
	fields := []zap.Field{zap.String("endpoint", a.endpoint.ID), zap.String("request_id", a.call.RequestID)}
	if after.IsLeaving() && !before.IsLeaving() {
		f.cfg.Metrics.Add("endpoints_leaving", 1)
		logger.Log(f.cfg.Logger, logger.EndpointLeaving, fields...)
	}
	if after.Limit() != before.Limit() {
		f.cfg.Metrics.Add("endpoint_limits_changed", 1)
		logger.Log(f.cfg.Logger, logger.EndpointLimited, append(fields, zap.Float64("limit", after.Limit()), zap.Float64("before", before.Limit()))...)
	}
}
