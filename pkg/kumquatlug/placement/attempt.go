package placement

import (
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/kvtransfer"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/learn"
)

// Attempt tracks one attempt in flight at a worker.
type Attempt struct {
	worker          *worker
	id              string
	workerStartedAt int64
	prefillOnly     bool
	effectiveTokens float64
	// uncachedTokens is the number of tokens to prefill and cachedTokens the number
	// assumed to be cached. engineIdle says that no work was known to be ahead of them.
	uncachedTokens, cachedTokens float64
	engineIdle                   bool
	kvTokens                     float64
	// coordinator is the gateway that granted the permit of the attempt under
	// permitKey, empty if there was none.
	coordinator string
	permitKey   uint64
	// maxOutputTokens is the maximum number of tokens to generate.
	maxOutputTokens int
	expectedWaitMs  float64
	// workTime is the relative time of the worker's work, slowdown that of prefills under
	// load, as expected when the attempt began.
	workTime, slowdown float64
	sentAt             kumquatlug.Millis
	prefillDone        bool
	ended              bool
	// usesSlot says that the attempt is counted as decoding at its engine.
	usesSlot bool
	// transfer is the pending transfer of the prompt's KV cache.
	transfer transfer
	// transferFailed says that the worker refused only because of the transfer.
	transferFailed bool
	// lastOutputAt is when output last arrived, zero for never.
	lastOutputAt kumquatlug.Millis
	// continues says that the attempt continues a stream: runStartedAt is when that was first sent
	// to a worker, zero if it is not known, eventsBefore how many events it had before.
	continues    bool
	runStartedAt kumquatlug.Millis
	eventsBefore int
	// moved says that another attempt continues the stream. events counts the events of this one.
	moved  bool
	events int
	// forwarding says that output is being written to the client.
	forwarding bool
	// suspect says that other workers are asked to take the request over.
	suspect bool
}

// WorkerStartedAt returns the start time of the worker's incarnation, as in its row.
func (t *Attempt) WorkerStartedAt() int64 { return t.workerStartedAt }

// Worker returns the worker's name.
func (t *Attempt) Worker() string { return t.id }

// TransferFailed reports whether the worker refused the attempt only because of the transfer
// of its KV cache.
func (t *Attempt) TransferFailed() bool { return t.transferFailed }

// ContinueRun records that an attempt continues a stream that had some events before and was first
// sent to a worker at startedAt, zero if that is not known.
func (p *Placer) ContinueRun(t *Attempt, startedAt kumquatlug.Millis, events int) {
	t.continues, t.runStartedAt, t.eventsBefore, t.events = true, startedAt, events, 0
}

// Return records that a stream is sent to the worker of its attempt again, as it could not be moved,
// and returns the choice of that worker. The attempt stays in flight.
func (p *Placer) Return(now kumquatlug.Millis, c Choice, t *Attempt) Choice {
	if t.worker != nil {
		t.worker.limit.Reserve(now)
	}
	return Choice{worker: c.worker, zone: c.zone, returned: true}
}

// NoRoom records that the engine of an attempt that has ended had no room for a stream that was to
// be moved there: all of its slots count as taken.
func (p *Placer) NoRoom(now kumquatlug.Millis, t *Attempt) {
	w := t.worker
	if w == nil || p.workers[t.id] != w || float64(w.running)+p.reportedRequestsAt(now, w) >= float64(w.member.Slots) {
		return
	}
	p.ReportLoad(now, t.id, kumquatlug.NewWorkerLoad(w.member.Slots, 0, w.member.Slots))
}

// MarkMoved records that another attempt continues the stream of an attempt that is about to end.
func (p *Placer) MarkMoved(t *Attempt) { t.moved = true }

// runStart returns when the run that an attempt belongs to was first sent to a worker. It returns
// false if the attempt is only a part of it and the rest is not known.
func (t *Attempt) runStart() (kumquatlug.Millis, bool) {
	switch {
	case t.moved:
		return 0, false
	case t.continues:
		return t.runStartedAt, t.runStartedAt != 0
	}
	return t.sentAt, true
}

// Outcome is how an attempt ended, as far as that concerns the worker.
type Outcome string

