// Package cmds holds the commands of flamingoledge-node. They read settings and
// start the libraries; they decide nothing.
package cmds

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/agentserver"
	"flamingoledge.org/flamingoledge/internal/chronometer"
	"flamingoledge.org/flamingoledge/internal/configurator"
	"flamingoledge.org/flamingoledge/internal/gatewayserver"
	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/internal/monitor"
)

// Exit codes of the program.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

// settingsVariable names the settings file where no flag does.
const settingsVariable = "FLAMINGOLEDGE_NODE_FILE"

// memoryShare of the instance's memory is where the collector begins to work
// harder; the rest is for buffers of the kernel and stacks.
const memoryShare = 0.6

// gcPercent keeps the heap near what is in use. The processes use a hundredth of a
// core, and memory is the dearer of the two on small instances.
const gcPercent = 25

// hups takes the requests to read the settings again.
var hups = make(chan os.Signal, 1)

// Main runs the program and returns its exit code. SIGTERM and SIGINT end the
// context of the command, which then drains.
func Main(args []string) int {
	// First of all: a process that has just started must not end by SIGHUP.
	signal.Notify(hups, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := New().Run(ctx, args)
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintln(os.Stderr, "flamingoledge-node:", err)
	var file *configurator.FileError
	if errors.As(err, &file) {
		return exitSettings
	}
	return exitFailed
}

// New returns the tree of commands.
func New() *cli.Command {
	settings := &cli.StringFlag{Name: "settings", Usage: "settings `FILE`, JSON with comments", Sources: cli.EnvVars(settingsVariable)}
	return &cli.Command{
		Name:  "flamingoledge-node",
		Usage: "an entry or a sidecar on the users' platform",
		Commands: []*cli.Command{
			{
				Name:        "entry",
				Usage:       "take callers' requests and send them to endpoints",
				Description: "Example: flamingoledge-node entry --settings entry.jsonc",
				Flags:       []cli.Flag{settings},
				Action:      func(ctx context.Context, c *cli.Command) error { return run(ctx, c, "entry") },
			},
			{
				Name:        "sidecar",
				Usage:       "bring weights to the endpoint of this instance and tell entries of its load",
				Description: "Example: flamingoledge-node sidecar --settings sidecar.jsonc",
				Flags:       []cli.Flag{settings},
				Action:      func(ctx context.Context, c *cli.Command) error { return run(ctx, c, "sidecar") },
			},
			{
				Name:        "lint",
				Usage:       "check a settings file",
				Description: "Example: flamingoledge-node lint --settings entry.jsonc",
				Flags:       []cli.Flag{settings},
				Action:      lint,
			},
			{
				Name:        "trace",
				Usage:       "print what logs tell of a request, by time",
				ArgsUsage:   "REQUEST_ID [LOG...]",
				Description: "Reads log files, or standard input without any.\nExample: flamingoledge-node trace 5460bb0955316a12 entry-*.log",
				Flags:       []cli.Flag{&cli.BoolFlag{Name: flagJSON, Usage: "print the lines as they were written"}},
				Action:      trace,
			},
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}

func lint(_ context.Context, c *cli.Command) error {
	n, err := configurator.Load(c.String("settings"), configurator.DefaultNode())
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.Root().Writer, "%s: good, for instance %s\n", c.String("settings"), n.Instance.Name)
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
	var lines *logger.BoundedWriter
	if log, lines, err = logger.NewBounded(logger.Config{Level: n.LogLevel, Role: role, Instance: n.Instance.Name}, os.Stdout); err != nil {
		return err
	}
	defer lines.Close()
	debug.SetMemoryLimit(int64(memoryShare * float64(n.MemoryMB) * (1 << 20)))
	debug.SetGCPercent(gcPercent)
	metrics := new(expvar.Map).Init()
	var s server
	if s, err = newServer(role, n, log, metrics); err != nil {
		return err
	}
	background, stop := context.WithCancel(ctx)
	defer stop()
	go watchReload(background, file, role, n, log)
	if n.MetricsPort > 0 {
		go func() {
			if merr := monitor.ServeText(background, fmt.Sprintf("%s:%d", n.Address, n.MetricsPort), metrics); merr != nil {
				logger.Log(log, logger.MetricsUnserved, zap.Error(merr))
			}
		}()
	}
	return s.Run(ctx)
}

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

func newServer(role string, n *configurator.Node, log *zap.Logger, metrics *expvar.Map) (server, error) {
	if role == "entry" {
		return gatewayserver.New(gatewayserver.Config{Settings: n, Clock: chronometer.Now, Logger: log, Metrics: metrics})
	}
	return agentserver.New(agentserver.Config{Settings: n, Clock: chronometer.Now, Logger: log, Metrics: metrics})
}

// watchReload reads the settings again at SIGHUP. Good ones are logged with what
// needs a restart; bad ones change nothing.
func watchReload(ctx context.Context, file, role string, n *configurator.Node, log *zap.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hups:
			newer, err := load(file, role)
			if err != nil {
				logger.Log(log, logger.SettingsRefused, zap.Error(err))
				continue
			}
			logger.Log(log, logger.SettingsReloaded, zap.Strings("changed", changedFields(n, newer)))
		}
	}
}

// changedFields names the settings that differ.
func changedFields(a, b *configurator.Node) (names []string) {
	va, vb := reflect.ValueOf(*a), reflect.ValueOf(*b)
	for i := range va.NumField() {
		if !reflect.DeepEqual(va.Field(i).Interface(), vb.Field(i).Interface()) {
			names = append(names, va.Type().Field(i).Tag.Get("json"))
		}
	}
	return names
}
