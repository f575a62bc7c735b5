package keeper

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"flamingoledge.org/flamingoledge/internal/connector"
	"flamingoledge.org/flamingoledge/internal/messenger"
)

// peerTimeout bounds one question to a peer.
const peerTimeout = time.Second

// QueryPeer asks another process for its accepted records above an offset.
func QueryPeer(ctx context.Context, d *connector.Dialer, address string, above uint64) (*messenger.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	conn, err := d.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	u, err := messenger.NewDRPCControlClient(conn).State(ctx, &messenger.StateRequest{AboveOffset: above})
	if err != nil {
		return nil, eris.Wrapf(err, "state of %s", address)
	}
	return u, nil
}

// QueryPeers asks several processes and returns the state that reaches furthest,
// nil if none of them has one.
func QueryPeers(ctx context.Context, d *connector.Dialer, addresses []string, above uint64) (newest *messenger.Update) {
	answers := make(chan *messenger.Update, len(addresses))
	for _, a := range addresses {
		go func() {
			u, err := QueryPeer(ctx, d, a, above)
			if err != nil {
				u = nil
			}
			answers <- u
		}()
	}
	for range addresses {
		if u := <-answers; u != nil && (newest == nil || u.GetThroughOffset() > newest.GetThroughOffset()) {
			newest = u
		}
	}
	return newest
}

// UpdateFor is what a process tells a peer that asks for its state.
func (c Configuration) UpdateFor(req *messenger.StateRequest) (*messenger.Update, error) {
	if !c.Ready {
		return nil, eris.New("no configuration yet")
	}
	return c.Update(req.GetAboveOffset()), nil
}
