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
	// reconcileInterval is the time between reconcile steps without a change.
	reconcileInterval = 100 * time.Millisecond
	// requiredConfirmations is the number of consecutive reports of the expected
	// weights digest that a version needs before it gets traffic.
	requiredConfirmations = 2
	// unloadDelay is how long a version stays loaded after it is no longer desired.
	unloadDelay = 5 * time.Second
)

// rollout brings the endpoint to the state that the placement requires. Only its
// reconcile loop sends orders.
type rollout struct {
	server *Server

	// fetches are the fetches of the desired versions, by version digest. Only the
	// loop uses them.
	fetches map[string]*fetch
	// confirmations counts consecutive matching reports by version. Only the loop
	// uses it.
	confirmations map[string]int
	// undesiredSince is when a loaded version was first seen not to be desired, by
	// version. Only the loop uses it.
	undesiredSince map[string]time.Time

	mu sync.Mutex
	// weightsDigests are the digests that the endpoint must report, by version.
	weightsDigests map[string]string
}

func newRollout(s *Server) *rollout {
	return &rollout{
		server:         s,
		fetches:        map[string]*fetch{},
		confirmations:  map[string]int{},
		undesiredSince: map[string]time.Time{},
		weightsDigests: map[string]string{},
	}
}

func (r *rollout) run(ctx context.Context) {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		notified := r.server.stateChanged.Wait()
		r.reconcile(ctx)
		select {
		case <-ctx.Done():
			return
		case <-notified:
		case <-ticker.C:
		}
	}
}

// reconcile takes one step towards the desired state.
func (r *rollout) reconcile(ctx context.Context) {
	v := r.server.board.View()
	service, ok := v.configuration.Config.Services[r.server.cfg.Service]
	if !ok {
		return
	}
	// Attempts over the limit are rejected, not queued here: the entry tries another
	// sidecar or queues them, and its queue enforces the workspaces' shares.
	r.server.admission.setLimit(service.Body.EndpointConcurrency)
	if service.Body.Kind == interpreter.ServiceKindPlain {
		r.reconcilePlain(v)
		return
	}
	r.cancelUndesired(v)
	for _, model := range slices.Sorted(maps.Keys(v.desired)) {
		r.reconcileVersion(ctx, v, v.desired[model])
	}
	r.unloadUndesired(ctx, v)
}

// reconcilePlain admits requests to a plain service while it is reachable.
func (r *rollout) reconcilePlain(v *state) {
	if v.reachable {
		r.server.admission.allow("")
	} else {
		r.server.admission.withdraw("")
	}
}

// cancelUndesired cancels the fetches of versions that are no longer desired. Once
// every desired version is fetched, it also drops other versions from the store.
func (r *rollout) cancelUndesired(v *state) {
	required := map[string]struct{}{}
	complete := true
	for _, d := range v.desired {
		required[d.versionDigest] = struct{}{}
		f := r.fetches[d.versionDigest]
		complete = complete && f != nil && f.isReady()
	}
	for version, f := range r.fetches {
		if _, ok := required[version]; ok {
			continue
		}
		f.cancel()
		delete(r.fetches, version)
		if !r.server.admission.isAllowed(version) {
			r.server.board.Post(versionDropped{versionDigest: version})
		}
	}
	if complete && len(required) > 0 {
		r.server.store.RetainOnly(required)
	}
}

