package endpointclient

import "fmt"

// NotRunError reports that a request was not run: the endpoint refused it, or no
// byte of it was sent.
type NotRunError struct {
	Reason string
	Cause  error
}

// Error implements error.
func (e *NotRunError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("not run: %s: %v", e.Reason, e.Cause)
	}
	return "not run: " + e.Reason
}

// Unwrap returns the transport's error, if any.
func (e *NotRunError) Unwrap() error { return e.Cause }

// UnknownOutcomeError reports that a request may have run, but its response is not
// complete.
type UnknownOutcomeError struct {
	Reason string
	Cause  error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("outcome unknown: %s: %v", e.Reason, e.Cause)
	}
	return "outcome unknown: " + e.Reason
}

// Unwrap returns the transport's error, if any.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// ResponseMismatchError reports that a response belongs to another request or
// version.
type ResponseMismatchError struct {
	Field string
	Got   string
	Want  string
}

// Error implements error.
func (e *ResponseMismatchError) Error() string {
	return fmt.Sprintf("foreign answer: %s is %q, want %q", e.Field, e.Got, e.Want)
}

// OrderError reports that an endpoint refused an order.
type OrderError struct {
	Order  Order
	Status int
}

// Error implements error.
func (e *OrderError) Error() string {
	return fmt.Sprintf("order %s %s refused with status %d under fencing number %d", e.Order.Kind, e.Order.VersionDigest, e.Status, e.Order.Fencing)
}
