package dispatch

import (
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/admission"
)

// cost is what the request counts in the queue, in tokens of prompt.
func (r *request) cost() int64 {
	return max(1, admission.Cost(r.c.PrefillTokens, r.c.DecodeTokens))
}

// rateTokens is what the request counts against its caller's rate, in tokens.
func (r *request) rateTokens() int64 {
	return max(1, r.c.PrefillTokens+r.c.DecodeTokens)
}

// kvTokens is what the request may take of an engine's KV memory, in tokens.
func (r *request) kvTokens() int64 {
	return max(1, r.c.PrefillTokens+max(r.c.DecodeTokens, r.outputP90))
}

// estimate learns from answers what a request will take: callers set bounds far
// above what they need, and a queue that believed them would refuse work in
// front of engines with room.
func (d *Dispatcher) estimate(now kumquatlug.Millis, r *request) {
	if r.c.Kind.Protocol() != kumquatlug.ProtocolEngine {
		return
	}
	name, bound := r.c.Caller.Name(), r.c.DecodeTokens
	r.c.DecodeTokens = bounded(d.estimator.Output(now, name, r.c.Kind, r.c.PrefillTokens), bound)
	r.outputP90 = bounded(d.estimator.HighOutput(now, name, r.c.Kind, r.c.PrefillTokens), bound)
	r.serviceTime = d.estimator.Service(now, name, r.c.Kind, r.c.PrefillTokens)
}

func bounded(tokens, bound int64) int64 {
	if bound == 0 {
		return tokens
	}
	return min(tokens, bound)
}

// learnEstimate feeds the estimates with an answer, or with what there was of one that
// its caller gave up.
func (d *Dispatcher) learnEstimate(now kumquatlug.Millis, r *request, output int64, whole bool) {
	if r.c.Kind.Protocol() != kumquatlug.ProtocolEngine || r.firstTokenAt == 0 {
		return
	}
	d.estimator.Learn(now, r.c.Caller.Name(), r.c.Kind, admission.Observed{
		Prompt: r.c.PrefillTokens, Output: output, First: r.firstTokenAt - r.sentAt, Rest: now - r.firstTokenAt, Whole: whole,
	})
}

// nominalMillis is how long the work takes at the usual rates, in milliseconds.
func (r *request) nominalMillis() float64 {
	return nominalMillis(r.c.PrefillTokens, r.c.DecodeTokens)
}

// nominalMillis is how long so many tokens take at the usual rates, in milliseconds.
func nominalMillis(prefill, decode int64) float64 {
	const millis = float64(kumquatlug.Second)
	return float64(prefill)*millis/nominalPrefillRate + float64(decode)*millis/nominalDecodeRate
}

// Figures of what an idle engine does.
const (
	// minGapTokens is the least number of tokens whose gap is believed: fewer
	// arrive together by chance.
	minGapTokens = 8
	// gapDoublingMillis lets the gap rise slowly, so that a model that got slower for
	// good is not held to its old pace for ever.
	gapDoublingMillis = float64(kumquatlug.Hour)
)

// idleMillis is how long so many tokens take on an idle engine of a kind, as its
// answers have shown. Limits cut an engine that takes several times as long: with
// one pace taken for granted, a larger model that is merely slower would be held
// to a stream or two for ever.
func (k *kindState) idleMillis(prefill, decode int64) float64 {
	work := nominalMillis(prefill, decode)
	if k.minTokenGap == 0 {
		return work
	}
	return work * k.minTokenGap * nominalDecodeRate / float64(kumquatlug.Second)
}

// learnTokenGap takes the span in which a portion of a stream came.
func (k *kindState) learnTokenGap(now, elapsed kumquatlug.Millis, tokens int64) {
	if tokens < minGapTokens || elapsed <= 0 {
		return
	}
	gap := float64(elapsed) / float64(tokens)
	k.minTokenGap *= 1 + float64(now-k.minTokenGapAt)/gapDoublingMillis
	k.minTokenGapAt = now
	if k.minTokenGap == 0 || gap < k.minTokenGap {
		k.minTokenGap = gap
	}
}
