package deployer

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"flamingoledge.org/flamingoledge/internal/shaper"
)

// Location identifies an instance and its region.
type Location struct {
	Instance string
	Region   string
}

// regionPair identifies one direction between two regions.
type regionPair struct {
	from, to string
}

// Network emulates the network of a deployment: it limits the rate of connections,
// counts their bytes and injects partitions.
type Network struct {
	links Links

	mu sync.Mutex
	// locations maps addresses to the instances that listen on them.
	locations          map[string]Location
	uplinks, downlinks map[string]*shaper.Link
	regionLinks        map[regionPair]*shaper.Link
	partitioned        map[regionPair]bool
	isolated           map[string]bool
	conns              map[*trackedConn]struct{}
	byteCounters       map[string]*atomic.Int64
	platformLocation   Location
}

// NewNetwork returns a network whose platform is in platformRegion.
func NewNetwork(links Links, platformRegion string) *Network {
	return &Network{
		links:            links,
		locations:        map[string]Location{},
		uplinks:          map[string]*shaper.Link{},
		downlinks:        map[string]*shaper.Link{},
		regionLinks:      map[regionPair]*shaper.Link{},
		partitioned:      map[regionPair]bool{},
		byteCounters:     map[string]*atomic.Int64{},
		isolated:         map[string]bool{},
		conns:            map[*trackedConn]struct{}{},
		platformLocation: Location{Instance: "platform", Region: platformRegion},
	}
}

// Register sets the location of an address and creates the instance's links, if
// instance links are limited.
func (n *Network) Register(address string, location Location) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.locations[address] = location
	if n.links.Instance == 0 || n.uplinks[location.Instance] != nil {
		return
	}
	n.uplinks[location.Instance] = shaper.NewLink(n.links.Instance)
	n.downlinks[location.Instance] = n.uplinks[location.Instance]
	if !n.links.InstanceShared {
		n.downlinks[location.Instance] = shaper.NewLink(n.links.Instance)
	}
}

// RegionBytes returns the number of bytes sent from one region to another, or 0 if
// region links are unlimited.
func (n *Network) RegionBytes(from, to string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.regionLinks[regionPair{from: from, to: to}]; l != nil {
		return l.TotalBytes()
	}
	return 0
}

// Stall blocks all traffic on an instance's links until the given time.
func (n *Network) Stall(instance string, until time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range []*shaper.Link{n.uplinks[instance], n.downlinks[instance]} {
		if l != nil {
			l.Stall(until)
		}
	}
}

// SetPartitioned starts or ends a network partition between two regions, in both
// directions.
func (n *Network) SetPartitioned(a, b string, partitioned bool) {
	n.mu.Lock()
	n.partitioned[regionPair{from: a, to: b}] = partitioned
	n.partitioned[regionPair{from: b, to: a}] = partitioned
	n.mu.Unlock()
	n.closeUnreachable()
}

// SetIsolated disconnects an instance from all others and the platform, or reconnects
// it. It simulates a machine that is unreachable while its processes keep running.
func (n *Network) SetIsolated(instance string, isolate bool) {
	n.mu.Lock()
	n.isolated[instance] = isolate
	n.mu.Unlock()
	n.closeUnreachable()
}

// closeUnreachable closes the connections between locations that can't reach each
// other.
func (n *Network) closeUnreachable() {
	n.mu.Lock()
	var unreachable []*trackedConn
	for c := range n.conns {
		if n.isUnreachable(c.from, c.to) {
			unreachable = append(unreachable, c)
		}
	}
	n.mu.Unlock()
	for _, c := range unreachable {
		_ = c.Close()
	}
}

// isUnreachable reports whether a partition or an isolated instance separates two
// locations. The caller must hold mu.
func (n *Network) isUnreachable(a, b Location) bool {
	return n.partitioned[regionPair{from: a.Region, to: b.Region}] || n.isolated[a.Instance] || n.isolated[b.Instance]
}

// Wrap applies the links between a location and an address to a connection. Addresses
// that are not registered are those of the platform. It returns a closed connection if
// the address is unreachable.
func (n *Network) Wrap(from Location, conn net.Conn, address string) net.Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	to, ok := n.locations[address]
	if !ok {
		to = n.platformLocation
	}
	if n.isUnreachable(from, to) {
		_ = conn.Close()
		return conn
	}
	in := []*shaper.Link{n.uplinks[to.Instance], n.regionLink(to.Region, from.Region), n.downlinks[from.Instance]}
	out := []*shaper.Link{n.uplinks[from.Instance], n.regionLink(from.Region, to.Region), n.downlinks[to.Instance]}
	tc := &trackedConn{Conn: shaper.Wrap(conn, distinct(in), distinct(out)), network: n, from: from, to: to}
	tc.counters = [2]*atomic.Int64{n.byteCounter(from.Instance), n.byteCounter(to.Instance)}
	n.conns[tc] = struct{}{}
	return tc
}

// distinct returns links without nil (unlimited) and duplicate ones.
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

// regionLink returns the link from one region to another, or nil if it is unlimited.
// The caller must hold mu.
func (n *Network) regionLink(from, to string) *shaper.Link {
	if from == to || n.links.Region == 0 {
		return nil
	}
	p := regionPair{from: from, to: to}
	if n.regionLinks[p] == nil {
		n.regionLinks[p] = shaper.NewLink(n.links.Region)
	}
	return n.regionLinks[p]
}

// InstanceBytes returns the number of bytes that an instance has sent and received on
// connections that it opened or accepted.
func (n *Network) InstanceBytes(instance string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.byteCounters[instance]; c != nil {
		return c.Load()
	}
	return 0
}

// byteCounter returns the byte counter of an instance. The caller must hold mu.
func (n *Network) byteCounter(instance string) *atomic.Int64 {
	c := n.byteCounters[instance]
	if c == nil {
		c = new(atomic.Int64)
		n.byteCounters[instance] = c
	}
	return c
}

// trackedConn is a connection that the network can close on a partition. It adds its
// bytes to the counters of the instances at both ends.
type trackedConn struct {
	net.Conn
	network  *Network
	from, to Location
	counters [2]*atomic.Int64
}

// Read implements net.Conn.
func (c *trackedConn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	c.addBytes(n)
	return n, err
}

// Write implements net.Conn.
func (c *trackedConn) Write(b []byte) (n int, err error) {
	n, err = c.Conn.Write(b)
	c.addBytes(n)
	return n, err
}

func (c *trackedConn) addBytes(n int) {
	for _, counter := range c.counters {
		counter.Add(int64(n))
	}
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}
