package predictor

import (
	"time"

	"flamingoledge.org/flamingoledge/pkg/resolver"
)

// Engine replays an engine that batches continuously, pass by pass and without a
// clock. It is for tests, stand-ins and load tools. It has one owner at a time.
type Engine struct {
	figures *resolver.Engine
	running []*sequence
	queue   []*sequence
}

// sequence is one request in an engine.
type sequence struct {
	id      uint64
	prompt  int
	unread  int
	written int
	answer  int
}

// Output is what a request got from a pass.
type Output struct {
	ID    uint64
	First bool
	Last  bool
}

// NewEngine returns an empty engine.
func NewEngine(figures *resolver.Engine) *Engine { return &Engine{figures: figures} }

// Enqueue puts a request in the engine's queue.
func (e *Engine) Enqueue(id uint64, prompt, answer int) {
	e.queue = append(e.queue, &sequence{id: id, prompt: prompt, unread: prompt, answer: max(answer, 1)})
}

// Active and Queued return how many requests run and wait.
func (e *Engine) Active() int { return len(e.running) }

// Queued returns how many requests wait for a place.
func (e *Engine) Queued() int { return len(e.queue) }

// RunPass executes one pass. It returns how long that takes and the pieces that come
// at its end; a pass without work takes no time.
func (e *Engine) RunPass() (taken time.Duration, pieces []Output) {
	for len(e.queue) > 0 && len(e.running) < e.figures.Slots {
		e.running = append(e.running, e.queue[0])
		e.queue = e.queue[1:]
	}
	if len(e.running) == 0 {
		return 0, nil
	}
	context := 0
	for _, s := range e.running {
		context += s.prompt - s.unread + s.written
		if s.unread > 0 {
			taken += PrefillTime(e.figures, s.unread)
			s.unread = 0
		}
	}
	taken += PassTime(e.figures, len(e.running), float64(context)/float64(len(e.running)))
	kept := e.running[:0]
	for _, s := range e.running {
		p := Output{ID: s.id, First: s.written == 0}
		s.written += e.figures.Stride
		p.Last = s.written >= s.answer
		pieces = append(pieces, p)
		if !p.Last {
			kept = append(kept, s)
		}
	}
	e.running = kept
	return taken, pieces
}
