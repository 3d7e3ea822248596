// Package learn estimates the performance of a service's engines from their responses: the
// prefill time of a prompt, the pause between the events of a stream, and the deviation of
// responses from their expected time.
//
// Engines may be unknown or change at any time, with another model, other accelerators or a
// release of weights. A gateway with fixed figures would consider a running prefill lost and
// resend the prompt to another engine, so that it is computed twice; users would get
// refusals while engines have spare capacity.
//
// The estimators are not safe for concurrent use.
package learn

import (
	"cmp"
	"math"
)

// PrefillEstimatorConfig configures a [PrefillEstimator]. The zero value of each field stands
// for its default.
type PrefillEstimatorConfig struct {
	// TokensPerMs is the initial prefill rate in tokens per millisecond. The default is 100, in the
	// middle of the range of engines; a rate that is eight times higher or lower is learnt
	// from a handful of prompts.
	TokensPerMs float64
}

// Parameters of [PrefillEstimator].
const (
	// initialFixedMs is the initial cost of a prompt besides its tokens.
	initialFixedMs = 8.0
	// initialSpread is the initial uncertainty of a coefficient, relative to its value.
	initialSpread = 3.0
	// contextSpread is the initial uncertainty of the cost of context: for every 1,000 tokens
	// before a token, as a fraction of the token's own time.
	contextSpread = 0.02
	// forgettingFactor is the factor applied to the weight of older samples at each new one.
	forgettingFactor = 0.985
	// slowSampleWeight is the weight of a sample above the estimate, relative to one below it.
	// Load from other gateways and unreported cache evictions lengthen samples; nothing
	// shortens them.
	slowSampleWeight = 0.25
	// initialErrorBound and errorBound limit the relative error of one sample, for the first
	// samples and for later ones.
	initialErrorBound, errorBound = 1.0, 0.25
	// initialSamples is the number of samples that initialErrorBound applies to.
	initialSamples = 8
	// changeRunLength is the number of consecutive samples beyond the bound on the same side
	// after which the engines are assumed to have changed and the estimate restarts.
	changeRunLength = 5
	// minTokensPerMs and maxTokensPerMs limit the estimated rate.
	minTokensPerMs, maxTokensPerMs = 1.0, 20_000.0
	// pairScale scales the number of token pairs.
	pairScale = 1e6
)

// termCount is the number of terms of the prefill time: the tokens, the pairs that they form
// with the tokens before them, and a constant.
const termCount = 3

// PrefillEstimator estimates the prefill time of prompts by a weighted recursive least squares
// fit of three terms to the relative error. A token of a long prompt costs more than one of a
// short prompt, since attention compares it with all tokens before it. With a cost per token
// alone, the largest prompts would be given up as overdue.
type PrefillEstimator struct {
	coefficients [termCount]float64
	covariance   [termCount][termCount]float64
	// samples counts all samples, samplesSinceChange those since the engines last changed.
	samples, samplesSinceChange int
	// outlierSide is the sign of the error of the last samples if it was beyond the bound,
	// outlierRun their number in a row.
	outlierSide, outlierRun int
}

// NewPrefillEstimator returns an estimator that starts with the rate of c.
func NewPrefillEstimator(c PrefillEstimatorConfig) *PrefillEstimator {
	rate := cmp.Or(c.TokensPerMs, 100)
	r := &PrefillEstimator{coefficients: [termCount]float64{1 / rate, 0, initialFixedMs}}
	r.resetCovariance()
	return r
}

// resetCovariance gives new samples the weight of the first ones.
func (r *PrefillEstimator) resetCovariance() {
	r.covariance = [termCount][termCount]float64{}
	for i, deviation := range r.initialDeviations() {
		r.covariance[i][i] = deviation * deviation
	}
	r.samplesSinceChange, r.outlierRun = 0, 0
}

// initialDeviations returns the initial uncertainty of each coefficient.
func (r *PrefillEstimator) initialDeviations() [termCount]float64 {
	return [termCount]float64{initialSpread * r.coefficients[0], contextSpread * r.coefficients[0] * pairScale / 1000, initialSpread * initialFixedMs}
}

