package gatewayserver

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/pkg/assigner"
	"flamingoledge.org/flamingoledge/pkg/balancer"
	"flamingoledge.org/flamingoledge/pkg/shedder"
)

// homesInterval is the time between two checks whether homes have to follow demand. With the
// second after which a peer's demand arrives at the latest in a fleet of 35, it is below the
// two seconds within which homes have to follow.
const homesInterval = 500 * time.Millisecond

// historyInterval is the time between two samples of the own demand, a tenth of the time over
// which it is averaged.
const historyInterval = 100 * time.Millisecond

// homesIntervalPerEntry is the time between two checks for each entry: of 320 entries, some demand
// changes at each check, and homes of 2,200 endpoints take several milliseconds to assign.
const homesIntervalPerEntry = 6 * time.Millisecond

// homeLevels holds the levels of demand by which homes are assigned, by service and entry.
type homeLevels map[string]map[string]int

// demandLevels returns the level of each entry's demand for a service, which has a number of
// slots. An entry that was not heard from yet has the mean level of the others. That of one
// heard from some time ago is assumed to have grown as own, the demand of this entry.
func (s *state) demandLevels(now time.Time, self, service string, own assigner.History, slots float64, last map[string]int) map[string]int {
	heard := map[string]float64{self: own.Last()}
	for address, d := range s.peerSlots(now, service) {
		if _, known := s.peers.Get(address); known {
			heard[address] = d.slots * own.Growth(now.Add(-d.age))
		}
	}
	var known []string
	for _, p := range s.peers.All() {
		known = append(known, p.Address)
	}
	return assigner.Levels(heard, known, slots, last)
}

// updateHomeLevels updates the levels of all services. It reports whether any has changed.
func (s *Server) updateHomeLevels() (changed bool) {
	now, view := s.cfg.Clock(), s.board.View()
	levels := homeLevels{}
	for _, service := range s.forward.Services() {
		levels[service] = view.demandLevels(now, s.self, service, s.demandHistory[service], s.readySlots.get(service), s.homeLevels[service])
		if before := s.homeLevels[service]; before != nil && !maps.Equal(before, levels[service]) {
			logger.Log(s.cfg.Logger, logger.HomesFollowDemand, zap.String("service", service),
				zap.Int("own_level", levels[service][s.self]), zap.Int("lowest_level", lowest(levels[service])), zap.Int("highest_level", highest(levels[service])))
		}
		changed = changed || !maps.Equal(s.homeLevels[service], levels[service])
	}
	s.homeLevels = levels
	return changed
}

// recordOwnDemand adds the present demand of this entry to the history of each service.
func (s *Server) recordOwnDemand(now time.Time) {
	history := map[string]assigner.History{}
	for service, ds := range s.forward.Demands(now) {
		history[service] = s.demandHistory[service].WithDemand(now, sumSlots(ds))
	}
	s.demandHistory = history
}

func sumSlots(ds []shedder.Demand) (sum float64) {
	for _, d := range ds {
		sum += d.Slots
	}
	return sum
}

func lowest(levels map[string]int) int  { return slices.Min(slices.Collect(maps.Values(levels))) }
func highest(levels map[string]int) int { return slices.Max(slices.Collect(maps.Values(levels))) }

// awaitChangedEndpoints waits until endpoints have to be applied, because they or the demand
// of the entries have changed. It returns false when ctx ends.
func (s *Server) awaitChangedEndpoints(ctx context.Context, demandChecks <-chan time.Time) bool {
	for {
		select {
		case <-s.endpointsDirty:
			return true
		case <-demandChecks:
			now := s.cfg.Clock()
			s.recordOwnDemand(now)
			if now.Sub(s.homesCheckedAt) < max(homesInterval, time.Duration(s.board.View().peers.Len())*homesIntervalPerEntry) {
				continue
			}
			s.homesCheckedAt = now
			if s.updateHomeLevels() {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
}

// setHomes sets for each ready engine whether this entry, a peer or no entry has
// priority for its slots. levels are those of the entries' demand; nil if it is equal.
func (s *state) setHomes(self assigner.Entry, es []balancer.Endpoint, levels map[string]int) {
	self.Level = levels[self.Name]
	entries := []assigner.Entry{self}
	for _, p := range s.peers.All() {
		if !p.Leaving {
			entries = append(entries, assigner.Entry{Name: p.Address, Region: p.Region, Level: levels[p.Address]})
		}
	}
	var ready []assigner.Endpoint
	for _, e := range es {
		if e.Ready && !e.Evacuated {
			ready = append(ready, assigner.Endpoint{ID: e.ID, Region: e.Region, Slots: e.Slots})
		}
	}
	homes := assigner.AssignHomes(entries, ready)
	for i := range es {
		switch homes[es[i].ID] {
		case "":
			es[i].Home = balancer.HomeNone
		case self.Name:
			es[i].Home = balancer.HomeLocal
		default:
			es[i].Home = balancer.HomeRemote
		}
	}
}
