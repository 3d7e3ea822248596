package placement

import (
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// A coordinator has the prompts of other fronts in the queue of each engine that it
// coordinates, beside its own, and gives them turns by the same order. What a front
// leaves behind when it ends, freezes or is cut off goes by itself: a turn that
// is never told to be over is forgotten after a few times its reading, and a prompt
// that is not asked for again leaves the queue.

// Figures of coordinating.
const (
	// staleAfter is how long a prompt of another front stays in a queue without
	// being asked for again: its front does so each requestRenewInterval.
	staleAfter = 4 * requestRenewInterval
	// grantTimeoutFactor is how many times as long as expected a turn lasts until it is
	// forgotten.
	grantTimeoutFactor = 4
	// cacheRetainFraction is the part of an engine's memory that is read until a part that
	// nobody used meanwhile is gone; outputs and copies take the rest.
	cacheRetainFraction = 0.9
	// maxRemotePrompts bounds the prompts of other fronts in the queue of one engine.
	// At the fastest engines it is a second of reading; beyond it prompts are refused.
	maxRemotePrompts = 500
)

// remoteKey is a prompt of another front, by that front's name and key.
type remoteKey struct {
	gateway string
	key     uint64
}

// remoteGrant is a turn that another front was given.
type remoteGrant struct {
	remote          remoteKey
	effectiveTokens float64
	expiresAt       kumquatlug.Millis
	// engineIdle says that nothing else was in hand at the engine, wait is how long reading
	// was expected to take.
	engineIdle     bool
	expectedWait   kumquatlug.Millis
	uncachedTokens int
}

// estimateTokens sets what is to be read of a prompt at an engine that this front coordinates: by
// what all fronts had read there, and what has been driven out of its memory since.
// An engine that is believed to hold what it does not, as all are at a start, is
// given several times what it can read in time.
func (p *Placer) estimateTokens(w *worker, queued *queuedPrompt) {
	queued.choice.uncachedTokens = p.coordinatedUncached(w, queued.query.Prompt)
	queued.choice.effectiveTokens = p.effectiveTokens(queued.choice.uncachedTokens, queued.query.Prompt)
}

// coordinatedUncached is how many tokens of a prompt an engine has to read that this front coordinates.
func (p *Placer) coordinatedUncached(w *worker, prompt kumquatlug.Prompt) float64 {
	left := prompt.Input()
	for _, part := range prompt.Shared() {
		last, cached := w.cachedParts[part.ID()]
		if !cached || p.kvCapacity > 0 && w.prefilledTokens-last.prefilledTokens > cacheRetainFraction*p.kvCapacity {
			break
		}
		left -= part.Tokens()
	}
	return float64(max(left, 0))
}

// Requested takes what another front says to this one as a coordinator; the answers lie in
// the [Placer.Outbox].
func (p *Placer) Requested(now kumquatlug.Millis, m kumquatlug.TurnMessage) {
	r := remoteKey{gateway: m.Front, key: m.Turn.Key}
	w, known := p.workers[m.Turn.Engine]
	if m.Turn.Step == kumquatlug.TurnOver {
		if known {
			w.releaseRemote(r)
		}
		return
	}
	if !known || !p.coordinates(now, w) || !p.eligible(now, w, Query{}, kumquatlug.RolePrefill) {
		p.reply(r, m.Turn.Engine, kumquatlug.TurnUnknown, 0)
		return
	}
	if at := slices.IndexFunc(w.grants, func(t remoteGrant) bool { return t.remote == r }); at >= 0 {
		p.sendGrant(w, w.grants[at])
		return
	}
	if queued := w.findRemote(r); queued != nil {
		queued.renewedAt = now
		p.reply(r, m.Turn.Engine, kumquatlug.TurnQueued, 0)
		return
	}
	p.submitRemote(now, w, r, m.Turn)
}

// findRemote returns the prompt of another front in the queue, nil for none.
func (w *worker) findRemote(r remoteKey) *queuedPrompt {
	for _, queued := range w.queue {
		if queued.remote == r {
			return queued
		}
	}
	return nil
}

// submitRemote takes a prompt of another front into the queue, or refuses it.
func (p *Placer) submitRemote(now kumquatlug.Millis, w *worker, r remoteKey, t kumquatlug.Turn) {
	q := Query{Prompt: t.Prompt, Worth: t.Worth, Until: now + t.Patience, Begun: t.Begun}
	if t.Timed {
		q.Target = now + t.Target
	}
	queued := &queuedPrompt{
		remote: r, renewedAt: now, query: q, maxLateHold: t.Patience,
		choice: Choice{worker: w.member.Worker, prefillOnly: true},
	}
	p.estimateTokens(w, queued)
	full := len(w.queue) >= maxRemotePrompts && !t.Begun
	if full || !p.mayQueue(now, w, queued) {
		p.refuseRemote(now, w, queued)
		return
	}
	w.enqueue(queued)
	if !p.hasCapacity(now, w) {
		p.reply(r, t.Engine, kumquatlug.TurnQueued, 0)
	}
}

// reply tells another front what becomes of its prompt.
func (p *Placer) reply(r remoteKey, engine string, step kumquatlug.TurnStep, wait kumquatlug.Millis) {
	p.send(r.gateway, kumquatlug.Turn{Step: step, Engine: engine, Key: r.key, Wait: wait})
}

// refuseRemote tells that a prompt can't be read in time.
func (p *Placer) refuseRemote(now kumquatlug.Millis, w *worker, queued *queuedPrompt) {
	wait := (p.inFlightTokens(now, w) + w.queuedTokens() + queued.choice.effectiveTokens) / p.prefillRate() * p.slowdown
	p.reply(queued.remote, w.member.Worker.ID(), kumquatlug.TurnRefused, kumquatlug.Millis(wait))
}

// grantRemote gives a prompt of another front its turn.
func (p *Placer) grantRemote(now kumquatlug.Millis, w *worker, queued *queuedPrompt) {
	tokens := queued.choice.effectiveTokens
	expectedWait := (p.inFlightTokens(now, w) + tokens) / p.prefillRate() * p.slowdown
	w.grants = append(w.grants, remoteGrant{
		remote: queued.remote, effectiveTokens: tokens, expiresAt: now + kumquatlug.Millis(grantTimeoutFactor*(expectedWait+p.handoffMs())),
		engineIdle: w.prefills == 0, expectedWait: kumquatlug.Millis(expectedWait), uncachedTokens: int(queued.choice.uncachedTokens),
	})
	p.recordCached(now, w, queued.query.Prompt)
	w.prefilledTokens += queued.choice.uncachedTokens
	w.prefillTokens += tokens
	w.prefills++
	p.addLoad(now, w, queued)
	p.sendGrant(w, w.grants[len(w.grants)-1])
}

// sendGrant tells another front that a prompt has its turn. It names the engine, as the
// prompt may have gone elsewhere and its front then gives the turn back.
func (p *Placer) sendGrant(w *worker, t remoteGrant) {
	p.send(t.remote.gateway, kumquatlug.Turn{
		Step: kumquatlug.TurnGranted, Engine: w.member.Worker.ID(), Key: t.remote.key, Wait: t.expectedWait, Alone: t.engineIdle, Fresh: t.uncachedTokens,
	})
}

// releaseRemote ends a turn, or takes a prompt out of the queue.
func (w *worker) releaseRemote(r remoteKey) {
	w.queue = slices.DeleteFunc(w.queue, func(queued *queuedPrompt) bool { return queued.remote == r })
	w.releaseGrants(func(t remoteGrant) bool { return t.remote == r })
}

// releaseGrants ends the turns of other fronts that are over.
func (w *worker) releaseGrants(over func(remoteGrant) bool) {
	w.grants = slices.DeleteFunc(w.grants, func(t remoteGrant) bool {
		if !over(t) {
			return false
		}
		w.prefillTokens = max(0, w.prefillTokens-t.effectiveTokens)
		w.prefills--
		return true
	})
}

// expireRemote forgets the turns that were never told to be over and the prompts
// that nobody asks for any more.
func (p *Placer) expireRemote(now kumquatlug.Millis, w *worker) {
	w.releaseGrants(func(t remoteGrant) bool { return now >= t.expiresAt })
	w.queue = slices.DeleteFunc(w.queue, func(queued *queuedPrompt) bool {
		return queued.remote.gateway != "" && now-queued.renewedAt > staleAfter
	})
}

// StopCoordinating sends the prompts of other fronts to those that coordinate the engines now.
func (p *Placer) StopCoordinating() {
	for _, w := range p.ordered {
		w.queue = p.disownRemote(w)
	}
}

// disownRemote answers the prompts of other fronts in the queue of a worker
// that reads no more, and returns the others.
func (p *Placer) disownRemote(w *worker) []*queuedPrompt {
	return slices.DeleteFunc(w.queue, func(queued *queuedPrompt) bool {
		if queued.remote.gateway == "" {
			return false
		}
		p.reply(queued.remote, w.member.Worker.ID(), kumquatlug.TurnUnknown, 0)
		return true
	})
}
