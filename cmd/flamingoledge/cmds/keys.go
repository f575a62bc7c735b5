package cmds

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"flamingoledge.org/flamingoledge/internal/authenticator"
)

const (
	flagDirectory   = "directory"
	flagValid       = "valid"
	defaultValidity = 30 * 24 * time.Hour
)

func keysCommand() *cli.Command {
	return &cli.Command{
		Name:      "keys",
		Usage:     "generate a certificate authority and keys for a trial; deployments use their own",
		ArgsUsage: "INSTANCE ...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagDirectory, Required: true, Usage: "directory for the generated files"},
			&cli.DurationFlag{Name: flagValid, Value: defaultValidity, Usage: "validity of the certificates"},
		},
		Action: generateKeys,
	}
}

func generateKeys(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() == 0 {
		return eris.New("at least one instance name is required")
	}
	now := time.Now()
	issuer, err := authenticator.NewIssuer(cmd.String(flagDirectory), now, cmd.Duration(flagValid))
	if err != nil {
		return err
	}
	for _, name := range cmd.Args().Slice() {
		files, err := issuer.Issue(name, now, cmd.Duration(flagValid))
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(os.Stdout, "%s: %s %s %s\n", name, files.Certificate, files.Key, files.Authority)
	}
	return nil
}
