// Package cmds holds the commands of the flamingoledge binary. They read
// settings and flags, call the libraries and print; they decide nothing.
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
	// exitFailed means that the command could not do its work.
	exitFailed = 1
	// exitConflict means that a record lost against another one.
	exitConflict = 2
	// exitLagging means that a record is accepted and not yet in force everywhere.
	exitLagging = 3
	// exitUnknown means that the outcome of a publish is not known.
	exitUnknown = 4
)

// exitError carries an exit code.
type exitError struct {
	code  int
	cause error
}

// Error implements error.
func (e *exitError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.cause }

// Main runs the binary and returns its exit code. SIGINT and SIGTERM end the
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

// New returns the tree of commands.
func New() *cli.Command {
	return &cli.Command{
		Name:  "flamingoledge",
		Usage: "weight distribution for bursts",
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
