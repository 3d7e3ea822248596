// Package learn estimates what the engines of a service can do from what they
// show: how long they take to read a prompt, how long they pause between the
// events of a stream, and how far their answers stray from what was expected.
//
// It answers engines that nobody described, or that changed: another model,
// other accelerators, a release of weights. A front that carries one sheet's
// figures takes a prompt that is being read for lost, sends it again elsewhere
// and has it read twice; users see refusals beside engines with time to spare.
//
// The estimators belong to one owner and are not safe for concurrent use.
package learn

import (
	"cmp"
	"math"
)

// ReadingConfig is what a [Reading] is made of. The zero value of each field
// stands for its default.
type ReadingConfig struct {
	// Rate is how many tokens a ms an engine is taken to read until it has shown
	// it. Default 100, in the middle of what engines do; one that is eight times
	// as fast or as slow is known after a handful of prompts.
	Rate float64
}

// Figures of [Reading].
const (
	// initialFixedMs is what a prompt costs beside its tokens at first, in ms.
	initialFixedMs = 8.0
	// initialSpread is how far the first figures may be off, as a multiple.
	initialSpread = 3.0
	// contextSpread is how dear the context of a token may be at first, as a part
	// of the token's own time for each 1,000 tokens that stand before it.
	contextSpread = 0.02
	// forgettingFactor is the weight that older samples keep with each new one.
	forgettingFactor = 0.985
	// slowSampleWeight is the weight of a sample that took longer than expected beside
	// that of a shorter one. Work of other fronts and cached parts that were
	// dropped unseen make samples longer, nothing makes them shorter.
	slowSampleWeight = 0.25
	// initialErrorBound and errorBound are how far one sample may move the estimate, as
	// a part of what was expected, at first and later.
	initialErrorBound, errorBound = 1.0, 0.25
	// initialSamples is how many samples count as the first ones.
	initialSamples = 8
	// changeRunLength is how many samples in a row must lie beyond the bound on one side
	// until the engines are taken to have changed, and are learnt anew.
	changeRunLength = 5
	// minTokensPerMs and maxTokensPerMs bound the rate, in tokens a ms.
	minTokensPerMs, maxTokensPerMs = 1.0, 20_000.0
	// pairScale scales pairs of tokens.
	pairScale = 1e6
)

// termCount is how many parts the time of a prompt has: its tokens, the pairs that
// they form with what stands before them, and a fixed part.
const termCount = 3

// Reading learns how long an engine reads a prompt, by a weighted recursive
// least squares fit of three terms to the relative error. The tokens of a long
// prompt are dearer than those of a short one, as each is compared with all
// before it; by tokens alone the largest prompts would be given up as overdue.
type Reading struct {
	coefficients [termCount]float64
	covariance   [termCount][termCount]float64
	// samples counts those taken, recent those since the engines last changed.
	samples, samplesSinceChange int
	// outlierSide is on which side the last samples were beyond the bound, run how many
	// in a row.
	outlierSide, outlierRun int
}

// NewReading returns an estimate that begins with c's rate.
func NewReading(c ReadingConfig) *Reading {
	rate := cmp.Or(c.Rate, 100)
	r := &Reading{coefficients: [termCount]float64{1 / rate, 0, initialFixedMs}}
	r.resetCovariance()
	return r
}

// resetCovariance gives new samples the weight of the first ones.
func (r *Reading) resetCovariance() {
	r.covariance = [termCount][termCount]float64{}
	for i, deviation := range r.initialDeviations() {
		r.covariance[i][i] = deviation * deviation
	}
	r.samplesSinceChange, r.outlierRun = 0, 0
}

// initialDeviations are how far each factor may be off at first.
func (r *Reading) initialDeviations() [termCount]float64 {
	return [termCount]float64{initialSpread * r.coefficients[0], contextSpread * r.coefficients[0] * pairScale / 1000, initialSpread * initialFixedMs}
}

// features are the terms of a prompt of which so many tokens are read anew
// behind held ones.
func features(uncached, cached float64) [termCount]float64 {
	return [termCount]float64{uncached, uncached * (cached + uncached/2) / pairScale, 1}
}

// Time returns how long an engine reads so many tokens behind held ones that it
// has in memory, in ms.
func (r *Reading) Time(uncached, cached float64) float64 {
	sum := 0.0
	for i, x := range features(uncached, cached) {
		sum += r.coefficients[i] * x
	}
	return sum
}

// Fixed returns what a prompt costs beside its tokens, in ms.
func (r *Reading) Fixed() float64 { return r.coefficients[2] }

// Rate returns how many tokens an engine reads in a ms, without the price of
// context.
func (r *Reading) Rate() float64 { return 1 / r.coefficients[0] }

// Samples returns how many samples were taken.
func (r *Reading) Samples() int { return r.samples }

// Saw takes how long a prompt took to be read, in ms. Prompts that this front
// knows to have waited behind others tell nothing and are left out by the caller.
func (r *Reading) Saw(uncached, cached, took float64) {
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

// clipError cuts a sample's relative error, so that one odd sample moves little.
func (r *Reading) clipError(relativeError float64) float64 {
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

// update is one step of the recursive fit.
func (r *Reading) update(x [termCount]float64, relativeError, weight float64) {
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

// clampCoefficients keeps factors that mean something, and the spread of those that
// no sample speaks of from growing without end.
func (r *Reading) clampCoefficients() {
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
