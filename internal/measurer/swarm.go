package measurer

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"math/bits"
	"math/rand/v2"
	"net"
	"strconv"
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
	// regions are the names of the regions, and perRegion the number of instances in each.
	regions   []string
	perRegion int
	// weightsBytes and chunkBytes are the size of the version and of its chunks.
	weightsBytes int
	chunkBytes   int
	// window is the time in which the origin's link carries 4 copies of the version and
	// an instance's link 2.
	window time.Duration
	// shared makes both directions share the capacity of an instance's link.
	shared bool
	// regionBytesPerSecond is the rate between two regions, 0 for unlimited.
	regionBytesPerSecond float64
	// originBytesPerSecond and instanceBytesPerSecond override the rates that follow from
	// window unless they are 0.
	originBytesPerSecond   float64
	instanceBytesPerSecond float64
	// plannerConfig overrides the sidecar's planner configuration if it is set.
	plannerConfig *planner.Config
	// originRanks, eagerRanks and takeoverAfter are those of planner.Config.
	originRanks   int
	eagerRanks    int
	takeoverAfter time.Duration
	seed          uint64
	// timeout limits a run of the distribution and a read from the origin.
	timeout time.Duration
	// corruptShare is the share of chunks that nodes send with a flipped byte.
	corruptShare float64
}

const (
	originCopiesPerWindow   = 4
	instanceCopiesPerWindow = 2
)

func (c swarmConfig) instances() int { return len(c.regions) * c.perRegion }

func (c swarmConfig) instanceRate() float64 {
	return cmp.Or(c.instanceBytesPerSecond, c.rateForCopies(instanceCopiesPerWindow))
}

func (c swarmConfig) originRate() float64 {
	return cmp.Or(c.originBytesPerSecond, c.rateForCopies(originCopiesPerWindow))
}

// rateForCopies returns the rate in bytes per second that carries the copies in a window.
func (c swarmConfig) rateForCopies(copies float64) float64 {
	if c.window == 0 {
		return 0
	}
	return copies * float64(c.weightsBytes) / c.window.Seconds()
}

// floor returns a lower bound of the time in which all instances of one region can
// receive the version. It consists of the time to send the required bytes over each
// instance's link, or over the origin's if that takes longer, and of the time to fill
// the pipeline: one chunk is sent by the origin and then reaches all instances.
func (c swarmConfig) floor() time.Duration {
	n := float64(c.instances())
	transferBytes := float64(c.weightsBytes)
	if c.shared {
		// An instance sends each copy except the one from the origin, over the same links.
		transferBytes *= (2*n - 1) / n
	}
	seconds := max(transferBytes/c.instanceRate(), float64(c.weightsBytes)/c.originRate()) + float64(c.chunkBytes)/c.originRate()
	return time.Duration(seconds*float64(time.Second)) + c.fanOutTime()
}

// fanOutTime returns the time in which one chunk reaches every instance of a region, if
// the number of instances that have it doubles with each transfer.
func (c swarmConfig) fanOutTime() time.Duration {
	doublings := float64(bits.Len(uint(c.perRegion - 1)))
	return time.Duration(doublings * float64(c.chunkBytes) / c.instanceRate() * float64(time.Second))
}

func formatCount(n int) string { return strconv.Itoa(n) }

// swarm is a set of nodes that distribute versions among themselves.
type swarm struct {
	cfg      swarmConfig
	platform *emulator.Platform
	network  *deployer.Network
	client   *platformclient.Client
	// address is the address of the emulated platform, which serves as the origin.
	address  string
	digest   string
	manifest chunker.Manifest
	// weights are the bytes of the version that is distributed.
	weights []byte
	pool    *ants.Pool
	nodes   []*node
	stop    context.CancelFunc
	wg      sync.WaitGroup

	mu      sync.Mutex
	members []planner.Member
}

func (s *swarm) setMembers(members []planner.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members = members
}

func (s *swarm) currentMembers() []planner.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members
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
	// verified is set when the node has the complete version.
	verified atomic.Bool
	// finishedAfter is the time from the start of the run to the end of the transfer.
	finishedAfter time.Duration

	mu sync.Mutex
	// cancelTransfer cancels the running transfer.
	cancelTransfer context.CancelFunc
	dead           bool
}

// generateWeights returns n pseudorandom bytes that depend only on the seed.
func generateWeights(n int, seed uint64) []byte {
	w := make([]byte, n)
	var key [32]byte
	key[0], key[1] = byte(seed), byte(seed>>8)
	_, _ = rand.NewChaCha8(key).Read(w)
	return w
}

