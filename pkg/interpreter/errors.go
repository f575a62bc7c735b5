package interpreter

import "fmt"

// UnknownSubjectError tells that no record in force configures a subject.
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

// UnreadableSubjectError tells that the record in force can't be read by this
// binary, which therefore takes no work for the subject.
type UnreadableSubjectError struct {
	Unreadable
}

// Error implements error.
func (e *UnreadableSubjectError) Error() string {
	return fmt.Sprintf("the record in force for %s at offset %d can't be read: %v", e.Subject, e.Offset, e.Reason)
}

// Unwrap returns why the record can't be read.
func (e *UnreadableSubjectError) Unwrap() error { return e.Reason }