// features returns the terms of a prompt with uncached tokens to compute after cached ones.
func features(uncached, cached float64) [termCount]float64 {
	return [termCount]float64{uncached, uncached * (cached + uncached/2) / pairScale, 1}
}

// Time returns the prefill time in milliseconds of a prompt with uncached tokens after
// cached ones.
func (r *PrefillEstimator) Time(uncached, cached float64) float64 {
	sum := 0.0
	for i, x := range features(uncached, cached) {
		sum += r.coefficients[i] * x
	}
	return sum
}

// FixedCost returns the cost of a prompt besides its tokens, in milliseconds.
func (r *PrefillEstimator) FixedCost() float64 { return r.coefficients[2] }

// TokensPerMs returns the prefill rate in tokens per millisecond, without the cost of context.
func (r *PrefillEstimator) TokensPerMs() float64 { return 1 / r.coefficients[0] }

// Samples returns the number of samples.
func (r *PrefillEstimator) Samples() int { return r.samples }

// Observe records the prefill time of a prompt in milliseconds. The caller leaves out prompts
// that waited behind others of this gateway, since their time says nothing about prefill.
func (r *PrefillEstimator) Observe(uncached, cached, took float64) {
	expected := r.Time(uncached, cached)
	if uncached < 1 || took <= 0 || expected <= 0 {
		return
	}
	r.samples++
	r.samplesSinceChange++
	relativeError := r.clipError(took/expected - 1)
	weight := 1.0
	if relativeError > 0 {
		weight = slowSampleWeight
	}
	x := features(uncached, cached)
	for i := range x {
		x[i] /= expected
	}
	r.update(x, relativeError, weight)
	r.clampCoefficients()
}

// clipError limits the relative error of a sample, so that single outliers have little effect.
func (r *PrefillEstimator) clipError(relativeError float64) float64 {
	bound := errorBound
	if r.samplesSinceChange <= initialSamples {
		bound = initialErrorBound
	}
	side := 0
	if math.Abs(relativeError) > bound {
		side = cmp.Compare(relativeError, 0)
	}
	if side == 0 || side != r.outlierSide {
		r.outlierRun = 0
	}
	r.outlierSide = side
	if side != 0 {
		r.outlierRun++
	}
	if r.outlierRun >= changeRunLength && r.samplesSinceChange > initialSamples {
		r.resetCovariance()
		bound = initialErrorBound
	}
	return min(max(relativeError, -bound), bound)
}

// update does one step of recursive least squares.
func (r *PrefillEstimator) update(x [termCount]float64, relativeError, weight float64) {
	var gain [termCount]float64
	for i := range x {
		for j := range x {
			gain[i] += r.covariance[i][j] * x[j]
		}
	}
	denominator := forgettingFactor / weight
	for i := range x {
		denominator += x[i] * gain[i]
	}
	for i := range x {
		r.coefficients[i] += gain[i] / denominator * relativeError
	}
	for i := range x {
		for j := range x {
			r.covariance[i][j] = (r.covariance[i][j] - gain[i]*gain[j]/denominator) / forgettingFactor
		}
	}
}

// clampCoefficients keeps the coefficients in their range, and limits the variance of those
// that the samples don't determine, which would otherwise grow without bound.
func (r *PrefillEstimator) clampCoefficients() {
	r.coefficients[0] = min(max(r.coefficients[0], 1/maxTokensPerMs), 1/minTokensPerMs)
	r.coefficients[1] = max(r.coefficients[1], 0)
	r.coefficients[2] = max(r.coefficients[2], 0)
	for i, deviation := range r.initialDeviations() {
		maxVariance := deviation * deviation
		if r.covariance[i][i] <= maxVariance {
			continue
		}
		scale := math.Sqrt(maxVariance / r.covariance[i][i])
		for j := range r.covariance {
			r.covariance[i][j] *= scale
			r.covariance[j][i] *= scale
		}
	}
}