// newSwarm starts the origin and the nodes, and stores a first version in the origin.
func newSwarm(ctx context.Context, cfg swarmConfig) (s *swarm, err error) {
	s = &swarm{cfg: cfg}
	ctx, s.stop = context.WithCancel(ctx)
	if s.pool, err = ants.NewPool(cfg.instances()*8, ants.WithNonblocking(true)); err != nil {
		return nil, err
	}
	s.network = deployer.NewNetwork(deployer.Links{
		Instance: cfg.instanceRate(), InstanceShared: cfg.shared, Region: cfg.regionBytesPerSecond,
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
		return eris.Wrap(err, "listen on a loopback port")
	}
	s.address = lis.Addr().String()
	s.platform = emulator.NewPlatform(emulator.PlatformConfig{Seed: s.cfg.seed, OriginLink: shaper.NewLink(s.cfg.originRate())})
	s.wg.Go(func() { _ = s.platform.Serve(ctx, lis) })
	s.client = platformclient.New(platformclient.Config{Address: s.address})
	return s.putVersion(ctx, generateWeights(s.cfg.weightsBytes, s.cfg.seed))
}

// putVersion stores a version in the origin. Transfers that start later distribute it.
func (s *swarm) putVersion(ctx context.Context, weights []byte) error {
	digest, err := publisher.PutVersion(ctx, s.client, "measured", "v", weights, s.cfg.chunkBytes)
	if err != nil {
		return err
	}
	data, err := s.client.Manifest(ctx, digest)
	if err != nil {
		return err
	}
	s.digest = digest
	s.weights = weights
	s.manifest, err = chunker.ParseManifest(data, digest)
	return err
}

func (s *swarm) startNode(ctx context.Context, m planner.Member) error {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "listen on a loopback port")
	}
	n := &node{swarm: s, member: m, address: lis.Addr().String(), store: transferrer.NewStore()}
	n.resetAssembly()
	s.network.Register(n.address, deployer.Location{Instance: m.Instance, Region: m.Region})
	mux := drpcmux.New()
	if err = messenger.DRPCRegisterTransfer(mux, &corruptingServer{DRPCTransferServer: &transferrer.Server{Store: n.store}, node: n}); err != nil {
		return err
	}
	nctx, cancel := context.WithCancel(ctx)
	n.cancel = cancel
	s.wg.Go(func() { _ = connector.Serve(nctx, lis, nil, mux) })
	s.nodes = append(s.nodes, n)
	s.members = append(s.members, m)
	return nil
}

func (s *swarm) location(m planner.Member) deployer.Location {
	return deployer.Location{Instance: m.Instance, Region: m.Region}
}

func (n *node) dial(ctx context.Context, instance string) (drpc.Conn, error) {
	d := connector.Dialer{Wrap: func(conn net.Conn, address string) net.Conn {
		return n.swarm.network.Wrap(n.swarm.location(n.member), conn, address)
	}}
	for _, other := range n.swarm.nodes {
		if other.member.Instance == instance {
			return d.Dial(ctx, other.address)
		}
	}
	return nil, eris.Errorf("dial %s: no such instance in the swarm", instance)
}

func (n *node) originClient() *platformclient.Client {
	return platformclient.New(platformclient.Config{
		Address: n.swarm.address,
		Timeout: n.swarm.cfg.timeout,
		Dial: func(address string) (net.Conn, error) {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				return nil, err
			}
			return n.swarm.network.Wrap(n.swarm.location(n.member), conn, address), nil
		},
	})
}

// resetAssembly creates an empty assembly for the current version of the swarm.
func (n *node) resetAssembly() {
	n.assembly = assembler.New(n.swarm.digest, n.swarm.manifest)
	n.store.Put(n.assembly)
	n.verified.Store(false)
}

// run distributes the version and returns the time until the last transfer finishes.
func (s *swarm) run(ctx context.Context, cfg Config) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.timeout)
	defer cancel()
	started := time.Now()
	var wg sync.WaitGroup
	for i, n := range s.nodes {
		if n.isDead() {
			continue
		}
		n.setTransfer(s.newTransfer(n, uint64(i), cfg))
		wg.Go(func() { n.run(ctx, started) })
	}
	wg.Wait()
	var last time.Duration
	for _, n := range s.nodes {
		last = max(last, n.finishedAfter)
	}
	return last
}

func (n *node) setTransfer(t *transferrer.Transfer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.transfer = t
}

func (n *node) run(ctx context.Context, started time.Time) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.mu.Lock()
	t := n.transfer
	n.cancelTransfer = cancel
	n.mu.Unlock()
	if _, err := t.Run(ctx); err != nil {
		return
	}
	n.finishedAfter = time.Since(started)
	n.verified.Store(n.assembly.VerifyWeights() == nil)
}

