package cmds

import (
	"context"
	"encoding/json"
	"io"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"flamingoledge.org/flamingoledge/internal/measurer"
)

const flagQuick = "quick"

func measureCommand() *cli.Command {
	return &cli.Command{
		Name:      "measure",
		Usage:     "run an experiment and print its rows beside their bounds",
		ArgsUsage: "NAME",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: flagQuick, Usage: "end within 45 s, with fewer sizes and repetitions"},
			&cli.BoolFlag{Name: flagJSON, Usage: "print one JSON object instead of a table"},
			&cli.Uint64Flag{Name: flagSeed, Value: 1, Usage: "seed of everything that is drawn"},
			&cli.StringFlag{Name: flagLogLevel, Value: "error", Usage: "lowest level of log lines on standard error"},
		},
		Action: runMeasure,
	}
}

func runMeasure(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return eris.Errorf("name one experiment of %v", measurer.Names())
	}
	l, err := newLogger(cmd)
	if err != nil {
		return err
	}
	var progress io.Writer = os.Stderr
	if cmd.Bool(flagJSON) {
		progress = io.Discard
	}
	r, err := measurer.Run(ctx, cmd.Args().First(), measurer.Config{
		Quick: cmd.Bool(flagQuick), Seed: cmd.Uint64(flagSeed), Progress: progress, Logger: l,
	})
	if err != nil {
		return err
	}
	if cmd.Bool(flagJSON) {
		return json.NewEncoder(os.Stdout).Encode(r)
	}
	return measurer.WriteTable(os.Stdout, r)
}
