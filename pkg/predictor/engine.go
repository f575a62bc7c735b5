package predictor

import (
	"time"

	"flamingoledge.org/flamingoledge/pkg/resolver"
)

// Engine simulates an engine with continuous batching, pass by pass and without a
// clock. It is meant for tests, simulated endpoints and load generators. It is not safe
// for concurrent use.
type Engine struct {
	profile *resolver.Engine
	running []*sequence
	queue   []*sequence
}

// sequence is a request in an engine.
type sequence struct {
	id           uint64
	promptTokens int
	promptLeft   int
	generated    int
	answerTokens int
}

// Output is the output of one request in a pass.
type Output struct {
	ID    uint64
	First bool
	Last  bool
}

// NewEngine returns an engine without requests.
func NewEngine(profile *resolver.Engine) *Engine { return &Engine{profile: profile} }

// Enqueue appends a request to the engine's queue; prompt and answer length are in
// tokens.
func (e *Engine) Enqueue(id uint64, promptTokens, answerTokens int) {
	e.queue = append(e.queue, &sequence{id: id, promptTokens: promptTokens, promptLeft: promptTokens, answerTokens: max(answerTokens, 1)})
}

// Active returns the number of running requests.
func (e *Engine) Active() int { return len(e.running) }

// Queued returns the number of requests that wait for a slot.
func (e *Engine) Queued() int { return len(e.queue) }

// RunPass executes one pass. It returns the duration of the pass and the outputs at its
// end. The duration is 0 if there are no requests.
func (e *Engine) RunPass() (duration time.Duration, outputs []Output) {
	for len(e.queue) > 0 && len(e.running) < e.profile.Slots {
		e.running = append(e.running, e.queue[0])
		e.queue = e.queue[1:]
	}
	if len(e.running) == 0 {
		return 0, nil
	}
	contextTokens := 0
	for _, s := range e.running {
		contextTokens += s.promptTokens - s.promptLeft + s.generated
		if s.promptLeft > 0 {
			duration += PrefillTime(e.profile, s.promptLeft)
			s.promptLeft = 0
		}
	}
	duration += PassTime(e.profile, len(e.running), float64(contextTokens)/float64(len(e.running)))
	remaining := e.running[:0]
	for _, s := range e.running {
		out := Output{ID: s.id, First: s.generated == 0}
		s.generated += e.profile.Stride
		out.Last = s.generated >= s.answerTokens
		outputs = append(outputs, out)
		if !out.Last {
			remaining = append(remaining, s)
		}
	}
	e.running = remaining
	return duration, outputs
}
