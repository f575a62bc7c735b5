package sidecarserver

import (
	"context"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/endpointclient"
	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/pkg/placer"
	"flamingoledge.org/flamingoledge/pkg/provider"
)

// orderTimeout bounds the wait for the response to an order. After a timeout the
// effect of the order is unknown, and the endpoint's state is read back.
const orderTimeout = 5 * time.Second

// sendOrder sends an order under the fencing number and checks the lease directly
// before and after it. Whatever the response, the next reconcile step reads the
// effect of the order from the endpoint's state.
func (r *rollout) sendOrder(ctx context.Context, o endpointclient.Order, recordOffset uint64) {
	number, err := r.server.lease.check(time.Now())
	if err != nil {
		r.logWithheld(err)
		return
	}
	o.OrderID = uuid.Must(uuid.NewV7()).String()
	o.Fencing = number
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	fields := []zap.Field{
		zap.String("order_id", o.OrderID), zap.String("kind", string(o.Kind)), zap.Uint64("fencing", o.Fencing),
		zap.String("version_digest", o.VersionDigest), zap.Uint64("record_offset", recordOffset),
	}
	err = r.server.cfg.Endpoint.SendOrder(ctx, o)
	r.auditOrder(o, recordOffset, err)
	if err != nil {
		logger.Log(r.server.cfg.Logger, logger.OrderFailed, append(fields, zap.Error(err))...)
		return
	}
	logger.Log(r.server.cfg.Logger, logger.OrderGiven, fields...)
	if _, err = r.server.lease.check(time.Now()); err != nil {
		// A newer incarnation may have sent orders meanwhile, so the count of
		// matching reports starts again.
		r.confirmations[o.VersionDigest] = 0
		r.logWithheld(err)
	}
}

// auditOrder adds an audit entry for an order; err is the result of sending it.
func (r *rollout) auditOrder(o endpointclient.Order, recordOffset uint64, err error) {
	e := provider.AuditEntry{
		Kind: provider.AuditOrder, OrderID: o.OrderID, OrderKind: string(o.Kind), Fencing: o.Fencing,
		Model: o.Model, VersionDigest: o.VersionDigest, RecordOffset: recordOffset,
	}
	if err != nil {
		e.Problem = err.Error()
	}
	r.server.audit.Add(time.Now(), e)
}

// logWithheld logs that an order was not sent or is not relied on, because the lease
// is not valid.
func (r *rollout) logWithheld(err error) {
	logger.Log(r.server.cfg.Logger, logger.OrderWithheld, zap.Error(err))
}

// mayUnloadPrevious reports whether it is this replica's turn to stop serving the
// previous version before it serves the new one.
func (r *rollout) mayUnloadPrevious(v *state, d desiredVersion) bool {
	return placer.CanSwitchVersion(d.rank, v.serving[d.versionDigest], len(d.members))
}
