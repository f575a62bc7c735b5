package sidecarserver

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/endpointclient"
	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/pkg/interpreter"
	"flamingoledge.org/flamingoledge/pkg/provider"
)

const (
	// reconcileInterval is how often intent and state are compared without news.
	reconcileInterval = 100 * time.Millisecond
	// confirmationsWanted is how often in a row the endpoint must report the
	// intended digest before it gets traffic.
	confirmationsWanted = 2
	// unwantedLinger is how long a version stays that is no longer wanted.
	unwantedLinger = 5 * time.Second
)

// rollout brings the endpoint to what the placement asks for. Its reconcile loop
// is the only one that gives orders.
type rollout struct {
	server *Server

	// fetches are the running fetches by version; only the loop uses them.
	fetches map[string]*fetch
	// confirmations counts matching reports by version; only the loop uses it.
	confirmations map[string]int
	// unwantedSince is since when a loaded version is not wanted; only the loop
	// uses it.
	unwantedSince map[string]time.Time

	mu sync.Mutex
	// weights are the digests that an endpoint must report, by version.
	weights map[string]string
}

func newRollout(s *Server) *rollout {
	return &rollout{
		server:        s,
		fetches:       map[string]*fetch{},
		confirmations: map[string]int{},
		unwantedSince: map[string]time.Time{},
		weights:       map[string]string{},
	}
}

func (r *rollout) run(ctx context.Context) {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		news := r.server.changed.Wait()
		r.reconcile(ctx)
		select {
		case <-ctx.Done():
			return
		case <-news:
		case <-ticker.C:
		}
	}
}

// reconcile takes one step towards the intended state.
func (r *rollout) reconcile(ctx context.Context) {
	v := r.server.board.View()
	service, ok := v.kept.Config.Services[r.server.cfg.Service]
	if !ok {
		return
	}
	// What finds no place here is not queued, but tried elsewhere or kept in the
	// entry's queue, where workspaces have their shares.
	r.server.guard.setLimit(service.Body.EndpointConcurrency)
	if service.Body.Kind == interpreter.ServiceKindPlain {
		r.reconcilePlain(v)
		return
	}
	r.stopUnwanted(v)
	for _, model := range slices.Sorted(maps.Keys(v.desired)) {
		r.step(ctx, v, v.desired[model])
	}
	r.unloadUnwanted(ctx, v)
}

// reconcilePlain lets requests through to a plain service while it answers.
func (r *rollout) reconcilePlain(v *state) {
	if v.reachable {
		r.server.guard.allow("")
	} else {
		r.server.guard.withdraw("")
	}
}

// stopUnwanted ends the fetches of versions that are no longer to be served.
func (r *rollout) stopUnwanted(v *state) {
	wanted := map[string]struct{}{}
	complete := true
	for _, d := range v.desired {
		wanted[d.versionDigest] = struct{}{}
		f := r.fetches[d.versionDigest]
		complete = complete && f != nil && f.isReady()
	}
	for version, f := range r.fetches {
		if _, ok := wanted[version]; ok {
			continue
		}
		f.cancel()
		delete(r.fetches, version)
		if !r.server.guard.isAllowed(version) {
			r.server.board.Post(versionDropped{versionDigest: version})
		}
	}
	if complete && len(wanted) > 0 {
		r.server.store.RetainOnly(wanted)
	}
}

// step takes one step with one version: fetch it, load it, confirm it.
func (r *rollout) step(ctx context.Context, v *state, d desiredVersion) {
	f := r.fetches[d.versionDigest]
	if f == nil {
		f = r.startFetch(ctx, d)
		r.fetches[d.versionDigest] = f
	}
	f.setMembers(d.members)
	if !f.isReady() {
		r.report(d, f, false)
		return
	}
	if r.server.guard.isAllowed(d.versionDigest) {
		if loaded, ok := v.endpoint.Holds(d.versionDigest); ok {
			r.orderExtras(ctx, d, v.endpoint, loaded)
		}
		return
	}
	r.setWeights(d.versionDigest, f.weightsDigest())
	st, err := r.server.cfg.Endpoint.State(ctx)
	if err != nil {
		return
	}
	loaded, ok := st.Holds(d.versionDigest)
	switch {
	case ok && loaded.WeightsDigest == f.weightsDigest():
		r.confirm(ctx, d, f, st, loaded)
	case ok:
		r.confirmations[d.versionDigest] = 0
		r.unload(ctx, d.versionDigest, "endpoint reports other weights")
	default:
		r.confirmations[d.versionDigest] = 0
		r.load(ctx, v, d, f, st)
	}
}

// confirm counts matching reports, and lets traffic through after enough of them.
func (r *rollout) confirm(ctx context.Context, d desiredVersion, f *fetch, st endpointclient.State, loaded endpointclient.Loaded) {
	if r.orderExtras(ctx, d, st, loaded) {
		r.confirmations[d.versionDigest] = 0
		return
	}
	r.confirmations[d.versionDigest]++
	if r.confirmations[d.versionDigest] < confirmationsWanted {
		return
	}
	r.server.guard.allow(d.versionDigest)
	logger.Log(r.server.cfg.Logger, logger.VersionServing,
		zap.String("model", d.model), zap.String("version_digest", d.versionDigest),
		zap.String("weights_digest", loaded.WeightsDigest), zap.Uint64("record_offset", d.recordOffset))
	r.server.audit.Add(time.Now(), provider.AuditEntry{
		Kind: provider.AuditServing, Model: d.model, VersionDigest: d.versionDigest, RecordOffset: d.recordOffset,
	})
	r.report(d, f, true)
}

