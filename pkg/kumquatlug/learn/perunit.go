package learn

// perUnitDecay is the factor applied to the weight of older samples at each new one.
const perUnitDecay = 31.0 / 32

// PerUnit estimates an amount per unit as the ratio of two decaying sums, so that samples
// with many units weigh more than those with few.
type PerUnit struct{ amount, units float64 }

// NewPerUnit returns an estimator with an initial amount per unit, weighted like one sample
// with the given number of units.
func NewPerUnit(initial, units float64) *PerUnit {
	return &PerUnit{amount: initial * units, units: units}
}

// Saw records a sample: an amount and its number of units.
func (p *PerUnit) Saw(amount, units float64) {
	p.amount = p.amount*perUnitDecay + amount
	p.units = p.units*perUnitDecay + units
}

// Value returns the amount per unit.
func (p *PerUnit) Value() float64 { return p.amount / p.units }
