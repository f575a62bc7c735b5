package interpreter

import "fmt"

// UnknownSubjectError reports that no record in force configures a subject.
type UnknownSubjectError struct {
	Subject string
	// Service is set when the subject exists but has no route to the service.
	Service string
}

// Error implements error.
func (e *UnknownSubjectError) Error() string {
	if e.Service != "" {
		return fmt.Sprintf("%s has no route to service %q", e.Subject, e.Service)
	}
	return fmt.Sprintf("no record in force for %s", e.Subject)
}

// UnreadableSubjectError reports that this binary can't decode the record in force
// and therefore doesn't accept requests for the subject.
type UnreadableSubjectError struct {
	Unreadable
}

// Error implements error.
func (e *UnreadableSubjectError) Error() string {
	return fmt.Sprintf("the record in force for %s at offset %d can't be read: %v", e.Subject, e.Offset, e.Reason)
}

// Unwrap returns the decoding error.
func (e *UnreadableSubjectError) Unwrap() error { return e.Reason }
