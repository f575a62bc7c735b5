// Package tracker tracks which peers of a process are alive. Each process sends
// messages to a few peers at a time, and each message reports when its sender last
// heard from others.
//
// The load that determines the design is the number of processes: with hundreds of
// them, a process can't exchange messages with each of the others within the time
// after which a silent one counts as lost. Reports of other peers therefore count as
// well as messages of the peer itself.
package tracker

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Peer is another process, as described by its last message.
type Peer struct {
	Address  string
	Instance string
	Region   string
	// Leaving is set if the peer is about to stop.
	Leaving bool
}

// Report is what a message says about another peer of its sender.
type Report struct {
	// AddressHash identifies the peer in few bytes; see HashAddress.
	AddressHash uint32
	// Age is the time since the peer was known to be alive.
	Age time.Duration
	// Leaving is set if the peer is about to stop.
	Leaving bool
}

// HashAddress returns the hash that identifies a peer in reports. A collision makes a dead
// peer last as long as the other one lives.
func HashAddress(address string) uint32 { return uint32(xxhash.Sum64String(address)) }

// Roster holds the peers that are alive. It is immutable; the zero value is empty.
type Roster struct {
	// peers is sorted by address. It is shared by the rosters that differ in status only.
	peers []Peer
	// byHash maps the hashes of the addresses to indices of peers.
	byHash map[uint32]int
	// addressesHash is a hash of all addresses.
	addressesHash uint64
	// status has the same indices as peers.
	status []status
}

// status is what changes with each message about a peer.
type status struct {
	// aliveAt is the latest time at which the peer is known to have been alive, in Unix
	// nanoseconds. It contains no pointer, as it is copied for each message.
	aliveAt int64
	leaving bool
}

const (
	// minFanOut is the least number of peers to send to at a time, and peersPerFanOut
	// the number of peers for each additional one: reports spread exponentially, so the
	// time until they have reached all grows slowly with the number of peers.
	minFanOut      = 4
	peersPerFanOut = 80
)

// FanOut returns to how many of n peers each message is sent.
func FanOut(n int) int { return min(n, minFanOut+n/peersPerFanOut) }

// Len returns the number of peers.
func (r Roster) Len() int { return len(r.peers) }

// All returns the peers sorted by address.
func (r Roster) All() []Peer {
	peers := slices.Clone(r.peers)
	for i := range peers {
		peers[i].Leaving = r.status[i].leaving
	}
	return peers
}

// AddressesHash returns a hash by which rosters with the same addresses are recognized.
func (r Roster) AddressesHash() uint64 { return r.addressesHash }

// LeavingCount returns the number of peers that are about to stop.
func (r Roster) LeavingCount() (n int) {
	for i := range r.status {
		if r.status[i].leaving {
			n++
		}
	}
	return n
}

// Get returns the peer with an address.
func (r Roster) Get(address string) (p Peer, ok bool) {
	i, ok := r.find(address)
	if !ok {
		return Peer{}, false
	}
	p = r.peers[i]
	p.Leaving = r.status[i].leaving
	return p, true
}

func (r Roster) find(address string) (int, bool) {
	return slices.BinarySearchFunc(r.peers, address, func(p Peer, address string) int { return cmp.Compare(p.Address, address) })
}

// WithMessage returns the roster after a message of p with reports of other peers arrived
// at now. Reports of unknown peers are ignored, since they don't describe them.
func (r Roster) WithMessage(now time.Time, p Peer, reports []Report) Roster {
	current := status{aliveAt: now.UnixNano(), leaving: p.Leaving}
	p.Leaving = false
	i, known := r.find(p.Address)
	switch {
	case !known:
		r.peers, r.status = slices.Insert(slices.Clone(r.peers), i, p), slices.Insert(slices.Clone(r.status), i, current)
		r.byHash, r.addressesHash = indexByHash(r.peers)
	case r.peers[i] != p:
		r.peers = slices.Clone(r.peers)
		r.peers[i] = p
		fallthrough
	default:
		r.status = slices.Clone(r.status)
		r.status[i] = current
	}
	for _, report := range reports {
		i, known = r.byHash[report.AddressHash]
		if aliveAt := now.Add(-report.Age).UnixNano(); known && aliveAt > r.status[i].aliveAt {
			r.status[i] = status{aliveAt: aliveAt, leaving: report.Leaving}
		}
	}
	return r
}

func indexByHash(peers []Peer) (byHash map[uint32]int, addressesHash uint64) {
	byHash = make(map[uint32]int, len(peers))
	all := xxhash.New()
	for i := range peers {
		byHash[HashAddress(peers[i].Address)] = i
		_, _ = all.WriteString(peers[i].Address + "\x00")
	}
	return byHash, all.Sum64()
}

// WithoutExpired returns the roster without the peers that were last known to be alive
// timeout or longer ago, and those peers sorted by address.
func (r Roster) WithoutExpired(now time.Time, timeout time.Duration) (remaining Roster, lost []Peer) {
	expired := now.Add(-timeout).UnixNano()
	if !slices.ContainsFunc(r.status, func(s status) bool { return s.aliveAt <= expired }) {
		return r, nil
	}
	for i, p := range r.peers {
		if r.status[i].aliveAt <= expired {
			lost = append(lost, p)
			continue
		}
		remaining.peers, remaining.status = append(remaining.peers, p), append(remaining.status, r.status[i])
	}
	remaining.byHash, remaining.addressesHash = indexByHash(remaining.peers)
	return remaining, lost
}

// Recipients returns the peers to send the next messages to: FanOut of them, drawn at
// random. With those first that were silent for longest, all processes would send to the
// same ones.
func (r Roster) Recipients(rng *rand.Rand) (recipients []Peer) {
	for _, i := range rng.Perm(len(r.peers))[:FanOut(len(r.peers))] {
		recipients = append(recipients, r.peers[i])
	}
	return recipients
}

// Reports returns reports for a message that is sent at now: of up to n peers, drawn at
// random from those that were alive within maxAge. If the most recent ones were preferred,
// all messages would report the same peers, and no others.
func (r Roster) Reports(now time.Time, n int, maxAge time.Duration, rng *rand.Rand) (reports []Report) {
	for i, p := range r.peers {
		if age := time.Duration(now.UnixNano() - r.status[i].aliveAt); age < maxAge {
			reports = append(reports, Report{AddressHash: HashAddress(p.Address), Age: max(age, 0), Leaving: r.status[i].leaving})
		}
	}
	if len(reports) > n {
		rng.Shuffle(len(reports), func(i, j int) { reports[i], reports[j] = reports[j], reports[i] })
		reports = reports[:n]
	}
	return reports
}
