package cmds

import (
	"context"
	"encoding/json"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"flamingoledge.org/flamingoledge/internal/platformclient"
	"flamingoledge.org/flamingoledge/internal/tracer"
)

func traceCommand() *cli.Command {
	return &cli.Command{
		Name:      "trace",
		Usage:     "trace an outcome to the record, decision, version, endpoint and claim that caused it",
		ArgsUsage: "REQUEST_ID|IDEMPOTENCY_KEY|ORDER_ID|RECORD_ID|RECORD_OFFSET",
		Flags: []cli.Flag{
			platformFlag(), timeoutFlag(),
			&cli.BoolFlag{Name: flagJSON, Usage: "print one JSON object"},
		},
		Action: runTrace,
	}
}

func runTrace(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return eris.New("exactly one id is required: of a request, idempotency key, order or record, or a record offset")
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagTimeout))
	defer cancel()
	client := platformclient.New(platformclient.Config{Address: cmd.String(flagPlatform)})
	t, err := tracer.Find(ctx, client, cmd.Args().First())
	if err != nil {
		return err
	}
	if cmd.Bool(flagJSON) {
		return json.NewEncoder(os.Stdout).Encode(t)
	}
	tracer.Write(os.Stdout, t)
	return nil
}
