// Package notifier broadcasts a change to any number of waiting goroutines.
package notifier

import "sync"

// Notifier broadcasts changes. Its zero value is ready to use; it is safe for
// concurrent use.
type Notifier struct {
	mu sync.Mutex
	ch chan struct{}
}

// Wait returns a channel that is closed by the next call of Notify.
func (n *Notifier) Wait() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ch == nil {
		n.ch = make(chan struct{})
	}
	return n.ch
}

// Notify wakes all waiting goroutines.
func (n *Notifier) Notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ch != nil {
		close(n.ch)
	}
	n.ch = nil
}
