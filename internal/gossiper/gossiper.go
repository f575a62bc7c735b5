// Package gossiper exchanges small datagrams between the system's processes.
// Datagrams may be lost, duplicated, delayed or reordered; their contents must
// tolerate that.
package gossiper

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"flamingoledge.org/flamingoledge/internal/messenger"
)

// maxDatagramBytes fits into one unfragmented packet on any common link.
const maxDatagramBytes = 1400

// Socket sends and receives datagrams.
type Socket struct {
	conn *net.UDPConn
	// Malformed counts the received datagrams that could not be decoded, Oversized
	// those that were too large to send.
	Malformed atomic.Int64
	Oversized atomic.Int64
}

// Listen opens a socket on a local IPv4 address.
func Listen(address string) (*Socket, error) {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, eris.Wrapf(err, "parse datagram address %q", address)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(ap))
	if err != nil {
		return nil, eris.Wrapf(err, "listen for datagrams on %s", address)
	}
	return &Socket{conn: conn}, nil
}

// Send sends a datagram. Its loss in the network is not an error.
func (s *Socket) Send(to netip.AddrPort, d *messenger.Datagram) error {
	_, err := s.SendAll([]netip.AddrPort{to}, d)
	return err
}

// SendAll sends a datagram to each of several receivers. It returns the number of
// receivers to which it could not be sent and the error of the last one.
func (s *Socket) SendAll(to []netip.AddrPort, d *messenger.Datagram) (unsent int, err error) {
	b, err := proto.Marshal(d)
	if err != nil {
		return len(to), eris.Wrap(err, "encode datagram")
	}
	if len(b) > maxDatagramBytes {
		s.Oversized.Add(1)
		return len(to), eris.Errorf("datagram of %d bytes exceeds the maximum of %d", len(b), maxDatagramBytes)
	}
	for _, address := range to {
		if _, sendErr := s.conn.WriteToUDPAddrPort(b, address); sendErr != nil {
			unsent, err = unsent+1, sendErr
		}
	}
	return unsent, err
}

// Receive calls handle for each received datagram until ctx ends, then closes the
// socket.
func (s *Socket) Receive(ctx context.Context, handle func(from netip.AddrPort, d *messenger.Datagram)) {
	defer context.AfterFunc(ctx, func() { _ = s.conn.Close() })()
	buf := make([]byte, maxDatagramBytes+1)
	for ctx.Err() == nil {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			continue
		}
		d := &messenger.Datagram{}
		if err = proto.Unmarshal(buf[:n], d); err != nil {
			s.Malformed.Add(1)
			continue
		}
		handle(from, d)
	}
}

// Close closes the socket.
func (s *Socket) Close() { _ = s.conn.Close() }
