package learn

// ratioDecay is the factor applied to the weight of older samples at each new one.
const ratioDecay = 31.0 / 32

// RatioEstimator estimates an amount per unit as the ratio of two decaying sums, so that
// samples with many units weigh more than those with few.
type RatioEstimator struct{ amount, units float64 }

// NewRatioEstimator returns an estimator with an initial amount per unit, weighted like one
// sample with the given number of units.
func NewRatioEstimator(initial, units float64) *RatioEstimator {
	return &RatioEstimator{amount: initial * units, units: units}
}

// Observe records a sample: an amount and its number of units.
func (p *RatioEstimator) Observe(amount, units float64) {
	p.amount = p.amount*ratioDecay + amount
	p.units = p.units*ratioDecay + units
}

// Value returns the amount per unit.
func (p *RatioEstimator) Value() float64 { return p.amount / p.units }
