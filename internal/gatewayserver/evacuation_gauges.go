package gatewayserver

import (
	"context"
	"expvar"
	"time"

	"flamingoledge.org/flamingoledge/internal/sleeper"
)

// gaugeInterval is the time between updates of the gauges of evacuations.
const gaugeInterval = time.Second

// evacuationGauges are metrics of the evacuated zones as this entry knows them.
type evacuationGauges struct {
	zones, endpoints, requests, cold expvar.Int
}

// register adds the gauges to the metrics.
func (g *evacuationGauges) register(metrics *expvar.Map) {
	metrics.Set("zones_evacuated", &g.zones)
	metrics.Set("endpoints_evacuated", &g.endpoints)
	metrics.Set("requests_in_evacuated_zones", &g.requests)
	metrics.Set("endpoints_cold", &g.cold)
}

// updateGauges updates the gauges of evacuations until ctx ends.
func (s *Server) updateGauges(ctx context.Context) {
	s.gauges.register(s.cfg.Metrics)
	for sleeper.Sleep(ctx, gaugeInterval) {
		c := s.forward.EndpointCounts(s.cfg.Clock())
		s.gauges.zones.Set(int64(len(s.board.View().config.evacuations.Evacuated())))
		s.gauges.endpoints.Set(int64(c.Evacuated))
		s.gauges.requests.Set(int64(c.RequestsInEvacuated))
		s.gauges.cold.Set(int64(c.Cold))
	}
}
