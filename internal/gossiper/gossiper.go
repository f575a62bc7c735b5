// Package gossiper exchanges small datagrams between the system's own processes.
// Datagrams may be lost, repeated or late; what they carry must stand that.
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

// maxDatagram is what fits a packet without fragments on any usual link.
const maxDatagram = 1400

// Socket sends and receives datagrams.
type Socket struct {
	conn *net.UDPConn
	// Malformed counts the datagrams that could not be decoded, TooLarge those
	// that were not sent.
	Malformed atomic.Int64
	Oversized atomic.Int64
}

// Listen opens a socket.
func Listen(address string) (*Socket, error) {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, eris.Wrap(err, "datagram address")
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(ap))
	if err != nil {
		return nil, eris.Wrap(err, "listen for datagrams")
	}
	return &Socket{conn: conn}, nil
}

// Send sends a datagram. What is lost on the way is not an error.
func (s *Socket) Send(to netip.AddrPort, d *messenger.Datagram) error {
	b, err := proto.Marshal(d)
	if err != nil {
		return eris.Wrap(err, "encode datagram")
	}
	if len(b) > maxDatagram {
		s.Oversized.Add(1)
		return eris.Errorf("datagram has %d bytes", len(b))
	}
	_, err = s.conn.WriteToUDPAddrPort(b, to)
	return err
}

// Receive hands each datagram to take until ctx ends.
func (s *Socket) Receive(ctx context.Context, take func(from netip.AddrPort, d *messenger.Datagram)) {
	defer context.AfterFunc(ctx, func() { _ = s.conn.Close() })()
	buf := make([]byte, maxDatagram+1)
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
		take(from, d)
	}
}

// Close closes the socket.
func (s *Socket) Close() { _ = s.conn.Close() }
