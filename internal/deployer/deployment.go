package deployer

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"flamingoledge.org/flamingoledge/internal/announcer"
	"flamingoledge.org/flamingoledge/internal/authenticator"
	"flamingoledge.org/flamingoledge/internal/connector"
	"flamingoledge.org/flamingoledge/internal/emulator"
	"flamingoledge.org/flamingoledge/internal/endpointclient"
	"flamingoledge.org/flamingoledge/internal/entryserver"
	"flamingoledge.org/flamingoledge/internal/platformclient"
	"flamingoledge.org/flamingoledge/internal/shaper"
	"flamingoledge.org/flamingoledge/internal/sidecarserver"
	"flamingoledge.org/flamingoledge/pkg/interpreter"
)

// Options configures how a deployment is started.
type Options struct {
	Logger *zap.Logger
	// KeyDirectory, if set, is the directory in which temporary keys are created; the
	// processes then use TLS.
	KeyDirectory string
	// ListInterval is the interval at which processes read the list of instances. The
	// default is announcer.DefaultInterval.
	ListInterval time.Duration
	// ConfigureSidecar and ConfigureEntry, if set, modify the configuration of each
	// process before it starts.
	ConfigureSidecar func(*sidecarserver.Config)
	ConfigureEntry   func(*entryserver.Config)
}

// Process is a running entry or sidecar.
type Process struct {
	Name   string
	Region string
	// Address is where the process accepts connections of other processes, HTTPAddress
	// where an entry accepts those of callers.
	Address     string
	HTTPAddress string
	cancel      context.CancelFunc
	done        chan struct{}
}

// Stop drains the process and waits until it has exited.
func (p *Process) Stop() {
	p.cancel()
	<-p.done
}

// Endpoint is an emulated endpoint with its sidecar.
type Endpoint struct {
	Service  Service
	Name     string
	Region   string
	Address  string
	Emulator *emulator.Endpoint
	Sidecar  *Process
	Server   *sidecarserver.Server
}

// Deployment is a set of running entries, sidecars and emulators.
type Deployment struct {
	Topology        Topology
	Platform        *emulator.Platform
	PlatformAddress string
	Client          *platformclient.Client
	Network         *Network
	Entries         []*Process
	EntryServers    []*entryserver.Server
	Endpoints       []*Endpoint

	options Options
	// replaced are the sidecars whose endpoint has a newer sidecar.
	replaced []*Process
	issuer   *authenticator.Issuer
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// Start starts the emulators, entries and sidecars of a topology.
func Start(ctx context.Context, t Topology, o Options) (d *Deployment, err error) {
	if o.ListInterval == 0 {
		o.ListInterval = announcer.DefaultInterval
	}
	d = &Deployment{Topology: t, options: o, Network: NewNetwork(t.Links, t.Regions[0])}
	d.ctx, d.cancel = context.WithCancel(ctx)
	if err = d.start(); err != nil {
		d.Stop()
		return nil, err
	}
	return d, nil
}

// Stop drains all processes, then stops the emulators.
func (d *Deployment) Stop() {
	var wg sync.WaitGroup
	for _, p := range d.Entries {
		wg.Go(p.Stop)
	}
	for _, e := range d.Endpoints {
		if e.Sidecar != nil {
			wg.Go(e.Sidecar.Stop)
		}
	}
	for _, p := range d.replaced {
		wg.Go(p.Stop)
	}
	wg.Wait()
	d.cancel()
	d.wg.Wait()
}

// keyValidity is the validity of the temporary certificates.
const keyValidity = 24 * time.Hour

func (d *Deployment) start() (err error) {
	if d.options.KeyDirectory != "" {
		if d.issuer, err = authenticator.NewIssuer(d.options.KeyDirectory, time.Now(), keyValidity); err != nil {
			return err
		}
	}
	if err := d.startPlatform(); err != nil {
		return err
	}
	for _, region := range d.Topology.Regions {
		for i := range d.Topology.EntriesPerRegion {
			if err := d.StartEntry(fmt.Sprintf("entry-%s-%d", region, i+1), region); err != nil {
				return err
			}
		}
	}
	for _, s := range d.Topology.Services {
		for i := range s.Endpoints {
			region := d.Topology.Regions[i%len(d.Topology.Regions)]
			if _, err := d.StartEndpoint(s, fmt.Sprintf("%s-%d", s.Name, i+1), region); err != nil {
				return err
			}
		}
	}
	return nil
}

func listenLoopback() (net.Listener, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	return lis, eris.Wrap(err, "listen on loopback")
}

func (d *Deployment) startPlatform() error {
	lis, err := listenLoopback()
	if err != nil {
		return err
	}
	var origin *shaper.Link
	if d.Topology.Links.Origin > 0 {
		origin = shaper.NewLink(d.Topology.Links.Origin)
	}
	d.Platform = emulator.NewPlatform(emulator.PlatformConfig{Seed: d.Topology.Seed, OriginLink: origin, ListLag: d.Topology.ListLag})
	d.PlatformAddress = lis.Addr().String()
	d.Client = platformclient.New(platformclient.Config{Address: d.PlatformAddress})
	d.wg.Go(func() { d.logServeError(d.Platform.Serve(d.ctx, lis)) })
	return nil
}

// logServeError logs the error of a server that exited before the deployment was
// stopped.
func (d *Deployment) logServeError(err error) {
	if err != nil && d.ctx.Err() == nil {
		d.options.Logger.Error("server exited unexpectedly", zap.Error(err))
	}
}

// platformClient returns a platform client whose connections are limited by the links
// between location and the platform.
func (d *Deployment) platformClient(location Location) *platformclient.Client {
	return platformclient.New(platformclient.Config{
		Address: d.PlatformAddress,
		Dial: func(address string) (net.Conn, error) {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				return nil, err
			}
			return d.Network.Wrap(location, conn, address), nil
		},
	})
}

