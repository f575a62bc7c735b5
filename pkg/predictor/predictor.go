// Package predictor predicts the time to the first token of a request from the
// published performance profile of its engine.
package predictor

import (
	"time"

	"flamingoledge.org/flamingoledge/pkg/resolver"
)

const (
	tokensPerK      = 1000.0
	pairsPerMillion = 1e6
	// meanRemainingPassShare is the mean share of the current pass that remains when
	// a request starts, since requests start at any time within it.
	meanRemainingPassShare = 0.5
)

// PassTime returns the duration of a pass in which the given number of running requests
// generate tokens, without prefill.
func PassTime(e *resolver.Engine, running int, meanContextTokens float64) time.Duration {
	perRequest := float64(e.StepTimePerRequest) + float64(e.StepTimePerKContext)*meanContextTokens/tokensPerK
	return time.Duration(float64(e.Stride) * (float64(e.StepTime) + float64(running)*perRequest))
}

// PrefillTime returns the time that an engine takes to prefill a prompt.
func PrefillTime(e *resolver.Engine, promptTokens int) time.Duration {
	if e.PrefillTokensPerSecond <= 0 {
		return 0
	}
	seconds := float64(promptTokens) / e.PrefillTokensPerSecond
	pairs := float64(promptTokens) * float64(promptTokens) / 2 / pairsPerMillion
	return time.Duration(seconds*float64(time.Second) + pairs*float64(e.PrefillPerMillionPairs))
}

// TimeToFirstToken returns the time to the first output of a request that starts now
// on an engine with the given number of running requests. It is the rest of the
// current pass plus the pass that prefills the request's prompt, after the prompts
// already waiting for prefill, whose prefill takes backlog.
func TimeToFirstToken(e *resolver.Engine, running int, backlog time.Duration, promptTokens int) time.Duration {
	passTime := PassTime(e, running, float64(e.MeanPromptTokens+e.MeanAnswerTokens/2)) + concurrentPrefillTime(e, running)
	return time.Duration(meanRemainingPassShare*float64(passTime)) + passTime + backlog + PrefillTime(e, promptTokens)
}

// concurrentPrefillTime returns the mean prefill time per pass for requests that
// replace running requests as these end.
func concurrentPrefillTime(e *resolver.Engine, running int) time.Duration {
	perPass := float64(running) * float64(e.Stride) / float64(max(e.MeanAnswerTokens, 1))
	return time.Duration(perPass * float64(PrefillTime(e, e.MeanPromptTokens)))
}
