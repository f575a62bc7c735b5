// Package cmds implements the commands of flamingoledge-node. They read flags and
// settings and run the servers; the logic is in the libraries.
package cmds

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/agentserver"
	"flamingoledge.org/flamingoledge/internal/bootclock"
	"flamingoledge.org/flamingoledge/internal/configurator"
	"flamingoledge.org/flamingoledge/internal/gatewayserver"
	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/internal/memorylimiter"
	"flamingoledge.org/flamingoledge/internal/monitor"
)

// Exit codes of the program.
const (
	exitOK              = 0
	exitFailed          = 1
	exitInvalidSettings = 2
)

// settingsEnvVar is the environment variable with the path of the settings file,
// for use without the flag.
const settingsEnvVar = "FLAMINGOLEDGE_NODE_FILE"

// gcPercents are the targets of the garbage collector by role. A sidecar allocates little,
// and its instance is shorter of memory than of CPU time. An entry allocates for each
// request, so collecting as early would take a third of its CPU time.
var gcPercents = map[string]int{"entry": 100, "sidecar": 25}

// Main runs the program and returns its exit code. SIGTERM and SIGINT cancel the
// context of the command, which then drains.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := New().Run(ctx, args)
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintln(os.Stderr, "flamingoledge-node:", err)
	var file *configurator.FileError
	if errors.As(err, &file) {
		return exitInvalidSettings
	}
	return exitFailed
}

// New returns the root command.
func New() *cli.Command {
	settings := &cli.StringFlag{Name: "settings", Usage: "settings `FILE`, JSON with comments", Sources: cli.EnvVars(settingsEnvVar)}
	return &cli.Command{
		Name:  "flamingoledge-node",
		Usage: "run an entry or a sidecar on the users' platform",
		Commands: []*cli.Command{
			{
				Name:        "entry",
				Usage:       "accept callers' requests and route them to endpoints",
				Description: "Example: flamingoledge-node entry --settings entry.jsonc",
				Flags:       []cli.Flag{settings},
				Action:      func(ctx context.Context, c *cli.Command) error { return run(ctx, c, "entry") },
			},
			{
				Name:        "sidecar",
				Usage:       "deliver weights to the endpoint of this instance and report its load to entries",
				Description: "Example: flamingoledge-node sidecar --settings sidecar.jsonc",
				Flags:       []cli.Flag{settings},
				Action:      func(ctx context.Context, c *cli.Command) error { return run(ctx, c, "sidecar") },
			},
			{
				Name:        "lint",
				Usage:       "validate a settings file",
				Description: "Example: flamingoledge-node lint --settings entry.jsonc",
				Flags:       []cli.Flag{settings},
				Action:      lint,
			},
			{
				Name:        "trace",
				Usage:       "print the log lines of a request in order of time",
				ArgsUsage:   "REQUEST_ID [LOG...]",
				Description: "Reads the given log files, or standard input if there are none.\nExample: flamingoledge-node trace 5460bb0955316a12 entry-*.log",
				Flags:       []cli.Flag{&cli.BoolFlag{Name: flagJSON, Usage: "print the log lines unchanged"}},
				Action:      trace,
			},
			{
				Name:        "losses",
				Usage:       "print how many requests were refused or late, by cause",
				ArgsUsage:   "[LOG...]",
				Description: "Reads the given log files of entries, or standard input if there are none.\nExample: flamingoledge-node losses entry-*.log",
				Flags:       []cli.Flag{&cli.BoolFlag{Name: flagJSON, Usage: "print JSON, with all workspaces"}},
				Action:      losses,
			},
			explainCommand(),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}

func lint(_ context.Context, c *cli.Command) error {
	n, err := configurator.Load(c.String("settings"), configurator.DefaultNode())
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.Root().Writer, "%s: valid settings for instance %s\n", c.String("settings"), n.Instance.Name)
	return err
}

type server interface {
	Run(ctx context.Context) error
}

func run(ctx context.Context, c *cli.Command, role string) (err error) {
	file := c.String("settings")
	var n *configurator.Node
	if n, err = load(file, role); err != nil {
		return err
	}
	var log *zap.Logger
	var writer *logger.BoundedWriter
	if log, writer, err = logger.NewBounded(logger.Config{Level: n.LogLevel, Role: role, Instance: n.Instance.Name}, os.Stdout); err != nil {
		return err
	}
	defer writer.Close()
	memorylimiter.Limit(n.MemoryMB)
	debug.SetGCPercent(gcPercents[role])
	metrics := new(expvar.Map).Init()
	var s server
	seeds := configurator.NewSeedList(n.Seeds)
	if s, err = newServer(role, n, seeds, log, metrics); err != nil {
		return err
	}
	background, stop := context.WithCancel(ctx)
	defer stop()
	go (&reload{file: file, role: role, inUse: n, seeds: seeds, log: log}).watch(background)
	if n.MetricsPort > 0 {
		go func() {
			if serveErr := monitor.ServeText(background, fmt.Sprintf("%s:%d", n.Address, n.MetricsPort), metrics, pagesOf(s)); serveErr != nil {
				logger.Log(log, logger.MetricsUnserved, zap.Error(serveErr))
			}
		}()
	}
	return s.Run(ctx)
}

// pagesOf returns the pages that a server has beside its metrics.
func pagesOf(s server) monitor.Pages {
	if g, ok := s.(*gatewayserver.Server); ok {
		return monitor.Pages{gatewayserver.PathExplain: g.HandleExplain}
	}
	return nil
}

// load reads a settings file and validates it, including the settings that only the
// role needs.
func load(file, role string) (*configurator.Node, error) {
	n, err := configurator.Load(file, configurator.DefaultNode())
	if err != nil {
		return nil, err
	}
	check := n.CheckSidecar
	if role == "entry" {
		check = n.CheckEntry
	}
	if err = check(); err != nil {
		return nil, &configurator.FileError{File: file, Line: 1, Cause: err}
	}
	return n, nil
}

func newServer(role string, n *configurator.Node, seeds *configurator.SeedList, log *zap.Logger, metrics *expvar.Map) (server, error) {
	if role == "entry" {
		return gatewayserver.New(gatewayserver.Config{Settings: n, Seeds: seeds, Clock: bootclock.Now, Logger: log, Metrics: metrics})
	}
	return agentserver.New(agentserver.Config{Settings: n, Seeds: seeds, Clock: bootclock.Now, Logger: log, Metrics: metrics})
}