// setMembers passes an updated list of members to the transfer, if there is one.
func (n *node) setMembers(members []planner.Member) {
	n.mu.Lock()
	t := n.transfer
	n.mu.Unlock()
	if t != nil {
		t.SetMembers(members)
	}
}

// kill stops the server and the transfer of a node at once, like a crash.
func (n *node) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dead = true
	n.cancel()
	if n.cancelTransfer != nil {
		n.cancelTransfer()
	}
}

// hasWeights reports whether the node's chunks equal the weights byte for byte.
func (n *node) hasWeights(weights []byte) bool {
	var assembled bytes.Buffer
	_, err := n.assembly.WriteTo(&assembled)
	return err == nil && bytes.Equal(assembled.Bytes(), weights)
}

func (n *node) isDead() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dead
}

func (s *swarm) newTransfer(n *node, i uint64, cfg Config) *transferrer.Transfer {
	return transferrer.New(transferrer.Config{
		Assembly:      n.assembly,
		Planner:       s.newPlannerConfig(n, i),
		Members:       s.currentMembers(),
		Dial:          n.dial,
		Origin:        n.originClient(),
		OriginTimeout: sidecarserver.DefaultTransferConfig().OriginTimeout,
		Submit:        s.pool.Submit,
		Logger:        cfg.Logger,
	})
}

func (s *swarm) newPlannerConfig(n *node, i uint64) planner.Config {
	t := sidecarserver.DefaultTransferConfig()
	pc := planner.Config{
		OriginRanks:   s.cfg.originRanks,
		EagerRanks:    s.cfg.eagerRanks,
		Neighbors:     t.Neighbors,
		PeerWindow:    t.PeerWindow,
		OriginWindow:  t.OriginWindow,
		TotalWindow:   t.TotalWindow,
		TakeoverAfter: s.cfg.takeoverAfter,
		ChunkTimeout:  t.ChunkTimeout,
	}
	if s.cfg.plannerConfig != nil {
		pc = *s.cfg.plannerConfig
	}
	pc.Self, pc.VersionDigest, pc.Chunks = n.member, s.digest, len(s.manifest.Chunks)
	pc.OriginRegion = s.cfg.regions[0]
	pc.Rand = rand.New(rand.NewPCG(s.cfg.seed, i))
	return pc
}

// originCopies returns the bytes that the origin has sent, in copies of the version.
func (s *swarm) originCopies() float64 {
	return float64(s.platform.OriginBytes()) / float64(s.cfg.weightsBytes)
}

// unfinished returns the number of live nodes without the complete version.
func (s *swarm) unfinished() (n int) {
	for _, nd := range s.nodes {
		if !nd.verified.Load() && !nd.isDead() {
			n++
		}
	}
	return n
}

// close stops the origin and the nodes, and waits for them.
func (s *swarm) close() {
	s.stop()
	s.wg.Wait()
	s.pool.Release()
}

// corruptingServer is a transfer server that flips a byte in a share of its chunks.
type corruptingServer struct {
	messenger.DRPCTransferServer
	node *node
}

// Exchange implements messenger.DRPCTransferServer.
func (c *corruptingServer) Exchange(stream messenger.DRPCTransfer_ExchangeStream) error {
	if c.node.swarm.cfg.corruptShare == 0 {
		return c.DRPCTransferServer.Exchange(stream)
	}
	return c.DRPCTransferServer.Exchange(&corruptingStream{DRPCTransfer_ExchangeStream: stream, share: c.node.swarm.cfg.corruptShare})
}

// corruptingStream flips a byte in a share of the chunks that are sent on it.
type corruptingStream struct {
	messenger.DRPCTransfer_ExchangeStream
	share float64
}

// RecvMsg receives the next request into req, like the method of the generated stream.
func (c *corruptingStream) RecvMsg(req *messenger.ChunkRequest) error {
	next, err := c.Recv()
	if err != nil {
		return err
	}
	req.Wanted, req.Ask, req.Index = next.GetWanted(), next.GetAsk(), next.GetIndex()
	return nil
}

// Send implements messenger.DRPCTransfer_ExchangeStream.
func (c *corruptingStream) Send(reply *messenger.ChunkReply) error {
	if len(reply.GetData()) == 0 || rand.Float64() >= c.share {
		return c.DRPCTransfer_ExchangeStream.Send(reply)
	}
	flipped := append([]byte(nil), reply.GetData()...)
	flipped[0] ^= 0xff
	return c.DRPCTransfer_ExchangeStream.Send(&messenger.ChunkReply{Index: reply.GetIndex(), Data: flipped})
}