// The outcomes of attempts.
const (
	// OutcomeServed: the worker served the request.
	OutcomeServed Outcome = "good"
	// OutcomeFailed: the worker broke off, was unreachable or responded with a failure.
	OutcomeFailed Outcome = "failed"
	// OutcomeRefused: the worker did not accept the request, because it is full or
	// changes its role.
	OutcomeRefused Outcome = "refused"
	// OutcomeNeutral: the end says nothing about the worker, as when the client
	// disconnects.
	OutcomeNeutral Outcome = "silent"
)

// Begin records that an attempt is sent to the worker of a choice after the choice's
// delay.
func (p *Placer) Begin(now kumquatlug.Millis, c Choice, prompt kumquatlug.Prompt) *Attempt {
	if w, known := p.workers[c.worker.ID()]; known && !c.prefillOnly && !c.reserved {
		// The limit counted a prompt to prefill when it was submitted.
		w.limit.Reserve(now)
	}
	return p.begin(now, c, prompt, "", 0)
}

// begin is Begin for an attempt whose permit a coordinator granted under key.
func (p *Placer) begin(now kumquatlug.Millis, c Choice, prompt kumquatlug.Prompt, coordinator string, key uint64) *Attempt {
	w, known := p.workers[c.worker.ID()]
	if !known {
		return &Attempt{id: c.worker.ID(), ended: true}
	}
	t := &Attempt{
		worker: w, id: c.worker.ID(), workerStartedAt: w.member.StartedAt, prefillOnly: c.prefillOnly, effectiveTokens: c.effectiveTokens, expectedWaitMs: c.waitMs - c.delayMs, sentAt: now + c.Delay(),
		coordinator: coordinator, permitKey: key, workTime: p.workTime(now, w, p.usualMs(w, c)), slowdown: p.slowdown,
		uncachedTokens: c.uncachedTokens, cachedTokens: max(float64(prompt.Input())-c.uncachedTokens, 0), engineIdle: w.prefills == 0 && p.otherRequestsAt(now, w) < 1,
	}
	if len(w.attempts) == 0 {
		w.lastSeenAt = now
	}
	w.attempts = append(w.attempts, t)
	p.beginSlot(c, t)
	p.beginTransfer(now, t, c.transfer)
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
		p.transfers.AddPrefilled(now, c.uncachedTokens)
	}
	return t
}

// recordCached records that w has the shared parts of a prompt cached.
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

// PrefillDone records that the prompt has been prefilled: output has begun.
func (p *Placer) PrefillDone(now kumquatlug.Millis, t *Attempt) {
	p.endTransfer(now, t, kvtransfer.BoundExact)
	p.endPrefill(now, t)
}

// endPrefill records that an attempt has no more work to prefill.
func (p *Placer) endPrefill(now kumquatlug.Millis, t *Attempt) {
	if t.ended || t.prefillDone {
		return
	}
	t.prefillDone = true
	if !t.worker.unresponsive && now >= t.sentAt {
		p.overrunFor(t).Observe(float64(now-t.sentAt) - p.expectedFirstOutputMs(t))
	}
	t.worker.prefillTokens = max(0, t.worker.prefillTokens-t.effectiveTokens)
}

// End records that an attempt is no longer in flight.
func (p *Placer) End(now kumquatlug.Millis, t *Attempt, o Outcome) {
	if t.ended {
		return
	}
	p.endTransfer(now, t, transferBoundAtEnd(o))
	p.endPrefill(now, t)
	t.ended = true
	t.worker.removeAttempt(t)
	if o == OutcomeServed || o == OutcomeRefused {
		p.markResponsive(now, t.id, t.worker)
	}
	if t.prefillOnly {
		t.worker.prefills--
		if t.coordinator != "" {
			p.sendRelease(t.coordinator, kumquatlug.Permit{Engine: t.id, Key: t.permitKey})
		}
	} else {
		p.observeDensity(t, o)
		t.worker.running--
		t.worker.kvTokens -= t.kvTokens
		p.endSlot(now, t)
	}
	if o == OutcomeRefused {
		if !t.transferFailed {
			t.worker.backOff(now)
		}
		return
	}
	if o == OutcomeNeutral || p.workers[t.id] != t.worker {
		return
	}
	t.worker.refusals = 0
	took := float64(now - t.sentAt)
	if o == OutcomeServed {
		p.observeServed(now, t, took)
	}
	p.health.RecordOutcome(now, t.id, o == OutcomeServed, p.latencyRatio(t, took))
}

