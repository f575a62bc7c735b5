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
		Usage: "run an emulator of the platform or of an endpoint, for tests and trials",
		Commands: []*cli.Command{
			{
				Name:   "platform",
				Usage:  "run an emulator of the platform: log, store, origin, list of instances",
				Flags:  []cli.Flag{settingsFlag()},
				Action: runPlatform,
			},
			{
				Name:   "endpoint",
				Usage:  "run an emulator of an endpoint: a model engine and a plain service",
				Flags:  []cli.Flag{settingsFlag()},
				Action: runEndpoint,
			},
		},
	}
}

func runPlatform(ctx context.Context, cmd *cli.Command) error {
	settings, err := configurator.Load(cmd.String(flagSettings), &configurator.Platform{})
	if err != nil {
		return err
	}
	lis, err := listenOn(settings.ListenAddress)
	if err != nil {
		return err
	}
	cfg := emulator.PlatformConfig{Seed: settings.Seed, ListLag: millis(settings.ListLagMillis)}
	if settings.OriginBytesPerSecond > 0 {
		cfg.OriginLink = shaper.NewLink(settings.OriginBytesPerSecond)
	}
	return emulator.NewPlatform(cfg).Serve(ctx, lis)
}

func runEndpoint(ctx context.Context, cmd *cli.Command) error {
	settings, err := configurator.Load(cmd.String(flagSettings), &configurator.Endpoint{Capacity: 8, Slots: 2})
	if err != nil {
		return err
	}
	lis, err := listenOn(settings.ListenAddress)
	if err != nil {
		return err
	}
	return emulator.NewEndpoint(emulator.EndpointConfig{
		Name:            settings.Name,
		Seed:            settings.Seed,
		ChecksFencing:   settings.ChecksFencing,
		Capacity:        settings.Capacity,
		Slots:           settings.Slots,
		FirstTokenDelay: millis(settings.FirstTokenMillis),
		TokenInterval:   millis(settings.TokenIntervalMillis),
		RestartAfter:    millis(settings.RestartAfterMillis),
	}).Serve(ctx, lis)
}
