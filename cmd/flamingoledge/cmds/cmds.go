// Package cmds implements the commands of the flamingoledge binary. They read flags
// and settings, call the libraries and print results; the logic is in the libraries.
package cmds

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

// Exit codes of the binary.
const (
	exitOK = 0
	// exitFailed means that the command failed.
	exitFailed = 1
	// exitConflict means that the published record was rejected because another record
	// with the same base had been accepted.
	exitConflict = 2
	// exitLagging means that a record was accepted but is not in force on every
	// live instance yet.
	exitLagging = 3
	// exitUnknown means that it is unknown whether a record was accepted.
	exitUnknown = 4
)

// exitError is an error with an exit code.
type exitError struct {
	code  int
	cause error
}

// Error implements error.
func (e *exitError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.cause }

// Main runs the binary and returns its exit code. SIGINT and SIGTERM cancel the
// context of the command, which then drains.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := New().Run(ctx, args)
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintln(os.Stderr, "flamingoledge:", err)
	var ee *exitError
	if errors.As(err, &ee) {
		return ee.code
	}
	return exitFailed
}

// New returns the root command.
func New() *cli.Command {
	return &cli.Command{
		Name:  "flamingoledge",
		Usage: "distribute model weights and route requests to endpoints",
		Commands: []*cli.Command{
			entryCommand(),
			sidecarCommand(),
			standinCommand(),
			configCommand(),
			weightsCommand(),
			keysCommand(),
			statusCommand(),
			traceCommand(),
			demoCommand(),
			measureCommand(),
			docsCommand(),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}
