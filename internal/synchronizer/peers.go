package synchronizer

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"flamingoledge.org/flamingoledge/internal/connector"
	"flamingoledge.org/flamingoledge/internal/messenger"
)

// peerTimeout limits a query to one peer.
const peerTimeout = time.Second

// QueryPeer requests the accepted records above an offset from another process.
func QueryPeer(ctx context.Context, d *connector.Dialer, address string, aboveOffset uint64) (*messenger.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	conn, err := d.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	u, err := messenger.NewDRPCControlClient(conn).State(ctx, &messenger.StateRequest{AboveOffset: aboveOffset})
	if err != nil {
		return nil, eris.Wrapf(err, "request state from %s", address)
	}
	return u, nil
}

// QueryPeers queries several processes in parallel and returns the update with the
// highest through-offset, or nil if all queries failed.
func QueryPeers(ctx context.Context, d *connector.Dialer, addresses []string, aboveOffset uint64) (newest *messenger.Update) {
	replies := make(chan *messenger.Update, len(addresses))
	for _, a := range addresses {
		go func() {
			u, err := QueryPeer(ctx, d, a, aboveOffset)
			if err != nil {
				u = nil
			}
			replies <- u
		}()
	}
	for range addresses {
		if u := <-replies; u != nil && (newest == nil || u.GetThroughOffset() > newest.GetThroughOffset()) {
			newest = u
		}
	}
	return newest
}

// UpdateFor returns the response to a state request of a peer. It fails if the
// configuration is not ready.
func (c Configuration) UpdateFor(req *messenger.StateRequest) (*messenger.Update, error) {
	if !c.Ready {
		return nil, eris.New("no configuration yet")
	}
	return c.Update(req.GetAboveOffset()), nil
}
