package dispatch

import (
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/admission"
)

// cost returns the cost of r in the admission queue, in prompt tokens.
func (r *request) cost() int64 {
	return max(1, admission.Cost(r.c.PrefillTokens, r.c.DecodeTokens))
}

// rateTokens returns the tokens that r counts against its caller's rate limit.
func (r *request) rateTokens() int64 {
	return max(1, r.c.PrefillTokens+r.c.DecodeTokens)
}

// kvTokens returns a high estimate of the KV cache tokens that r uses.
func (r *request) kvTokens() int64 {
	return max(1, r.c.PrefillTokens+max(r.c.DecodeTokens, r.outputP90))
}

// estimate sets the expected output and service time of r from earlier responses.
// Callers set output limits far above what they need. A queue based on these
// limits would refuse work while engines have capacity.
func (d *Dispatcher) estimate(now kumquatlug.Millis, r *request) {
	if r.c.Kind.Protocol() != kumquatlug.ProtocolEngine {
		return
	}
	name, bound := r.c.Caller.Name(), r.c.DecodeTokens
	r.c.DecodeTokens = bounded(d.estimator.Output(now, name, r.c.Kind, r.c.PrefillTokens), bound)
	r.outputP90 = bounded(d.estimator.OutputP90(now, name, r.c.Kind, r.c.PrefillTokens), bound)
	r.serviceTime = d.estimator.ServiceTime(now, name, r.c.Kind, r.c.PrefillTokens)
}

func bounded(tokens, bound int64) int64 {
	if bound == 0 {
		return tokens
	}
	return min(tokens, bound)
}

// learnEstimate updates the estimates with a response, or with the part of it that
// was produced before the caller cancelled the request.
func (d *Dispatcher) learnEstimate(now kumquatlug.Millis, r *request, output int64, whole bool) {
	if r.c.Kind.Protocol() != kumquatlug.ProtocolEngine || r.firstTokenAt == 0 {
		return
	}
	d.estimator.Observe(now, r.c.Caller.Name(), r.c.Kind, admission.Observation{
		PromptTokens: r.c.PrefillTokens, OutputTokens: output, TimeToFirstToken: r.firstTokenAt - r.sentAt, DecodeTime: now - r.firstTokenAt, Complete: whole,
	})
}

// nominalMs returns the time of r at the nominal rates, in milliseconds.
func (r *request) nominalMs() float64 {
	return nominalMs(r.c.PrefillTokens, r.c.DecodeTokens)
}

// nominalMs returns the time of prefill and decode tokens at the nominal rates,
// in milliseconds.
func nominalMs(prefill, decode int64) float64 {
	const msPerSecond = float64(kumquatlug.Second)
	return float64(prefill)*msPerSecond/nominalPrefillRate + float64(decode)*msPerSecond/nominalDecodeRate
}

const (
	// minGapTokens is the minimum number of tokens for a sample of the token gap.
	// Fewer tokens may arrive together by chance.
	minGapTokens = 8
	// gapDoublingMs is the time in which the minimum token gap doubles without
	// lower samples, so that it adapts to a model that has become slower.
	gapDoublingMs = float64(kumquatlug.Hour)
)

// idleMs returns the time of prefill and decode tokens on an idle engine of
// the kind, in milliseconds, scaled by the measured minimum token gap. The limits
// reduce the concurrency of an engine that takes several times as long. With
// fixed rates a slower, larger model would be limited to one or two streams for
// ever.
func (k *kindState) idleMs(prefill, decode int64) float64 {
	work := nominalMs(prefill, decode)
	if k.minTokenGap == 0 {
		return work
	}
	return work * k.minTokenGap * nominalDecodeRate / float64(kumquatlug.Second)
}

// learnTokenGap updates the minimum token gap with tokens that arrived within
// elapsed.
func (k *kindState) learnTokenGap(now, elapsed kumquatlug.Millis, tokens int64) {
	if tokens < minGapTokens || elapsed <= 0 {
		return
	}
	gap := float64(elapsed) / float64(tokens)
	k.minTokenGap *= 1 + float64(now-k.minTokenGapAt)/gapDoublingMs
	k.minTokenGapAt = now
	if k.minTokenGap == 0 || gap < k.minTokenGap {
		k.minTokenGap = gap
	}
}
