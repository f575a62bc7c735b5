package gatewayserver

import (
	"cmp"
	"context"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"flamingoledge.org/flamingoledge/internal/messenger"
	"flamingoledge.org/flamingoledge/internal/sleeper"
	"flamingoledge.org/flamingoledge/pkg/balancer"
	"flamingoledge.org/flamingoledge/pkg/controller"
	"flamingoledge.org/flamingoledge/pkg/shedder"
)

const (
	// maxDemandBytes bounds the demand in one presence message. An entry sends 10 messages
	// that are no replies in a second to 10 peers, and may spend 0.5 KB/s more.
	maxDemandBytes = 50
	// demandTimeout is the time without any demand of a peer after which an entry decides
	// by its own. It is five times the mean time between presence messages.
	demandTimeout = 2 * time.Second
	// lastDemandTimeout is the age up to which the last demand of a peer that is alive says
	// more about it than that of others: less than the time in which callers move.
	lastDemandTimeout = 5 * demandTimeout
	// demandInterval is the time between two sums, a fraction of the time in which shares
	// have to follow demand.
	demandInterval = 100 * time.Millisecond
	// maxPriority is the least urgent priority of requests.
	maxPriority = 99
	// maxEntryRate bounds the requests per second that a peer may claim: more than an
	// instance of one core forwards.
	maxEntryRate = 5000
	// maxEntryDemand bounds the slots that the demand of one peer counts for, as a multiple
	// of the service's. An entry that all callers use has a sustained overload of 2.0.
	maxEntryDemand = 2.0
	// ratePeriod and slotParts are the units of rates and slots in messages.
	ratePeriod = 10
	slotParts  = 10
)

// peerDemand is what the callers of a peer request, as its last message said. It is
// immutable.
type peerDemand struct {
	at time.Time
	// services holds the demand by the hash of the service, sorted by priority.
	services map[uint32][]shedder.Demand
}