// orderExtras orders an adapter or a role that the record asks for and that the
// endpoint does not report. It returns false if nothing is missing.
func (r *rollout) orderExtras(ctx context.Context, d desiredVersion, st endpointclient.State, loaded endpointclient.Loaded) bool {
	for _, adapter := range d.adapters {
		if !slices.Contains(loaded.Adapters, adapter) {
			r.give(ctx, endpointclient.Order{Kind: endpointclient.OrderAdapter, Model: d.model, VersionDigest: d.versionDigest, Adapter: adapter}, d.recordOffset)
			return true
		}
	}
	if d.role != "" && st.Role != d.role {
		r.give(ctx, endpointclient.Order{Kind: endpointclient.OrderRole, Role: d.role}, d.recordOffset)
		return true
	}
	return false
}

// load streams the weights to the endpoint and orders it to load them.
func (r *rollout) load(ctx context.Context, v *state, d desiredVersion, f *fetch, st endpointclient.State) {
	if len(st.Loaded) >= st.Slots {
		r.makeRoom(ctx, v, d, st)
		return
	}
	if _, err := r.server.lease.check(time.Now()); err != nil {
		r.logWithheld(err)
		return
	}
	m := f.assembly().Manifest()
	if err := r.server.cfg.Endpoint.PutWeights(ctx, m.WeightsDigest, m.SizeBytes, f.assembly()); err != nil {
		logger.Log(r.server.cfg.Logger, logger.OrderFailed, zap.String("kind", "put_weights"), zap.Error(err))
		return
	}
	r.give(ctx, endpointclient.Order{
		Kind: endpointclient.OrderLoad, Model: d.model, VersionDigest: d.versionDigest, WeightsDigest: m.WeightsDigest,
	}, d.recordOffset)
}

// makeRoom unloads a version that is not intended, the previous one last. A later
// step finds the room.
func (r *rollout) makeRoom(ctx context.Context, v *state, d desiredVersion, st endpointclient.State) {
	intended := map[string]struct{}{}
	for _, other := range v.desired {
		intended[other.versionDigest] = struct{}{}
	}
	victim := ""
	for _, l := range st.Loaded {
		if _, ok := intended[l.VersionDigest]; ok {
			continue
		}
		if victim == "" || victim == d.previous {
			victim = l.VersionDigest
		}
	}
	if victim == "" || (r.server.guard.isAllowed(victim) && !r.mayGiveUp(v, d)) {
		return
	}
	r.unload(ctx, victim, "makes room for "+d.versionDigest)
}

// unload drains a version and orders the endpoint to drop it, in several steps
// of the loop if requests are in progress.
func (r *rollout) unload(ctx context.Context, version, reason string) {
	r.withdraw(version, reason)
	if n, _ := r.server.guard.inProgress(version); n > 0 {
		return
	}
	r.give(ctx, endpointclient.Order{Kind: endpointclient.OrderUnload, VersionDigest: version}, 0)
}

func (r *rollout) withdraw(version, reason string) {
	if !r.server.guard.withdraw(version) {
		return
	}
	logger.Log(r.server.cfg.Logger, logger.VersionWithdrawn, zap.String("version_digest", version), zap.String("reason", reason))
	v := r.server.board.View()
	if !v.wants(version) {
		r.server.board.Post(versionDropped{versionDigest: version})
		return
	}
	held := v.held[version]
	held.serving = false
	r.server.board.Post(versionProgressed{versionDigest: version, held: held})
}

// withdrawAll withdraws every version until the endpoint reports it again.
func (r *rollout) withdrawAll(reason string) {
	for _, version := range r.server.guard.allowedVersions() {
		r.withdraw(version, reason)
	}
}

// unloadUnwanted drops what the endpoint holds and no record in force asks for. It
// lingers, so that entries have switched to the new version before the previous
// one goes, and a list that flickers moves nothing.
func (r *rollout) unloadUnwanted(ctx context.Context, v *state) {
	if !v.placed || !v.reachable {
		return
	}
	now := time.Now()
	keep := r.wantedOrNeeded(v)
	for _, l := range v.endpoint.Loaded {
		if _, ok := keep[l.VersionDigest]; ok {
			delete(r.unwantedSince, l.VersionDigest)
			continue
		}
		since, ok := r.unwantedSince[l.VersionDigest]
		if !ok {
			r.unwantedSince[l.VersionDigest] = now
			continue
		}
		if now.Sub(since) >= unwantedLinger {
			r.unload(ctx, l.VersionDigest, "no record in force asks for it")
		}
	}
}

// wantedOrNeeded returns the versions that are intended here, and the previous
// ones for as long as those that follow them do not serve.
func (r *rollout) wantedOrNeeded(v *state) map[string]struct{} {
	keep := map[string]struct{}{}
	for _, d := range v.desired {
		keep[d.versionDigest] = struct{}{}
		if !r.server.guard.isAllowed(d.versionDigest) {
			keep[d.previous] = struct{}{}
		}
	}
	return keep
}

// report tells the control state how far a version is.
func (r *rollout) report(d desiredVersion, f *fetch, serving bool) {
	held, total := f.progress()
	r.server.board.Post(versionProgressed{
		versionDigest: d.versionDigest,
		held:          heldVersion{model: d.model, chunks: held, total: total, serving: serving},
	})
}

// noteProbe withdraws at once every version that the endpoint no longer reports
// as intended, as after a crash or another process's order.
func (r *rollout) noteProbe(st endpointclient.State, err error) {
	if err != nil {
		return
	}
	for version, weights := range r.knownWeights() {
		l, ok := st.Holds(version)
		if ok && l.WeightsDigest == weights {
			continue
		}
		r.withdraw(version, "endpoint no longer reports it")
	}
}

func (r *rollout) setWeights(version, digest string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.weights[version] = digest
}

func (r *rollout) knownWeights() map[string]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.weights)
}