// observeDensity records how many events an attempt's stream has had. Only a stream that ended by
// itself tells how many it has at most.
func (p *Placer) observeDensity(t *Attempt, o Outcome) {
	events := t.eventsBefore + t.events
	if o == OutcomeServed && !t.moved {
		p.runBound.ObserveStream(events, t.maxOutputTokens)
		return
	}
	p.runBound.ObservePartialStream(events, t.maxOutputTokens)
}

// observeServed records how long an attempt took that a worker served, in milliseconds.
func (p *Placer) observeServed(now kumquatlug.Millis, t *Attempt, took float64) {
	if t.prefillOnly {
		p.learnPrefill(now, t, took)
		return
	}
	started, whole := t.runStart()
	run := float64(now - started)
	if whole {
		p.runTimes.Observe(run, t.maxOutputTokens)
	}
	switch t.worker.member.Role {
	case "":
		p.meanPlainMs += ewmaWeight * (took/t.workTime - p.meanPlainMs)
		p.observePlain(now, t, took)
	case kumquatlug.RoleDecode:
		// A part of a run occupies its engine for the time of that part.
		p.meanRunMs += ewmaWeight * (took - p.meanRunMs)
		if whole {
			p.tokenTime.Observe(run, float64(t.maxOutputTokens))
		}
	}
}

// Constants of the expected run times.
const (
	// usualRunFraction is the fraction of the requests that end within the usual run time,
	// maxRunFraction that of those that end within the maximum before its margin.
	usualRunFraction, maxRunFraction = 0.95, 0.99
	// maxRunMargin is the margin of the maximum, as a factor: tokens take longer at an engine
	// that is slowed down or has more requests than those that ended before.
	maxRunMargin = 1.25
	// initialRunFactor is the initial run time for each token of the maximum output as a
	// multiple of the usual one: outputs are half of the maximum on average, and at times as
	// long as the maximum while each token takes longer, too.
	initialRunFactor = 3
)

// UsualRunTime returns the time in which most requests with this maximum output, in tokens, end
// after they were sent to the worker that runs them.
func (p *Placer) UsualRunTime(now kumquatlug.Millis, output int) kumquatlug.Millis {
	return kumquatlug.Millis(p.runTimes.Quantile(usualRunFraction, output, p.runningRequests(now)))
}

// MaxRunTime returns the time in which all requests with this maximum output, in tokens, are
// expected to end after they were sent to the worker that runs them. It includes the wait for a
// slot there, the copy of the KV cache and a prefill at that worker.
func (p *Placer) MaxRunTime(now kumquatlug.Millis, output int) kumquatlug.Millis {
	return kumquatlug.Millis(maxRunMargin * p.runTimes.Quantile(maxRunFraction, output, p.runningRequests(now)))
}

// LongestRun returns the time that no stream with this maximum output, in tokens, is expected to
// exceed from its first event on. It returns false if that is not known.
func (p *Placer) LongestRun(output int) (kumquatlug.Millis, bool) {
	bound, known := p.runBound.Bound(output)
	return kumquatlug.Millis(bound), known
}

// RunSamples returns how many run times of requests with about this maximum output are known.
func (p *Placer) RunSamples(output int) int { return p.runTimes.Samples(output) }

// MaxStartDelay returns how much later than expected nearly all first outputs of engines arrive.
func (p *Placer) MaxStartDelay() kumquatlug.Millis { return kumquatlug.Millis(p.overrun.Bound()) }

// runningRequests returns the requests in flight that a worker runs.
func (p *Placer) runningRequests(now kumquatlug.Millis) []learn.RunningRequest {
	var running []learn.RunningRequest
	for _, w := range p.ordered {
		for _, t := range w.attempts {
			if t.prefillOnly || now <= t.sentAt {
				continue
			}
			started, whole := t.runStart()
			if !whole {
				started = t.sentAt
			}
			running = append(running, learn.RunningRequest{Ms: float64(now - started), Output: t.maxOutputTokens})
		}
	}
	return running
}

// Estimate names an estimate about a service's workers.
type Estimate string

