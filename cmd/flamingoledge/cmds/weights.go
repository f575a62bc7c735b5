package cmds

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"flamingoledge.org/flamingoledge/internal/platformclient"
	"flamingoledge.org/flamingoledge/internal/publisher"
)

const (
	flagModel         = "model"
	flagVersion       = "version"
	flagChunkBytes    = "chunk-bytes"
	defaultChunkBytes = 1 << 20
	defaultPutTimeout = time.Minute
)

func weightsCommand() *cli.Command {
	return &cli.Command{
		Name:  "weights",
		Usage: "store the weights of a version",
		Commands: []*cli.Command{{
			Name:  "put",
			Usage: "store weights with their manifest and print the version digest for a model record",
			Flags: []cli.Flag{
				platformFlag(),
				&cli.StringFlag{Name: flagFile, Required: true, Usage: "file with the weights"},
				&cli.StringFlag{Name: flagModel, Required: true, Usage: "name of the model"},
				&cli.StringFlag{Name: flagVersion, Required: true, Usage: "name of the version"},
				&cli.IntFlag{Name: flagChunkBytes, Value: defaultChunkBytes, Usage: "size of a chunk in bytes"},
				&cli.DurationFlag{Name: flagTimeout, Value: defaultPutTimeout, Usage: "maximum time to wait"},
			},
			Action: putWeights,
		}},
	}
}

func putWeights(ctx context.Context, cmd *cli.Command) error {
	weights, err := os.ReadFile(cmd.String(flagFile))
	if err != nil {
		return eris.Wrap(err, "read weights")
	}
	timeout := cmd.Duration(flagTimeout)
	client := platformclient.New(platformclient.Config{Address: cmd.String(flagPlatform), Timeout: timeout})
	digest, err := publisher.PutVersion(ctx, client, cmd.String(flagModel), cmd.String(flagVersion), weights, cmd.Int(flagChunkBytes))
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(os.Stdout, digest)
	return err
}
