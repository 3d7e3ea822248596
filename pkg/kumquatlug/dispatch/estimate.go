package dispatch

import (
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/admission"
)

// cost is what the request counts in the queue, in tokens of prompt.
func (r *request) cost() int64 {
	return max(1, admission.Cost(r.c.PrefillTokens, r.c.DecodeTokens))
}

// size is what the request counts against its caller's rate, in tokens.
func (r *request) size() int64 {
	return max(1, r.c.PrefillTokens+r.c.DecodeTokens)
}

// room is what the request may take of an engine's KV memory, in tokens.
func (r *request) room() int64 {
	return max(1, r.c.PrefillTokens+max(r.c.DecodeTokens, r.highOutput))
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
	r.highOutput = bounded(d.estimator.HighOutput(now, name, r.c.Kind, r.c.PrefillTokens), bound)
	r.service = d.estimator.Service(now, name, r.c.Kind, r.c.PrefillTokens)
}

func bounded(estimate, bound int64) int64 {
	if bound == 0 {
		return estimate
	}
	return min(estimate, bound)
}

// learn feeds the estimates with an answer, or with what there was of one that
// its caller gave up.
func (d *Dispatcher) learn(now kumquatlug.Millis, r *request, output int64, whole bool) {
	if r.c.Kind.Protocol() != kumquatlug.ProtocolEngine || r.firstAt == 0 {
		return
	}
	d.estimator.Learn(now, r.c.Caller.Name(), r.c.Kind, admission.Observed{
		Prompt: r.c.PrefillTokens, Output: output, First: r.firstAt - r.sentAt, Rest: now - r.firstAt, Whole: whole,
	})
}

// expected is how long the work takes at the usual rates, in milliseconds.
func (r *request) expected() float64 {
	return workOf(r.c.PrefillTokens, r.c.DecodeTokens)
}

// workOf is how long so many tokens take at the usual rates, in milliseconds.
func workOf(prefill, decode int64) float64 {
	const millis = float64(kumquatlug.Second)
	return float64(prefill)*millis/prefillRate + float64(decode)*millis/decodeRate
}

// Figures of what an idle engine does.
const (
	// leastPortion is the least number of tokens whose gap is believed: fewer
	// arrive together by chance.
	leastPortion = 8
	// gapDoubles lets the gap rise slowly, so that a model that got slower for
	// good is not held to its old pace for ever.
	gapDoubles = float64(kumquatlug.Hour)
)

// idleWork is how long so many tokens take on an idle engine of a kind, as its
// answers have shown. Limits cut an engine that takes several times as long: with
// one pace taken for granted, a larger model that is merely slower would be held
// to a stream or two for ever.
func (k *kindState) idleWork(prefill, decode int64) float64 {
	work := workOf(prefill, decode)
	if k.gap == 0 {
		return work
	}
	return work * k.gap * decodeRate / float64(kumquatlug.Second)
}

// learnGap takes the span in which a portion of a stream came.
func (k *kindState) learnGap(now, span kumquatlug.Millis, tokens int64) {
	if tokens < leastPortion || span <= 0 {
		return
	}
	seen := float64(span) / float64(tokens)
	k.gap *= 1 + float64(now-k.gapAt)/gapDoubles
	k.gapAt = now
	if k.gap == 0 || seen < k.gap {
		k.gap = seen
	}
}
