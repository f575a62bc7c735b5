// Package subscriber selects the endpoints whose load an entry needs to know and how
// often it needs a report.
//
// The load that determines the design is the number of load reports: if each endpoint's
// load is reported to each entry whenever it changes, the reports grow with the product
// of both, and at a few hundred endpoints they take more processor time than the
// requests. Most of an entry's requests go to the endpoints that have their home at it.
// These are reported at every change. The others serve what exceeds the capacity of
// those, so a bounded number of them is reported, at a bounded rate.
package subscriber

import (
	"slices"
	"time"

	"flamingoledge.org/flamingoledge/pkg/ranker"
)

// Endpoint is an endpoint that a process may send requests to.
type Endpoint struct {
	ID     string
	Region string
	// IsHome is set if the endpoint has its home at this process.
	IsHome bool
}

// Config configures a selection.
type Config struct {
	// Self is the name of this process, Region its region.
	Self   string
	Region string
	// HomeInterval is the shortest time between two reports of an endpoint with its
	// home here.
	HomeInterval time.Duration
	// MaxOthers bounds the number of the other endpoints that are selected.
	MaxOthers int
	// OthersPerSecond bounds the reports of all other endpoints per second.
	OthersPerSecond float64
}

// Select returns the shortest time between two reports for each endpoint to be reported,
// by endpoint ID. After the endpoints with their home here, those of the own region come
// first. Processes select different ones of the rest, so that each endpoint is reported
// to about as many.
func Select(cfg Config, endpoints []Endpoint) map[string]time.Duration {
	intervals := map[string]time.Duration{}
	var near, far []string
	for _, e := range endpoints {
		switch {
		case e.IsHome:
			intervals[e.ID] = cfg.HomeInterval
		case e.Region == cfg.Region:
			near = append(near, e.ID)
		default:
			far = append(far, e.ID)
		}
	}
	others := takeRanked(cfg.Self, near, cfg.MaxOthers)
	others = append(others, takeRanked(cfg.Self, far, cfg.MaxOthers-len(others))...)
	interval := max(cfg.HomeInterval, time.Duration(float64(len(others))/cfg.OthersPerSecond*float64(time.Second)))
	for _, id := range others {
		intervals[id] = interval
	}
	return intervals
}

// takeRanked returns n of the IDs, by their rendezvous rank for a process.
func takeRanked(self string, ids []string, n int) []string {
	if len(ids) <= n {
		return slices.Clone(ids)
	}
	return ranker.Top(self, ids, n)
}
