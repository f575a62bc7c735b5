// Package predictor computes from an engine's published figures when a request's
// first piece comes.
package predictor

import (
	"time"

	"flamingoledge.org/flamingoledge/pkg/resolver"
)

const (
	tokensPerK             = 1000.0
	pairsPerMillion        = 1e6
	meanRemainingPassShare = 0.5
)

// PassTime returns the time of one pass in which running requests with a mean context
// of tokens write, without reading.
func PassTime(e *resolver.Engine, running int, meanContextTokens float64) time.Duration {
	perRequest := float64(e.StepTimePerRequest) + float64(e.StepTimePerKContext)*meanContextTokens/tokensPerK
	return time.Duration(float64(e.Stride) * (float64(e.StepTime) + float64(running)*perRequest))
}

// PrefillTime returns the time that an engine takes to read a prompt.
func PrefillTime(e *resolver.Engine, promptTokens int) time.Duration {
	if e.PrefillTokensPerSecond <= 0 {
		return 0
	}
	seconds := float64(promptTokens) / e.PrefillTokensPerSecond
	pairs := float64(promptTokens) * float64(promptTokens) / 2 / pairsPerMillion
	return time.Duration(seconds*float64(time.Second) + pairs*float64(e.PrefillPerMillionPairs))
}

// TimeToFirstToken returns when the first piece of a request comes that starts now
// beside running others: the rest of the present pass, then the pass that reads
// its own prompt after the prompts that wait to be read, which take backlog.
func TimeToFirstToken(e *resolver.Engine, running int, backlog time.Duration, promptTokens int) time.Duration {
	passTime := PassTime(e, running, float64(e.MeanPromptTokens+e.MeanAnswerTokens/2)) + concurrentPrefillTime(e, running)
	return time.Duration(meanRemainingPassShare*float64(passTime)) + passTime + backlog + PrefillTime(e, promptTokens)
}

// othersRead is how long a pass reads prompts that take the places of running
// requests which end.
func concurrentPrefillTime(e *resolver.Engine, running int) time.Duration {
	perPass := float64(running) * float64(e.Stride) / float64(max(e.MeanAnswerTokens, 1))
	return time.Duration(perPass * float64(PrefillTime(e, e.MeanPromptTokens)))
}
