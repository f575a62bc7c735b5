package cmds

import (
	"context"
	"encoding/json"

	"github.com/urfave/cli/v3"

	"flamingoledge.org/flamingoledge/internal/tracer"
)

// losses prints the refused and late requests of a run by cause.
func losses(_ context.Context, c *cli.Command) error {
	logs, closeAll, err := openLogs(c, c.Args().Slice())
	if err != nil {
		return err
	}
	defer closeAll()
	sum, err := tracer.SumLosses(logs...)
	if err != nil {
		return err
	}
	if c.Bool(flagJSON) {
		e := json.NewEncoder(c.Root().Writer)
		e.SetIndent("", "  ")
		return e.Encode(sum)
	}
	return tracer.WriteLosses(c.Root().Writer, sum)
}
