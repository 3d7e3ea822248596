package admission

import (
	"math"
	"math/bits"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/standard"
)

// decodeWeight is the cost of one output token in prompt tokens. An engine that
// prefills 8,000 prompt tokens per second decodes about 1,300 output tokens per
// second with a full batch, six times fewer. With equal weights the drain rate
// and the predicted waits would jump by that factor when the mix shifts.
const decodeWeight = 6

// Cost returns the cost of prompt and output tokens, in prompt tokens, for
// [RequestConfig] and [Queue.RecordServed].
func Cost(prompt, output int64) int64 {
	return prompt + decodeWeight*output
}

const (
	// meanWeight makes a mean cover about the last 20 responses.
	meanWeight = 0.05
	// highQuantile is the quantile that high estimates track. An overloaded
	// gateway serves each request as late as its deadline allows, so with means
	// every second response would be late.
	highQuantile = 0.9
	// quantileStep is the relative change of a high estimate per response. It
	// doesn't depend on the size of the error, so that a few responses delayed by
	// a lost target don't cause refusals of all other requests.
	quantileStep = 0.05
	// decayDelay is the time without responses after which an estimate starts to
	// decay to its initial value, decayTime the time constant of the decay.
	// Refused requests yield no samples, so without the decay one bad minute
	// could refuse a caller's long requests for ever. Decay while responses
	// arrive would bias estimates towards the initial value, most of all for
	// callers with few requests.
	decayDelay = 30 * kumquatlug.Second
	decayTime  = 20 * kumquatlug.Second
)

// EstimatorConfig holds the initial values of an [Estimator], used for a kind of
// work until responses have been observed.
type EstimatorConfig struct {
	// OutputTokens is the expected output in tokens. Default 200, a few paragraphs.
	OutputTokens float64
	// PromptRate is the prefill rate of a request that runs alone, in prompt
	// tokens per second. Default 8,000, a mid-sized model on one accelerator.
	PromptRate float64
	// TokenGap is the time between two output tokens in milliseconds. Default
	// 29, the target for the 95th percentile at full load.
	TokenGap float64
}

// Estimator learns from responses how many output tokens a caller's requests
// produce and how long they take once sent. Estimates are kept per prompt length
// bucket, since one account sends both short questions and long documents.
type Estimator struct {
	config      EstimatorConfig
	tokenGaps   map[kumquatlug.Kind]*estimate
	firstTokens map[sizeKey]*estimate
	outputs     map[sizeKey]*outputEstimate
}

// outputEstimate holds the output tokens of one caller's requests: the mean and
// the highQuantile.
type outputEstimate struct {
	mean *estimate
	high *estimate
}

// sizeKey groups requests by prompt length in buckets of a factor of four. The
// caller is empty for estimates that cover all callers.
type sizeKey struct {
	caller string
	kind   kumquatlug.Kind
	bucket int
}

func newSizeKey(caller string, kind kumquatlug.Kind, prompt int64) sizeKey {
	return sizeKey{caller: caller, kind: kind, bucket: bits.Len64(uint64(max(prompt, 0))) / 2}
}

// estimate is a value learned from responses. It decays to its initial value
// while no responses arrive.
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

// learnMean updates e as an exponentially weighted mean of the samples.
func (e *estimate) learnMean(now kumquatlug.Millis, sample float64) {
	value := e.at(now)
	e.value = value + meanWeight*(sample-value)
	e.learnedAt = now
}

// learnQuantile moves e towards the highQuantile of the samples.
func (e *estimate) learnQuantile(now kumquatlug.Millis, sample float64) {
	e.value = e.at(now)
	if sample > e.value {
		e.value *= 1 + quantileStep*highQuantile
	} else {
		e.value *= 1 - quantileStep*(1-highQuantile)
	}
	e.learnedAt = now
}

// NewEstimator returns an estimator without samples. Zero fields of c take their
// defaults.
func NewEstimator(c EstimatorConfig) *Estimator {
	c.OutputTokens = standard.Float(c.OutputTokens, 200)
	c.PromptRate = standard.Float(c.PromptRate, 8000)
	c.TokenGap = standard.Float(c.TokenGap, 29)
	return &Estimator{
		config: c, tokenGaps: make(map[kumquatlug.Kind]*estimate),
		firstTokens: make(map[sizeKey]*estimate), outputs: make(map[sizeKey]*outputEstimate),
	}
}

// Output returns the expected output, in tokens, of a request whose prompt has
// the given number of tokens.
func (e *Estimator) Output(now kumquatlug.Millis, caller string, kind kumquatlug.Kind, prompt int64) int64 {
	return int64(e.output(caller, kind, prompt).mean.at(now))
}

// OutputP90 returns the 90th percentile of the output, in tokens, of a request
// whose prompt has the given number of tokens.
func (e *Estimator) OutputP90(now kumquatlug.Millis, caller string, kind kumquatlug.Kind, prompt int64) int64 {
	return int64(e.output(caller, kind, prompt).high.at(now))
}

// ServiceTime returns a service time, from sending to the last token, that about
// nine of ten responses stay below.
func (e *Estimator) ServiceTime(now kumquatlug.Millis, caller string, kind kumquatlug.Kind, prompt int64) kumquatlug.Millis {
	output := e.output(caller, kind, prompt).high.at(now)
	return kumquatlug.Millis(e.firstToken(kind, prompt).at(now) + e.tokenGap(kind).at(now)*output)
}

// Observe updates the estimates with a response. Responses that the caller
// cancelled count with the part that was produced. Without them only responses
// that were fast enough would be sampled, which biases the estimates.
func (e *Estimator) Observe(now kumquatlug.Millis, caller string, kind kumquatlug.Kind, a Observation) {
	e.firstToken(kind, a.PromptTokens).learnQuantile(now, float64(a.TimeToFirstToken))
	if a.OutputTokens > 1 {
		e.tokenGap(kind).learnMean(now, float64(a.DecodeTime)/float64(a.OutputTokens))
	}
	o := e.output(caller, kind, a.PromptTokens)
	outputTokens := float64(a.OutputTokens)
	if a.Complete || outputTokens > o.mean.at(now) {
		o.mean.learnMean(now, outputTokens)
	}
	if a.Complete || outputTokens > o.high.at(now) {
		o.high.learnQuantile(now, outputTokens)
	}
}

// Observation describes one response, complete or cancelled.
type Observation struct {
	// PromptTokens and OutputTokens are the lengths of prompt and output in
	// tokens.
	PromptTokens, OutputTokens int64
	// TimeToFirstToken is the time from sending to the first token, DecodeTime
	// the time from the first to the last token.
	TimeToFirstToken, DecodeTime kumquatlug.Millis
	// Complete reports whether the response completed.
	Complete bool
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
		o = &outputEstimate{mean: newEstimate(e.config.OutputTokens), high: newEstimate(e.config.OutputTokens * 1.25)}
		e.outputs[key] = o
	}
	return o
}

// EvictIdle removes the output estimates of callers without recent responses, so
// that memory is bounded by the number of active callers. Call it periodically.
func (e *Estimator) EvictIdle(now kumquatlug.Millis) {
	for key, o := range e.outputs {
		if now-o.mean.learnedAt > 10*decayTime {
			delete(e.outputs, key)
		}
	}
}
