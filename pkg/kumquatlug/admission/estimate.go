package admission

import (
	"math"
	"math/bits"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/standard"
)

// decodeWeight is what a token of output costs in tokens of prompt. An engine
// that runs 8,000 prompt tokens a second makes some 1,300 tokens of output in a
// full batch, six times fewer. Counted alike, the drain rate would jump
// by that factor when the mix shifts, and the predicted waits with it.
const decodeWeight = 6

// Cost returns the cost of prompt and output tokens, in tokens of prompt, for
// [RequestConfig] and for [Queue.Served].
func Cost(prompt, output int64) int64 {
	return prompt + decodeWeight*output
}

const (
	// meanWeight makes the means follow about the last twenty answers.
	meanWeight = 0.05
	// highQuantile is the part of answers that an estimate of the high side covers.
	// With the mean alone, an overloaded entry, which serves each request as
	// late as its deadline allows, would be late with every second.
	highQuantile = 0.9
	// quantileStep is by how much an answer moves an estimate of the high side. It
	// is bounded for one answer, however far off: a few that waited for a lost
	// target must not make all others look hopeless.
	quantileStep = 0.05
	// decayDelay is how long no answer may come before what was learned begins to
	// be forgotten, and oblivion the time in which most of it then is. Requests
	// that seem hopeless are refused, and what is refused teaches nothing:
	// without it one bad minute could refuse a caller's documents for ever. To
	// forget while answers come would draw each estimate towards what was
	// assumed, the more the rarer a caller asks.
	decayDelay = 30 * kumquatlug.Second
	decayTime  = 20 * kumquatlug.Second
)

// EstimatorConfig is what an [Estimator] is made of: what is taken for true of
// a kind of work before its first answers.
type EstimatorConfig struct {
	// Output is the expected output in tokens. Default 200, a few paragraphs.
	Output float64
	// PromptRate is prompt tokens a second of a request that is alone.
	// Default 8,000, a mid-sized model on one accelerator.
	PromptRate float64
	// TokenGap is milliseconds from one token of output to the next. Default
	// 29, the time that 95 in 100 gaps are to keep at full load.
	TokenGap float64
}

// Estimator learns from answers how much output a caller's requests bring and
// how long they take once sent. Short and long prompts are told apart, since
// one account sends both questions and documents.
type Estimator struct {
	config      EstimatorConfig
	tokenGaps   map[kumquatlug.Kind]*estimate
	firstTokens map[sizeKey]*estimate
	outputs     map[sizeKey]*outputEstimate
}

// outputEstimate is how much one caller's requests bring.
type outputEstimate struct {
	mean *estimate
	high *estimate
}

// sizeKey tells requests apart by their prompts' length, within a factor of four;
// the caller is empty where all callers count together.
type sizeKey struct {
	caller string
	kind   kumquatlug.Kind
	bucket int
}

func newSizeKey(caller string, kind kumquatlug.Kind, prompt int64) sizeKey {
	return sizeKey{caller: caller, kind: kind, bucket: bits.Len64(uint64(max(prompt, 0))) / 2}
}

// estimate is a value learned from answers, which falls back to what was
// assumed at first.
type estimate struct {
	initial   float64
	value     float64
	learnedAt kumquatlug.Millis
}

func newEstimate(initial float64) *estimate {
	return &estimate{initial: initial, value: initial}
}

func (e *estimate) at(now kumquatlug.Millis) float64 {
	idle := max(now-e.learnedAt-decayDelay, 0)
	decay := math.Exp(-float64(idle) / float64(decayTime))
	return e.initial + decay*(e.value-e.initial)
}

// learnMean moves e to the mean of the samples.
func (e *estimate) learnMean(now kumquatlug.Millis, sample float64) {
	value := e.at(now)
	e.value = value + meanWeight*(sample-value)
	e.learnedAt = now
}

// learnQuantile moves e to where the sure part of the samples lies below it.
func (e *estimate) learnQuantile(now kumquatlug.Millis, sample float64) {
	e.value = e.at(now)
	if sample > e.value {
		e.value *= 1 + quantileStep*highQuantile
	} else {
		e.value *= 1 - quantileStep*(1-highQuantile)
	}
	e.learnedAt = now
}

