// Package notifier wakes any number of goroutines that wait for a change.
package notifier

import "sync"

// Notifier is ready to use as its zero value and safe for concurrent use.
type Notifier struct {
	mu sync.Mutex
	ch chan struct{}
}

// Wait returns a channel that the next Notify closes.
func (n *Notifier) Wait() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ch == nil {
		n.ch = make(chan struct{})
	}
	return n.ch
}

// Notify wakes all who wait.
func (n *Notifier) Notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ch != nil {
		close(n.ch)
	}
	n.ch = nil
}
