package cmds

import (
	"context"

	"github.com/urfave/cli/v3"

	"flamingoledge.org/flamingoledge/internal/configurator"
	"flamingoledge.org/flamingoledge/internal/emulator"
	"flamingoledge.org/flamingoledge/internal/shaper"
)

func standinCommand() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "run a stand-in for what the users bring, for tests and trials",
		Commands: []*cli.Command{
			{
				Name:   "platform",
				Usage:  "run the platform's stand-in: log, store, origin, list of instances",
				Flags:  []cli.Flag{settingsFlag()},
				Action: runPlatform,
			},
			{
				Name:   "endpoint",
				Usage:  "run an endpoint's stand-in: a model engine and a plain service",
				Flags:  []cli.Flag{settingsFlag()},
				Action: runEndpoint,
			},
		},
	}
}

func runPlatform(ctx context.Context, cmd *cli.Command) error {
	set, err := configurator.Load(cmd.String(flagSettings), &configurator.Platform{})
	if err != nil {
		return err
	}
	lis, err := listenOn(set.ListenAddress)
	if err != nil {
		return err
	}
	cfg := emulator.PlatformConfig{Seed: set.Seed, ListLag: millis(set.ListLagMillis)}
	if set.OriginBytesPerSecond > 0 {
		cfg.OriginLink = shaper.NewLink(set.OriginBytesPerSecond)
	}
	return emulator.NewPlatform(cfg).Serve(ctx, lis)
}

func runEndpoint(ctx context.Context, cmd *cli.Command) error {
	set, err := configurator.Load(cmd.String(flagSettings), &configurator.Endpoint{Capacity: 8, Slots: 2})
	if err != nil {
		return err
	}
	lis, err := listenOn(set.ListenAddress)
	if err != nil {
		return err
	}
	return emulator.NewEndpoint(emulator.EndpointConfig{
		Name:            set.Name,
		Seed:            set.Seed,
		ChecksFencing:   set.ChecksFencing,
		Capacity:        set.Capacity,
		Slots:           set.Slots,
		FirstTokenDelay: millis(set.FirstTokenMillis),
		TokenInterval:   millis(set.TokenIntervalMillis),
		RestartAfter:    millis(set.RestartAfterMillis),
	}).Serve(ctx, lis)
}
