// Package refuser defines the reasons that a sidecar reports for an attempt that it did
// not run, or whose outcome is unknown. Entries use them to choose the reply to the caller and to decide whether
// to retry.
package refuser

// ReasonEndpointDied means that the outcome of an attempt is unknown because its
// endpoint crashed. A retry must run alone on an endpoint.
const ReasonEndpointDied = "endpoint_died"

// Reasons of a refusal.
const (
	// ReasonDraining means that the sidecar is draining.
	ReasonDraining = "leaving"
	// ReasonVersionNotServed means that the endpoint does not serve the version.
	ReasonVersionNotServed = "version_not_served"
	// ReasonDeadlinePassed means that the deadline has passed.
	ReasonDeadlinePassed = "deadline_passed"
	// ReasonOverloaded means that too many attempts wait at the endpoint.
	ReasonOverloaded = "overloaded"
	// ReasonKeyNotProtected means that the idempotency key is too old or not dated,
	// so that a repeated request could not be detected.
	ReasonKeyNotProtected = "key_not_protected"
	// ReasonKeyReused means that the key was used with a different body.
	ReasonKeyReused = "key_reused"
	// ReasonClaimUnavailable means that the claim could not be written to the log or
	// read back.
	ReasonClaimUnavailable = "claim_unavailable"
	// ReasonClaimedElsewhere means that another sidecar holds the claim.
	ReasonClaimedElsewhere = "claimed_elsewhere"
	// ReasonNoEndpoint means that no endpoint is known.
	ReasonNoEndpoint = "no_endpoint"
	// ReasonEndpointRefused means that the endpoint refused the request or was not
	// reachable.
	ReasonEndpointRefused = "endpoint_refused"
	// ReasonSuperseded means that a newer incarnation of the sidecar controls the
	// endpoint.
	ReasonSuperseded = "superseded"
	// ReasonExclusiveTimeout means that exclusive use of the endpoint was not
	// available in time.
	ReasonExclusiveTimeout = "not_alone_in_time"
	// ReasonConvicted means that endpoints crashed while the request ran alone.
	ReasonConvicted = "convicted"
	// ReasonOtherService means that the sidecar's endpoint runs another service.
	ReasonOtherService = "other_service"
)
