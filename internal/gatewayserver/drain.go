package gatewayserver

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/configurator"
	"flamingoledge.org/flamingoledge/internal/drainer"
	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/pkg/quiescer"
	"flamingoledge.org/flamingoledge/platform"
)

// drain withdraws readiness, keeps accepting requests until the platform's load
// balancer has noticed and waits for the requests in progress.
func (s *Server) drain(server *drainer.Server) {
	logger.Log(s.cfg.Logger, logger.ProcessDraining, zap.Int64("in_progress", s.forward.InFlight()))
	s.leaving.Store(true)
	grace := max(configurator.Seconds(s.cfg.Settings.Bounds.GraceSeconds)-stopMargin, 0)
	s.forward.StartDraining(quiescer.New(quiescer.Config{Grace: grace, RegularTime: regularTime, DeliveryTime: deliveryTime}, s.cfg.Clock()))
	deadline := time.Now().Add(grace)
	time.Sleep(min(deregisterDelay, grace))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	server.Drain(ctx)
}

// handleReady serves the readiness check of the platform's load balancer. The entry
// stays ready during an outage of the store once it has a configuration.
func (s *Server) handleReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.PathReady {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if s.leaving.Load() || s.board.View().config.table == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
