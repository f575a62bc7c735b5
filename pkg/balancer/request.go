package balancer

import (
	"time"

	"flamingoledge.org/flamingoledge/pkg/shedder"
)

// Home describes which process an endpoint's slots are reserved for first.
type Home int

// Homes of an endpoint.
const (
	// HomeNone means that all processes share the endpoint equally.
	HomeNone Home = iota
	// HomeLocal means that the endpoint has its home at this process.
	HomeLocal
	// HomeRemote means that the endpoint has its home at another process.
	HomeRemote
)

// Endpoint describes an endpoint without its load.
type Endpoint struct {
	ID      string
	Address string
	Region  string
	// AvailabilityZone is the zone of the endpoint, and Evacuated is set while operators have
	// evacuated it: the endpoint gets no requests then.
	AvailabilityZone string
	Evacuated        bool
	Slots            int
	Home             Home
	// Ready is set if the endpoint accepts new requests: it is not draining and has
	// loaded what the service needs.
	Ready bool
	// Born identifies the incarnation of the endpoint: it grows with each start.
	Born int64
	// Version is the loaded version; 0 if the service has no versions.
	Version uint64
	// ReadyAt is when an endpoint that is not ready is expected to be; the zero time if
	// unknown.
	ReadyAt time.Time
	// ColdUntil is until when the endpoint is cold, and ColdLimit how many requests it may get
	// in any second while it is, from all processes; 0 for no limit.
	ColdUntil time.Time
	ColdLimit float64
	// ColdSenders is how many processes may send to the endpoint at least, also if this one
	// knows fewer.
	ColdSenders int
	// Unreported is set if the endpoint's load is not reported to this process. It gets
	// requests only if no other endpoint can run them.
	Unreported bool
}

// Load is the load reported by an endpoint or by the instance next to it.
type Load struct {
	Running int
	Queued  int
	// Memory is the share of the memory for contexts (KV) that is in use; 0 if not reported.
	Memory float64
	// Slowdown is 1 at normal speed and higher for a slow endpoint; 0 if not
	// reported.
	Slowdown float64
	// Unready is set if the endpoint serves nothing, though it may be listed as ready.
	Unready bool
	// SwitchIn is the time until the endpoint is due to switch versions, from the time of the
	// load on; 0 if none is due or that is unknown.
	SwitchIn time.Duration
	// Receivers is the number of processes that the load was reported to, which share
	// the free slots; 0 for a load from an answer, which only its receiver has.
	Receivers int
}

// Request describes a request that needs an endpoint.
type Request struct {
	ID        uint64
	Workspace string
	// Priority orders queued requests; 0 is the highest priority.
	Priority int
	// StartBy is the latest time at which starting the request is still useful.
	StartBy time.Time
	// FirstOutputBy is the time by which the first output should arrive.
	// FirstOutputDelay is the expected time from the start to the first output if no
	// other prompt waits for prefill. PrefillTime is the part of it that the prompt
	// takes to prefill; 0 for services that are not model engines.
	FirstOutputBy    time.Time
	FirstOutputDelay time.Duration
	PrefillTime      time.Duration
	// Late is set if the request can no longer meet its objective, for example
	// because it was refused before.
	Late bool
	// Resumed is set if the caller has already received a part of the answer, which an
	// endpoint broke off. Such a request starts before all others: it has cost an endpoint
	// most of its work, and its caller loses the part if no other endpoint goes on.
	Resumed bool
	// Repeat is set if the caller was refused before and sent the request again. Kept is
	// set if capacity was promised to the repeat for this time.
	Repeat bool
	Kept   bool
	// Admitted is set if the request was admitted by an earlier call of Offer, for example
	// because an endpoint has turned it away.
	Admitted bool
	// Rank decides in [0,1) whether the request is admitted during an overload, see
	// shedder.Rank.
	Rank float64
	// SlotTime is how long the request is expected to occupy a slot of an endpoint of
	// normal speed; 0 if unknown.
	SlotTime time.Duration
	// Exclude holds the IDs of endpoints that were already tried.
	Exclude []string
	// ExcludeZones are availability zones that were evacuated since the endpoints were set.
	ExcludeZones []string
	// Regions are those of the eligible endpoints; nil for all. An empty list allows none.
	Regions []string
	// Version is the required version; 0 accepts any. Versions below MinVersion are
	// not eligible.
	Version    uint64
	MinVersion uint64
	// PreferredVersion is the version below which endpoints are used only if no newer
	// one is available.
	PreferredVersion uint64
	// Random seeds the cost jitter between endpoints.
	Random uint64

	// reservedSlots is the number of free slots of this process that the request leaves
	// to more urgent ones.
	reservedSlots float64
	// comesLast is set if the request is repeated and late, or its objective has passed.
	comesLast bool
	// verdict is that of the shedder. assured is set if the request is within the least share
	// of a priority that has got less.
	verdict shedder.Verdict
	assured bool
	// topPriority is the most urgent priority in demand.
	topPriority int
	// beforeSwitches is set if the request may only run at endpoints that are not expected to
	// switch versions before it ends, which is duration after its start.
	beforeSwitches bool
	duration       time.Duration
	// isHeld is set while the request leaves a slot of an endpoint that is about to switch to
	// shorter ones, and isBehindHeld if a more urgent one does.
	isHeld       bool
	isBehindHeld bool
	// unadmitted is set if the request is not admitted. It comes after those of its priority
	// that are.
	unadmitted bool
}

// queuePriority returns the priority by which the request is queued. An assured one is
// queued like the most urgent ones, so that of these, the first to expire starts first.
func (r Request) queuePriority() int {
	if r.assured {
		return min(r.Priority, r.topPriority)
	}
	return r.Priority
}

// Outcome is the result of offering a request.
type Outcome string

// Outcomes of a request.
const (
	// OutcomeStarted means that the request starts at Decision.Endpoint.
	OutcomeStarted Outcome = "started"
	// OutcomeQueued means that the request waits for a free slot.
	OutcomeQueued Outcome = "queued"
	// OutcomeBusy means that no slot is expected to become free in time.
	OutcomeBusy Outcome = "busy"
	// OutcomeNoEndpoint means that no endpoint can run the request.
	OutcomeNoEndpoint Outcome = "no_endpoint"
)

// Decision is the outcome of a request and the data it is based on.
type Decision struct {
	ID       uint64
	Outcome  Outcome
	Endpoint Endpoint
	// Load and LoadAge are the load estimate by which the endpoint was selected and
	// the age of the last report.
	Load    float64
	LoadAge time.Duration
	// Cause is the reason of a refusal with OutcomeBusy, and Share the share of the
	// request's class that is admitted.
	Cause shedder.Cause
	Share float64
	// Waiting is the number of queued requests.
	Waiting int
	// Declining is the number of ready endpoints that have said that they accept no request
	// now.
	Declining int
	// Evacuated is the number of endpoints that could run the request but for the evacuation
	// of their zone, if no other can.
	Evacuated int
	// RetryAfter is the delay after which a refused request may find a free slot.
	RetryAfter time.Duration
}
