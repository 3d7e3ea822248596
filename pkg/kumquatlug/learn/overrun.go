package learn

// Parameters of [OverrunEstimator].
const (
	// overrunRise and overrunFall are the relative steps of the bound for a response after
	// and before it. Their ratio of 99 to 1 makes the bound converge to the 99th percentile.
	overrunRise = 0.25
	overrunFall = overrunRise / 99
	// minOverrunMs and maxOverrunMs limit the bound: a lost packet is retransmitted after
	// 200 ms, and no client waits for 10 s longer than expected.
	minOverrunMs, maxOverrunMs = 200.0, 10_000.0
)

// OverrunEstimator estimates the 99th percentile of how much later than expected responses
// arrive. The bound separates late responses from those that will not arrive. Load from other
// gateways, evicted cache entries and preemption delay responses in proportion to how slow
// an engine is, so that no fixed bound fits all engines.
type OverrunEstimator struct{ boundMs float64 }

// NewOverrunEstimator returns an estimator with an initial bound in milliseconds.
func NewOverrunEstimator(bound float64) *OverrunEstimator { return &OverrunEstimator{boundMs: bound} }

// Observe records how much later than expected a response arrived, or how long after the
// expected time the wait for one was given up, in milliseconds. The value is negative for a
// response that arrived early.
func (o *OverrunEstimator) Observe(lateness float64) {
	if lateness > o.boundMs {
		o.boundMs *= 1 + overrunRise
	} else {
		o.boundMs *= 1 - overrunFall
	}
	o.boundMs = min(max(o.boundMs, minOverrunMs), maxOverrunMs)
}

// Bound returns how much later than expected a response may arrive, in milliseconds.
func (o *OverrunEstimator) Bound() float64 { return o.boundMs }
