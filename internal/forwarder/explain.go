package forwarder

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"flamingoledge.org/flamingoledge/pkg/balancer"
	"flamingoledge.org/flamingoledge/pkg/quarantiner"
	"flamingoledge.org/flamingoledge/pkg/resolver"
)

// Question describes a request of which to explain where it would go. Either a host and a path
// or a service is required.
type Question struct {
	Host    string `json:"host,omitempty"`
	Path    string `json:"path,omitempty"`
	Service string `json:"service,omitempty"`
	// Workspace is the name of a workspace; it is required where a route needs a key.
	Workspace string `json:"workspace,omitempty"`
	// RequestID decides which of a route's services runs the request.
	RequestID string `json:"request_id,omitempty"`
	// Priority is that of a logged request, 0 to 99, where its workspace is not known.
	Priority *int `json:"priority,omitempty"`
	// Model is that of the service if it is empty and the service has one.
	Model string `json:"model,omitempty"`
	// PromptTokens and AnswerTokens are the usual numbers of the service if they are 0.
	PromptTokens int `json:"prompt_tokens,omitempty"`
	AnswerTokens int `json:"answer_tokens,omitempty"`
	// PromptParts identify the parts of the prompt that other requests may share.
	PromptParts []string `json:"prompt_parts,omitempty"`
	// Tried are the IDs of endpoints that have run the request.
	Tried []string `json:"tried,omitempty"`
}

// Explanation is where a request would go now.
type Explanation struct {
	Entry     string `json:"entry"`
	Route     string `json:"route"`
	Service   string `json:"service"`
	Workspace string `json:"workspace,omitempty"`
	Priority  int    `json:"priority"`
	// Outcome is "started" at Endpoint, "queued", or why the request would be refused: "busy",
	// "no_endpoint", "stale_configuration" or "convicted".
	Outcome  string `json:"outcome"`
	Endpoint string `json:"endpoint,omitempty"`
	Reason   string `json:"reason,omitempty"`
	// RetryAfterMillis is the least time after which a refused request may find a slot.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
	// Share is the share of the request's class that is admitted.
	Share float64 `json:"share"`
	// Waiting is the number of queued requests, and Ahead of how many the request would come
	// after. ExpectedWaitMillis is the wait that is expected in the queue.
	Waiting            int     `json:"waiting"`
	Ahead              int     `json:"ahead"`
	ExpectedWaitMillis float64 `json:"expected_wait_ms"`
	// FreeSlots is the number of slots that are free for this entry at its endpoints, and
	// ReservedSlots how many of them are left to more urgent requests.
	FreeSlots     float64 `json:"free_slots"`
	ReservedSlots float64 `json:"reserved_slots"`
	// FirstOutputMillis is the expected time from a start to the first output, and
	// StartWithinMillis for how long the request would wait for a slot at most.
	FirstOutputMillis float64             `json:"first_output_ms"`
	StartWithinMillis float64             `json:"start_within_ms"`
	Candidates        []ExplainedEndpoint `json:"candidates"`
}

