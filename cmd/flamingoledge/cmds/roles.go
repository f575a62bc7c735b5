package cmds

import (
	"context"
	"crypto/tls"
	"expvar"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/announcer"
	"flamingoledge.org/flamingoledge/internal/authenticator"
	"flamingoledge.org/flamingoledge/internal/configurator"
	"flamingoledge.org/flamingoledge/internal/connector"
	"flamingoledge.org/flamingoledge/internal/endpointclient"
	"flamingoledge.org/flamingoledge/internal/entryserver"
	"flamingoledge.org/flamingoledge/internal/logger"
	"flamingoledge.org/flamingoledge/internal/memorylimiter"
	"flamingoledge.org/flamingoledge/internal/monitor"
	"flamingoledge.org/flamingoledge/internal/platformclient"
	"flamingoledge.org/flamingoledge/internal/sidecarserver"
	"flamingoledge.org/flamingoledge/pkg/interpreter"
)

const flagSettings = "settings"

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: flagSettings, Required: true, Usage: "settings file, JSON with comments"}
}

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:   "entry",
		Usage:  "run an entry, which accepts callers' requests and sends configuration to sidecars",
		Flags:  []cli.Flag{settingsFlag()},
		Action: runEntry,
	}
}

func sidecarCommand() *cli.Command {
	return &cli.Command{
		Name:   "sidecar",
		Usage:  "run the sidecar of an endpoint",
		Flags:  []cli.Flag{settingsFlag()},
		Action: runSidecar,
	}
}

func defaultCommon() configurator.Common {
	return configurator.Common{LogLevel: "info", DrainTimeoutMillis: int(entryserver.DefaultDrainTimeout.Milliseconds())}
}

func defaultEntry() *configurator.Entry {
	return &configurator.Entry{
		Common:                 defaultCommon(),
		MaxBodyBytes:           entryserver.DefaultMaxBodyBytes,
		MaxWaiting:             entryserver.DefaultMaxWaiting,
		Overcommit:             entryserver.DefaultOvercommit,
		HeartbeatTimeoutMillis: int(entryserver.DefaultHeartbeatTimeout.Milliseconds()),
		RetryRatio:             entryserver.DefaultRetryConfig().Ratio,
		TrafficGoroutines:      entryserver.DefaultTrafficGoroutines,
	}
}

func defaultSidecar() *configurator.Sidecar {
	return &configurator.Sidecar{
		Common:            defaultCommon(),
		ControlEntries:    sidecarserver.DefaultControlEntries,
		LeaseMillis:       int(sidecarserver.DefaultLeaseDuration.Milliseconds()),
		ClaimWindowMillis: int(sidecarserver.DefaultClaimWindow.Milliseconds()),
		ClockSkewMillis:   int(sidecarserver.DefaultClockSkew.Milliseconds()),
		ChunkCopies:       1,
		Neighbors:         sidecarserver.DefaultTransferConfig().Neighbors,
		TrafficGoroutines: sidecarserver.DefaultTrafficGoroutines,
	}
}

func millis(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }

func orDefault(value, fallback string) string {
	if value != "" {
		return value
	}
	return fallback
}

func listenOn(address string) (net.Listener, error) {
	lis, err := net.Listen("tcp", address)
	return lis, eris.Wrapf(err, "listen on %s", address)
}

// process contains the logger, listener, clients and TLS configuration of a role.
type process struct {
	logger   *zap.Logger
	listener net.Listener
	client   *platformclient.Client
	dialer   *connector.Dialer
	address  string
	// serverTLS is nil if the settings select plain TCP.
	serverTLS *tls.Config
}

// newProcess opens the logger and the listener of a role and loads its TLS keys.
func newProcess(role string, c configurator.Common) (p process, err error) {
	if p.logger, err = logger.New(logger.Config{Level: c.LogLevel, Role: role, Instance: c.Instance.Name}); err != nil {
		return p, err
	}
	if p.listener, err = listenOn(c.ListenAddress); err != nil {
		return p, err
	}
	p.address = orDefault(c.AdvertiseAddress, p.listener.Addr().String())
	p.client = platformclient.New(platformclient.Config{Address: c.Platform})
	p.dialer = &connector.Dialer{}
	if c.TLS == nil {
		return p, nil
	}
	auth, err := authenticator.New(authenticator.Files{
		Certificate: c.TLS.CertificateFile, Key: c.TLS.KeyFile, Authority: c.TLS.AuthorityFile,
	}, p.logger, time.Now())
	if err != nil {
		return p, err
	}
	p.dialer.TLS = auth.ClientConfig()
	p.serverTLS = auth.ServerConfig()
	return p, nil
}

