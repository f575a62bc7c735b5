// Package refuser names the reasons for which a sidecar refuses an attempt as
// not run. Entries decide by them what to tell the caller and whether to retry.
package refuser

// ReasonDied says of an attempt with unknown outcome that its endpoint died. A
// retry must run alone.
const ReasonDied = "endpoint_died"

// Reasons of a refusal.
const (
	// ReasonLeaving means that the sidecar drains.
	ReasonLeaving = "leaving"
	// ReasonVersion means that the endpoint does not serve the version.
	ReasonVersion = "version_not_served"
	// ReasonExpired means that the deadline has passed.
	ReasonExpired = "deadline_passed"
	// ReasonOverloaded means that too many attempts wait at the endpoint.
	ReasonOverloaded = "overloaded"
	// ReasonKeyAge means that the idempotency key is too old or not protected.
	ReasonKeyAge = "key_not_protected"
	// ReasonKeyReused means that the key was used with another body.
	ReasonKeyReused = "key_reused"
	// ReasonClaimUnavailable means that the log did not take or show the claim.
	ReasonClaimUnavailable = "claim_unavailable"
	// ReasonClaimedElsewhere means that another sidecar holds the claim.
	ReasonClaimedElsewhere = "claimed_elsewhere"
	// ReasonNoEndpoint means that no endpoint is known.
	ReasonNoEndpoint = "no_endpoint"
	// ReasonEndpoint means that the endpoint refused or was not reached.
	ReasonEndpoint = "endpoint_refused"
	// ReasonSuperseded means that a newer sidecar has taken over the endpoint.
	ReasonSuperseded = "superseded"
	// ReasonBusy means that the endpoint could not be had alone in time.
	ReasonBusy = "not_alone_in_time"
	// ReasonConvicted means that endpoints died while the request ran alone.
	ReasonConvicted = "convicted"
	// ReasonService means that the sidecar stands beside another service.
	ReasonService = "other_service"
)
