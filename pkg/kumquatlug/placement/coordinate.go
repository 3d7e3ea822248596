package placement

import (
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// A coordinator keeps the prompts of other gateways in the queue of each engine that it
// coordinates, together with its own, and grants permits to prefill in one order. The
// state of a gateway that shuts down, freezes or is partitioned expires: a permit that
// is never released is dropped after a few times its expected prefill time, and a
// prompt whose request is not renewed leaves the queue.

// Constants of a coordinator.
const (
	// staleAfter is how long a prompt of another gateway stays queued without its
	// request being renewed, which its gateway does each requestRenewInterval.
	staleAfter = 4 * requestRenewInterval
	// permitTimeoutFactor is the multiple of the expected time after which a permit
	// expires.
	permitTimeoutFactor = 4
	// cacheRetainFraction is the fraction of an engine's KV memory that is prefilled
	// before a part unused meanwhile is assumed to be evicted; outputs and copies take
	// the rest.
	cacheRetainFraction = 0.9
	// maxRemotePrompts bounds the prompts of other gateways in the queue of one engine;
	// further ones are refused. At the fastest engines it is a second of prefill.
	maxRemotePrompts = 500
)

// remoteKey identifies a prompt of another gateway by that gateway's name and key.
type remoteKey struct {
	gateway string
	key     uint64
}

// remotePermit is a permit granted to another gateway.
type remotePermit struct {
	remote          remoteKey
	effectiveTokens float64
	expiresAt       kumquatlug.Millis
	// engineIdle says that nothing else was in flight at the engine, expectedWait is
	// how long the prefill was expected to take.
	engineIdle     bool
	expectedWait   kumquatlug.Millis
	uncachedTokens int
}

// estimateTokens sets the tokens to prefill of a prompt at an engine that this gateway
// coordinates, from what all gateways had prefilled there and what was evicted since.
// If an engine is assumed to have cached what it has not, as at startup, it is given
// several times what it can prefill in time.
func (p *Placer) estimateTokens(w *worker, queued *queuedPrompt) {
	queued.choice.uncachedTokens = p.coordinatedUncached(w, queued.query.Prompt)
	queued.choice.effectiveTokens = p.effectiveTokens(queued.choice.uncachedTokens, queued.query.Prompt)
}

// coordinatedUncached returns the number of tokens of a prompt that an engine which
// this gateway coordinates has to prefill.
func (p *Placer) coordinatedUncached(w *worker, prompt kumquatlug.Prompt) float64 {
	left := prompt.Input()
	for _, part := range prompt.Shared() {
		last, cached := w.cachedParts[part.ID()]
		if !cached || p.kvCapacityTokens > 0 && w.prefilledTokens-last.prefilledTokens > cacheRetainFraction*p.kvCapacityTokens {
			break
		}
		left -= part.Tokens()
	}
	return float64(max(left, 0))
}

// HandleRequest handles a message that another gateway sends to this one as a coordinator.
// Responses are put into the [Placer.Outbox].
func (p *Placer) HandleRequest(now kumquatlug.Millis, m kumquatlug.PermitMessage) {
	r := remoteKey{gateway: m.Gateway, key: m.Permit.Key}
	w, known := p.workers[m.Permit.Engine]
	if m.Permit.Step == kumquatlug.PermitReleased {
		if known {
			w.releaseRemote(r)
		}
		return
	}
	if !known || !p.coordinates(now, w) || !p.accepts(now, w, nil, kumquatlug.RolePrefill) {
		p.respond(r, m.Permit.Engine, kumquatlug.PermitNotCoordinator, 0)
		return
	}
	if at := slices.IndexFunc(w.permits, func(t remotePermit) bool { return t.remote == r }); at >= 0 {
		p.sendPermit(w, w.permits[at])
		return
	}
	if queued := w.findRemote(r); queued != nil {
		queued.renewedAt = now
		p.respond(r, m.Permit.Engine, kumquatlug.PermitQueued, 0)
		return
	}
	p.submitRemote(now, w, r, m.Permit)
}

// findRemote returns the queued prompt of another gateway, nil if there is none.
func (w *worker) findRemote(r remoteKey) *queuedPrompt {
	for _, queued := range w.queue {
		if queued.remote == r {
			return queued
		}
	}
	return nil
}

// submitRemote queues a prompt of another gateway, or refuses it.
func (p *Placer) submitRemote(now kumquatlug.Millis, w *worker, r remoteKey, t kumquatlug.Permit) {
	q := Query{Prompt: t.Prompt, Value: t.Value, Deadline: now + t.ClientTimeout, ResponseStarted: t.ResponseStarted}
	if t.HasLatencyTarget {
		q.FirstOutputDue = now + t.LatencyTarget
	}
	queued := &queuedPrompt{
		remote: r, renewedAt: now, query: q, maxLateHold: t.ClientTimeout,
		choice: Choice{worker: w.member.Worker, prefillOnly: true},
	}
	p.estimateTokens(w, queued)
	full := len(w.queue) >= maxRemotePrompts && !t.ResponseStarted
	if full || !p.mayQueue(now, w, queued) {
		p.refuseRemote(now, w, queued)
		return
	}
	wait := p.expectedQueueMs(now, w, queued)
	w.enqueue(queued)
	if !p.hasCapacity(now, w) {
		p.respond(r, t.Engine, kumquatlug.PermitQueued, kumquatlug.Millis(wait))
	}
}

// respond sends another gateway the state of its prompt.
func (p *Placer) respond(r remoteKey, engine string, step kumquatlug.PermitStep, wait kumquatlug.Millis) {
	p.send(r.gateway, kumquatlug.Permit{Step: step, Engine: engine, Key: r.key, Wait: wait})
}

// refuseRemote refuses another gateway a permit, because its prompt can't be prefilled
// in time.
func (p *Placer) refuseRemote(now kumquatlug.Millis, w *worker, queued *queuedPrompt) {
	wait := p.prefillMs(now, w, p.inFlightTokens(now, w)+w.queuedTokens()+queued.choice.effectiveTokens)
	p.respond(queued.remote, w.member.Worker.ID(), kumquatlug.PermitRefused, kumquatlug.Millis(wait))
}

// grantRemote grants another gateway the permit for a prompt.
func (p *Placer) grantRemote(now kumquatlug.Millis, w *worker, queued *queuedPrompt) {
	tokens := queued.choice.effectiveTokens
	expectedWait := p.prefillMs(now, w, p.inFlightTokens(now, w)+tokens)
	w.permits = append(w.permits, remotePermit{
		remote: queued.remote, effectiveTokens: tokens, expiresAt: now + kumquatlug.Millis(permitTimeoutFactor*(expectedWait+p.handoffMs())),
		engineIdle: w.prefills == 0, expectedWait: kumquatlug.Millis(expectedWait), uncachedTokens: int(queued.choice.uncachedTokens),
	})
	p.recordCached(now, w, queued.query.Prompt)
	w.prefilledTokens += queued.choice.uncachedTokens
	w.prefillTokens += tokens
	w.prefills++
	p.addLoad(now, w, queued)
	p.sendPermit(w, w.permits[len(w.permits)-1])
}

// sendPermit sends a permit to another gateway. It names the engine, because the prompt
// may have been sent elsewhere, and its gateway then has to release the permit.
func (p *Placer) sendPermit(w *worker, t remotePermit) {
	p.send(t.remote.gateway, kumquatlug.Permit{
		Step: kumquatlug.PermitGranted, Engine: w.member.Worker.ID(), Key: t.remote.key, Wait: t.expectedWait, EngineIdle: t.engineIdle, UncachedTokens: t.uncachedTokens,
	})
}

// releaseRemote releases a permit, or removes a prompt from the queue.
func (w *worker) releaseRemote(r remoteKey) {
	w.queue = slices.DeleteFunc(w.queue, func(queued *queuedPrompt) bool { return queued.remote == r })
	w.releasePermits(func(t remotePermit) bool { return t.remote == r })
}

// releasePermits releases the permits of other gateways for which over returns true.
func (w *worker) releasePermits(over func(remotePermit) bool) {
	w.permits = slices.DeleteFunc(w.permits, func(t remotePermit) bool {
		if !over(t) {
			return false
		}
		w.prefillTokens = max(0, w.prefillTokens-t.effectiveTokens)
		w.prefills--
		return true
	})
}

// expireRemote drops permits that were never released and queued prompts whose request
// is no longer renewed.
func (p *Placer) expireRemote(now kumquatlug.Millis, w *worker) {
	w.releasePermits(func(t remotePermit) bool { return now >= t.expiresAt })
	w.queue = slices.DeleteFunc(w.queue, func(queued *queuedPrompt) bool {
		return queued.remote.gateway != "" && now-queued.renewedAt > staleAfter
	})
}

// StopCoordinating notifies other gateways that this one no longer coordinates, so that
// they send their queued prompts to the engines' new coordinators.
func (p *Placer) StopCoordinating() {
	for _, w := range p.ordered {
		w.queue = p.removeRemote(w)
	}
}

// removeRemote removes the prompts of other gateways from the queue of a worker that
// this gateway no longer coordinates or that no longer prefills, notifies those
// gateways, and returns the local prompts.
func (p *Placer) removeRemote(w *worker) []*queuedPrompt {
	return slices.DeleteFunc(w.queue, func(queued *queuedPrompt) bool {
		if queued.remote.gateway == "" {
			return false
		}
		p.respond(queued.remote, w.member.Worker.ID(), kumquatlug.PermitNotCoordinator, 0)
		return true
	})
}
