package sidecarserver

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/endpointclient"
	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/internal/messenger"
	"flamingoledge.org/flamingoledge/internal/sleeper"
	"flamingoledge.org/flamingoledge/pkg/quarantiner"
)

const (
	// deathGatherWindow is how long the report of a death waits for other runs that
	// the death ended.
	deathGatherWindow = 30 * time.Millisecond
	// deathReportTimeout bounds the attempts to append a report to the log.
	deathReportTimeout = time.Second
)

// deathTracker tracks the runs in progress in each epoch of the endpoint, so that a
// death is reported with every request that may have caused it.
type deathTracker struct {
	server *Server

	mu      sync.Mutex
	running map[*trackedRun]struct{}
	reports map[uint64]*deathReport
}

// trackedRun is one run in progress.
type trackedRun struct {
	fingerprint quarantiner.Fingerprint
	epoch       uint64
}

// deathReport is the report of one death. done is closed after it was sent.
type deathReport struct {
	fingerprints map[quarantiner.Fingerprint]struct{}
	done         chan struct{}
}

func newDeathTracker(s *Server) *deathTracker {
	return &deathTracker{server: s, running: map[*trackedRun]struct{}{}, reports: map[uint64]*deathReport{}}
}

// runStarted records that a run starts.
func (d *deathTracker) runStarted(req *messenger.RunRequest) *trackedRun {
	t := &trackedRun{
		fingerprint: quarantiner.NewFingerprint(req.GetWorkspace(), req.GetService(), req.GetBody()),
		epoch:       d.server.board.View().endpoint.Epoch,
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running[t] = struct{}{}
	return t
}

// runEnded records that a run ended with err. If the endpoint died, it returns true
// after the death was reported.
func (d *deathTracker) runEnded(t *trackedRun, err error) (died bool) {
	died = isConnectionLoss(err) && d.isDead(t.epoch)
	d.mu.Lock()
	delete(d.running, t)
	if !died {
		d.mu.Unlock()
		return false
	}
	report, created := d.reportFor(t.epoch)
	report.fingerprints[t.fingerprint] = struct{}{}
	d.mu.Unlock()
	if created {
		// Waiting attempts must not be admitted to a dead endpoint.
		d.server.rollout.withdrawAll("endpoint died")
		time.Sleep(deathGatherWindow)
		d.sendReport(t.epoch, report)
		close(report.done)
	}
	<-report.done
	return true
}

// reportFor returns the report of the death that ended an epoch, and whether it is
// new. The caller must hold mu.
func (d *deathTracker) reportFor(epoch uint64) (r *deathReport, created bool) {
	if r = d.reports[epoch]; r != nil {
		return r, false
	}
	r = &deathReport{fingerprints: map[quarantiner.Fingerprint]struct{}{}, done: make(chan struct{})}
	d.reports[epoch] = r
	return r, true
}

// isDead reports whether the endpoint is unreachable or in another epoch.
func (d *deathTracker) isDead(epoch uint64) bool {
	st, err := d.server.cfg.Endpoint.State(context.Background())
	return err != nil || st.Epoch != epoch
}

// isConnectionLoss reports whether a run failed with a transport error, as it does
// when the endpoint dies.
func isConnectionLoss(err error) bool {
	var unknown *endpointclient.UnknownOutcomeError
	return errors.As(err, &unknown) && unknown.Cause != nil
}

// sendReport reports a death, with the runs that ended and those still in progress
// in the epoch as suspects.
func (d *deathTracker) sendReport(epoch uint64, r *deathReport) {
	d.mu.Lock()
	for t := range d.running {
		if t.epoch == epoch {
			r.fingerprints[t.fingerprint] = struct{}{}
		}
	}
	suspects := slices.Sorted(maps.Keys(r.fingerprints))
	d.mu.Unlock()
	logger.Log(d.server.cfg.Logger, logger.EndpointDied, zap.Uint64("epoch", epoch), zap.Int("suspects", len(suspects)))
	d.append(quarantiner.Event{
		Kind: quarantiner.KindDeath, Endpoint: d.server.cfg.Instance, Epoch: epoch, Fingerprints: suspects,
	})
}

// reportCleared reports that a suspect request succeeded while it ran exclusively.
func (d *deathTracker) reportCleared(f quarantiner.Fingerprint) {
	logger.Log(d.server.cfg.Logger, logger.SuspectCleared, zap.String("fingerprint", string(f)))
	d.append(quarantiner.Event{
		Kind: quarantiner.KindCleared, Endpoint: d.server.cfg.Instance, Fingerprints: []quarantiner.Fingerprint{f},
	})
}

// append appends an event to the deaths stream, with retries until the timeout.
func (d *deathTracker) append(e quarantiner.Event) {
	ctx, cancel := context.WithTimeout(context.Background(), deathReportTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if d.server.crashTracker.AppendEvent(ctx, e) == nil {
			return
		}
		sleeper.Sleep(ctx, appendRetryWait)
	}
	d.server.metrics.Add("unreported_deaths", 1)
}
