package dispatch

import "time"

const (
	initialLatency    = 30 * time.Millisecond // to a first event without any prompt to read, until it is learned
	initialPromptRate = 16.0                  // prompt tokens per millisecond, until it is learned; below the engines' published rates
	initialWeight     = 4.0                   // of the initial values, in observations
	observationDecay  = 0.97                  // weight that an observation keeps with each later one
	minPromptRate     = 4.0                   // prompt tokens per millisecond
	maxPromptRate     = 80.0                  // prompt tokens per millisecond
	maxLatency        = 150 * time.Millisecond
	typicalPrompt     = 6000.0 // tokens
	minTokenSpread    = 200.0  // tokens; standard deviation below which the time per token cannot be separated from the latency
)

// waitModel estimates the time to a request's first event as a latency plus a time for
// each prompt token that the target reads until then. It learns both from the waits that
// were observed, by a linear regression in which older observations count less.
type waitModel struct {
	weight, tokens, wait   float64 // sums over the observations; wait in milliseconds
	tokensSquared, product float64
	latency                float64 // milliseconds
	perToken               float64 // milliseconds
}

// newWaitModel returns a model with the initial values, which count as observations
// without a prompt and with a typical one.
func newWaitModel() *waitModel {
	const half = initialWeight / 2
	short, long := milliseconds(initialLatency), milliseconds(initialLatency)+typicalPrompt/initialPromptRate
	waitModel := &waitModel{
		weight: initialWeight, tokens: half * typicalPrompt, wait: half * (short + long),
		tokensSquared: half * typicalPrompt * typicalPrompt, product: half * typicalPrompt * long,
	}
	waitModel.fit()
	return waitModel
}

// observe records the time to a first event before which the target read a number of
// tokens.
func (waitModel *waitModel) observe(tokens int, elapsed time.Duration) {
	x, y := float64(tokens), milliseconds(elapsed)
	waitModel.weight = waitModel.weight*observationDecay + 1
	waitModel.tokens = waitModel.tokens*observationDecay + x
	waitModel.wait = waitModel.wait*observationDecay + y
	waitModel.tokensSquared = waitModel.tokensSquared*observationDecay + x*x
	waitModel.product = waitModel.product*observationDecay + x*y
	waitModel.fit()
}

// fit computes latency and perToken. If the observations hardly differ in their tokens,
// perToken stays as it is.
func (waitModel *waitModel) fit() {
	weight, tokens := waitModel.weight, waitModel.tokens/waitModel.weight
	if variance := waitModel.tokensSquared/weight - tokens*tokens; variance > minTokenSpread*minTokenSpread {
		covariance := waitModel.product/weight - tokens*waitModel.wait/weight
		waitModel.perToken = min(max(covariance/variance, 1/maxPromptRate), 1/minPromptRate)
	}
	latency := waitModel.wait/weight - waitModel.perToken*tokens
	waitModel.latency = min(max(latency, 0), milliseconds(maxLatency))
}

// readTime estimates the time to read a number of prompt tokens.
func (waitModel *waitModel) readTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) * waitModel.perToken * float64(time.Millisecond))
}

// firstEvent estimates the part of the time to a first event that does not depend on the
// prompt.
func (waitModel *waitModel) firstEvent() time.Duration {
	return time.Duration(waitModel.latency * float64(time.Millisecond))
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}
