package deployer

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"flamingoledge.org/flamingoledge/internal/shaper"
)

// Location is where an instance is.
type Location struct {
	Instance string
	Region   string
}

type regionPair struct {
	from, to string
}

// Network holds the links of a deployment.
type Network struct {
	links Links

	mu        sync.Mutex
	places    map[string]Location
	up, down  map[string]*shaper.Link
	regions   map[regionPair]*shaper.Link
	cut       map[regionPair]bool
	isolated  map[string]bool
	tracked   map[*trackedConn]struct{}
	traffic   map[string]*atomic.Int64
	homeplace Location
}

// NewNetwork returns a network whose platform is in the home region.
func NewNetwork(links Links, home string) *Network {
	return &Network{
		links:     links,
		places:    map[string]Location{},
		up:        map[string]*shaper.Link{},
		down:      map[string]*shaper.Link{},
		regions:   map[regionPair]*shaper.Link{},
		cut:       map[regionPair]bool{},
		traffic:   map[string]*atomic.Int64{},
		isolated:  map[string]bool{},
		tracked:   map[*trackedConn]struct{}{},
		homeplace: Location{Instance: "platform", Region: home},
	}
}

// Register puts an instance on the network.
func (n *Network) Register(address string, p Location) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.places[address] = p
	if n.links.Instance == 0 || n.up[p.Instance] != nil {
		return
	}
	n.up[p.Instance] = shaper.NewLink(n.links.Instance)
	n.down[p.Instance] = n.up[p.Instance]
	if !n.links.InstanceShared {
		n.down[p.Instance] = shaper.NewLink(n.links.Instance)
	}
}

// RegionBytes returns the bytes that passed from one region to another.
func (n *Network) RegionBytes(from, to string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.regions[regionPair{from: from, to: to}]; l != nil {
		return l.Bytes()
	}
	return 0
}

// Stall lets nothing pass an instance's link until a time.
func (n *Network) Stall(instance string, until time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range []*shaper.Link{n.up[instance], n.down[instance]} {
		if l != nil {
			l.Stall(until)
		}
	}
}

// SetPartitioned cuts or mends the links between two regions, both ways.
func (n *Network) SetPartitioned(a, b string, cut bool) {
	n.mu.Lock()
	n.cut[regionPair{from: a, to: b}] = cut
	n.cut[regionPair{from: b, to: a}] = cut
	n.mu.Unlock()
	n.dropBroken()
}

// SetIsolated cuts an instance off from everything, or mends that, as when its
// machine is lost while its processes run on unaware.
func (n *Network) SetIsolated(instance string, cut bool) {
	n.mu.Lock()
	n.isolated[instance] = cut
	n.mu.Unlock()
	n.dropBroken()
}

// dropBroken ends the connections whose way is cut.
func (n *Network) dropBroken() {
	n.mu.Lock()
	var broken []*trackedConn
	for c := range n.tracked {
		if n.isCut(c.from, c.to) {
			broken = append(broken, c)
		}
	}
	n.mu.Unlock()
	for _, c := range broken {
		_ = c.Close()
	}
}

// isCut tells whether two places can't reach each other; the caller holds mu.
func (n *Network) isCut(a, b Location) bool {
	return n.cut[regionPair{from: a.Region, to: b.Region}] || n.isolated[a.Instance] || n.isolated[b.Instance]
}

// Wrap limits a connection from one place to an address. It returns a closed
// connection when the way is cut.
func (n *Network) Wrap(from Location, conn net.Conn, address string) net.Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	to, ok := n.places[address]
	if !ok {
		to = n.homeplace
	}
	if n.isCut(from, to) {
		_ = conn.Close()
		return conn
	}
	in := []*shaper.Link{n.up[to.Instance], n.regionLink(to.Region, from.Region), n.down[from.Instance]}
	out := []*shaper.Link{n.up[from.Instance], n.regionLink(from.Region, to.Region), n.down[to.Instance]}
	tc := &trackedConn{Conn: shaper.Wrap(conn, distinct(in), distinct(out)), network: n, from: from, to: to}
	tc.counters = [2]*atomic.Int64{n.counter(from.Instance), n.counter(to.Instance)}
	n.tracked[tc] = struct{}{}
	return tc
}

// distinct drops unlimited and repeated links.
func distinct(links []*shaper.Link) []*shaper.Link {
	var ls []*shaper.Link
	for i, l := range links {
		if l == nil {
			continue
		}
		repeated := false
		for _, earlier := range links[:i] {
			repeated = repeated || earlier == l
		}
		if !repeated {
			ls = append(ls, l)
		}
	}
	return ls
}

// regionLink returns the link between two regions; the caller holds mu.
func (n *Network) regionLink(from, to string) *shaper.Link {
	if from == to || n.links.Region == 0 {
		return nil
	}
	p := regionPair{from: from, to: to}
	if n.regions[p] == nil {
		n.regions[p] = shaper.NewLink(n.links.Region)
	}
	return n.regions[p]
}

// InstanceBytes returns the bytes that an instance's processes have sent and received
// over connections that they opened or that others opened to them.
func (n *Network) InstanceBytes(instance string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.traffic[instance]; c != nil {
		return c.Load()
	}
	return 0
}

// counter returns the byte counter of an instance; the caller holds mu.
func (n *Network) counter(instance string) *atomic.Int64 {
	c := n.traffic[instance]
	if c == nil {
		c = new(atomic.Int64)
		n.traffic[instance] = c
	}
	return c
}

// trackedConn is a connection that a cut can end, with counters of its bytes at
// both ends.
type trackedConn struct {
	net.Conn
	network  *Network
	from, to Location
	counters [2]*atomic.Int64
}

// Read implements net.Conn.
func (c *trackedConn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	c.count(n)
	return n, err
}

// Write implements net.Conn.
func (c *trackedConn) Write(b []byte) (n int, err error) {
	n, err = c.Conn.Write(b)
	c.count(n)
	return n, err
}

func (c *trackedConn) count(n int) {
	for _, counter := range c.counters {
		counter.Add(int64(n))
	}
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.network.mu.Lock()
	delete(c.network.tracked, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}
