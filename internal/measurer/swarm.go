package measurer

import (
	"context"
	"fmt"
	"math/bits"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/rotisserie/eris"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"flamingoledge.org/flamingoledge/internal/connector"
	"flamingoledge.org/flamingoledge/internal/deployer"
	"flamingoledge.org/flamingoledge/internal/emulator"
	"flamingoledge.org/flamingoledge/internal/messenger"
	"flamingoledge.org/flamingoledge/internal/platformclient"
	"flamingoledge.org/flamingoledge/internal/publisher"
	"flamingoledge.org/flamingoledge/internal/shaper"
	"flamingoledge.org/flamingoledge/internal/sidecarserver"
	"flamingoledge.org/flamingoledge/internal/transferrer"
	"flamingoledge.org/flamingoledge/pkg/assembler"
	"flamingoledge.org/flamingoledge/pkg/chunker"
	"flamingoledge.org/flamingoledge/pkg/planner"
)

// swarmConfig configures a distribution of one version over loopback.
type swarmConfig struct {
	// regions and perRegion give the instances.
	regions   []string
	perRegion int
	// weightsBytes and chunkBytes give the version.
	weightsBytes int
	chunkBytes   int
	// window is the time in which the origin's link carries 4 copies and an
	// instance's link 2.
	window time.Duration
	// shared makes both directions share an instance's link.
	shared bool
	// regionRate is the rate between regions in bytes per second, 0 for unlimited.
	regionRate float64
	// originRanks and eagerRanks are the planner's.
	originRanks int
	eagerRanks  int
	takeover    time.Duration
	seed        uint64
	timeout     time.Duration
	// weights, if set, are taken instead of generated ones.
	weights []byte
}

const (
	originCopiesPerWindow   = 4
	instanceCopiesPerWindow = 2
)

func (c swarmConfig) instances() int        { return len(c.regions) * c.perRegion }
func (c swarmConfig) instanceRate() float64 { return c.perWindow(instanceCopiesPerWindow) }
func (c swarmConfig) originRate() float64   { return c.perWindow(originCopiesPerWindow) }

func (c swarmConfig) perWindow(copies float64) float64 {
	return copies * float64(c.weightsBytes) / c.window.Seconds()
}

// floor is the least time in which all instances of one region can have the
// version: the bytes that must cross each instance's link, and the pipeline's
// fill, in which one chunk leaves the origin and doubles its holders until all
// have it.
func (c swarmConfig) floor() time.Duration {
	n := float64(c.instances())
	bytes := float64(c.weightsBytes)
	if c.shared {
		// Every copy but the one from the origin is sent by an instance.
		bytes *= (2*n - 1) / n
	}
	doublings := float64(bits.Len(uint(c.instances() - 1)))
	chunk := float64(c.chunkBytes)
	seconds := bytes/c.instanceRate() + chunk/c.originRate() + doublings*chunk/c.instanceRate()
	return time.Duration(seconds * float64(time.Second))
}

// swarm is a running distribution.
type swarm struct {
	cfg      swarmConfig
	platform *emulator.Platform
	network  *deployer.Network
	client   *platformclient.Client
	address  string
	digest   string
	manifest chunker.Manifest
	pool     *ants.Pool
	nodes    []*node
	members  []planner.Member
	stop     context.CancelFunc
	wg       sync.WaitGroup
}

// node is one instance of a swarm.
type node struct {
	swarm    *swarm
	member   planner.Member
	address  string
	store    *transferrer.Store
	assembly *assembler.Assembly
	transfer *transferrer.Transfer
	cancel   context.CancelFunc
	// corrupt is the share of chunks that the node sends with a flipped byte.
	corrupt  float64
	done     atomic.Bool
	finished time.Duration
	stats    transferrer.Stats
}

func generated(n int, seed uint64) []byte {
	w := make([]byte, n)
	var key [32]byte
	key[0], key[1] = byte(seed), byte(seed>>8)
	_, _ = rand.NewChaCha8(key).Read(w)
	return w
}

func newSwarm(ctx context.Context, cfg swarmConfig) (s *swarm, err error) {
	s = &swarm{cfg: cfg}
	ctx, s.stop = context.WithCancel(ctx)
	if s.pool, err = ants.NewPool(cfg.instances()*8, ants.WithNonblocking(true)); err != nil {
		return nil, err
	}
	s.network = deployer.NewNetwork(deployer.Links{
		Instance: cfg.instanceRate(), InstanceShared: cfg.shared, Region: cfg.regionRate,
	}, cfg.regions[0])
	if err = s.startOrigin(ctx); err != nil {
		return nil, err
	}
	for _, region := range cfg.regions {
		for i := range cfg.perRegion {
			if err = s.startNode(ctx, planner.Member{Instance: fmt.Sprintf("%s-%03d", region, i), Region: region}); err != nil {
				return nil, err
			}
		}
	}
	return s, nil
}

