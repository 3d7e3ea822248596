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
	// firstFixed is what a prompt costs beside its tokens at first, in ms.
	firstFixed = 8.0
	// firstSpread is how far the first figures may be off, as a multiple.
	firstSpread = 3.0
	// contextSpread is how dear the context of a token may be at first, as a part
	// of the token's own time for each 1,000 tokens that stand before it.
	contextSpread = 0.02
	// forgetting is the weight that older samples keep with each new one.
	forgetting = 0.985
	// slowWeight is the weight of a sample that took longer than expected beside
	// that of a shorter one. Work of other fronts and cached parts that were
	// dropped unseen make samples longer, nothing makes them shorter.
	slowWeight = 0.25
	// firstBound and usualBound are how far one sample may move the estimate, as
	// a part of what was expected, at first and later.
	firstBound, usualBound = 1.0, 0.25
	// firstSamples is how many samples count as the first ones.
	firstSamples = 8
	// changedRun is how many samples in a row must lie beyond the bound on one side
	// until the engines are taken to have changed, and are learnt anew.
	changedRun = 5
	// leastRate and mostRate bound the rate, in tokens a ms.
	leastRate, mostRate = 1.0, 20_000.0
	// millionPairs scales pairs of tokens.
	millionPairs = 1e6
)

// terms is how many parts the time of a prompt has: its tokens, the pairs that
// they form with what stands before them, and a fixed part.
const terms = 3

// Reading learns how long an engine reads a prompt, by a weighted recursive
// least squares fit of three terms to the relative error. The tokens of a long
// prompt are dearer than those of a short one, as each is compared with all
// before it; by tokens alone the largest prompts would be given up as overdue.
type Reading struct {
	factors    [terms]float64
	covariance [terms][terms]float64
	// samples counts those taken, recent those since the engines last changed.
	samples, recent int
	// side is on which side the last samples were beyond the bound, run how many
	// in a row.
	side, run int
}

// NewReading returns an estimate that begins with c's rate.
func NewReading(c ReadingConfig) *Reading {
	rate := cmp.Or(c.Rate, 100)
	r := &Reading{factors: [terms]float64{1 / rate, 0, firstFixed}}
	r.restart()
	return r
}

// restart gives new samples the weight of the first ones.
func (r *Reading) restart() {
	r.covariance = [terms][terms]float64{}
	for i, spread := range r.spreads() {
		r.covariance[i][i] = spread * spread
	}
	r.recent, r.run = 0, 0
}

// spreads are how far each factor may be off at first.
func (r *Reading) spreads() [terms]float64 {
	return [terms]float64{firstSpread * r.factors[0], contextSpread * r.factors[0] * millionPairs / 1000, firstSpread * firstFixed}
}

// features are the terms of a prompt of which so many tokens are read anew
// behind held ones.
func features(fresh, held float64) [terms]float64 {
	return [terms]float64{fresh, fresh * (held + fresh/2) / millionPairs, 1}
}

// Time returns how long an engine reads so many tokens behind held ones that it
// has in memory, in ms.
func (r *Reading) Time(fresh, held float64) float64 {
	sum := 0.0
	for i, x := range features(fresh, held) {
		sum += r.factors[i] * x
	}
	return sum
}

// Fixed returns what a prompt costs beside its tokens, in ms.
func (r *Reading) Fixed() float64 { return r.factors[2] }

// Rate returns how many tokens an engine reads in a ms, without the price of
// context.
func (r *Reading) Rate() float64 { return 1 / r.factors[0] }

// Samples returns how many samples were taken.
func (r *Reading) Samples() int { return r.samples }

// Saw takes how long a prompt took to be read, in ms. Prompts that this front
// knows to have waited behind others tell nothing and are left out by the caller.
func (r *Reading) Saw(fresh, held, took float64) {
	expected := r.Time(fresh, held)
	if fresh < 1 || took <= 0 || expected <= 0 {
		return
	}
	r.samples++
	r.recent++
	off := r.bounded(took/expected - 1)
	weight := 1.0
	if off > 0 {
		weight = slowWeight
	}
	x := features(fresh, held)
	for i := range x {
		x[i] /= expected
	}
	r.step(x, off, weight)
	r.keepInBounds()
}

// bounded cuts a sample's relative error, so that one odd sample moves little.
func (r *Reading) bounded(off float64) float64 {
	bound := usualBound
	if r.recent <= firstSamples {
		bound = firstBound
	}
	side := 0
	if math.Abs(off) > bound {
		side = cmp.Compare(off, 0)
	}
	if side == 0 || side != r.side {
		r.run = 0
	}
	r.side = side
	if side != 0 {
		r.run++
	}
	if r.run >= changedRun && r.recent > firstSamples {
		r.restart()
		bound = firstBound
	}
	return min(max(off, -bound), bound)
}

// step is one step of the recursive fit.
func (r *Reading) step(x [terms]float64, off, weight float64) {
	var spread [terms]float64
	for i := range x {
		for j := range x {
			spread[i] += r.covariance[i][j] * x[j]
		}
	}
	total := forgetting / weight
	for i := range x {
		total += x[i] * spread[i]
	}
	for i := range x {
		r.factors[i] += spread[i] / total * off
	}
	for i := range x {
		for j := range x {
			r.covariance[i][j] = (r.covariance[i][j] - spread[i]*spread[j]/total) / forgetting
		}
	}
}

// keepInBounds keeps factors that mean something, and the spread of those that
// no sample speaks of from growing without end.
func (r *Reading) keepInBounds() {
	r.factors[0] = min(max(r.factors[0], 1/mostRate), 1/leastRate)
	r.factors[1] = max(r.factors[1], 0)
	r.factors[2] = max(r.factors[2], 0)
	for i, spread := range r.spreads() {
		most := spread * spread
		if r.covariance[i][i] <= most {
			continue
		}
		shrink := math.Sqrt(most / r.covariance[i][i])
		for j := range r.covariance {
			r.covariance[i][j] *= shrink
			r.covariance[j][i] *= shrink
		}
	}
}
