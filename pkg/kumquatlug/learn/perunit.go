package learn

// perUnitDecay is the weight that older samples keep with each new one.
const perUnitDecay = 31.0 / 32

// PerUnit learns how much of something there is for each unit of something else,
// as the ratio of sums: samples of many units say more than those of few.
type PerUnit struct{ amount, units float64 }

// NewPerUnit returns an estimate that begins with so much for each unit, as if one
// sample of so many units had shown it.
func NewPerUnit(initial, units float64) *PerUnit {
	return &PerUnit{amount: initial * units, units: units}
}

// Saw takes a sample of an amount for so many units.
func (p *PerUnit) Saw(amount, units float64) {
	p.amount = p.amount*perUnitDecay + amount
	p.units = p.units*perUnitDecay + units
}

// Value returns the amount for each unit.
func (p *PerUnit) Value() float64 { return p.amount / p.units }
