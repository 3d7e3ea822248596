package kvtransfer

import "github.com/kumquatlug/kumquatlug/pkg/kumquatlug"

// wasteBuckets is the number of buckets of a [wasteWindow].
const wasteBuckets = 10

// wasteWindow counts prefilled and wasted tokens in a sliding window.
type wasteWindow struct {
	span    kumquatlug.Millis
	buckets [wasteBuckets + 1]tokenCounts
	last    int64
}

type tokenCounts struct{ prefilled, wasted float64 }

func newWasteWindow(span kumquatlug.Millis) *wasteWindow { return &wasteWindow{span: span} }

// bucket advances the window to now and returns the current bucket.
func (w *wasteWindow) bucket(now kumquatlug.Millis) *tokenCounts {
	current := int64(now) * wasteBuckets / int64(w.span)
	if current-w.last > wasteBuckets {
		w.buckets, w.last = [wasteBuckets + 1]tokenCounts{}, current
	}
	for w.last < current {
		w.last++
		w.buckets[w.last%(wasteBuckets+1)] = tokenCounts{}
	}
	return &w.buckets[w.last%(wasteBuckets+1)]
}

func (w *wasteWindow) sum(now kumquatlug.Millis) tokenCounts {
	w.bucket(now)
	var sum tokenCounts
	for _, b := range w.buckets {
		sum.prefilled += b.prefilled
		sum.wasted += b.wasted
	}
	return sum
}

// AddPrefilled records tokens that are prefilled.
func (e *Estimator) AddPrefilled(now kumquatlug.Millis, tokens float64) {
	e.waste.bucket(now).prefilled += tokens
	e.stats.PrefilledTokens += tokens
}

// AddWasted records tokens that were prefilled for a cache that could not be obtained.
func (e *Estimator) AddWasted(now kumquatlug.Millis, tokens float64) {
	e.waste.bucket(now).wasted += tokens
	e.stats.WastedTokens += tokens
}

// WasteExceeded reports whether the wasted tokens are above the bound.
func (e *Estimator) WasteExceeded(now kumquatlug.Millis) bool {
	if !e.Relevant(now) {
		return false
	}
	sum := e.waste.sum(now)
	return sum.wasted > e.config.WasteFraction*sum.prefilled
}
