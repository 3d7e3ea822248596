package learn

// Figures of [Overrun].
const (
	// overrunRise and overrunFall move the bound by each answer that came after
	// it and before it: at their ratio one answer in a hundred comes after it.
	overrunRise = 0.25
	overrunFall = overrunRise / 99
	// minOverrunMs and maxOverrunMs bound the bound, in ms: a lost packet is sent
	// again after 200, and no client waits for ten seconds longer than expected.
	minOverrunMs, maxOverrunMs = 200.0, 10_000.0
)

// Overrun learns how much later than expected answers come, one in a hundred left
// out. It tells an answer that is late from one that won't come: work of others,
// dropped cache and preemption make answers late by as much as an engine is slow.
type Overrun struct{ boundMs float64 }

// NewOverrun returns an overrun that begins with a bound in ms.
func NewOverrun(bound float64) *Overrun { return &Overrun{boundMs: bound} }

// Saw takes how much later than expected an answer came, or how long one was
// waited for in vain beyond that, in ms; less than zero when it came early.
func (o *Overrun) Saw(lateness float64) {
	if lateness > o.boundMs {
		o.boundMs *= 1 + overrunRise
	} else {
		o.boundMs *= 1 - overrunFall
	}
	o.boundMs = min(max(o.boundMs, minOverrunMs), maxOverrunMs)
}

// Bound returns how much later than expected an answer may come, in ms.
func (o *Overrun) Bound() float64 { return o.boundMs }
