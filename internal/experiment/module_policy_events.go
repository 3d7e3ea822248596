package experiment

import (
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/admission"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/limit"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/quarantine"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/retry"
)

func (p *modulePolicy) handleEvent(now kumquatlug.Millis, e callEvent) {
	a, ok := p.inFlight[e.call.id]
	if !ok {
		return
	}
	switch e.kind {
	case eventFirstToken:
		a.firstTokenAt, a.lastOutputAt = now, now
		p.targets.Sample(now, &a.ticket, now-a.sentAt, idlePrefillMs(e.tokens))
		p.router.Progress(now, a.target, e.call.id, 1)
		p.queue.RecordServed(now, modelKind, admission.Cost(int64(e.tokens), 0))
	case eventProgress:
		p.recordOutput(now, a, e.tokens)
		p.queue.RecordServed(now, modelKind, admission.Cost(0, int64(e.tokens)))
	case eventPrefilled:
		a.firstTokenAt = now
		p.targets.Sample(now, &a.ticket, now-a.sentAt, idlePrefillMs(e.tokens))
		p.queue.RecordServed(now, modelKind, admission.Cost(int64(e.tokens), 0))
		p.endAttempt(now, a, limit.OutcomeEnded)
		p.pending = append(p.pending, pendingCall{call: e.call, at: now})
	case eventDone:
		p.recordDone(now, a, e)
	case eventLost:
		p.retryLost(now, a)
	case eventRejected:
		p.endAttempt(now, a, limit.OutcomeEnded)
		p.pending = append(p.pending, pendingCall{call: e.call, at: now, exclude: a.target})
	}
}

// idlePrefillMs returns the prefill time on an idle target in ms, as a gateway assumes it.
func idlePrefillMs(tokens int) float64 { return float64(tokens) / prefillTokensPerSecond * 1000 }

// idleDecodeMs returns the decode time on an idle target in ms, as a gateway assumes it.
func idleDecodeMs(tokens int) float64 { return float64(tokens) / decodeTokensPerSecond * 1000 }

// recordOutput records a chunk of a stream.
func (p *modulePolicy) recordOutput(now kumquatlug.Millis, a *attempt, tokens int) {
	if a.lastOutputAt == 0 {
		a.firstTokenAt, a.lastOutputAt = now, a.sentAt
	}
	a.generated += tokens
	p.targets.Sample(now, &a.ticket, now-a.lastOutputAt, idleDecodeMs(tokens))
	a.lastOutputAt = now
}

func (p *modulePolicy) recordDone(now kumquatlug.Millis, a *attempt, e callEvent) {
	p.recordOutput(now, a, e.tokens)
	p.queue.RecordServed(now, modelKind, admission.Cost(0, int64(e.tokens)))
	p.updateEstimates(now, a, true)
	p.crashRegister.Finished(now, e.call.fingerprint)
	expected := max(float64(a.choice.Finish()), 1)
	p.health.RecordOutcome(now, a.target, true, float64(now-a.sentAt)/expected)
	p.endAttempt(now, a, limit.OutcomeEnded)
}

// updateEstimates adds a response, complete or not, to the estimates.
func (p *modulePolicy) updateEstimates(now kumquatlug.Millis, a *attempt, completed bool) {
	c := a.call
	prefillTime, decodeTime := now-c.sentAt, kumquatlug.Millis(0)
	if c.firstTokenAt > 0 {
		prefillTime, decodeTime = c.firstTokenAt-c.sentAt, now-c.firstTokenAt
	}
	p.estimator.Observe(now, c.caller, modelKind, admission.Observation{
		PromptTokens: int64(c.promptTokens), OutputTokens: int64(c.generated), TimeToFirstToken: prefillTime, DecodeTime: decodeTime, Complete: completed,
	})
}

// endAttempt records the end of an attempt at its target.
func (p *modulePolicy) endAttempt(now kumquatlug.Millis, a *attempt, o limit.Outcome) {
	p.targets.End(now, a.ticket, o)
	p.router.Finished(now, a.target, a.call.id)
	delete(p.inFlight, a.call.id)
}

// retryLost retries a call whose target is lost. The call resumes at another target after the
// tokens that were streamed.
func (p *modulePolicy) retryLost(now kumquatlug.Millis, a *attempt) {
	c := a.call
	p.endAttempt(now, a, limit.OutcomeEnded)
	crash := p.sim.engine(a.target).agent.crashID()
	p.crashRegister.Crashed(now, crash, []quarantine.InFlightCall{{Fingerprint: c.fingerprint, Starting: a.firstTokenAt == 0}})
	p.health.RecordOutcome(now, a.target, false, 0)
	p.router.SetWeight(a.target, p.health.Weight(now, a.target))
	c.retries++
	next := p.retry.Next(now, retry.Attempt{
		Execution: kumquatlug.ExecutionUnknown, Repeatable: true, Resumable: true, Attempts: c.sendCount,
		Deadline: c.deadline - c.arrival, Elapsed: now - c.arrival,
	})
	if next.Action() == retry.ActionStop {
		p.sim.fail(c)
		return
	}
	p.pending = append(p.pending, pendingCall{call: c, at: now + next.Wait(), exclude: a.target})
}

func (p *modulePolicy) cancel(now kumquatlug.Millis, c *call) {
	delete(p.waiting, c.id)
	p.queue.Cancel(now, c.id)
	p.pending = slices.DeleteFunc(p.pending, func(item pendingCall) bool { return item.call == c })
	a, ok := p.inFlight[c.id]
	if !ok {
		return
	}
	p.updateEstimates(now, a, false)
	p.endAttempt(now, a, limit.OutcomeOverload)
}
