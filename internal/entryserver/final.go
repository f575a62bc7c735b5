package entryserver

import (
	"github.com/valyala/fasthttp"

	"flamingoledge.org/flamingoledge/internal/messenger"
	"flamingoledge.org/flamingoledge/internal/refuser"
)

// finalProblem returns the problem to report after the last attempt failed. If any
// attempt may have run, the outcome is unknown, whatever the other attempts returned.
func finalProblem(c *call, unknown, last *attemptError) *Problem {
	switch {
	case last.outcome == messenger.Outcome_OUTCOME_RAN_ANSWER_LOST:
		return &Problem{Status: fasthttp.StatusConflict, Code: CodeRanAnswerLost, Outcome: OutcomeRan, Message: last.Error()}
	case unknown != nil:
		return &Problem{
			Status: fasthttp.StatusBadGateway, Code: CodeOutcomeUnknown, Outcome: OutcomeUnknown,
			Message: "the request may have run; trace it by its request id: " + unknown.Error(),
		}
	}
	switch last.reason {
	case refuser.ReasonDeadlinePassed:
		return notRun(fasthttp.StatusServiceUnavailable, CodeDeadline, overloadRetryAfter, "%v", last)
	case refuser.ReasonOverloaded:
		return notRun(fasthttp.StatusServiceUnavailable, CodeOverloaded, overloadRetryAfter, "%v", last)
	case refuser.ReasonKeyNotProtected:
		return notRun(fasthttp.StatusBadRequest, CodeKeyRefused, 0, "%v", last)
	case refuser.ReasonKeyReused:
		return notRun(fasthttp.StatusConflict, CodeKeyReused, 0, "the key was used with another body")
	case refuser.ReasonClaimUnavailable:
		return notRun(fasthttp.StatusServiceUnavailable, CodeClaimUnavailable, endpointRetryAfter, "%v", last)
	case refuser.ReasonConvicted:
		return notRun(fasthttp.StatusUnprocessableEntity, CodeConvicted, 0, "endpoints died while an equal request ran alone")
	case refuser.ReasonNoEndpoint:
		return notRun(fasthttp.StatusServiceUnavailable, CodeNoEndpoint, endpointRetryAfter, "no endpoint serves service %s now", c.service)
	default:
		return notRun(fasthttp.StatusServiceUnavailable, CodeNotRun, endpointRetryAfter, "%v", last)
	}
}

// isPermanent reports whether every endpoint would refuse the call for the same reason.
func isPermanent(reason string) bool {
	return reason == refuser.ReasonDeadlinePassed || reason == refuser.ReasonKeyNotProtected || reason == refuser.ReasonKeyReused || reason == refuser.ReasonConvicted
}

// isRefusedBySidecar reports whether a sidecar refused the call without sending it to its
// endpoint, so that the attempt added no load to the endpoint.
func isRefusedBySidecar(reason string) bool {
	return reason == refuser.ReasonOverloaded || reason == refuser.ReasonDraining || reason == refuser.ReasonVersionNotServed
}