func (s *swarm) startOrigin(ctx context.Context) error {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	s.address = lis.Addr().String()
	s.platform = emulator.NewPlatform(emulator.PlatformConfig{Seed: s.cfg.seed, OriginLink: shaper.NewLink(s.cfg.originRate())})
	s.wg.Go(func() { _ = s.platform.Serve(ctx, lis) })
	s.client = platformclient.New(platformclient.Config{Address: s.address})
	weights := s.cfg.weights
	if weights == nil {
		weights = generated(s.cfg.weightsBytes, s.cfg.seed)
	}
	if s.digest, err = publisher.PutVersion(ctx, s.client, "measured", "v", weights, s.cfg.chunkBytes); err != nil {
		return err
	}
	data, err := s.client.Manifest(ctx, s.digest)
	if err != nil {
		return err
	}
	s.manifest, err = chunker.ParseManifest(data, s.digest)
	return err
}

func (s *swarm) startNode(ctx context.Context, m planner.Member) error {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	n := &node{swarm: s, member: m, address: lis.Addr().String(), store: transferrer.NewStore()}
	n.assembly = assembler.New(s.digest, s.manifest)
	n.store.Put(n.assembly)
	s.network.Add(n.address, deployer.Place{Instance: m.Instance, Region: m.Region})
	mux := drpcmux.New()
	if err = messenger.DRPCRegisterTransfer(mux, &transferrer.Server{Store: n.store}); err != nil {
		return err
	}
	nctx, cancel := context.WithCancel(ctx)
	n.cancel = cancel
	s.wg.Go(func() { _ = connector.Serve(nctx, lis, nil, mux) })
	s.nodes = append(s.nodes, n)
	s.members = append(s.members, m)
	return nil
}

func (s *swarm) place(m planner.Member) deployer.Place {
	return deployer.Place{Instance: m.Instance, Region: m.Region}
}

func (n *node) dial(ctx context.Context, instance string) (drpc.Conn, error) {
	d := connector.Dialer{Wrap: func(conn net.Conn, address string) net.Conn {
		return n.swarm.network.Wrap(n.swarm.place(n.member), conn, address)
	}}
	for _, other := range n.swarm.nodes {
		if other.member.Instance == instance {
			return d.Dial(ctx, other.address)
		}
	}
	return nil, eris.Errorf("no instance %s", instance)
}

func (n *node) origin() *platformclient.Client {
	return platformclient.New(platformclient.Config{
		Address: n.swarm.address,
		Timeout: n.swarm.cfg.timeout,
		Dial: func(address string) (net.Conn, error) {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				return nil, err
			}
			return n.swarm.network.Wrap(n.swarm.place(n.member), conn, address), nil
		},
	})
}

// run distributes the version and returns the time until the last node has it.
func (s *swarm) run(ctx context.Context, cfg Config) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.timeout)
	defer cancel()
	started := time.Now()
	var wg sync.WaitGroup
	for i, n := range s.nodes {
		n.transfer = s.transfer(n, uint64(i), cfg)
		wg.Go(func() {
			var err error
			if n.stats, err = n.transfer.Run(ctx); err == nil && n.assembly.VerifyWhole() == nil {
				n.finished = time.Since(started)
				n.done.Store(true)
			}
		})
	}
	wg.Wait()
	var last time.Duration
	for _, n := range s.nodes {
		last = max(last, n.finished)
	}
	return last, nil
}

func (s *swarm) transfer(n *node, i uint64, cfg Config) *transferrer.Transfer {
	t := sidecarserver.DefaultTransfer()
	return transferrer.New(transferrer.Config{
		Assembly: n.assembly,
		Planner: planner.Config{
			Self:          n.member,
			VersionDigest: s.digest,
			Chunks:        len(s.manifest.Chunks),
			OriginRegion:  s.cfg.regions[0],
			OriginRanks:   s.cfg.originRanks,
			EagerRanks:    s.cfg.eagerRanks,
			Neighbors:     t.Neighbors,
			PeerWindow:    t.PeerWindow,
			OriginWindow:  t.OriginWindow,
			TotalWindow:   t.TotalWindow,
			TakeoverAfter: s.cfg.takeover,
			ChunkTimeout:  t.ChunkTimeout,
			Rand:          rand.New(rand.NewPCG(s.cfg.seed, i)),
		},
		Members:       s.members,
		Dial:          n.dial,
		Origin:        n.origin(),
		OriginTimeout: t.OriginTimeout,
		Submit:        s.pool.Submit,
		Logger:        cfg.Logger,
	})
}

func (s *swarm) originCopies() float64 {
	return float64(s.platform.OriginBytes()) / float64(s.cfg.weightsBytes)
}

func (s *swarm) unfinished() (n int) {
	for _, nd := range s.nodes {
		if !nd.done.Load() {
			n++
		}
	}
	return n
}

// close ends a swarm.
func (s *swarm) close() {
	s.stop()
	s.wg.Wait()
	s.pool.Release()
}
