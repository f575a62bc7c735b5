// Package refuser names the reasons for which a sidecar refuses an attempt as
// not run. Entries decide by them what to tell the caller and whether to retry.
package refuser

// ReasonEndpointDied says of an attempt with unknown outcome that its endpoint died. A
// retry must run alone.
const ReasonEndpointDied = "endpoint_died"

// Reasons of a refusal.
const (
	// ReasonDraining means that the sidecar drains.
	ReasonDraining = "leaving"
	// ReasonVersionNotServed means that the endpoint does not serve the version.
	ReasonVersionNotServed = "version_not_served"
	// ReasonDeadlinePassed means that the deadline has passed.
	ReasonDeadlinePassed = "deadline_passed"
	// ReasonOverloaded means that too many attempts wait at the endpoint.
	ReasonOverloaded = "overloaded"
	// ReasonKeyNotProtected means that the idempotency key is too old or not protected.
	ReasonKeyNotProtected = "key_not_protected"
	// ReasonKeyReused means that the key was used with another body.
	ReasonKeyReused = "key_reused"
	// ReasonClaimUnavailable means that the log did not take or show the claim.
	ReasonClaimUnavailable = "claim_unavailable"
	// ReasonClaimedElsewhere means that another sidecar holds the claim.
	ReasonClaimedElsewhere = "claimed_elsewhere"
	// ReasonNoEndpoint means that no endpoint is known.
	ReasonNoEndpoint = "no_endpoint"
	// ReasonEndpointRefused means that the endpoint refused or was not reached.
	ReasonEndpointRefused = "endpoint_refused"
	// ReasonSuperseded means that a newer sidecar has taken over the endpoint.
	ReasonSuperseded = "superseded"
	// ReasonExclusiveTimeout means that the endpoint could not be had alone in time.
	ReasonExclusiveTimeout = "not_alone_in_time"
	// ReasonConvicted means that endpoints died while the request ran alone.
	ReasonConvicted = "convicted"
	// ReasonOtherService means that the sidecar stands beside another service.
	ReasonOtherService = "other_service"
)
