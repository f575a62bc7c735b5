package exchanger

import (
	"errors"
	"fmt"
	"io"
	"net"
)

// NotSentError reports that no byte of the request reached the server.
type NotSentError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *NotSentError) Error() string { return fmt.Sprintf("%s: not sent: %v", e.Address, e.Cause) }

// Unwrap returns the transport's error.
func (e *NotSentError) Unwrap() error { return e.Cause }

// ResponseLostError reports that the request may have run but no complete response
// was received.
type ResponseLostError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ResponseLostError) Error() string {
	return fmt.Sprintf("%s: answer lost: %v", e.Address, e.Cause)
}

// Unwrap returns the transport's error.
func (e *ResponseLostError) Unwrap() error { return e.Cause }

// ErrForeignResponse reports that the responses on a connection belong to other
// requests.
var ErrForeignResponse = errors.New("the answer belongs to another request")

// InvalidResponseError reports that the server sent bytes that are no response. Unlike a
// broken connection, that is no sign that the server has ended.
type InvalidResponseError struct{ Cause error }

// Error implements error.
func (e *InvalidResponseError) Error() string { return fmt.Sprintf("invalid response: %v", e.Cause) }

// Unwrap returns the reason why the response is invalid.
func (e *InvalidResponseError) Unwrap() error { return e.Cause }

// HeadTooLargeError reports that the status line and the headers of a response, with the
// informational responses before it, exceed a limit.
type HeadTooLargeError struct{ LimitBytes int }

// Error implements error.
func (e *HeadTooLargeError) Error() string {
	return fmt.Sprintf("the head has more than %d bytes", e.LimitBytes)
}

// classifyReadError returns an InvalidResponseError for what was read and could not be
// parsed, and the error itself if the connection failed or ended.
func classifyReadError(err error) error {
	var failed net.Error
	if errors.As(err, &failed) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return err
	}
	return &InvalidResponseError{Cause: err}
}
