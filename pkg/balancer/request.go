package balancer

import "time"

// Home says whose requests an endpoint's places are for first.
type Home int

// Homes of an endpoint.
const (
	// HomeNone is an endpoint that all processes use alike.
	HomeNone Home = iota
	HomeLocal
	HomeRemote
)

// Endpoint is what is known of an endpoint apart from its load.
type Endpoint struct {
	ID      string
	Address string
	Region  string
	Slots   int
	Home    Home
	// Ready says that it may get new work: it is not leaving and holds what the
	// service needs.
	Ready bool
	// Version is what it has loaded; 0 where there are no versions.
	Version uint64
}

// Load is what an endpoint or an instance beside it told of its load.
type Load struct {
	Running int
	Queued  int
	// Pace is 1 at the usual speed and more for a slow endpoint; 0 is not told.
	Slowdown float64
}

// Request asks for a place.
type Request struct {
	ID        uint64
	Workspace string
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// StartBy is the last moment at which a start is useful.
	StartBy time.Time
	// FirstOutputBy is when the first piece of the answer should come, and FirstOutputDelay how
	// long it takes from the start where no other prompt waits to be read. Read
	// is the part of it that reads the prompt; 0 for plain services.
	FirstOutputBy    time.Time
	FirstOutputDelay time.Duration
	PrefillTime      time.Duration
	// Late says that the request can't meet its objective any more, as when it
	// was refused before.
	Late bool
	// Exclude are endpoints that were tried.
	Exclude []string
	// Version is the only one that may run it; 0 for any. None before
	// MinVersion may.
	Version    uint64
	MinVersion uint64
	// Random breaks ties between endpoints.
	Random uint64
}

// Outcome is what becomes of a request.
type Outcome string

// Outcomes of a request.
const (
	OutcomeStarted Outcome = "started"
	OutcomeQueued  Outcome = "queued"
	// OutcomeBusy means that no place is free in time.
	OutcomeBusy Outcome = "busy"
	// OutcomeNoEndpoint means that no endpoint may run the request at all.
	OutcomeNoEndpoint Outcome = "no_endpoint"
)

// Decision says what becomes of a request, and from what that was decided.
type Decision struct {
	ID       uint64
	Outcome  Outcome
	Endpoint Endpoint
	// Load and LoadAge are what the endpoint was chosen by.
	Load    float64
	LoadAge time.Duration
	Waiting int
	// RetryAfter is when a refused request may find a place.
	RetryAfter time.Duration
}
