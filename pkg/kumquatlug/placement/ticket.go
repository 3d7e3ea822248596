package placement

import (
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/learn"
)

// Ticket stands for one attempt in hand at a worker.
type Ticket struct {
	worker          *worker
	id              string
	born            int64
	prefillOnly     bool
	effectiveTokens float64
	// uncachedTokens and held are the tokens that the engine reads anew and those that it
	// is believed to have; alone says that nothing was known to be before them.
	uncachedTokens, cachedTokens float64
	engineIdle                   bool
	kvTokens                     float64
	// coordinator is the front that gave the attempt its turn under key, empty for none.
	coordinator string
	grantKey    uint64
	// maxOutputTokens is the greatest number of tokens to generate.
	maxOutputTokens int
	expectedWaitMs  float64
	sentAt          kumquatlug.Millis
	prefillDone     bool
	ended           bool
	// lastOutputAt is when output last came, zero for never.
	lastOutputAt kumquatlug.Millis
}

// Born returns the start of the worker's incarnation, as its row tells it.
func (t *Ticket) Born() int64 { return t.born }

// Worker returns the name of the worker.
func (t *Ticket) Worker() string { return t.id }

// Outcome is how an attempt ended, as far as it tells of the worker.
type Outcome string

// The outcomes.
const (
	// OutcomeGood: the worker did its work.
	OutcomeGood Outcome = "good"
	// OutcomeFailed: it broke off, was not reached or answered with a failure.
	OutcomeFailed Outcome = "failed"
	// OutcomeRefused: it took nothing on, for want of room or to change its role.
	OutcomeRefused Outcome = "refused"
	// OutcomeSilent: it says nothing of the worker, as when the client left.
	OutcomeSilent Outcome = "silent"
)

// Begin records that an attempt goes to the worker of a choice, once the choice's delay
// is over.
func (p *Placer) Begin(now kumquatlug.Millis, c Choice, prompt kumquatlug.Prompt) *Ticket {
	if w, known := p.workers[c.worker.ID()]; known && !c.prefillOnly && !c.reserved {
		// A prompt to be read was counted when it entered.
		w.limit.Send(now)
	}
	return p.begin(now, c, prompt, "", 0)
}

// begin does so for an attempt to which a coordinator gave a turn under key.
func (p *Placer) begin(now kumquatlug.Millis, c Choice, prompt kumquatlug.Prompt, coordinator string, key uint64) *Ticket {
	w, known := p.workers[c.worker.ID()]
	if !known {
		return &Ticket{id: c.worker.ID(), ended: true}
	}
	t := &Ticket{
		worker: w, id: c.worker.ID(), born: w.member.Born, prefillOnly: c.prefillOnly, effectiveTokens: c.effectiveTokens, expectedWaitMs: c.wait - c.delay, sentAt: now + c.Delay(),
		coordinator: coordinator, grantKey: key,
		uncachedTokens: c.uncachedTokens, cachedTokens: max(float64(prompt.Input())-c.uncachedTokens, 0), engineIdle: w.prefills == 0 && p.otherRequestsAt(now, w) < 1,
	}
	if len(w.attempts) == 0 {
		w.lastSeenAt = now
	}
	w.attempts = append(w.attempts, t)
	w.prefillTokens += c.effectiveTokens
	if c.prefillOnly {
		w.prefills++
	} else {
		t.kvTokens, t.maxOutputTokens = kvTokensFor(prompt), prompt.Output()
		w.running++
		w.kvTokens += t.kvTokens
		p.meanKVTokens += ewmaWeight * (max(t.kvTokens, 1) - p.meanKVTokens)
	}
	if c.effectiveTokens > 0 {
		p.meanPrefillTokens += ewmaWeight * (c.effectiveTokens - p.meanPrefillTokens)
		p.recordCached(now, w, prompt)
		w.prefilledTokens += c.uncachedTokens
	}
	return t
}

// recordCached notes that w will keep the shared parts of a prompt.
func (p *Placer) recordCached(now kumquatlug.Millis, w *worker, prompt kumquatlug.Prompt) {
	for _, part := range prompt.Shared() {
		w.cachedParts[part.ID()] = cachedPart{lastUsedAt: now, prefilledTokens: w.prefilledTokens}
	}
	if now-p.prunedAt < cacheLifetime {
		return
	}
	p.prunedAt = now
	for _, other := range p.ordered {
		for id, last := range other.cachedParts {
			if now-last.lastUsedAt > partRetention {
				delete(other.cachedParts, id)
			}
		}
	}
}

// Read records that the prompt has been read: output has begun.
func (p *Placer) Read(now kumquatlug.Millis, t *Ticket) {
	if t.ended || t.prefillDone {
		return
	}
	t.prefillDone = true
	if !t.worker.unresponsive && now >= t.sentAt {
		p.overrunFor(t).Saw(float64(now-t.sentAt) - p.expectedFirstOutputMs(t))
	}
	t.worker.prefillTokens = max(0, t.worker.prefillTokens-t.effectiveTokens)
}

