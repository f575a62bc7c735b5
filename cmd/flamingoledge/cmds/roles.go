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
		Usage:  "run an entry: callers' requests in, configuration out to sidecars",
		Flags:  []cli.Flag{settingsFlag()},
		Action: runEntry,
	}
}

func sidecarCommand() *cli.Command {
	return &cli.Command{
		Name:   "sidecar",
		Usage:  "run the sidecar beside one endpoint",
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
		Neighbors:         sidecarserver.DefaultTransfer().Neighbors,
		TrafficGoroutines: sidecarserver.DefaultTrafficGoroutines,
	}
}

func millis(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }

func orElse(value, fallback string) string {
	if value != "" {
		return value
	}
	return fallback
}

func listenOn(address string) (net.Listener, error) {
	lis, err := net.Listen("tcp", address)
	return lis, eris.Wrapf(err, "listen on %s", address)
}

// process is what both roles need to run.
type process struct {
	logger   *zap.Logger
	listener net.Listener
	client   *platformclient.Client
	dialer   *connector.Dialer
	address  string
	// serverTLS is nil for plain TCP.
	serverTLS *tls.Config
}

func newProcess(role string, c configurator.Common) (p process, err error) {
	if p.logger, err = logger.New(logger.Config{Level: c.LogLevel, Role: role, Instance: c.Instance.Name}); err != nil {
		return p, err
	}
	if p.listener, err = listenOn(c.ListenAddress); err != nil {
		return p, err
	}
	p.address = orElse(c.AdvertiseAddress, p.listener.Addr().String())
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

// serveAdmin serves metrics beside a role and logs why that ends.
func serveAdmin(ctx context.Context, address string, l *zap.Logger, counters *expvar.Map) {
	if err := monitor.Serve(ctx, address, counters); err != nil && ctx.Err() == nil {
		l.Error("metrics are not served", zap.Error(err))
	}
}

func runEntry(ctx context.Context, cmd *cli.Command) error {
	set, err := configurator.Load(cmd.String(flagSettings), defaultEntry())
	if err != nil {
		return err
	}
	p, err := newProcess("entry", set.Common)
	if err != nil {
		return err
	}
	http, err := listenOn(set.HTTPAddress)
	if err != nil {
		return err
	}
	retries := entryserver.DefaultRetryConfig()
	retries.Ratio = set.RetryRatio
	s, err := entryserver.New(entryserver.Config{
		Instance:          set.Instance.Name,
		AvailabilityZone:  set.Instance.AvailabilityZone,
		Region:            set.Instance.Region,
		HTTPListener:      http,
		ControlListener:   p.listener,
		Address:           p.address,
		HTTPAddress:       orElse(set.AdvertiseHTTPAddress, http.Addr().String()),
		Log:               p.client,
		Directory:         p.client,
		Dialer:            p.dialer,
		ServerTLS:         p.serverTLS,
		Logger:            p.logger,
		MaxBodyBytes:      set.MaxBodyBytes,
		DrainTimeout:      millis(set.DrainTimeoutMillis),
		ListInterval:      announcer.DefaultInterval,
		HeartbeatTimeout:  millis(set.HeartbeatTimeoutMillis),
		MaxWaiting:        set.MaxWaiting,
		Overcommit:        set.Overcommit,
		TrafficGoroutines: set.TrafficGoroutines,
		NewestSchema:      interpreter.SchemaLatest,
		Peers:             set.Peers,
		Snapshots:         entryserver.DefaultSnapshotConfig(),
		Routing:           entryserver.DefaultRoutingConfig(set.Instance.Region),
		Retries:           retries,
	})
	if err != nil {
		return err
	}
	go serveAdmin(ctx, set.AdminAddress, p.logger, s.Metrics())
	return s.Run(ctx)
}

func runSidecar(ctx context.Context, cmd *cli.Command) error {
	set, err := configurator.Load(cmd.String(flagSettings), defaultSidecar())
	if err != nil {
		return err
	}
	p, err := newProcess("sidecar", set.Common)
	if err != nil {
		return err
	}
	transfer := sidecarserver.DefaultTransfer()
	transfer.Neighbors = set.Neighbors
	transfer.LinkBytesPerSecond = set.LinkBytesPerSecond
	transfer.RegionBytesPerSecond = set.RegionBytesPerSecond
	s, err := sidecarserver.New(sidecarserver.Config{
		Instance:          set.Instance.Name,
		AvailabilityZone:  set.Instance.AvailabilityZone,
		Region:            set.Instance.Region,
		Service:           set.Service,
		Listener:          p.listener,
		Address:           p.address,
		Endpoint:          endpointclient.New(set.Endpoint),
		Log:               p.client,
		Origin:            p.client,
		Directory:         p.client,
		Dialer:            p.dialer,
		ServerTLS:         p.serverTLS,
		Logger:            p.logger,
		OriginRegion:      set.OriginRegion,
		ControlEntries:    set.ControlEntries,
		ListInterval:      announcer.DefaultInterval,
		HeartbeatInterval: sidecarserver.DefaultHeartbeatInterval,
		DrainTimeout:      millis(set.DrainTimeoutMillis),
		LeaseDuration:     millis(set.LeaseMillis),
		ClaimWindow:       millis(set.ClaimWindowMillis),
		ClockSkew:         millis(set.ClockSkewMillis),
		ReplicaStay:       sidecarserver.DefaultReplicaStay,
		TrafficGoroutines: set.TrafficGoroutines,
		NewestSchema:      interpreter.SchemaLatest,
		Transfer:          transfer,
	})
	if err != nil {
		return err
	}
	go serveAdmin(ctx, set.AdminAddress, p.logger, s.Metrics())
	return s.Run(ctx)
}
