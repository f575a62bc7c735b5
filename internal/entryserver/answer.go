package entryserver

import (
	"errors"
	"io"

	"flamingoledge.org/flamingoledge/internal/messenger"
)

// answerReader streams the answer of an attempt to the HTTP response and ends the
// call when it is closed.
type answerReader struct {
	server  *Server
	call    *call
	attempt *attempt
	pending []byte
	failure *attemptError
	closed  bool
	// finishedByHandler is true if the handler logs a failed call and updates
	// inFlight, so that Close must not.
	finishedByHandler bool
}

// Read implements io.Reader.
func (r *answerReader) Read(b []byte) (n int, err error) {
	if len(r.pending) == 0 {
		if err = r.readFrame(); err != nil {
			return 0, err
		}
	}
	n = copy(b, r.pending)
	r.pending = r.pending[n:]
	return n, nil
}

// readFrame reads the next frame of the answer. If a streamed answer breaks off, it
// is resumed on another endpoint where that is allowed.
func (r *answerReader) readFrame() (err error) {
	if r.pending, err = r.attempt.nextFrame(); err == nil {
		r.call.framesSent++
		return nil
	}
	if errors.Is(err, io.EOF) {
		return err
	}
	failure := asAttemptError(err)
	if r.call.isStreaming() {
		if a := r.server.resume(r.call, r.attempt, failure); a != nil {
			r.server.endAttempt(r.attempt, failure)
			r.attempt = a
			r.pending = a.firstFrame
			r.call.framesSent++
			return nil
		}
	}
	r.failure = failure
	return err
}

// Close implements io.Closer. The HTTP server calls it after the last byte, or when
// the caller has disconnected.
func (r *answerReader) Close() error {
	if r.closed {
		return nil
	}
	r.closed = true
	isComplete := r.attempt.isComplete && len(r.pending) == 0
	if !isComplete && r.failure == nil {
		r.failure = &attemptError{outcome: messenger.Outcome_OUTCOME_UNKNOWN, reason: "caller_gone"}
	}
	r.server.endAttempt(r.attempt, r.failure)
	r.server.release(r.call)
	if isComplete {
		r.server.logAnswered(r.call)
	} else if !r.finishedByHandler {
		r.server.logUnknownOutcome(r.call, OutcomeUnknown, r.failure)
	}
	if !r.finishedByHandler {
		r.server.inFlight.Add(-1)
	}
	return nil
}
