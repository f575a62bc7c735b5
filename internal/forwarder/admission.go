package forwarder

import (
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/pkg/balancer"
	"flamingoledge.org/flamingoledge/pkg/shedder"
)

// maxCountedWorkspaces bounds the workspaces with counters of their own; the others are
// counted together.
const maxCountedWorkspaces = 32

// workspaceNames holds the names of the workspaces with counters of their own.
type workspaceNames struct {
	mu    sync.Mutex
	known map[string]struct{}
}

// counted returns the name under which a workspace is counted.
func (w *workspaceNames) counted(name string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.known[name]; ok {
		return name
	}
	if len(w.known) >= maxCountedWorkspaces {
		return "other"
	}
	if w.known == nil {
		w.known = map[string]struct{}{}
	}
	w.known[name] = struct{}{}
	return name
}

// workspaceName returns the name of the caller's workspace; empty if there is none.
func (c *call) workspaceName() string {
	if c.workspace == nil {
		return ""
	}
	return c.workspace.Name
}

// retryTime is the time at which a refused caller should come back.
type retryTime struct {
	delay time.Duration
	// kept is set if a place is kept for the caller then.
	kept bool
}

// recordAdmission counts and logs the decision about a call, with what it was based on. A call
// that starts at once has its line route_chosen only.
func (f *Forwarder) recordAdmission(c *call, dp *dispatcher, r balancer.Request, d balancer.Decision, told retryTime) {
	isStarted := d.Outcome == balancer.OutcomeStarted
	if isStarted && c.waitTime < time.Millisecond && !r.Repeat {
		return
	}
	now := f.cfg.Clock()
	in := dp.inputs(now, r)
	fields := []zap.Field{
		zap.String("request_id", c.RequestID), zap.String("service", c.service), zap.String("workspace", c.workspaceName()), zap.Int("priority", r.Priority),
		zap.Bool("admitted", isStarted), zap.String("cause", causeOf(d)), zap.Int("waiting", d.Waiting), zap.Duration("waited", c.waitTime),
		zap.Float64("share", in.share), zap.Float64("freed", in.freed), zap.Int("free_slots", in.freeSlots),
		zap.Float64("slots", in.slots), zap.Float64("own_demand", in.ownDemand), zap.Float64("peer_demand", in.peerDemand),
		zap.Bool("repeat", r.Repeat), zap.Bool("punctual", r.Kept), zap.Bool("late", r.Late),
	}
	if !isStarted {
		f.countRefusal(c, r, d)
		fields = append(fields, zap.Duration("retry_after", told.delay), zap.Bool("kept", told.kept))
	}
	logger.Log(f.cfg.Logger, logger.AdmissionDecided, fields...)
}

// causeOf returns the reason of a decision.
func causeOf(d balancer.Decision) string {
	if d.Cause == shedder.CauseNone {
		return string(d.Outcome)
	}
	return string(d.Cause)
}

// countRefusal counts a refused call by priority, workspace and cause.
func (f *Forwarder) countRefusal(c *call, r balancer.Request, d balancer.Decision) {
	f.cfg.Metrics.Add("refused_priority_"+strconv.Itoa(r.Priority), 1)
	f.cfg.Metrics.Add("refused_cause_"+causeOf(d), 1)
	if name := c.workspaceName(); name != "" {
		f.cfg.Metrics.Add("refused_workspace_"+f.countedWorkspaces.counted(name), 1)
	}
	if r.Repeat {
		f.cfg.Metrics.Add("refused_again", 1)
	}
}

// recordLateness counts and logs a first output after the call's objective, and whether the
// request waited too long or the endpoint took too long.
func (f *Forwarder) recordLateness(c *call, sentAt, firstOutputAt time.Time) {
	taken := firstOutputAt.Sub(c.firstSentAt)
	if c.route.Objective <= 0 || taken <= c.route.Objective || c.deliveredEvents > 0 {
		return
	}
	cause := "endpoint"
	if sentAt.Sub(c.firstSentAt) >= taken-c.route.Objective {
		cause = "waiting"
	}
	f.cfg.Metrics.Add("late_"+cause, 1)
	logger.Log(f.cfg.Logger, logger.AnswerLate, zap.String("request_id", c.RequestID), zap.String("service", c.service),
		zap.String("workspace", c.workspaceName()), zap.Int("priority", c.priority()), zap.String("cause", cause), zap.String("endpoint", c.endpoint),
		zap.Duration("taken", taken), zap.Duration("objective", c.route.Objective), zap.Duration("waited", c.waitTime),
		zap.Duration("since_first_send", c.receivedAt.Sub(c.firstSentAt)), zap.Duration("at_endpoint", firstOutputAt.Sub(sentAt)))
}

// admissionInputs is what a decision was based on beside the request.
type admissionInputs struct {
	// share is the share of the request's priority that is admitted.
	share float64
	// freed is how many slots per second are freed for this process.
	freed     float64
	freeSlots int
	// slots is the number of slots of the ready endpoints, ownDemand and peerDemand are the
	// slots that the callers of this entry and of all others would occupy.
	slots, ownDemand, peerDemand float64
}

// freeSlotsInterval is the time for which a number of free slots is used again, since many
// requests are refused at a time, and there may be thousands of endpoints.
const freeSlotsInterval = 20 * time.Millisecond

func (dp *dispatcher) inputs(now time.Time, r balancer.Request) admissionInputs {
	dp.mu.Lock()
	defer dp.mu.Unlock()
	if now.Sub(dp.freeSlotsAt) >= freeSlotsInterval {
		dp.freeSlots, dp.freeSlotsAt = dp.balancer.FreeSlots(now, balancer.Request{Regions: r.Regions, MinVersion: r.MinVersion}), now
	}
	in := admissionInputs{share: 1, freed: dp.balancer.FreedPerSecond(), freeSlots: dp.freeSlots, slots: dp.fleet.Slots}
	for _, s := range dp.balancer.Shares(now) {
		if s.Priority == r.Priority {
			in.share = s.Share
		}
	}
	in.ownDemand, in.peerDemand = sumOf(dp.balancer.Demands(now)), sumOf(dp.fleet.Demands)
	return in
}

// sumOf returns the slots of all priorities.
func sumOf(ds []shedder.Demand) (slots float64) {
	for _, d := range ds {
		slots += d.Slots
	}
	return slots
}
