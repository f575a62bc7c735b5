package cmds

import (
	"context"
	"encoding/json"
	"io"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"flamingoledge.org/flamingoledge/internal/measurer"
	"flamingoledge.org/flamingoledge/internal/plotter"
)

const (
	flagQuick    = "quick"
	flagPage     = "page"
	flagPrevious = "previous"
	// allExperiments is the argument that runs every experiment.
	allExperiments = "all"
)

func measureCommand() *cli.Command {
	return &cli.Command{
		Name:      "measure",
		Usage:     "run one experiment, or all, and print the results with their bounds",
		ArgsUsage: "NAME|all",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: flagQuick, Usage: "run faster, with fewer sizes and repetitions"},
			&cli.BoolFlag{Name: flagJSON, Usage: "print JSON instead of a table: one object, or a list of objects for all"},
			&cli.StringFlag{Name: flagPage, Usage: "write a self-contained HTML page to this file"},
			&cli.StringFlag{Name: flagPrevious, Usage: "JSON file of an earlier run to compare with"},
			&cli.Uint64Flag{Name: flagSeed, Value: 1, Usage: "seed of the random numbers"},
			&cli.StringFlag{Name: flagLogLevel, Value: "fatal", Usage: "lowest level of log lines on standard error"},
		},
		Action: runMeasure,
	}
}

func runMeasure(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return eris.Errorf("exactly one experiment is required: one of %v, or all", measurer.ExperimentNames())
	}
	previous, err := readReports(cmd.String(flagPrevious))
	if err != nil {
		return err
	}
	names := []string{cmd.Args().First()}
	if names[0] == allExperiments {
		names = measurer.ExperimentNames()
	}
	reports, err := runExperiments(ctx, cmd, names)
	if err != nil {
		return err
	}
	if err = writePage(cmd.String(flagPage), reports, previous); err != nil {
		return err
	}
	return printReports(cmd, reports)
}

func runExperiments(ctx context.Context, cmd *cli.Command, names []string) (reports []measurer.Report, err error) {
	l, err := newLogger(cmd)
	if err != nil {
		return nil, err
	}
	var progress io.Writer = os.Stderr
	if cmd.Bool(flagJSON) {
		progress = io.Discard
	}
	cfg := measurer.Config{Quick: cmd.Bool(flagQuick), Seed: cmd.Uint64(flagSeed), Progress: progress, Logger: l}
	for _, name := range names {
		r, err := measurer.Run(ctx, name, cfg)
		if err != nil {
			return nil, err
		}
		reports = append(reports, r)
	}
	return reports, nil
}

func printReports(cmd *cli.Command, reports []measurer.Report) error {
	out := json.NewEncoder(os.Stdout)
	switch {
	case cmd.Bool(flagJSON) && cmd.Args().First() == allExperiments:
		return out.Encode(reports)
	case cmd.Bool(flagJSON):
		return out.Encode(reports[0])
	}
	for _, r := range reports {
		if err := measurer.WriteTable(os.Stdout, r); err != nil {
			return err
		}
	}
	return nil
}

// readReports reads the reports of an earlier run: one report or a list of them.
func readReports(name string) (reports []measurer.Report, err error) {
	if name == "" {
		return nil, nil
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, eris.Wrap(err, "read earlier run")
	}
	if json.Unmarshal(data, &reports) == nil {
		return reports, nil
	}
	var report measurer.Report
	if err = json.Unmarshal(data, &report); err != nil {
		return nil, eris.Wrapf(err, "decode earlier run %s", name)
	}
	return []measurer.Report{report}, nil
}

func writePage(name string, reports, previous []measurer.Report) error {
	if name == "" {
		return nil
	}
	f, err := os.Create(name)
	if err != nil {
		return eris.Wrap(err, "create HTML page")
	}
	if err = plotter.Write(f, reports, previous); err != nil {
		_ = f.Close()
		return err
	}
	return eris.Wrapf(f.Close(), "write HTML page %s", name)
}
