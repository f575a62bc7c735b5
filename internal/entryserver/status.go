package entryserver

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/valyala/fasthttp"

	"flamingoledge.org/flamingoledge/internal/reporter"
)

func (s *Server) handleStatus(ctx *fasthttp.RequestCtx) {
	body, err := json.Marshal(s.Status())
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// Status returns the current state of the entry and its attached sidecars.
func (s *Server) Status() reporter.Status {
	v := s.board.View()
	st := reporter.Status{
		Instance:      s.cfg.Instance,
		Ready:         v.configuration.Ready,
		ThroughOffset: v.configuration.State.LastOffset(),
		StateDigest:   v.configuration.State.Digest().String(),
		Draining:      s.draining.Load(),
		InFlight:      s.inFlight.Load(),
		Unreadable:    slices.Sorted(maps.Keys(v.configuration.Config.Unreadable)),
	}
	for _, zone := range slices.Sorted(maps.Keys(v.configuration.Config.Evacuations)) {
		r := v.configuration.Config.Evacuations[zone]
		st.Evacuations = append(st.Evacuations, reporter.EvacuationStatus{AvailabilityZone: zone, RecordOffset: r.Offset, Reason: r.Body.Reason})
	}
	for _, name := range slices.Sorted(maps.Keys(v.sidecars)) {
		st.Sidecars = append(st.Sidecars, sidecarStatus(v.sidecars[name]))
	}
	return st
}

func sidecarStatus(sc sidecar) reporter.SidecarStatus {
	h := sc.heartbeat
	st := reporter.SidecarStatus{
		Instance:         h.GetInstance(),
		Region:           h.GetRegion(),
		AvailabilityZone: h.GetAvailabilityZone(),
		Service:          h.GetService(),
		ThroughOffset:    h.GetThroughOffset(),
		Running:          int(sc.liveness.running.Load()),
		Leaving:          h.GetLeaving(),
	}
	for _, v := range h.GetHeld() {
		st.Versions = append(st.Versions, reporter.VersionStatus{
			Model:         v.GetModel(),
			VersionDigest: v.GetVersionDigest(),
			ChunksHeld:    int(v.GetChunksHeld()),
			ChunksTotal:   int(v.GetChunksTotal()),
			Serving:       v.GetServing(),
		})
	}
	return st
}