// ExplainedEndpoint is an endpoint as the entry sees it.
type ExplainedEndpoint struct {
	Endpoint string `json:"endpoint"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Region   string `json:"region"`
	Version  uint64 `json:"version,omitempty"`
	// Home is "local" or "remote", or empty if the endpoint is shared evenly.
	Home string `json:"home,omitempty"`
	// Load is the estimated number of requests at the endpoint, of which Own are of the entry,
	// and Capacity how many it runs at full speed.
	Load     float64 `json:"load"`
	Own      int     `json:"own"`
	Capacity float64 `json:"capacity"`
	// ReportAgeMillis is the age of the last report; negative if there was none.
	ReportAgeMillis float64 `json:"report_age_ms"`
	Pace            float64 `json:"pace"`
	Cost            float64 `json:"cost"`
	// Excluded is why the request is not sent to the endpoint; empty if it may be. ForMillis
	// is for how long at most, if that is known.
	Excluded  string  `json:"excluded,omitempty"`
	ForMillis float64 `json:"excluded_for_ms,omitempty"`
	Chosen    bool    `json:"chosen,omitempty"`
}

// medianRank is the rank of a request, which derives from its content and is not known. Such a
// request is admitted while at least half of its class are.
const medianRank = 0.5

// convictions is implemented by crash registries that can tell which keys are convicted without
// starting a trial.
type convictions interface{ Convicted() []quarantiner.Key }

// Explain returns where a request would go now. It sends nothing and changes no state.
func (f *Forwarder) Explain(q Question) (e Explanation, err error) {
	now := f.cfg.Clock()
	c, err := f.questionCall(now, q)
	if err != nil {
		return e, err
	}
	dp := f.dispatchers.find(c.service)
	if dp == nil {
		return e, eris.Errorf("no endpoint of service %q is known", c.service)
	}
	r := f.balancerRequest(c, now)
	r.ExcludeZones = f.cfg.RoutingState().Evacuations.Evacuated()
	r.Rank = medianRank
	if q.Priority != nil {
		r.Priority = *q.Priority
	}
	x := dp.explain(now, r)
	e = newExplanation(now, x, r)
	e.Entry, e.Route, e.Service, e.Workspace, e.Priority = f.cfg.Name, c.route.Name, c.service, c.workspaceName(), r.Priority
	f.explainRefusal(&e, c)
	return e, nil
}

// explainRefusal changes the outcome of a request that is refused whatever the endpoints do.
func (f *Forwarder) explainRefusal(e *Explanation, c *call) {
	var outcome, reason string
	switch registry, ok := f.cfg.Crashes.(convictions); {
	case c.requiresKey && c.configAge > f.cfg.Bounds.Revocation:
		outcome, reason = "stale_configuration", "it is not certain that the key is still valid"
	case ok && isConvicted(registry.Convicted(), c.suspects.keys):
		outcome, reason = "convicted", "endpoints crashed under requests with a part of the prompt; only trials run"
	default:
		return
	}
	e.Outcome, e.Endpoint, e.Reason = outcome, "", reason
	for i := range e.Candidates {
		e.Candidates[i].Chosen = false
	}
}

func isConvicted(convicted, keys []quarantiner.Key) bool {
	return slices.ContainsFunc(keys, func(k quarantiner.Key) bool { return slices.Contains(convicted, k) })
}

// questionCall returns a call as the question describes it.
func (f *Forwarder) questionCall(now time.Time, q Question) (*call, error) {
	state := f.cfg.RoutingState()
	if state.Table == nil {
		return nil, eris.New("the entry has no configuration yet")
	}
	c := &call{
		RequestInfo: RequestInfo{RequestID: q.RequestID, PromptTokens: q.PromptTokens, AnswerTokensHint: q.AnswerTokens, Model: q.Model, PromptParts: q.PromptParts},
		receivedAt:  now, firstSentAt: now, answerDeadline: now.Add(defaultDeadline), configAge: now.Sub(state.ConfirmedAt), triedEndpoints: q.Tried,
	}
	if err := c.resolve(state.Table, q); err != nil {
		return nil, err
	}
	if c.route.Timeout > 0 {
		c.answerDeadline = now.Add(min(c.route.Timeout, defaultDeadline))
	}
	if s := state.Table.Service(c.service); s != nil {
		c.engine = s.Engine
	}
	if c.Model == "" && c.engine != nil && len(c.engine.Models) == 1 {
		c.Model = c.engine.Models[0]
	}
	// The content is not known, so that only the parts of the prompt may be suspect.
	c.suspects.keys = newSuspects(c).keys[1:]
	return c, nil
}

// resolve sets the route, the service and the workspace that a question names.
func (c *call) resolve(table *resolver.Table, q Question) error {
	switch {
	case q.Host != "" || q.Path != "":
		if c.route = table.Route(q.Host, q.Path); c.route == nil {
			return eris.Errorf("no route fits host %q and path %q", q.Host, q.Path)
		}
		c.service = c.route.PickService(xxhash.Sum64String(q.RequestID))
		if q.Service != "" && !leadsTo(c.route, q.Service) {
			return eris.Errorf("route %q does not lead to service %q", c.route.Name, q.Service)
		}
	case q.Service != "":
		if c.route = q.likelyRoute(table); c.route == nil {
			return eris.Errorf("no route leads to service %q", q.Service)
		}
	default:
		return eris.New("a host and a path, or a service, are required")
	}
	if q.Service != "" {
		c.service = q.Service
	}
	return c.resolveWorkspace(table, q.Workspace)
}

// likelyRoute returns the route to the question's service that fits best: one that needs a key
// if there is a workspace, and one with the priority. It returns nil if none leads there.
func (q Question) likelyRoute(table *resolver.Table) (best *resolver.Route) {
	mostHits := 0
	routes := table.Configuration().Routes
	for i := range routes {
		r := &routes[i]
		if !leadsTo(r, q.Service) {
			continue
		}
		hits := 1
		if table.NeedsKey(r) == (q.Workspace != "") {
			hits++
		}
		if q.Priority != nil && r.Priority == *q.Priority%priorityLevels {
			hits++
		}
		if hits > mostHits {
			best, mostHits = r, hits
		}
	}
	return best
}

func leadsTo(r *resolver.Route, service string) bool {
	return slices.ContainsFunc(r.Targets, func(t resolver.Target) bool { return t.Service == service })
}

// resolveWorkspace sets the workspace of a name.
func (c *call) resolveWorkspace(table *resolver.Table, name string) error {
	c.requiresKey = table.NeedsKey(c.route)
	if !c.requiresKey {
		return nil
	}
	workspaces := table.Configuration().Workspaces
	i := slices.IndexFunc(workspaces, func(w resolver.Workspace) bool { return w.Name == name })
	switch {
	case name == "":
		return eris.Errorf("route %q needs a key: name a workspace", c.route.Name)
	case i < 0:
		return eris.Errorf("no workspace %q is configured", name)
	}
	c.workspace = &workspaces[i]
	return nil
}

// newExplanation converts the explanation of a balancer.
func newExplanation(now time.Time, x balancer.Explanation, r balancer.Request) Explanation {
	d := x.Decision
	e := Explanation{
		Outcome: string(d.Outcome), Share: x.Share, Waiting: d.Waiting, Ahead: x.Ahead, ExpectedWaitMillis: millis(x.ExpectedWait),
		FreeSlots: x.FreeSlots, ReservedSlots: x.ReservedSlots, FirstOutputMillis: millis(r.FirstOutputDelay), StartWithinMillis: millis(r.StartBy.Sub(now)),
		RetryAfterMillis: d.RetryAfter.Milliseconds(),
	}
	switch d.Outcome {
	case balancer.OutcomeStarted:
		e.Endpoint = d.Endpoint.ID
	case balancer.OutcomeQueued:
		// The queue holds the request in the copy that decided.
		e.Waiting--
		e.Reason = "no slot is free"
		if x.MustQueue {
			e.Reason = "other requests are queued before it"
		} else if x.ReservedSlots > 0 && x.FreeSlots <= x.ReservedSlots {
			e.Reason = "the free slots are left to more urgent requests"
		}
	case balancer.OutcomeBusy, balancer.OutcomeNoEndpoint:
		e.Reason = refusalReason(d)
	}
	for _, c := range x.Candidates {
		e.Candidates = append(e.Candidates, explainedEndpoint(now, c, d))
	}
	return e
}

func explainedEndpoint(now time.Time, c balancer.Candidate, d balancer.Decision) ExplainedEndpoint {
	e := ExplainedEndpoint{
		Endpoint: c.Endpoint.ID, Address: c.Endpoint.Address, Zone: c.Endpoint.AvailabilityZone, Region: c.Endpoint.Region, Version: c.Endpoint.Version,
		Home: homeNames[c.Endpoint.Home], Load: c.Load, Own: c.Local, Capacity: c.Capacity, ReportAgeMillis: millis(c.ReportAge), Pace: c.Pace, Cost: c.Cost,
		Excluded: string(c.Exclusion), Chosen: d.Outcome == balancer.OutcomeStarted && d.Endpoint.ID == c.Endpoint.ID,
	}
	if c.Until.After(now) {
		e.ForMillis = millis(c.Until.Sub(now))
	}
	return e
}

var homeNames = map[balancer.Home]string{balancer.HomeLocal: "local", balancer.HomeRemote: "remote"}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// find returns the dispatcher of a service, or nil if there is none.
func (ds *dispatchers) find(service string) *dispatcher {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	return ds.byService[service]
}

func (dp *dispatcher) explain(now time.Time, r balancer.Request) balancer.Explanation {
	dp.mu.Lock()
	defer dp.mu.Unlock()
	return dp.balancer.Explain(now, r)
}
