package admission

import (
	"math"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// minDrainSampleMs is the backlogged time, in milliseconds, needed before
// the drain rate is used. In the first seconds of the first burst the targets
// are still running prefill and have produced little output, so a rate measured
// then is too low and would refuse requests that the targets can serve.
const minDrainSampleMs = 3000

// drainEstimator measures the service rate of a kind's queue in tokens per
// millisecond.
//
// Throughput while the queue is empty reflects demand and not the capacity of
// the targets. Used as the drain rate, it would refuse the first burst after a
// quiet hour although the targets are idle. The rate is therefore the
// exponentially decayed mean over backlogged time. The mean over all time is a
// lower bound of the capacity and is used where it is larger.
type drainEstimator struct {
	horizonMs  float64
	updatedAt  kumquatlug.Millis
	backlogged decayedRate
	overall    decayedRate
	// retryTokens is the refused work that is expected to be retried.
	retryTokens float64
}

// decayedRate is a decayed sum of tokens over a decayed sum of milliseconds.
type decayedRate struct {
	tokens float64
	ms     float64
}

func (r *decayedRate) advance(elapsed, horizon float64) {
	decay := math.Exp(-elapsed / horizon)
	r.tokens *= decay
	r.ms = r.ms*decay + horizon*(1-decay)
}

func (r *decayedRate) rate() float64 {
	return r.tokens / r.ms
}

func (d *drainEstimator) advance(now kumquatlug.Millis, backlogged bool) {
	elapsed := float64(now - d.updatedAt)
	if elapsed <= 0 {
		return
	}
	d.updatedAt = now
	d.overall.advance(elapsed, d.horizonMs)
	if backlogged {
		d.backlogged.advance(elapsed, d.horizonMs)
	}
	d.retryTokens = max(0, d.retryTokens-elapsed*d.rate())
}

func (d *drainEstimator) served(tokens int64, backlogged bool) {
	d.overall.tokens += float64(tokens)
	if backlogged {
		d.backlogged.tokens += float64(tokens)
	}
}

// rate returns the drain rate in tokens per millisecond, zero while unknown.
func (d *drainEstimator) rate() float64 {
	if d.backlogged.ms < minDrainSampleMs {
		return 0
	}
	return max(d.backlogged.rate(), d.overall.rate())
}

// timeAtRate returns how long tokens take at rate, in tokens per millisecond.
// The rate must be positive. The result is at most one hour.
func timeAtRate(rate, tokens float64) kumquatlug.Millis {
	return kumquatlug.Millis(min(tokens/rate, float64(kumquatlug.Hour)))
}

const (
	// errorDecay averages the prediction error over about 50 requests.
	errorDecay = 0.98
	// errorPriorMs is the weight of the prior that predictions are exact, in
	// milliseconds of predicted wait. It keeps a few outliers from moving the
	// correction.
	errorPriorMs = 10_000
	// maxErrorFactor bounds the correction and the contribution of one request.
	// Larger errors come from an outage of the targets. Counted as overtaking,
	// they would cause refusals of work that the targets can serve once they
	// recover.
	maxErrorFactor = 4
)

// waitPredictionError tracks the ratio of actual to predicted waits. The
// prediction covers only requests that are already queued. Later arrivals can
// be served first, either because their caller has used less of its share or
// because their deadlines are shorter. Without the correction, requests with
// distant deadlines are admitted and then overtaken until they are late.
type waitPredictionError struct {
	actualMs    float64
	predictedMs float64
}

func (e *waitPredictionError) learn(actual, predicted kumquatlug.Millis) {
	actual = min(actual, maxErrorFactor*(predicted+kumquatlug.Second))
	e.actualMs = errorDecay*e.actualMs + float64(actual)
	e.predictedMs = errorDecay*e.predictedMs + float64(predicted)
}

func (e *waitPredictionError) correct(wait kumquatlug.Millis) kumquatlug.Millis {
	factor := (e.actualMs + errorPriorMs) / (e.predictedMs + errorPriorMs)
	return kumquatlug.Millis(float64(wait) * min(max(factor, 1), maxErrorFactor))
}