// The estimates, with their units.
const (
	// EstimatePrefillRate is the number of prompt tokens that an engine prefills in a ms.
	EstimatePrefillRate Estimate = "read_tokens_per_ms"
	// EstimatePause is the longest usual pause between two events of a stream, in ms.
	EstimatePause Estimate = "pause_ms"
	// EstimateOverrun is how much later than expected a first output may arrive, in ms.
	EstimateOverrun Estimate = "overrun_ms"
	// EstimateTokenTime is the run time for each token of the maximum output, in ms.
	EstimateTokenTime Estimate = "token_ms"
)

// Estimates returns the current estimates.
func (p *Placer) Estimates() map[Estimate]float64 {
	return map[Estimate]float64{
		EstimatePrefillRate: p.prefillRate(), EstimatePause: p.pauses.Longest(), EstimateOverrun: p.overrun.Bound(), EstimateTokenTime: p.tokenTime.Value(),
	}
}

// removeAttempt removes an attempt from those in flight.
func (w *worker) removeAttempt(t *Attempt) {
	at := slices.Index(w.attempts, t)
	if at < 0 {
		return
	}
	last := len(w.attempts) - 1
	w.attempts[at] = w.attempts[last]
	w.attempts[last] = nil
	w.attempts = w.attempts[:last]
}

// backOff stops sending requests to a worker for a while.
func (w *worker) backOff(now kumquatlug.Millis) {
	backoff := refusalBackoff << min(w.refusals, 10)
	w.refusals++
	w.backoffUntil = now + min(backoff, maxRefusalBackoff)
}

// learnPrefill records how long a prefill took. Those at an idle engine show its rate;
// all show how much longer a prefill takes under load, once the rate is known.
func (p *Placer) learnPrefill(now kumquatlug.Millis, t *Attempt, took float64) {
	p.observePrefill(now, t, took)
	if t.engineIdle {
		p.prefillModel.Observe(t.uncachedTokens, t.cachedTokens, p.usualPrefillMs(t, took))
	}
	if t.expectedWaitMs < minExpectedMs || p.prefillModel.Samples() < minPrefillSamples {
		return
	}
	p.slowdown += ewmaWeight * (p.slowdown*took/t.expectedWaitMs - p.slowdown)
	p.slowdown = min(max(p.slowdown, minSlowdown), maxSlowdown)
}

// minPrefillSamples is the number of samples after which the prefill time of idle
// engines counts as known.
const minPrefillSamples = 8

// minExpectedMs is a lower bound of expected times, in milliseconds. With shorter ones
// noise would look like slowness.
const minExpectedMs = 20.0

// latencyRatio returns the ratio of the time that an attempt took to the expected time.
func (p *Placer) latencyRatio(t *Attempt, took float64) float64 {
	switch {
	case t.prefillOnly:
		return took / max(minExpectedMs, t.expectedWaitMs)
	case t.worker.member.Role == "":
		return took / max(minExpectedMs, p.meanPlainMs*t.workTime+t.expectedWaitMs)
	default:
		// The run time of a stream depends on its length, which is not known in
		// advance.
		return 1
	}
}

// Overruns that are assumed until responses have shown them, in milliseconds.
const (
	initialOverrunMs      = 900.0
	initialPlainOverrunMs = 300.0
)

// overrunFor returns the overrun estimate for the kind of worker that t is at.
func (p *Placer) overrunFor(t *Attempt) *learn.OverrunEstimator {
	if t.worker.member.Role == "" {
		return p.plainOverrun
	}
	return p.overrun
}

// attemptTimeoutFactor is the least timeout of an attempt as a multiple of the expected
// wait.
const attemptTimeoutFactor = 4

// AttemptTimeout returns how long the first output of an attempt may take before the attempt
// is given up as lost. If a request is given up while its engine prefills it, it is
// prefilled again at another one, which slows both down for all other requests.
func (p *Placer) AttemptTimeout(t *Attempt) kumquatlug.Millis {
	if t.worker == nil {
		// The worker was removed before the attempt began.
		return kumquatlug.Millis(p.overrun.Bound())
	}
	expected := p.expectedFirstOutputMs(t)
	return kumquatlug.Millis(max(attemptTimeoutFactor*t.expectedWaitMs, expected+p.overrunFor(t).Bound()))
}