// serveAdmin serves the metrics of a role and logs the error if that fails.
func serveAdmin(ctx context.Context, address string, l *zap.Logger, counters *expvar.Map) {
	if err := monitor.Serve(ctx, address, counters); err != nil && ctx.Err() == nil {
		l.Error("failed to serve metrics", zap.Error(err))
	}
}

func runEntry(ctx context.Context, cmd *cli.Command) error {
	settings, err := configurator.Load(cmd.String(flagSettings), defaultEntry())
	if err != nil {
		return err
	}
	p, err := newProcess("entry", settings.Common)
	if err != nil {
		return err
	}
	http, err := listenOn(settings.HTTPAddress)
	if err != nil {
		return err
	}
	memorylimiter.Limit(settings.MemoryMB)
	retries := entryserver.DefaultRetryConfig()
	retries.Ratio = settings.RetryRatio
	s, err := entryserver.New(entryserver.Config{
		Instance:          settings.Instance.Name,
		AvailabilityZone:  settings.Instance.AvailabilityZone,
		Region:            settings.Instance.Region,
		HTTPListener:      http,
		ControlListener:   p.listener,
		Address:           p.address,
		HTTPAddress:       orDefault(settings.AdvertiseHTTPAddress, http.Addr().String()),
		Log:               p.client,
		Directory:         p.client,
		Dialer:            p.dialer,
		ServerTLS:         p.serverTLS,
		Logger:            p.logger,
		MaxBodyBytes:      settings.MaxBodyBytes,
		Callers:           settings.Callers,
		MemoryMB:          settings.MemoryMB,
		MaxDescriptors:    settings.MaxDescriptors,
		DrainTimeout:      millis(settings.DrainTimeoutMillis),
		ListInterval:      announcer.DefaultInterval,
		HeartbeatTimeout:  millis(settings.HeartbeatTimeoutMillis),
		MaxWaiting:        settings.MaxWaiting,
		Overcommit:        settings.Overcommit,
		TrafficGoroutines: settings.TrafficGoroutines,
		NewestSchema:      interpreter.SchemaLatest,
		Peers:             settings.Peers,
		Snapshots:         entryserver.DefaultSnapshotConfig(),
		Routing:           entryserver.DefaultRoutingConfig(settings.Instance.Region),
		Retries:           retries,
	})
	if err != nil {
		return err
	}
	go serveAdmin(ctx, settings.AdminAddress, p.logger, s.Metrics())
	return s.Run(ctx)
}

func runSidecar(ctx context.Context, cmd *cli.Command) error {
	settings, err := configurator.Load(cmd.String(flagSettings), defaultSidecar())
	if err != nil {
		return err
	}
	p, err := newProcess("sidecar", settings.Common)
	if err != nil {
		return err
	}
	transfer := sidecarserver.DefaultTransferConfig()
	transfer.Neighbors = settings.Neighbors
	transfer.LinkBytesPerSecond = settings.LinkBytesPerSecond
	transfer.RegionBytesPerSecond = settings.RegionBytesPerSecond
	s, err := sidecarserver.New(sidecarserver.Config{
		Instance:          settings.Instance.Name,
		AvailabilityZone:  settings.Instance.AvailabilityZone,
		Region:            settings.Instance.Region,
		Service:           settings.Service,
		Listener:          p.listener,
		Address:           p.address,
		Endpoint:          endpointclient.New(settings.Endpoint),
		Log:               p.client,
		Origin:            p.client,
		Directory:         p.client,
		Dialer:            p.dialer,
		ServerTLS:         p.serverTLS,
		Logger:            p.logger,
		OriginRegion:      settings.OriginRegion,
		ControlEntries:    settings.ControlEntries,
		ListInterval:      announcer.DefaultInterval,
		HeartbeatInterval: sidecarserver.DefaultHeartbeatInterval,
		DrainTimeout:      millis(settings.DrainTimeoutMillis),
		LeaseDuration:     millis(settings.LeaseMillis),
		ClaimWindow:       millis(settings.ClaimWindowMillis),
		ClockSkew:         millis(settings.ClockSkewMillis),
		ScaleDownDelay:    sidecarserver.DefaultScaleDownDelay,
		TrafficGoroutines: settings.TrafficGoroutines,
		NewestSchema:      interpreter.SchemaLatest,
		Transfer:          transfer,
	})
	if err != nil {
		return err
	}
	go serveAdmin(ctx, settings.AdminAddress, p.logger, s.Metrics())
	return s.Run(ctx)
}