// connectionConfig returns the dialer of a process and its TLS configuration for
// accepted connections, which is nil if the deployment has no keys.
func (d *Deployment) connectionConfig(location Location) (*connector.Dialer, *tls.Config, error) {
	dialer := &connector.Dialer{Wrap: func(conn net.Conn, address string) net.Conn {
		return d.Network.Wrap(location, conn, address)
	}}
	if d.issuer == nil {
		return dialer, nil, nil
	}
	files, err := d.issuer.Issue(location.Instance, time.Now(), keyValidity)
	if err != nil {
		return nil, nil, err
	}
	auth, err := authenticator.New(files, d.options.Logger, time.Now())
	if err != nil {
		return nil, nil, err
	}
	dialer.TLS = auth.ClientConfig()
	return dialer, auth.ServerConfig(), nil
}

// startProcess calls run in a goroutine with a context that p.Stop cancels.
func (d *Deployment) startProcess(p *Process, run func(context.Context) error) {
	ctx, cancel := context.WithCancel(d.ctx)
	p.cancel = cancel
	p.done = make(chan struct{})
	d.wg.Go(func() {
		defer close(p.done)
		d.logServeError(run(ctx))
	})
}

// StartEntry starts an entry and adds it to Entries and EntryServers.
func (d *Deployment) StartEntry(name, region string) error {
	controlListener, err := listenLoopback()
	if err != nil {
		return err
	}
	httpListener, err := listenLoopback()
	if err != nil {
		return err
	}
	p := &Process{Name: name, Region: region, Address: controlListener.Addr().String(), HTTPAddress: httpListener.Addr().String()}
	location := Location{Instance: name, Region: region}
	d.Network.Register(p.Address, location)
	platformClient := d.platformClient(location)
	dialer, serverTLS, err := d.connectionConfig(location)
	if err != nil {
		return err
	}
	cfg := entryserver.Config{
		Instance:          name,
		AvailabilityZone:  region + "-1",
		Region:            region,
		HTTPListener:      httpListener,
		ControlListener:   controlListener,
		Address:           p.Address,
		HTTPAddress:       p.HTTPAddress,
		Log:               platformClient,
		Directory:         platformClient,
		Dialer:            dialer,
		ServerTLS:         serverTLS,
		Logger:            d.options.Logger.With(zap.String("role", "entry"), zap.String("instance", name)),
		MaxBodyBytes:      entryserver.DefaultMaxBodyBytes,
		DrainTimeout:      entryserver.DefaultDrainTimeout,
		ListInterval:      d.options.ListInterval,
		HeartbeatTimeout:  entryserver.DefaultHeartbeatTimeout,
		MaxWaiting:        entryserver.DefaultMaxWaiting,
		Overcommit:        entryserver.DefaultOvercommit,
		TrafficGoroutines: entryserver.DefaultTrafficGoroutines,
		NewestSchema:      interpreter.SchemaLatest,
		Snapshots:         entryserver.DefaultSnapshotConfig(),
		Routing:           entryserver.DefaultRoutingConfig(region),
		Retries:           entryserver.DefaultRetryConfig(),
	}
	if d.options.ConfigureEntry != nil {
		d.options.ConfigureEntry(&cfg)
	}
	s, err := entryserver.New(cfg)
	if err != nil {
		return err
	}
	d.startProcess(p, s.Run)
	d.Entries = append(d.Entries, p)
	d.EntryServers = append(d.EntryServers, s)
	return nil
}

