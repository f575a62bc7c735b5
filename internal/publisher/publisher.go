// Package publisher appends records of operators to the configuration stream and
// determines whether they were accepted, even if responses of the log are lost.
package publisher

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"flamingoledge.org/flamingoledge/internal/sleeper"
	"flamingoledge.org/flamingoledge/internal/synchronizer"
	"flamingoledge.org/flamingoledge/pkg/acceptor"
	"flamingoledge.org/flamingoledge/pkg/interpreter"
	"flamingoledge.org/flamingoledge/pkg/provider"
)

const (
	readWait   = 500 * time.Millisecond
	retryPause = 100 * time.Millisecond
)

// ConflictError reports that another record for the subject was accepted first.
type ConflictError struct {
	Subject      string
	RecordID     string
	Offset       uint64
	WinnerOffset uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Offset == 0 {
		return fmt.Sprintf("record %s for %s was not appended: offset %d is in force; read it, and publish again with base %d",
			e.RecordID, e.Subject, e.WinnerOffset, e.WinnerOffset)
	}
	return fmt.Sprintf("record %s for %s at offset %d is not accepted: offset %d is in force instead; read it, and publish again with base %d",
		e.RecordID, e.Subject, e.Offset, e.WinnerOffset, e.WinnerOffset)
}

// UnknownOutcomeError reports that it could not be determined whether a record was
// accepted.
type UnknownOutcomeError struct {
	RecordID   string
	FromOffset uint64
	Cause      error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("it is unknown whether record %s was accepted; search the log for it from offset %d: %v", e.RecordID, e.FromOffset, e.Cause)
}

// Unwrap returns the cause of the unknown outcome.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// LoadConfiguration returns the accepted configuration up to the current end of the log.
func LoadConfiguration(ctx context.Context, log provider.Log) (synchronizer.Configuration, error) {
	cfg := synchronizer.NewConfiguration(interpreter.SchemaLatest)
	return readToEnd(ctx, log, cfg, nil)
}

// readToEnd applies the log up to its end and calls visit, if not nil, with each
// outcome.
func readToEnd(ctx context.Context, log provider.Log, cfg synchronizer.Configuration, visit func(acceptor.Outcome)) (synchronizer.Configuration, error) {
	for {
		page, err := log.Read(ctx, provider.StreamConfiguration, cfg.State.LastOffset()+1, synchronizer.PageLimit, 0)
		if err != nil {
			return cfg, err
		}
		next, outcomes, err := cfg.WithPage(page)
		if err != nil {
			if next, err = recoverFromSnapshot(ctx, log, cfg, err); err != nil {
				return cfg, err
			}
		}
		for _, o := range outcomes {
			if visit != nil {
				visit(o)
			}
		}
		cfg = next
		if cfg.State.LastOffset()+1 >= page.Next {
			return cfg, nil
		}
	}
}

// recoverFromSnapshot applies the newest snapshot after the log returned gap, because
// retention had removed records.
func recoverFromSnapshot(ctx context.Context, log provider.Log, cfg synchronizer.Configuration, gap error) (synchronizer.Configuration, error) {
	s, ok, err := synchronizer.ReadNewestSnapshot(ctx, log)
	if err != nil {
		return cfg, err
	}
	if !ok || s.ThroughOffset <= cfg.State.LastOffset() {
		return cfg, eris.Wrap(gap, "no snapshot covers the gap in the log")
	}
	return cfg.WithSnapshot(s)
}

// Publish validates a record, appends it and returns its offset after it has been
// accepted. On a *ConflictError the record is not in force, and on an
// *UnknownOutcomeError it may be. On any other error it was not appended.
func Publish(ctx context.Context, log provider.Log, e acceptor.Envelope) (offset uint64, err error) {
	data, err := json.Marshal(e)
	if err != nil {
		return 0, eris.Wrap(err, "encode record")
	}
	if e, err = acceptor.ParseEnvelope(data); err != nil {
		return 0, err
	}
	if err = interpreter.Validate(e); err != nil {
		return 0, err
	}
	cfg, err := LoadConfiguration(ctx, log)
	if err != nil {
		return 0, eris.Wrap(err, "record not appended: failed to read the configuration stream")
	}
	current, _ := cfg.State.RecordFor(e.Subject)
	if current.Offset != 0 && current.Envelope.RecordID == e.RecordID {
		return current.Offset, nil
	}
	if current.Offset != e.Base {
		return 0, &ConflictError{Subject: e.Subject, RecordID: e.RecordID, WinnerOffset: current.Offset}
	}
	return appendAndConfirm(ctx, log, cfg, e, data)
}

// appendAndConfirm repeats the append until the record is found in the log. A duplicate
// has no effect, because its base is no longer current.
func appendAndConfirm(ctx context.Context, log provider.Log, cfg synchronizer.Configuration, e acceptor.Envelope, data []byte) (uint64, error) {
	from := cfg.State.LastOffset() + 1
	var found *acceptor.Outcome
	visit := func(o acceptor.Outcome) {
		if o.RecordID == e.RecordID && found == nil {
			found = &o
		}
	}
	for {
		_, appendErr := log.Append(ctx, provider.StreamConfiguration, data)
		var err error
		for attempt := 0; ; attempt++ {
			if cfg, err = readToEnd(ctx, log, cfg, visit); err == nil || ctx.Err() != nil {
				break
			}
			sleeper.Sleep(ctx, retryPause)
		}
		switch {
		case found != nil && found.Verdict == acceptor.VerdictAccepted:
			return found.Offset, nil
		case found != nil:
			return 0, &ConflictError{Subject: e.Subject, RecordID: e.RecordID, Offset: found.Offset, WinnerOffset: found.WinnerOffset}
		case ctx.Err() != nil:
			if appendErr == nil {
				appendErr = ctx.Err()
			}
			return 0, &UnknownOutcomeError{RecordID: e.RecordID, FromOffset: from, Cause: appendErr}
		}
		sleeper.Sleep(ctx, retryPause)
	}
}
