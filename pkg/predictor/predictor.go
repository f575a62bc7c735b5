// Package predictor computes from an engine's published figures when a request's
// first piece comes and how long a request runs.
package predictor

import (
	"time"

	"flamingoledge.org/flamingoledge/pkg/resolver"
)

const (
	tokensPerK  = 1000.0
	pairsPerM   = 1e6
	halfOfAPass = 0.5
)

// Pass returns the time of one pass in which running requests with a mean context
// of tokens write, without reading.
func Pass(e *resolver.Engine, running int, context float64) time.Duration {
	perRequest := float64(e.StepPerRequest) + float64(e.StepPerContext)*context/tokensPerK
	return time.Duration(float64(e.Stride) * (float64(e.Step) + float64(running)*perRequest))
}

// Read returns the time that an engine takes to read a prompt.
func Read(e *resolver.Engine, prompt int) time.Duration {
	if e.ReadPerSecond <= 0 {
		return 0
	}
	seconds := float64(prompt) / e.ReadPerSecond
	pairs := float64(prompt) * float64(prompt) / 2 / pairsPerM
	return time.Duration(seconds*float64(time.Second) + pairs*float64(e.ReadPairs))
}

// FirstPiece returns when the first piece of a request comes that starts now
// beside running others: the rest of the present pass, with a usual prompt read in
// it, then the pass that reads its own prompt.
func FirstPiece(e *resolver.Engine, running, prompt int) time.Duration {
	pass := Pass(e, running, float64(e.UsualPrompt+e.UsualAnswer/2))
	present := halfOfAPass * float64(pass+Read(e, e.UsualPrompt))
	return time.Duration(present) + pass + Read(e, prompt)
}

// Whole returns how long a request runs from its first piece to its last beside
// running others.
func Whole(e *resolver.Engine, running, prompt, answer int) time.Duration {
	passes := float64(answer) / float64(e.Stride)
	pass := Pass(e, running, float64(prompt+answer/2))
	// Each slot takes a new prompt whenever its request ends, so that the pace of
	// a pass includes the reading of the others' prompts.
	read := float64(running) * float64(Read(e, e.UsualPrompt)) * float64(e.Stride) / float64(max(e.UsualAnswer, 1))
	return time.Duration(passes * (float64(pass) + read))
}
