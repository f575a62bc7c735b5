package balancer

import "time"

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
	Slots   int
	Home    Home
	// Ready is set if the endpoint accepts new requests: it is not draining and has
	// loaded what the service needs.
	Ready bool
	// Born identifies the incarnation of the endpoint: it grows with each start.
	Born int64
	// Version is the loaded version; 0 if the service has no versions.
	Version uint64
	// Unreported is set if the endpoint's load is not reported to this process. It gets
	// requests only if no other endpoint can run them.
	Unreported bool
}

// Load is the load reported by an endpoint or by the instance next to it.
type Load struct {
	Running int
	Queued  int
	// Slowdown is 1 at normal speed and higher for a slow endpoint; 0 if not
	// reported.
	Slowdown float64
	// Receivers is the number of processes that the load was reported to, which share
	// the free slots; 0 if not reported.
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
	// Repeat is set if the caller was refused before and sent the request again.
	Repeat bool
	// Exclude holds the IDs of endpoints that were already tried.
	Exclude []string
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
	// Waiting is the number of queued requests.
	Waiting int
	// Declining is the number of ready endpoints that have said that they accept no request
	// now.
	Declining int
	// RetryAfter is the delay after which a refused request may find a free slot.
	RetryAfter time.Duration
}
