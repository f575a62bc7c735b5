package entryserver

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/valyala/fasthttp"
)

// Status is what an entry knows about itself and its sidecars.
type Status struct {
	Instance      string          `json:"instance"`
	Ready         bool            `json:"ready"`
	ThroughOffset uint64          `json:"through_offset"`
	StateDigest   string          `json:"state_digest"`
	Draining      bool            `json:"draining"`
	InFlight      int64           `json:"in_flight"`
	Unreadable    []string        `json:"unreadable,omitempty"`
	Sidecars      []SidecarStatus `json:"sidecars"`
}

// SidecarStatus is one attached sidecar in an entry's status.
type SidecarStatus struct {
	Instance      string          `json:"instance"`
	Region        string          `json:"region"`
	Service       string          `json:"service"`
	ThroughOffset uint64          `json:"through_offset"`
	Running       int             `json:"running"`
	Leaving       bool            `json:"leaving,omitempty"`
	Versions      []VersionStatus `json:"versions,omitempty"`
}

// VersionStatus is how far a sidecar is with a version.
type VersionStatus struct {
	Model         string `json:"model"`
	VersionDigest string `json:"version_digest"`
	ChunksHeld    int    `json:"chunks_held"`
	ChunksTotal   int    `json:"chunks_total"`
	Serving       bool   `json:"serving"`
}

func (s *Server) handleStatus(ctx *fasthttp.RequestCtx) {
	body, err := json.Marshal(s.Status())
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// Status returns what the entry knows now.
func (s *Server) Status() Status {
	v := s.board.View()
	st := Status{
		Instance:      s.cfg.Instance,
		Ready:         v.kept.Ready,
		ThroughOffset: v.kept.State.Through(),
		StateDigest:   v.kept.State.Digest().String(),
		Draining:      s.draining.Load(),
		InFlight:      s.inFlight.Load(),
		Unreadable:    slices.Sorted(maps.Keys(v.kept.Config.Unreadable)),
	}
	for _, name := range slices.Sorted(maps.Keys(v.sidecars)) {
		st.Sidecars = append(st.Sidecars, sidecarStatus(v.sidecars[name]))
	}
	return st
}

func sidecarStatus(sc sidecar) SidecarStatus {
	h := sc.heartbeat
	st := SidecarStatus{
		Instance:      h.GetInstance(),
		Region:        h.GetRegion(),
		Service:       h.GetService(),
		ThroughOffset: h.GetThroughOffset(),
		Running:       int(h.GetLoad().GetRunning()),
		Leaving:       h.GetLeaving(),
	}
	for _, v := range h.GetHeld() {
		st.Versions = append(st.Versions, VersionStatus{
			Model:         v.GetModel(),
			VersionDigest: v.GetVersionDigest(),
			ChunksHeld:    int(v.GetChunksHeld()),
			ChunksTotal:   int(v.GetChunksTotal()),
			Serving:       v.GetServing(),
		})
	}
	return st
}
