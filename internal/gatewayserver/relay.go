package gatewayserver

import (
	"context"
	"encoding/binary"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"flamingoledge.org/flamingoledge/internal/messenger"
	"flamingoledge.org/flamingoledge/pkg/controller"
	"flamingoledge.org/flamingoledge/pkg/provider"
	"flamingoledge.org/flamingoledge/pkg/resolver"
	"flamingoledge.org/flamingoledge/platform"
)

var _ messenger.DRPCRelayServer = (*Server)(nil)

const (
	// stateFetchTimeout bounds a Belief call; a large configuration takes some tens
	// of milliseconds.
	stateFetchTimeout = 1500 * time.Millisecond
	// maxPlanWait bounds how long a Plan call waits for a change.
	maxPlanWait = 5 * time.Second
)

// Belief implements the relay service. It returns the configuration and the list
// that the caller lacks as the unmodified values of the store.
func (s *Server) Belief(_ context.Context, req *messenger.BeliefRequest) (*messenger.BeliefReply, error) {
	now := s.cfg.Clock()
	v := s.board.View()
	reply := &messenger.BeliefReply{
		ConfigKnown: v.config.table != nil, ConfigDigest: v.config.digest, ConfigAgeMs: ageMillis(now, v.config.confirmedAt),
		ListKnown: v.list.known, ListDigest: v.list.digest, ListAgeMs: ageMillis(now, v.list.confirmedAt),
	}
	if req.GetConfigDigest() != v.config.digest {
		reply.Config = toStoredValues(v.config.values)
		for _, model := range slices.Sorted(maps.Keys(v.config.versions)) {
			for _, named := range v.config.versions[model] {
				reply.Versions = append(reply.Versions, &messenger.NamedVersion{
					Model: model, Version: named.Version, AgeMs: ageMillis(now, named.KnownSince), Undated: v.config.isUndated(model, named.Version),
				})
			}
		}
	}
	if req.GetListDigest() != v.list.digest {
		reply.List = toStoredValues(v.list.values)
	}
	return reply, nil
}

// toStoredValues encodes values for a peer, sorted by key.
func toStoredValues(values map[string]platform.Value) (out []*messenger.StoredValue) {
	for _, v := range sortedValues(values) {
		out = append(out, &messenger.StoredValue{Key: v.Key, Value: v.Data, Offset: v.Position.Offset, Epoch: v.Position.Epoch})
	}
	return out
}

// fromStoredValues decodes the values that a peer sent.
func fromStoredValues(stored []*messenger.StoredValue) (out []platform.Value) {
	for _, v := range stored {
		out = append(out, platform.Value{
			Key: v.GetKey(), Data: v.GetValue(), Position: provider.Position{Epoch: v.GetEpoch(), Offset: v.GetOffset()},
		})
	}
	return out
}

// startStateFetch fetches the configuration and the list of a peer in the
// background. There is at most one fetch per peer at a time.
func (s *Server) startStateFetch(address string) {
	if _, busy := s.fetching.LoadOrStore(address, struct{}{}); busy {
		return
	}
	go func() {
		defer s.fetching.Delete(address)
		ctx, cancel := context.WithTimeout(context.Background(), stateFetchTimeout)
		defer cancel()
		if err := s.fetchPeerState(ctx, address); err != nil {
			s.cfg.Metrics.Add("beliefs_failed", 1)
			return
		}
		// Wait for the next presence message, which shows whether another fetch is
		// needed.
		time.Sleep(presenceInterval / 2)
	}()
}

// fetchPeerState calls Belief on a peer and applies the reply.
func (s *Server) fetchPeerState(ctx context.Context, address string) error {
	conn, err := s.peerConns.Get(ctx, address)
	if err != nil {
		return err
	}
	sentAt := s.cfg.Clock()
	v := s.board.View()
	reply, err := messenger.NewDRPCRelayClient(conn).Belief(ctx, &messenger.BeliefRequest{ConfigDigest: v.config.digest, ListDigest: v.list.digest})
	if err != nil {
		_ = conn.Close()
		return err
	}
	s.peerConns.Put(address, conn)
	for _, e := range peerReads(sentAt, v.list.confirmedAt.Add(s.listAdoptionMargin()), address, reply) {
		if err = s.board.Send(ctx, e); err != nil {
			return err
		}
	}
	return nil
}

