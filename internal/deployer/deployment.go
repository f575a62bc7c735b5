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

// Options adjust a deployment.
type Options struct {
	Logger *zap.Logger
	// KeyDirectory, if set, gets throw-away keys, and the processes use TLS.
	KeyDirectory string
	// ListInterval is the time between readings of the list; 0 is the usual one.
	ListInterval time.Duration
	// Sidecar and Entry, if set, change the settings of each process.
	Sidecar func(*sidecarserver.Config)
	Entry   func(*entryserver.Config)
}

// Process is a running entry or sidecar.
type Process struct {
	Name   string
	Region string
	// Address is where other processes reach it, HTTPAddress where callers do.
	Address     string
	HTTPAddress string
	stop        context.CancelFunc
	done        chan struct{}
}

// Stop drains the process and waits for its end.
func (p *Process) Stop() {
	p.stop()
	<-p.done
}

// Endpoint is an endpoint's stand-in with the sidecar beside it.
type Endpoint struct {
	Service Service
	Name    string
	Region  string
	Address string
	StandIn *emulator.Endpoint
	Sidecar *Process
	Server  *sidecarserver.Server
}

// Deployment is a running system.
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
	// replaced are sidecars that others have taken the place of.
	replaced []*Process
	issuer   *authenticator.Issuer
	ctx      context.Context
	stop     context.CancelFunc
	wg       sync.WaitGroup
}

// Start starts a deployment.
func Start(ctx context.Context, t Topology, o Options) (d *Deployment, err error) {
	if o.ListInterval == 0 {
		o.ListInterval = announcer.DefaultInterval
	}
	d = &Deployment{Topology: t, options: o, Network: NewNetwork(t.Links, t.Regions[0])}
	d.ctx, d.stop = context.WithCancel(ctx)
	if err = d.start(); err != nil {
		d.Stop()
		return nil, err
	}
	return d, nil
}

// Stop drains all processes and ends the stand-ins.
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
	d.stop()
	d.wg.Wait()
}

// keysValid is how long throw-away keys are valid.
const keysValid = 24 * time.Hour

func (d *Deployment) start() (err error) {
	if d.options.KeyDirectory != "" {
		if d.issuer, err = authenticator.NewIssuer(d.options.KeyDirectory, time.Now(), keysValid); err != nil {
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

func listen() (net.Listener, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	return lis, eris.Wrap(err, "listen on loopback")
}

func (d *Deployment) startPlatform() error {
	lis, err := listen()
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
	d.wg.Go(func() { d.report(d.Platform.Serve(d.ctx, lis)) })
	return nil
}

func (d *Deployment) report(err error) {
	if err != nil && d.ctx.Err() == nil {
		d.options.Logger.Error("stand-in ended", zap.Error(err))
	}
}

// client returns a platform client whose connections cross the instance's links.
func (d *Deployment) client(p Place) *platformclient.Client {
	return platformclient.New(platformclient.Config{
		Address: d.PlatformAddress,
		Dial: func(address string) (net.Conn, error) {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				return nil, err
			}
			return d.Network.Wrap(p, conn, address), nil
		},
	})
}

// secure returns the dialer of a process and its TLS for accepting connections,
// which is nil without keys.
func (d *Deployment) secure(p Place) (*connector.Dialer, *tls.Config, error) {
	dialer := &connector.Dialer{Wrap: func(conn net.Conn, address string) net.Conn {
		return d.Network.Wrap(p, conn, address)
	}}
	if d.issuer == nil {
		return dialer, nil, nil
	}
	files, err := d.issuer.Issue(p.Instance, time.Now(), keysValid)
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

func (d *Deployment) launch(p *Process, run func(context.Context) error) {
	ctx, stop := context.WithCancel(d.ctx)
	p.stop = stop
	p.done = make(chan struct{})
	d.wg.Go(func() {
		defer close(p.done)
		d.report(run(ctx))
	})
}

// StartEntry starts one more entry.
func (d *Deployment) StartEntry(name, region string) error {
	control, err := listen()
	if err != nil {
		return err
	}
	http, err := listen()
	if err != nil {
		return err
	}
	p := &Process{Name: name, Region: region, Address: control.Addr().String(), HTTPAddress: http.Addr().String()}
	at := Place{Instance: name, Region: region}
	d.Network.Add(p.Address, at)
	client := d.client(at)
	dialer, serverTLS, err := d.secure(at)
	if err != nil {
		return err
	}
	cfg := entryserver.Config{
		Instance:          name,
		AvailabilityZone:  region + "-1",
		Region:            region,
		HTTPListener:      http,
		ControlListener:   control,
		Address:           p.Address,
		HTTPAddress:       p.HTTPAddress,
		Log:               client,
		Directory:         client,
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
	if d.options.Entry != nil {
		d.options.Entry(&cfg)
	}
	s, err := entryserver.New(cfg)
	if err != nil {
		return err
	}
	d.launch(p, s.Run)
	d.Entries = append(d.Entries, p)
	d.EntryServers = append(d.EntryServers, s)
	return nil
}

// StartEndpoint starts an endpoint's stand-in and the sidecar beside it.
func (d *Deployment) StartEndpoint(s Service, name, region string) (*Endpoint, error) {
	lis, err := listen()
	if err != nil {
		return nil, err
	}
	e := &Endpoint{Service: s, Name: name, Region: region, Address: lis.Addr().String()}
	e.StandIn = emulator.NewEndpoint(emulator.EndpointConfig{
		Name:           name,
		Seed:           d.Topology.Seed + uint64(len(d.Endpoints)),
		ChecksFencing:  s.ChecksFencing,
		Capacity:       s.Concurrency,
		Slots:          s.Slots,
		FirstToken:     s.FirstToken,
		ColdPrefix:     s.ColdPrefix,
		CachedPrefixes: s.CachedPrefixes,
		TokenInterval:  s.TokenInterval,
		RestartAfter:   time.Second,
	})
	d.wg.Go(func() { d.report(e.StandIn.Serve(d.ctx, lis)) })
	if err = d.StartSidecar(e); err != nil {
		return nil, err
	}
	d.Endpoints = append(d.Endpoints, e)
	return e, nil
}

// StartSidecar starts a sidecar beside an endpoint, whatever stands there. Each
// one has a place of its own on the network, so that one can be cut off alone.
func (d *Deployment) StartSidecar(e *Endpoint) error {
	lis, err := listen()
	if err != nil {
		return err
	}
	p := &Process{Name: e.Name, Region: e.Region, Address: lis.Addr().String()}
	at := Place{Instance: e.Name, Region: e.Region}
	if e.Sidecar != nil {
		at.Instance = e.Name + "/" + p.Address
		d.replaced = append(d.replaced, e.Sidecar)
	}
	d.Network.Add(p.Address, at)
	client := d.client(at)
	dialer, serverTLS, err := d.secure(at)
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
		Log:               client,
		Origin:            client,
		Directory:         client,
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
		ReplicaStay:       sidecarserver.DefaultReplicaStay,
		TrafficGoroutines: sidecarserver.DefaultTrafficGoroutines,
		NewestSchema:      interpreter.SchemaLatest,
		Transfer:          sidecarserver.DefaultTransfer(),
	}
	cfg.Transfer.LinkBytesPerSecond = d.Topology.Links.Instance
	cfg.Transfer.RegionBytesPerSecond = d.Topology.Links.Region
	if d.options.Sidecar != nil {
		d.options.Sidecar(&cfg)
	}
	if e.Server, err = sidecarserver.New(cfg); err != nil {
		return err
	}
	d.launch(p, e.Server.Run)
	e.Sidecar = p
	return nil
}