// reconcileVersion takes the next step for one version: fetch, load or confirm it.
func (r *rollout) reconcileVersion(ctx context.Context, v *state, d desiredVersion) {
	f := r.fetches[d.versionDigest]
	if f == nil {
		f = r.startFetch(ctx, d)
		r.fetches[d.versionDigest] = f
	}
	f.setMembers(d.members)
	if !f.isReady() {
		r.reportProgress(d, f, false)
		return
	}
	if r.server.admission.isAllowed(d.versionDigest) {
		if loaded, ok := v.endpoint.FindVersion(d.versionDigest); ok {
			r.orderAdaptersAndRole(ctx, d, v.endpoint, loaded)
		}
		return
	}
	r.setExpectedWeights(d.versionDigest, f.weightsDigest())
	st, err := r.server.cfg.Endpoint.State(ctx)
	if err != nil {
		return
	}
	loaded, ok := st.FindVersion(d.versionDigest)
	switch {
	case ok && loaded.WeightsDigest == f.weightsDigest():
		r.confirm(ctx, d, f, st, loaded)
	case ok:
		r.confirmations[d.versionDigest] = 0
		r.unload(ctx, d.versionDigest, "endpoint reports unexpected weights")
	default:
		r.confirmations[d.versionDigest] = 0
		r.load(ctx, v, d, f, st)
	}
}

// confirm counts matching reports and admits traffic after enough of them.
func (r *rollout) confirm(ctx context.Context, d desiredVersion, f *fetch, st endpointclient.State, loaded endpointclient.LoadedVersion) {
	if r.orderAdaptersAndRole(ctx, d, st, loaded) {
		r.confirmations[d.versionDigest] = 0
		return
	}
	r.confirmations[d.versionDigest]++
	if r.confirmations[d.versionDigest] < requiredConfirmations {
		return
	}
	r.server.admission.allow(d.versionDigest)
	logger.Log(r.server.cfg.Logger, logger.VersionServing,
		zap.String("model", d.model), zap.String("version_digest", d.versionDigest),
		zap.String("weights_digest", loaded.WeightsDigest), zap.Uint64("record_offset", d.recordOffset))
	r.server.audit.Add(time.Now(), provider.AuditEntry{
		Kind: provider.AuditServing, Model: d.model, VersionDigest: d.versionDigest, RecordOffset: d.recordOffset,
	})
	r.reportProgress(d, f, true)
}

// orderAdaptersAndRole orders one adapter or the role that the record requires and
// the endpoint does not report. It returns false if nothing is missing.
func (r *rollout) orderAdaptersAndRole(ctx context.Context, d desiredVersion, st endpointclient.State, loaded endpointclient.LoadedVersion) bool {
	for _, adapter := range d.adapters {
		if !slices.Contains(loaded.Adapters, adapter) {
			r.sendOrder(ctx, endpointclient.Order{Kind: endpointclient.OrderAdapter, Model: d.model, VersionDigest: d.versionDigest, Adapter: adapter}, d.recordOffset)
			return true
		}
	}
	if d.role != "" && st.Role != d.role {
		r.sendOrder(ctx, endpointclient.Order{Kind: endpointclient.OrderRole, Role: d.role}, d.recordOffset)
		return true
	}
	return false
}

