package admission

import (
	"math"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// minDrainSampleMillis is how long work must have waited before the rate is believed,
// in milliseconds. In the first seconds of the first burst the targets are
// still running prompts and little has come back; a rate from then would
// refuse callers in front of targets that are about to deliver.
const minDrainSampleMillis = 3000

// drainEstimator measures how fast a line empties, in tokens a millisecond.
//
// What is finished while nothing waits shows the callers' demand and not what
// the targets can do; taken for the drain rate it would make the first burst
// after a quiet hour look hopeless, and callers would be refused in front of
// idle targets. So the rate is the decayed mean over the time in which work
// waited. The mean over all time is kept beside it, since what was finished
// lately can be finished: it counts where it is larger.
type drainEstimator struct {
	horizonMillis float64
	updatedAt     kumquatlug.Millis
	backlogged    decayedRate
	overall       decayedRate
	retryTokens   float64
}

// decayedRate is a decayed sum of tokens over a decayed sum of milliseconds.
type decayedRate struct {
	tokens float64
	millis float64
}

func (r *decayedRate) advance(elapsed, horizon float64) {
	decay := math.Exp(-elapsed / horizon)
	r.tokens *= decay
	r.millis = r.millis*decay + horizon*(1-decay)
}

func (r *decayedRate) rate() float64 {
	return r.tokens / r.millis
}

func (d *drainEstimator) advance(now kumquatlug.Millis, backlogged bool) {
	elapsed := float64(now - d.updatedAt)
	if elapsed <= 0 {
		return
	}
	d.updatedAt = now
	d.overall.advance(elapsed, d.horizonMillis)
	if backlogged {
		d.backlogged.advance(elapsed, d.horizonMillis)
	}
	d.retryTokens = max(0, d.retryTokens-elapsed*d.rate())
}

func (d *drainEstimator) served(tokens int64, backlogged bool) {
	d.overall.tokens += float64(tokens)
	if backlogged {
		d.backlogged.tokens += float64(tokens)
	}
}

// rate returns tokens a millisecond, zero while it isn't known.
func (d *drainEstimator) rate() float64 {
	if d.backlogged.millis < minDrainSampleMillis {
		return 0
	}
	return max(d.backlogged.rate(), d.overall.rate())
}

// timeAtRate returns how long tokens take at a rate above zero.
func timeAtRate(rate, tokens float64) kumquatlug.Millis {
	return kumquatlug.Millis(min(tokens/rate, float64(kumquatlug.Hour)))
}

const (
	// errorDecay makes the forecast error that of some fifty requests.
	errorDecay = 0.98
	// errorPriorMillis is how much forecast wait, in milliseconds, counts as having
	// come true, so that a few odd requests don't move the correction.
	errorPriorMillis = 10_000
	// maxErrorFactor bounds the correction and what one request adds to it: beyond
	// it the targets were lost for a while, and to count that as overtaking
	// would refuse what they can serve when they are back.
	maxErrorFactor = 4
)

// waitPredictionError learns by how much waits turn out longer than predicted. The
// prediction knows what stands in the line and not what will come: callers that
// arrive later take their turns before a large share, and their shorter
// deadlines go first. Uncorrected, work with distant deadlines is let in and
// overtaken until it is late.
type waitPredictionError struct {
	actualMillis    float64
	predictedMillis float64
}

func (e *waitPredictionError) learn(actual, predicted kumquatlug.Millis) {
	actual = min(actual, maxErrorFactor*(predicted+kumquatlug.Second))
	e.actualMillis = errorDecay*e.actualMillis + float64(actual)
	e.predictedMillis = errorDecay*e.predictedMillis + float64(predicted)
}

func (e *waitPredictionError) correct(wait kumquatlug.Millis) kumquatlug.Millis {
	factor := (e.actualMillis + errorPriorMillis) / (e.predictedMillis + errorPriorMillis)
	return kumquatlug.Millis(float64(wait) * min(max(factor, 1), maxErrorFactor))
}
