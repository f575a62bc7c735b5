package exchanger

import (
	"net"
	"sync"

	"flamingoledge.org/flamingoledge/internal/inspector"
)

// Delivery tells whether a request has arrived at the server's host, as far as the
// host has acknowledged it. It is used for one exchange and is safe for concurrent use.
type Delivery struct {
	mu             sync.Mutex
	conn           net.Conn
	requestWritten <-chan struct{}
	delivered      bool
}

// start sets the connection on which the request is sent.
func (d *Delivery) start(c net.Conn, requestWritten <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conn, d.requestWritten = c, requestWritten
}

// IsDelivered reports whether the server's host has acknowledged the whole request.
// After the end of the exchange, it returns the last known state.
func (d *Delivery) IsDelivered() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.delivered || d.conn == nil {
		return d.delivered
	}
	select {
	case <-d.requestWritten:
	default:
		return false
	}
	n, err := inspector.Unacknowledged(d.conn)
	d.delivered = err == nil && n == 0
	return d.delivered
}

// DiscardUnsent makes the end of the exchange drop what the server's host has not received
// from this one yet. Without it, the host gets the whole request also after that.
func (d *Delivery) DiscardUnsent() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c, ok := d.conn.(interface{ SetLinger(sec int) error }); ok {
		_ = c.SetLinger(0)
	}
}
