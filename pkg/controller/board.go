// Package controller runs the control state of a process: one goroutine owns a
// blackboard, controllers read it and return its next value, and every other
// goroutine only reads immutable views and posts events.
package controller

import (
	"context"
	"sync/atomic"
	"time"
)

// Event is something that happened; controllers switch on its type.
type Event any

// Action is something to be done outside the control goroutine.
type Action any

// Tick is posted at every tick interval.
type Tick struct{}

// Controller decides what follows from an event. It must not block, read clocks
// or change the state that it is given.
type Controller[S any] interface {
	Handle(now time.Time, state S, event Event) (next S, actions []Action)
}

// Config configures a Board.
type Config[S any] struct {
	Initial     S
	Controllers []Controller[S]
	// QueueLength bounds the events that wait for the control goroutine.
	QueueLength int
	// TickInterval is the time between ticks.
	TickInterval time.Duration
	// Clock returns the present time.
	Clock func() time.Time
	// Perform starts an action. It must not block.
	Perform func(Action)
	// Dropped is told of an event that did not fit in the queue.
	OnDrop func(Event)
}

// Board is a blackboard with its control goroutine.
type Board[S any] struct {
	cfg    Config[S]
	view   atomic.Pointer[S]
	events chan Event
}

// New returns a board that shows the initial state.
func New[S any](cfg Config[S]) *Board[S] {
	b := &Board[S]{cfg: cfg, events: make(chan Event, cfg.QueueLength)}
	initial := cfg.Initial
	b.view.Store(&initial)
	return b
}

// View returns the present state. The caller must not change it.
func (b *Board[S]) View() *S { return b.view.Load() }

// Post hands an event to the control goroutine without blocking. It returns
// false, after telling Dropped, when the queue is full; the sender decides
// whether to send again.
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

// Send hands an event to the control goroutine and waits for a place.
func (b *Board[S]) Send(ctx context.Context, e Event) error {
	select {
	case b.events <- e:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run is the control goroutine; it ends with ctx.
func (b *Board[S]) Run(ctx context.Context) {
	ticker := time.NewTicker(b.cfg.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-b.events:
			b.handle(e)
		case <-ticker.C:
			b.handle(Tick{})
		}
	}
}

func (b *Board[S]) handle(e Event) {
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
