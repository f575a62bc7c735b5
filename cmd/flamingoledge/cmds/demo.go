package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/demonstrator"
	"flamingoledge.org/flamingoledge/internal/deployer"
	"flamingoledge.org/flamingoledge/internal/logger"
)

const (
	flagDeployment = "deployment"
	flagJSON       = "json"
	flagSeed       = "seed"
	flagLogLevel   = "log-level"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run the complete system in one process on embedded emulators",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagDeployment, Value: "zvaz", Usage: "deployment whose topology to use: zvaz or vloerwerk"},
			&cli.BoolFlag{Name: flagJSON, Usage: "print one JSON object instead of progress and a table"},
			&cli.Uint64Flag{Name: flagSeed, Value: 1, Usage: "seed of the generated weights and faults"},
			&cli.StringFlag{Name: flagLogLevel, Value: "error", Usage: "lowest level of log lines on standard error"},
		},
		Action: runDemo,
	}
}

func topologyByName(name string) (deployer.Topology, error) {
	switch name {
	case "zvaz":
		return deployer.Zvaz(), nil
	case "vloerwerk":
		return deployer.Vloerwerk(), nil
	default:
		return deployer.Topology{}, eris.Errorf("unknown deployment %q: it must be zvaz or vloerwerk", name)
	}
}

func newLogger(cmd *cli.Command) (*zap.Logger, error) {
	return logger.New(logger.Config{Level: cmd.String(flagLogLevel)})
}

func runDemo(ctx context.Context, cmd *cli.Command) error {
	topology, err := topologyByName(cmd.String(flagDeployment))
	if err != nil {
		return err
	}
	l, err := newLogger(cmd)
	if err != nil {
		return err
	}
	var progress io.Writer = os.Stdout
	if cmd.Bool(flagJSON) {
		progress = io.Discard
	}
	report, err := demonstrator.Run(ctx, demonstrator.Config{
		Topology: topology, Progress: progress, Logger: l, Seed: cmd.Uint64(flagSeed),
	})
	if err != nil {
		return err
	}
	if cmd.Bool(flagJSON) {
		return json.NewEncoder(os.Stdout).Encode(report)
	}
	_, _ = fmt.Fprintln(os.Stdout)
	return demonstrator.WriteTable(os.Stdout, report)
}