// NewEstimator returns an estimator that has seen no answers.
func NewEstimator(c EstimatorConfig) *Estimator {
	c.Output = standard.Float(c.Output, 200)
	c.PromptRate = standard.Float(c.PromptRate, 8000)
	c.TokenGap = standard.Float(c.TokenGap, 29)
	return &Estimator{
		config: c, tokenGaps: make(map[kumquatlug.Kind]*estimate),
		firstTokens: make(map[sizeKey]*estimate), outputs: make(map[sizeKey]*outputEstimate),
	}
}

// Output returns the expected output of a request with so long a prompt, in
// tokens.
func (e *Estimator) Output(now kumquatlug.Millis, caller string, kind kumquatlug.Kind, prompt int64) int64 {
	return int64(e.output(caller, kind, prompt).mean.at(now))
}

// HighOutput returns the output that about nine of ten answers stay below.
func (e *Estimator) HighOutput(now kumquatlug.Millis, caller string, kind kumquatlug.Kind, prompt int64) int64 {
	return int64(e.output(caller, kind, prompt).high.at(now))
}

// Service returns how long an answer takes from sending to its last token, such
// that about nine of ten take less.
func (e *Estimator) Service(now kumquatlug.Millis, caller string, kind kumquatlug.Kind, prompt int64) kumquatlug.Millis {
	output := e.output(caller, kind, prompt).high.at(now)
	return kumquatlug.Millis(e.firstToken(kind, prompt).at(now) + e.tokenGap(kind).at(now)*output)
}

// Learn takes in an answer. One that its caller gave up counts too, with what
// there was of it: left out, only those that were fast enough would be learned
// from, and the estimate would be right about them alone.
func (e *Estimator) Learn(now kumquatlug.Millis, caller string, kind kumquatlug.Kind, a Observed) {
	e.firstToken(kind, a.Prompt).learnQuantile(now, float64(a.First))
	if a.Output > 1 {
		e.tokenGap(kind).learnMean(now, float64(a.Rest)/float64(a.Output))
	}
	o := e.output(caller, kind, a.Prompt)
	outputTokens := float64(a.Output)
	if a.Whole || outputTokens > o.mean.at(now) {
		o.mean.learnMean(now, outputTokens)
	}
	if a.Whole || outputTokens > o.high.at(now) {
		o.high.learnQuantile(now, outputTokens)
	}
}

// Observed is what an answer showed.
type Observed struct {
	// Prompt and Output are in tokens.
	Prompt, Output int64
	// First is the time from sending to the first token, Rest from there to
	// the last, in milliseconds.
	First, Rest kumquatlug.Millis
	// Whole is whether the answer came to its end.
	Whole bool
}

func (e *Estimator) tokenGap(kind kumquatlug.Kind) *estimate {
	g, ok := e.tokenGaps[kind]
	if !ok {
		g = newEstimate(e.config.TokenGap)
		e.tokenGaps[kind] = g
	}
	return g
}

func (e *Estimator) firstToken(kind kumquatlug.Kind, prompt int64) *estimate {
	key := newSizeKey("", kind, prompt)
	f, ok := e.firstTokens[key]
	if !ok {
		f = newEstimate(1000 * float64(prompt) / e.config.PromptRate)
		e.firstTokens[key] = f
	}
	return f
}

func (e *Estimator) output(caller string, kind kumquatlug.Kind, prompt int64) *outputEstimate {
	key := newSizeKey(caller, kind, prompt)
	o, ok := e.outputs[key]
	if !ok {
		o = &outputEstimate{mean: newEstimate(e.config.Output), high: newEstimate(e.config.Output * 1.25)}
		e.outputs[key] = o
	}
	return o
}

// Forget drops callers that sent nothing for long, so that memory is bounded by
// who was active lately. Call it now and then.
func (e *Estimator) Forget(now kumquatlug.Millis) {
	for key, o := range e.outputs {
		if now-o.mean.learnedAt > 10*decayTime {
			delete(e.outputs, key)
		}
	}
}