// load streams the weights to the endpoint and orders it to load them. If all slots
// are in use, it frees one instead.
func (r *rollout) load(ctx context.Context, v *state, d desiredVersion, f *fetch, st endpointclient.State) {
	if len(st.Loaded) >= st.Slots {
		r.freeSlot(ctx, v, d, st)
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
	r.sendOrder(ctx, endpointclient.Order{
		Kind: endpointclient.OrderLoad, Model: d.model, VersionDigest: d.versionDigest, WeightsDigest: m.WeightsDigest,
	}, d.recordOffset)
}

// freeSlot unloads a version that is not desired, the previous one last. A later
// reconcile step uses the free slot.
func (r *rollout) freeSlot(ctx context.Context, v *state, d desiredVersion, st endpointclient.State) {
	required := map[string]struct{}{}
	for _, other := range v.desired {
		required[other.versionDigest] = struct{}{}
	}
	victim := ""
	for _, l := range st.Loaded {
		if _, ok := required[l.VersionDigest]; ok {
			continue
		}
		if victim == "" || victim == d.previousDigest {
			victim = l.VersionDigest
		}
	}
	if victim == "" || (r.server.admission.isAllowed(victim) && !r.mayUnloadPrevious(v, d)) {
		return
	}
	r.unload(ctx, victim, "frees a slot for "+d.versionDigest)
}

// unload drains a version and orders the endpoint to unload it. It sends the order
// only when no requests are in progress, which may take several reconcile steps.
func (r *rollout) unload(ctx context.Context, version, reason string) {
	r.withdraw(version, reason)
	if n, _ := r.server.admission.inProgress(version); n > 0 {
		return
	}
	r.sendOrder(ctx, endpointclient.Order{Kind: endpointclient.OrderUnload, VersionDigest: version}, 0)
}

// withdraw stops new attempts at a version and posts the change to the board.
func (r *rollout) withdraw(version, reason string) {
	if !r.server.admission.withdraw(version) {
		return
	}
	logger.Log(r.server.cfg.Logger, logger.VersionWithdrawn, zap.String("version_digest", version), zap.String("reason", reason))
	v := r.server.board.View()
	if !v.isDesired(version) {
		r.server.board.Post(versionDropped{versionDigest: version})
		return
	}
	progress := v.progress[version]
	progress.serving = false
	r.server.board.Post(progressReported{versionDigest: version, progress: progress})
}

// withdrawAll withdraws every version. Each is admitted again after the endpoint
// has reported it often enough.
func (r *rollout) withdrawAll(reason string) {
	for _, version := range r.server.admission.allowedVersions() {
		r.withdraw(version, reason)
	}
}

// unloadUndesired unloads versions that no record in force requires. It waits for
// unloadDelay, so that entries have switched to the new version before the previous
// one is unloaded, and an unstable instance list causes no reloads.
func (r *rollout) unloadUndesired(ctx context.Context, v *state) {
	if !v.desiredKnown || !v.reachable {
		return
	}
	now := time.Now()
	retained := r.retainedVersions(v)
	for _, l := range v.endpoint.Loaded {
		if _, ok := retained[l.VersionDigest]; ok {
			delete(r.undesiredSince, l.VersionDigest)
			continue
		}
		since, ok := r.undesiredSince[l.VersionDigest]
		if !ok {
			r.undesiredSince[l.VersionDigest] = now
			continue
		}
		if now.Sub(since) >= unloadDelay {
			r.unload(ctx, l.VersionDigest, "no record in force requires this version")
		}
	}
}

// retainedVersions returns the desired versions, and the previous version of each
// one that does not serve yet.
func (r *rollout) retainedVersions(v *state) map[string]struct{} {
	retained := map[string]struct{}{}
	for _, d := range v.desired {
		retained[d.versionDigest] = struct{}{}
		if !r.server.admission.isAllowed(d.versionDigest) {
			retained[d.previousDigest] = struct{}{}
		}
	}
	return retained
}

// reportProgress posts the progress of a version to the board.
func (r *rollout) reportProgress(d desiredVersion, f *fetch, serving bool) {
	held, total := f.chunkCounts()
	r.server.board.Post(progressReported{
		versionDigest: d.versionDigest,
		progress:      versionProgress{model: d.model, chunks: held, total: total, serving: serving},
	})
}

// handleProbe immediately withdraws every version that the endpoint no longer
// reports with the expected weights, for example after a crash or another process's
// order.
func (r *rollout) handleProbe(st endpointclient.State, err error) {
	if err != nil {
		return
	}
	for version, weights := range r.expectedWeights() {
		l, ok := st.FindVersion(version)
		if ok && l.WeightsDigest == weights {
			continue
		}
		r.withdraw(version, "endpoint no longer reports this version with the expected weights")
	}
}

// setExpectedWeights sets the weights digest that the endpoint must report for a
// version.
func (r *rollout) setExpectedWeights(version, digest string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.weightsDigests[version] = digest
}

// expectedWeights returns the expected weights digests by version.
func (r *rollout) expectedWeights() map[string]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.weightsDigests)
}
