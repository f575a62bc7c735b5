// Package controller manages the control state of a process. One goroutine owns the
// state and passes each event to the controllers, which return the next state and the
// actions to perform. All other goroutines read immutable views and post events.
package controller

import (
	"context"
	"sync/atomic"
	"time"
)

// Event is an input to the controllers, which switch on its type.
type Event any

// Action is work to be performed outside the control goroutine.
type Action any

// Tick is the event that controllers receive at every Config.TickInterval.
type Tick struct{}

// Controller computes the next state and the actions for an event. It must not block,
// read clocks or modify the state passed to it.
type Controller[S any] interface {
	Handle(now time.Time, state S, event Event) (next S, actions []Action)
}

// Config configures a Board.
type Config[S any] struct {
	Initial     S
	Controllers []Controller[S]
	// QueueLength is the maximum number of queued events.
	QueueLength int
	// TickInterval is the time between ticks.
	TickInterval time.Duration
	// Clock returns the current time.
	Clock func() time.Time
	// Perform starts an action. It must not block.
	Perform func(Action)
	// OnDrop, if set, is called with each event that Post drops because the queue is
	// full.
	OnDrop func(Event)
}

// Board holds the control state and the queue of its control goroutine.
type Board[S any] struct {
	cfg    Config[S]
	view   atomic.Pointer[S]
	events chan Event
}

// New returns a board with the initial state. Call Run to process events.
func New[S any](cfg Config[S]) *Board[S] {
	b := &Board[S]{cfg: cfg, events: make(chan Event, cfg.QueueLength)}
	initial := cfg.Initial
	b.view.Store(&initial)
	return b
}

// View returns the current state. The caller must not modify it.
func (b *Board[S]) View() *S { return b.view.Load() }

// Post queues an event for the control goroutine without blocking. If the queue is
// full, it calls OnDrop and returns false; the sender decides whether to retry.
func (b *Board[S]) Post(e Event) bool {
	select {
	case b.events <- e:
		return true
	default:
		if b.cfg.OnDrop != nil {
			b.cfg.OnDrop(e)
		}
		return false
	}
}

// Send queues an event for the control goroutine. It blocks while the queue is full and
// returns the error of ctx if that ends first.
func (b *Board[S]) Send(ctx context.Context, e Event) error {
	select {
	case b.events <- e:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run processes events until ctx ends. It must be called from a single goroutine.
func (b *Board[S]) Run(ctx context.Context) {
	ticker := time.NewTicker(b.cfg.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-b.events:
			b.Handle(e)
		case <-ticker.C:
			b.Handle(Tick{})
		}
	}
}

// Handle passes an event to all controllers in turn, publishes the resulting state and
// performs their actions. It must be called from a single goroutine: by Run, or in its place.
func (b *Board[S]) Handle(e Event) {
	now := b.cfg.Clock()
	state := *b.view.Load()
	var actions []Action
	for _, c := range b.cfg.Controllers {
		var produced []Action
		state, produced = c.Handle(now, state, e)
		actions = append(actions, produced...)
	}
	b.view.Store(&state)
	for _, a := range actions {
		b.cfg.Perform(a)
	}
}
