package learn

import (
	"math"
	"math/bits"
	"slices"
)

// Parameters of [DurationEstimator].
const (
	// maxDurationSamples is the number of newest samples of a class that are kept,
	// minDurationSamples the number from which they are used alone: with fewer, the slowest
	// of a hundred requests has most likely not been seen yet.
	maxDurationSamples, minDurationSamples = 256, 32
)

// RunningRequest is a request that has not ended yet.
type RunningRequest struct {
	// Ms is how long it has run, in milliseconds, Output its maximum output in tokens.
	Ms     float64
	Output int
}

// DurationEstimator estimates the distribution of the durations of requests by their maximum
// output. It keeps samples by class of size, each class with twice the output of the one
// below. One mean for all sizes depends on which requests ended last: where seven of eight
// requests may generate 400 tokens and mostly end after the first few, and the others 11,000,
// the mean time per token varies sevenfold, and a long stream looks like one of a second.
type DurationEstimator struct {
	// initialMs is the assumed duration for each token of the maximum output.
	initialMs float64
	classes   map[int]*durationClass
}

// durationClass holds the newest samples of one class: durations in ms for each token of the
// maximum output, or durations in ms if no maximum was given.
type durationClass struct {
	samples []float64
	next    int
}

// NewDurationEstimator returns an estimator that assumes initial milliseconds for each token
// of the maximum output until there are samples.
func NewDurationEstimator(initial float64) *DurationEstimator {
	return &DurationEstimator{initialMs: initial, classes: map[int]*durationClass{}}
}

// classOf returns the class of a maximum output, and how many units of a sample it has. Class
// zero contains the requests without a maximum.
func classOf(output int) (class int, units float64) {
	if output <= 0 {
		return 0, 1
	}
	return bits.Len(uint(output)), float64(output)
}

// Observe records the duration of a request with this maximum output, in milliseconds.
func (d *DurationEstimator) Observe(ms float64, output int) {
	class, units := classOf(output)
	c, known := d.classes[class]
	if !known {
		c = &durationClass{}
		d.classes[class] = c
	}
	if len(c.samples) < maxDurationSamples {
		c.samples = append(c.samples, ms/units)
		return
	}
	c.samples[c.next] = ms / units
	c.next = (c.next + 1) % maxDurationSamples
}

// Quantile returns the duration in milliseconds that a fraction of the requests with this
// maximum output don't exceed. A request in running that has lasted longer than that counts
// as a sample: those that end first are the short ones.
func (d *DurationEstimator) Quantile(fraction float64, output int, running []RunningRequest) float64 {
	class, units := classOf(output)
	var own []float64
	if c := d.classes[class]; c != nil {
		own = slices.Sorted(slices.Values(c.samples))
	}
	perUnit := quantileOf(own, fraction)
	completed := len(own)
	for _, r := range running {
		if c, u := classOf(r.Output); c == class && r.Ms/u > perUnit {
			own = append(own, r.Ms/u)
		}
	}
	if len(own) > completed {
		slices.Sort(own)
		perUnit = quantileOf(own, fraction)
	}
	if completed < minDurationSamples {
		perUnit = max(perUnit, d.otherQuantile(class, fraction))
	}
	return perUnit * units
}

// Samples returns the number of samples of requests with about this maximum output.
func (d *DurationEstimator) Samples(output int) int {
	class, _ := classOf(output)
	if c := d.classes[class]; c != nil {
		return len(c.samples)
	}
	return 0
}

// otherQuantile returns the duration for each token in the nearest class that has enough
// samples, of two equally near ones the longer duration; the initial value if there is none.
// Class zero has no tokens and is not compared with the others.
func (d *DurationEstimator) otherQuantile(class int, fraction float64) float64 {
	if class == 0 {
		return 0
	}
	perUnit, nearest := d.initialMs, math.MaxInt
	for other, c := range d.classes {
		distance := max(other-class, class-other)
		if other == 0 || other == class || len(c.samples) < minDurationSamples || distance > nearest {
			continue
		}
		q := quantileOf(slices.Sorted(slices.Values(c.samples)), fraction)
		if distance < nearest || q > perUnit {
			perUnit, nearest = q, distance
		}
	}
	return perUnit
}

// quantileOf returns the least value that a fraction of sorted values don't exceed, zero if
// there are none.
func quantileOf(sorted []float64, fraction float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[max(int(math.Ceil(fraction*float64(len(sorted))))-1, 0)]
}