// StartEndpoint starts an emulated endpoint with its sidecar and adds it to Endpoints.
func (d *Deployment) StartEndpoint(s Service, name, region string) (*Endpoint, error) {
	lis, err := listenLoopback()
	if err != nil {
		return nil, err
	}
	e := &Endpoint{Service: s, Name: name, Region: region, Address: lis.Addr().String()}
	e.Emulator = emulator.NewEndpoint(emulator.EndpointConfig{
		Name:            name,
		Seed:            d.Topology.Seed + uint64(len(d.Endpoints)),
		ChecksFencing:   s.ChecksFencing,
		Capacity:        s.Concurrency,
		Slots:           s.Slots,
		FirstTokenDelay: s.FirstTokenDelay,
		PrefixMissDelay: s.PrefixMissDelay,
		CachedPrefixes:  s.CachedPrefixes,
		TokenInterval:   s.TokenInterval,
		RestartAfter:    time.Second,
	})
	d.wg.Go(func() { d.logServeError(e.Emulator.Serve(d.ctx, lis)) })
	if err = d.StartSidecar(e); err != nil {
		return nil, err
	}
	d.Endpoints = append(d.Endpoints, e)
	return e, nil
}

// StartSidecar starts a sidecar for an endpoint, which may already have one. The
// previous sidecar keeps running. Each sidecar has a separate location on the network,
// so that one of them can be isolated.
func (d *Deployment) StartSidecar(e *Endpoint) error {
	lis, err := listenLoopback()
	if err != nil {
		return err
	}
	p := &Process{Name: e.Name, Region: e.Region, Address: lis.Addr().String()}
	location := Location{Instance: e.Name, Region: e.Region}
	if e.Sidecar != nil {
		location.Instance = e.Name + "/" + p.Address
		d.replaced = append(d.replaced, e.Sidecar)
	}
	d.Network.Register(p.Address, location)
	platformClient := d.platformClient(location)
	dialer, serverTLS, err := d.connectionConfig(location)
	if err != nil {
		return err
	}
	cfg := sidecarserver.Config{
		Instance:          e.Name,
		AvailabilityZone:  e.Region + "-1",
		Region:            e.Region,
		Service:           e.Service.Name,
		Listener:          lis,
		Address:           p.Address,
		Endpoint:          endpointclient.New(e.Address),
		Log:               platformClient,
		Origin:            platformClient,
		Directory:         platformClient,
		Dialer:            dialer,
		ServerTLS:         serverTLS,
		Logger:            d.options.Logger.With(zap.String("role", "sidecar"), zap.String("instance", e.Name)),
		OriginRegion:      d.Topology.Regions[0],
		ControlEntries:    sidecarserver.DefaultControlEntries,
		ListInterval:      d.options.ListInterval,
		HeartbeatInterval: sidecarserver.DefaultHeartbeatInterval,
		DrainTimeout:      sidecarserver.DefaultDrainTimeout,
		LeaseDuration:     sidecarserver.DefaultLeaseDuration,
		ClaimWindow:       sidecarserver.DefaultClaimWindow,
		ClockSkew:         sidecarserver.DefaultClockSkew,
		ScaleDownDelay:    sidecarserver.DefaultScaleDownDelay,
		TrafficGoroutines: sidecarserver.DefaultTrafficGoroutines,
		NewestSchema:      interpreter.SchemaLatest,
		Transfer:          sidecarserver.DefaultTransferConfig(),
	}
	cfg.Transfer.LinkBytesPerSecond = d.Topology.Links.Instance
	cfg.Transfer.RegionBytesPerSecond = d.Topology.Links.Region
	if d.options.ConfigureSidecar != nil {
		d.options.ConfigureSidecar(&cfg)
	}
	if e.Server, err = sidecarserver.New(cfg); err != nil {
		return err
	}
	d.startProcess(p, e.Server.Run)
	e.Sidecar = p
	return nil
}