// hashService returns the hash that identifies a service in messages.
func hashService(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// demandController maintains the demand of the peers.
type demandController struct{ self string }

// Handle implements controller.Controller.
func (d demandController) Handle(now time.Time, s state, event controller.Event) (state, []controller.Action) {
	switch e := event.(type) {
	case presenceReceived:
		msg := e.presence
		// Replies contain no demand.
		if msg.GetEchoNanos() == 0 && msg.GetAddress() != "" && msg.GetAddress() != d.self {
			s.demand = cloneMap(s.demand)
			s.demand[msg.GetAddress()] = peerDemand{at: now, services: decodeDemand(msg.GetDemand())}
		}
	case controller.Tick:
		for address := range s.demand {
			if _, known := s.peers.Get(address); !known {
				s.demand = maps.Clone(s.demand)
				delete(s.demand, address)
			}
		}
	}
	return s, nil
}

// fleetDemand returns the demand of all other entries for a service, sorted by priority: the
// sum of those heard from, scaled to all known ones. slots are those of the service's
// endpoints. It returns nil if none was heard from within demandTimeout.
//
// A known peer that was not heard from for longer counts with its last demand rather than
// with the mean of the others, as callers are uneven. If it is dead, that ends when it counts
// as lost.
func (s *state) fleetDemand(now time.Time, service string, slots float64) []shedder.Demand {
	hash := hashService(service)
	heard, known, isRecent := 0, 0, false
	sums := map[int]shedder.Demand{}
	for _, p := range s.peers.All() {
		if p.Leaving {
			continue
		}
		known++
		pd, ok := s.demand[p.Address]
		if !ok || now.Sub(pd.at) > lastDemandTimeout {
			continue
		}
		isRecent = isRecent || now.Sub(pd.at) <= demandTimeout
		ds := pd.services[hash]
		if len(ds) == 0 && len(pd.services) > 0 {
			// The message may have had no room for the service.
			continue
		}
		heard++
		for _, d := range withMaxSlots(ds, maxEntryDemand*slots) {
			sum := sums[d.Priority]
			sums[d.Priority] = shedder.Demand{Priority: d.Priority, Rate: sum.Rate + d.Rate, Slots: sum.Slots + d.Slots}
		}
	}
	if !isRecent || heard == 0 {
		return nil
	}
	if len(sums) == 0 {
		// It is known that the others need nothing, which differs from not knowing.
		return []shedder.Demand{{}}
	}
	scale := float64(known) / float64(heard)
	var out []shedder.Demand
	for _, priority := range slices.Sorted(maps.Keys(sums)) {
		sum := sums[priority]
		out = append(out, shedder.Demand{Priority: priority, Rate: sum.Rate * scale, Slots: sum.Slots * scale})
	}
	return out
}

// peerSlots returns the slots that the callers of each peer need of a service, with the age
// of that information. Unlike sums, it contains peers until they count as lost: of many
// entries, each hears from a few within demandTimeout. Peers whose message has other services
// only are missing.
func (s *state) peerSlots(now time.Time, service string) map[string]entryDemand {
	hash := hashService(service)
	out := make(map[string]entryDemand, len(s.demand))
	for address, pd := range s.demand {
		e := entryDemand{age: now.Sub(pd.at)}
		ds := pd.services[hash]
		if len(ds) == 0 && len(pd.services) > 0 {
			continue
		}
		for _, d := range ds {
			e.slots += d.Slots
		}
		out[address] = e
	}
	return out
}

// entryDemand is the number of slots that the callers of one entry need.
type entryDemand struct {
	slots float64
	age   time.Duration
}

// withMaxSlots returns a peer's demand, in proportion reduced to a sum of slots.
func withMaxSlots(ds []shedder.Demand, most float64) []shedder.Demand {
	sum := 0.0
	for _, d := range ds {
		sum += d.Slots
	}
	if sum <= most || most <= 0 {
		return ds
	}
	ds = slices.Clone(ds)
	for i := range ds {
		ds[i].Rate *= most / sum
		ds[i].Slots *= most / sum
	}
	return ds
}

// decodeDemand decodes the demand of a peer. It omits what can't be demand.
func decodeDemand(demand []*messenger.ServiceDemand) map[uint32][]shedder.Demand {
	services := make(map[uint32][]shedder.Demand, len(demand))
	for _, m := range demand {
		n := min(len(m.GetPriorities()), len(m.GetRates()), len(m.GetSlots()), maxPriority+1)
		ds := make([]shedder.Demand, 0, n)
		for i := range n {
			if p := m.GetPriorities()[i]; p <= maxPriority && (i == 0 || p > m.GetPriorities()[i-1]) {
				ds = append(ds, shedder.Demand{
					Priority: int(p), Rate: min(float64(m.GetRates()[i])/ratePeriod, maxEntryRate), Slots: float64(m.GetSlots()[i]) / slotParts,
				})
			}
		}
		services[m.GetServiceHash()] = ds
	}
	return services
}

// encodeDemand encodes the demand of this entry by service, the largest first, in up to
// maxDemandBytes. What does not fit is added to the next more urgent priority, or omitted if
// it is of another service.
func encodeDemand(byService map[string][]shedder.Demand) (out []*messenger.ServiceDemand) {
	total := func(service string) (slots float64) {
		for _, d := range byService[service] {
			slots += d.Slots
		}
		return slots
	}
	services := slices.SortedFunc(maps.Keys(byService), func(a, b string) int {
		return cmp.Or(cmp.Compare(total(b), total(a)), cmp.Compare(a, b))
	})
	left := maxDemandBytes
	for _, service := range services {
		m := newServiceDemand(service, byService[service])
		for fieldBytes(m) > left && len(out) == 0 && len(m.Priorities) > 1 {
			mergeLast(m)
		}
		if len(m.Priorities) == 0 || fieldBytes(m) > left {
			continue
		}
		left -= fieldBytes(m)
		out = append(out, m)
	}
	return out
}

// fieldBytes returns the encoded size of a ServiceDemand in a presence message, with its tag
// and length.
func fieldBytes(m *messenger.ServiceDemand) int { return proto.Size(m) + 3 }

func newServiceDemand(service string, ds []shedder.Demand) *messenger.ServiceDemand {
	m := &messenger.ServiceDemand{ServiceHash: hashService(service)}
	for _, d := range ds {
		rate, slots := encodeNumber(d.Rate*ratePeriod), encodeNumber(d.Slots*slotParts)
		if rate == 0 && slots == 0 {
			continue
		}
		m.Priorities, m.Rates, m.Slots = append(m.Priorities, uint32(d.Priority)), append(m.Rates, rate), append(m.Slots, slots)
	}
	return m
}

// encodeNumber rounds a figure that is not negative.
func encodeNumber(v float64) uint32 {
	if !(v > 0) {
		return 0
	}
	return uint32(min(math.Round(v), math.MaxUint32))
}

// mergeLast adds the least urgent priority to the one before it.
func mergeLast(m *messenger.ServiceDemand) {
	last := len(m.Priorities) - 1
	m.Rates[last-1] += m.Rates[last]
	m.Slots[last-1] += m.Slots[last]
	m.Priorities, m.Rates, m.Slots = m.Priorities[:last], m.Rates[:last], m.Slots[:last]
}

// readySlots holds the slots of the ready endpoints by service.
type readySlots struct {
	mu        sync.Mutex
	byService map[string]float64
}

// set replaces the slots by those of the given endpoints.
func (r *readySlots) set(byService map[string][]balancer.Endpoint) {
	slots := make(map[string]float64, len(byService))
	for service, es := range byService {
		for _, e := range es {
			if e.Ready && !e.Evacuated {
				slots[service] += float64(e.Slots)
			}
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byService = slots
}

func (r *readySlots) get(service string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byService[service]
}

// shareDemand periodically passes the demand of the other entries to the forwarder until ctx
// ends.
func (s *Server) shareDemand(ctx context.Context) {
	for sleeper.Sleep(ctx, demandInterval) {
		now, view := s.cfg.Clock(), s.board.View()
		for _, service := range s.forward.Services() {
			slots := s.readySlots.get(service)
			s.forward.SetFleet(now, service, shedder.Fleet{Demands: view.fleetDemand(now, service, slots), Entries: view.peers.Len() + 1, Slots: slots})
		}
	}
}
