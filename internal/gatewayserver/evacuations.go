package gatewayserver

import (
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/internal/messenger"
	"flamingoledge.org/flamingoledge/pkg/controller"
	"flamingoledge.org/flamingoledge/pkg/evacuator"
	"flamingoledge.org/flamingoledge/pkg/provider"
	"flamingoledge.org/flamingoledge/platform"
)

const (
	// withdrawalMemory is how long presence messages contain the end of an evacuation. Every
	// entry hears of it several times in that time; later ones get it with the configuration.
	withdrawalMemory = 30 * time.Second
	// maxEvacuationsSent bounds the evacuations in one presence message, which has to fit into
	// a datagram. It is above the number of zones of the largest deployment.
	maxEvacuationsSent = 24
)

// evacuationsController applies what the store and peers report about evacuated zones.
type evacuationsController struct {
	// regions has the regions of the known zones.
	regions map[string]string
}

// Handle implements controller.Controller.
func (ec evacuationsController) Handle(now time.Time, s state, event controller.Event) (state, []controller.Action) {
	before := s.config.evacuations
	var source string
	switch e := event.(type) {
	case configRead:
		s.config, source = s.config.withEvacuationsRead(now, s.store, e), e.source
	case presenceReceived:
		s.config, source = s.config.withPeerEvacuations(now, e.presence.GetEvacuations()), e.presence.GetInstance()
	default:
		return s, nil
	}
	return s, ec.changes(now, before, s.config.evacuations, source)
}

// changes returns the actions for the zones that are evacuated or taken back.
func (ec evacuationsController) changes(now time.Time, before, after evacuator.Zones, source string) (actions []controller.Action) {
	for _, r := range after.Records() {
		if r.Evacuated == before.IsEvacuated(r.Zone) {
			continue
		}
		fields := []zap.Field{
			zap.String("zone", r.Zone), zap.String("source", source), zap.Uint64("epoch", r.Position.Epoch),
			zap.Int64("offset", r.Position.Offset), zap.Duration("age", now.Sub(r.KnownSince)),
		}
		_, isKnown := ec.regions[r.Zone]
		switch {
		case !isKnown:
			actions = append(actions, logEvent(logger.EvacuationUnknown, append(fields, zap.Bool("evacuated", r.Evacuated))...))
		case r.Evacuated:
			actions = append(actions, logEvent(logger.ZoneEvacuated, fields...), endpointsChanged{})
		default:
			known, _ := before.Get(r.Zone)
			actions = append(actions, logEvent(logger.ZoneTakenBack, append(fields, zap.Duration("lasted", r.KnownSince.Sub(known.KnownSince)))...), endpointsChanged{})
		}
	}
	return actions
}

// withEvacuationsRead applies the evacuations in a read of the configuration topic.
func (c config) withEvacuationsRead(now time.Time, store storeEpoch, e configRead) config {
	zones := c.evacuations
	snapshot := evacuator.Snapshot{End: e.end, ReadAt: now, Settled: store.isSettled(e.startedAt)}
	for _, v := range e.values {
		record, ok := platform.DecodeEvacuation(v)
		if !ok {
			continue
		}
		if record.Evacuated {
			snapshot.Evacuated = append(snapshot.Evacuated, record.Zone)
		}
		zones = zones.WithRecord(evacuator.Record{Zone: record.Zone, Evacuated: record.Evacuated, Position: record.Position, KnownSince: now})
	}
	if e.snapshot {
		zones = zones.WithSnapshot(snapshot)
	}
	if e.source == sourceStore && !e.startedAt.IsZero() && store.isSettled(e.startedAt) {
		zones = zones.WithSettledStore(now)
	}
	return c.withEvacuations(zones)
}

// withPeerEvacuations applies the evacuations in a presence message.
func (c config) withPeerEvacuations(now time.Time, told []*messenger.Evacuation) config {
	if len(told) == 0 {
		return c
	}
	zones := c.evacuations
	for _, e := range told {
		if e.GetAvailabilityZone() == "" {
			continue
		}
		zones = zones.WithRecord(evacuator.Record{
			Zone: e.GetAvailabilityZone(), Evacuated: e.GetEvacuated(), KnownSince: now.Add(-age(e.GetAgeMs())),
			Position: provider.Position{Epoch: e.GetEpoch(), Offset: e.GetOffset()},
		})
	}
	return c.withEvacuations(zones)
}

// withEvacuations replaces the evacuations, also in the values that peers get.
func (c config) withEvacuations(zones evacuator.Zones) config {
	before := c.evacuations
	c.evacuations = zones
	for _, r := range zones.Records() {
		if known, ok := before.Get(r.Zone); !ok || known.Position != r.Position {
			c = c.withValue(platform.Evacuation{Zone: r.Zone, Evacuated: r.Evacuated, Position: r.Position}.Encode())
		}
	}
	return c.withDigest()
}

// sentEvacuations returns the evacuations for a presence message: those in force, and those
// withdrawn recently.
func sentEvacuations(now time.Time, zones evacuator.Zones) (out []*messenger.Evacuation) {
	for _, r := range zones.Records() {
		if len(out) == maxEvacuationsSent || !r.Evacuated && now.Sub(r.KnownSince) > withdrawalMemory {
			break
		}
		out = append(out, &messenger.Evacuation{
			AvailabilityZone: r.Zone, Evacuated: r.Evacuated, Offset: r.Position.Offset, Epoch: r.Position.Epoch, AgeMs: ageMillis(now, r.KnownSince),
		})
	}
	return out
}
