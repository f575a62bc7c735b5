// Package predictor computes from an engine's published figures when a request's
// first piece comes.
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

// PassTime returns the time of one pass in which running requests with a mean context
// of tokens write, without reading.
func PassTime(e *resolver.Engine, running int, context float64) time.Duration {
	perRequest := float64(e.StepTimePerRequest) + float64(e.StepTimePerKContext)*context/tokensPerK
	return time.Duration(float64(e.Stride) * (float64(e.StepTime) + float64(running)*perRequest))
}

// PrefillTime returns the time that an engine takes to read a prompt.
func PrefillTime(e *resolver.Engine, prompt int) time.Duration {
	if e.PrefillTokensPerSecond <= 0 {
		return 0
	}
	seconds := float64(prompt) / e.PrefillTokensPerSecond
	pairs := float64(prompt) * float64(prompt) / 2 / pairsPerM
	return time.Duration(seconds*float64(time.Second) + pairs*float64(e.PrefillPerMillionPairs))
}

// TimeToFirstToken returns when the first piece of a request comes that starts now
// beside running others: the rest of the present pass, then the pass that reads
// its own prompt after the prompts that wait to be read, which take backlog.
func TimeToFirstToken(e *resolver.Engine, running int, backlog time.Duration, prompt int) time.Duration {
	pass := PassTime(e, running, float64(e.MeanPromptTokens+e.MeanAnswerTokens/2)) + othersRead(e, running)
	return time.Duration(halfOfAPass*float64(pass)) + pass + backlog + PrefillTime(e, prompt)
}

// othersRead is how long a pass reads prompts that take the places of running
// requests which end.
func othersRead(e *resolver.Engine, running int) time.Duration {
	perPass := float64(running) * float64(e.Stride) / float64(max(e.MeanAnswerTokens, 1))
	return time.Duration(perPass * float64(PrefillTime(e, e.MeanPromptTokens)))
}
