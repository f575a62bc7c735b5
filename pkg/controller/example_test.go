package controller_test

import (
	"context"
	"fmt"
	"time"

	"flamingoledge.org/flamingoledge/pkg/controller"
)

type counterState struct{ n int }

type counter struct{}

// Handle implements controller.Controller.
func (counter) Handle(_ time.Time, s counterState, e controller.Event) (counterState, []controller.Action) {
	if add, ok := e.(int); ok {
		s.n += add
	}
	return s, []controller.Action{s.n}
}

// Only the control goroutine changes the state; other goroutines post events and read
// views.
func Example() {
	performed := make(chan controller.Action, 2)
	b := controller.New(controller.Config[counterState]{
		Controllers:  []controller.Controller[counterState]{counter{}},
		QueueLength:  8,
		TickInterval: time.Hour,
		Clock:        time.Now,
		Perform:      func(a controller.Action) { performed <- a },
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b.Post(2)
	b.Post(3)
	go b.Run(ctx)
	fmt.Println(<-performed, <-performed, b.View().n)
	// Output: 2 5 5
}

// If the queue is full, Post drops the event, calls OnDrop and returns false.
func ExampleBoard_Post_full() {
	b := controller.New(controller.Config[counterState]{QueueLength: 1, OnDrop: func(e controller.Event) { fmt.Println("dropped", e) }})
	fmt.Println(b.Post(1), b.Post(2))
	// Output:
	// dropped 2
	// true false
}