// peerReads returns the events for the reply of a peer to a Belief call that was sent at
// sentAt. A list is adopted if it was confirmed after listAfter.
func peerReads(sentAt, listAfter time.Time, address string, reply *messenger.BeliefReply) (events []controller.Event) {
	if reply.GetConfigKnown() {
		// The ages in the reply refer to when the peer created it, which is after
		// sentAt, so startedAt is never too recent.
		startedAt := sentAt.Add(-age(reply.GetConfigAgeMs()))
		read := configRead{values: fromStoredValues(reply.GetConfig()), startedAt: startedAt, source: address}
		for _, n := range reply.GetVersions() {
			told := versionAge{model: n.GetModel(), version: n.GetVersion(), age: age(n.GetAgeMs())}
			if n.GetUndated() {
				read.undatedAges = append(read.undatedAges, told)
			} else {
				read.versionAges = append(read.versionAges, told)
			}
		}
		events = append(events, read)
	}
	startedAt := sentAt.Add(-age(reply.GetListAgeMs()))
	if reply.GetListKnown() && startedAt.After(listAfter) && len(reply.GetList()) > 0 {
		events = append(events, listRead{values: fromStoredValues(reply.GetList()), snapshot: true, startedAt: startedAt, source: address})
	}
	return events
}

// Plan implements the relay service. It returns the plan for the endpoints of a
// service as soon as that differs from the plan that the calling sidecar has, or after
// the requested wait.
func (s *Server) Plan(ctx context.Context, req *messenger.PlanRequest) (*messenger.PlanReply, error) {
	receivedAt := s.cfg.Clock()
	s.receiveConfirmed(req.GetConfirmed())
	s.receiveNamed(req.GetNamed())
	timeout := time.NewTimer(min(time.Duration(req.GetWaitMs())*time.Millisecond, maxPlanWait))
	defer timeout.Stop()
	for {
		changed := s.changed.Wait()
		v := s.board.View()
		reply := s.buildPlan(v, req.GetService())
		if reply.GetDigest() != req.GetKnownDigest() {
			s.addConfirmed(receivedAt, v, req.GetService(), reply)
			return reply, nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			s.addConfirmed(receivedAt, s.board.View(), req.GetService(), reply)
			return reply, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// planKey identifies what the members, entries and sources of a plan are built from.
type planKey struct {
	service             string
	table               *resolver.Table
	listDigest, entries uint64
	// evacuated are the evacuated availability zones, joined.
	evacuated string
}

// plans holds the latest plan of each service without its versions, whose ages change. All
// sidecars that wait for a plan share it. It is safe for concurrent use.
type plans struct {
	mu        sync.Mutex
	byService map[string]builtPlan
}

type builtPlan struct {
	key   planKey
	reply *messenger.PlanReply
}

// get returns the plan for key, which build creates unless it is the latest one.
func (p *plans) get(key planKey, build func() *messenger.PlanReply) *messenger.PlanReply {
	p.mu.Lock()
	defer p.mu.Unlock()
	if latest := p.byService[key.service]; latest.reply != nil && latest.key == key {
		return latest.reply
	}
	if p.byService == nil {
		p.byService = map[string]builtPlan{}
	}
	built := builtPlan{key: key, reply: build()}
	p.byService[key.service] = built
	return built.reply
}

// buildPlan returns the plan for the endpoints of a service. There is none until the list is
// known: sidecars with a plan without members would each read all weights from the origin.
func (s *Server) buildPlan(v *state, service string) *messenger.PlanReply {
	if v.config.table == nil || !v.list.known {
		return &messenger.PlanReply{}
	}
	key := planKey{
		service: service, table: v.config.table, listDigest: v.list.digest, entries: v.peers.AddressesHash(),
		evacuated: strings.Join(v.config.evacuations.Evacuated(), "\x00"),
	}
	shared := s.plans.get(key, func() *messenger.PlanReply { return s.buildMembers(v, service) })
	reply := &messenger.PlanReply{
		Digest: shared.GetDigest(), Known: true, OriginAddress: shared.GetOriginAddress(), OriginRegion: shared.GetOriginRegion(),
		Members: shared.GetMembers(), Entries: shared.GetEntries(), Layers: shared.GetLayers(), Chunks: shared.GetChunks(),
		ChunkBytes: shared.GetChunkBytes(), OriginBytesPerSecond: shared.GetOriginBytesPerSecond(),
		EvacuatedZones: shared.GetEvacuatedZones(),
	}
	s.addWantedVersions(v, service, reply)
	return reply
}

// buildMembers returns the part of a plan that does not depend on the versions.
func (s *Server) buildMembers(v *state, service string) *messenger.PlanReply {
	reply := &messenger.PlanReply{Known: true, EvacuatedZones: v.config.evacuations.Evacuated()}
	s.addWeightsSource(v, service, reply)
	added := map[string]struct{}{}
	for _, e := range v.list.endpoints.All() {
		ap, err := netip.ParseAddrPort(e.Address)
		if e.Service != service || err != nil {
			continue
		}
		// An endpoint that has started anew is listed twice until its former record expires.
		address := s.nodeAddress(ap.Addr()).String()
		if _, ok := added[address]; ok {
			continue
		}
		added[address] = struct{}{}
		reply.Members = append(reply.Members, &messenger.PlanMember{Address: address, Region: s.cfg.Settings.Regions[e.AvailabilityZone]})
	}
	reply.Entries = []string{s.self}
	for _, p := range v.peers.All() {
		reply.Entries = append(reply.Entries, p.Address)
	}
	slices.Sort(reply.Entries)
	reply.Digest = planDigest(reply)
	return reply
}

// addWeightsSource adds the origin and the size of the weights to reply.
func (s *Server) addWeightsSource(v *state, service string, reply *messenger.PlanReply) {
	cfg := v.config.table.Configuration()
	for i := range cfg.Services {
		if o := cfg.Services[i].Origin; o != nil {
			reply.OriginAddress, reply.OriginRegion = o.Address, s.cfg.Settings.Regions[o.AvailabilityZone]
			reply.OriginBytesPerSecond = uint64(max(o.BytesPerSecond, 0))
		}
	}
	if e := engineOf(v.config.table, service); e != nil {
		reply.Layers, reply.Chunks, reply.ChunkBytes = uint32(e.Layers), uint32(e.Chunks), uint32(e.ChunkBytes)
	}
}

// engineOf returns the engine of a service, or nil if it has none.
func engineOf(t *resolver.Table, service string) *resolver.Engine {
	if svc := t.Service(service); svc != nil {
		return svc.Engine
	}
	return nil
}

// addWantedVersions adds the wanted version of each model to reply and includes it
// in the digest: the newest one that operators named or, without one, the newest
// that an endpoint has loaded.
func (s *Server) addWantedVersions(v *state, service string, reply *messenger.PlanReply) {
	e := engineOf(v.config.table, service)
	if e == nil {
		return
	}
	now := s.cfg.Clock()
	for _, model := range e.Models {
		named := v.config.newest(model)
		held := named.Version == 0
		if held {
			named = v.list.held[model]
		}
		wanted := &messenger.NamedVersion{Model: model, Version: named.Version, AgeMs: ageMillis(now, named.KnownSince), Held: held, Undated: v.config.isUndated(model, named.Version)}
		if wanted.Version > 0 {
			reply.Versions = append(reply.Versions, wanted)
			h := xxhash.New()
			_, _ = h.Write(binary.BigEndian.AppendUint64(nil, reply.GetDigest()))
			_, _ = h.WriteString(model)
			_, _ = h.Write(binary.BigEndian.AppendUint64(nil, wanted.GetVersion()))
			if wanted.GetUndated() {
				_, _ = h.WriteString("undated")
			}
			reply.Digest = h.Sum64()
		}
	}
}

// planDigest returns a digest of reply, or 0 if it can't be encoded.
func planDigest(reply *messenger.PlanReply) uint64 {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(reply)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(b)
}