// End records that an attempt is no longer in hand.
func (p *Placer) End(now kumquatlug.Millis, t *Ticket, o Outcome) {
	if t.ended {
		return
	}
	p.Read(now, t)
	t.ended = true
	t.worker.removeAttempt(t)
	if o == OutcomeGood || o == OutcomeRefused {
		p.markAlive(now, t.id, t.worker)
	}
	if t.prefillOnly {
		t.worker.prefills--
		if t.coordinator != "" {
			p.sendRelease(t.coordinator, kumquatlug.Turn{Engine: t.id, Key: t.grantKey})
		}
	} else {
		t.worker.running--
		t.worker.kvTokens -= t.kvTokens
	}
	if o == OutcomeRefused {
		t.worker.backOff(now)
		return
	}
	if o == OutcomeSilent || p.workers[t.id] != t.worker {
		return
	}
	t.worker.refusals = 0
	took := float64(now - t.sentAt)
	if o == OutcomeGood && t.prefillOnly {
		p.learnPrefill(t, took)
	}
	if o == OutcomeGood && t.worker.member.Role == "" {
		p.meanPlainMs += ewmaWeight * (took - p.meanPlainMs)
	}
	if o == OutcomeGood && t.worker.member.Role == kumquatlug.RoleDecode {
		p.meanRunMs += ewmaWeight * (took - p.meanRunMs)
		p.tokenTime.Saw(took, float64(t.maxOutputTokens))
	}
	p.health.Outcome(now, t.id, o == OutcomeGood, p.latencyRatio(t, took))
}

// maxRunFactor is how many times its usual time a run takes at most: outputs come to
// half of the greatest one on the average, and to all of it at times when each
// token takes longer, too.
const maxRunFactor = 3

// Takes returns how long nearly all requests take at an engine, by the greatest
// number of tokens to generate: until the first output comes, and from then on.
func (p *Placer) Takes(output int) kumquatlug.Millis {
	return kumquatlug.Millis(p.overrun.Bound()) + p.Runs(output)
}

// Runs returns the latter: how long nearly all outputs take.
func (p *Placer) Runs(output int) kumquatlug.Millis {
	return kumquatlug.Millis(maxRunFactor * p.tokenTime.Value() * float64(output))
}

// Figure names what is learnt of a service's workers.
type Figure string

// The figures, with their units.
const (
	// FigureRate is how many prompt tokens an engine reads in a ms.
	FigureRate Figure = "read_tokens_per_ms"
	// FigurePause is the longest usual pause between two events of a stream, in ms.
	FigurePause Figure = "pause_ms"
	// FigureOverrun is how much later than expected a first output may come, in ms.
	FigureOverrun Figure = "overrun_ms"
	// FigureToken is how long a run takes for each token of its greatest output, in
	// ms.
	FigureToken Figure = "token_ms"
)

// Learnt returns what the engines are believed to do.
func (p *Placer) Learnt() map[Figure]float64 {
	return map[Figure]float64{
		FigureRate: p.prefillRate(), FigurePause: p.pauses.Longest(), FigureOverrun: p.overrun.Bound(), FigureToken: p.tokenTime.Value(),
	}
}

// removeAttempt takes an attempt out of those in hand.
func (w *worker) removeAttempt(t *Ticket) {
	at := slices.Index(w.attempts, t)
	if at < 0 {
		return
	}
	last := len(w.attempts) - 1
	w.attempts[at] = w.attempts[last]
	w.attempts[last] = nil
	w.attempts = w.attempts[:last]
}

// backOff leaves a worker alone for a while.
func (w *worker) backOff(now kumquatlug.Millis) {
	pause := refusalBackoff << min(w.refusals, 10)
	w.refusals++
	w.backoffUntil = now + min(pause, maxRefusalBackoff)
}

// learnPrefill takes how long a prompt took to be read. Those that found their
// engine idle tell how fast it reads; all tell how much longer it takes
// under load, once the former is known.
func (p *Placer) learnPrefill(t *Ticket, took float64) {
	if t.engineIdle {
		p.prefillModel.Saw(t.uncachedTokens, t.cachedTokens, took)
	}
	if t.expectedWaitMs < minExpectedMs || p.prefillModel.Samples() < minPrefillSamples {
		return
	}
	p.slowdown += ewmaWeight * (p.slowdown*took/t.expectedWaitMs - p.slowdown)
	p.slowdown = min(max(p.slowdown, minSlowdown), maxSlowdown)
}

// minPrefillSamples is how many samples make the reading of idle engines known.
const minPrefillSamples = 8

// minExpectedMs keeps short expectations from making noise look like slowness,
// in milliseconds.
const minExpectedMs = 20.0

// latencyRatio compares what an attempt took with what was expected of it.
func (p *Placer) latencyRatio(t *Ticket, took float64) float64 {
	switch {
	case t.prefillOnly:
		return took / max(minExpectedMs, t.expectedWaitMs)
	case t.worker.member.Role == "":
		return took / max(minExpectedMs, p.meanPlainMs+t.expectedWaitMs)
	default:
		// How long a stream runs depends on its length, which nobody knows.
		return 1
	}
}

// Overruns until some answers were seen, in milliseconds.
const (
	initialOverrunMs      = 900.0
	initialPlainOverrunMs = 300.0
)

// overrunFor returns the overrun of workers like that of t.
func (p *Placer) overrunFor(t *Ticket) *learn.Overrun {
	if t.worker.member.Role == "" {
		return p.plainOverrun
	}
	return p.overrun
}

// attemptTimeoutFactor is how many times the expected wait is waited at least.
const attemptTimeoutFactor = 4

// Patience returns how long the first output of an attempt that was begun may take
// before it is taken for lost: a request that is given up while its engine reads
// it is read again at another one, and both are slower for all others.
func (p *Placer) Patience(t *Ticket) kumquatlug.Millis {
	if t.worker == nil {
		// Its worker went a moment ago.
		return kumquatlug.Millis(p.overrun.Bound())
	}
	expected := p.expectedFirstOutputMs(t)
	return kumquatlug.Millis(max(attemptTimeoutFactor*t.expectedWaitMs, expected+p.overrunFor(t).Bound()))
}
