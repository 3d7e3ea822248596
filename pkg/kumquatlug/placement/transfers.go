package placement

import (
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/kvtransfer"
)

// A prompt that is prefilled on one engine and decoded on another needs a transfer of its KV
// cache. While transfers are fast, none of the code of this file changes a choice. When they
// are slow, fail or queue, the expected time of the transfer is part of the cost of a decode
// engine, and a prompt runs on one engine if that is cheaper, or if the transfer would make
// it late and one engine is faster.

// Constants of learning the time of transfers from first outputs.
const (
	// lagQuantile is the quantile of the lateness of first outputs without a transfer that
	// counts as usual. A low one is not affected by queues.
	lagQuantile = 0.3
	// lagStepMs is the step with which the estimate of the usual lateness follows samples,
	// maxLagMs its bound, in milliseconds: a gateway that lacks processor time reads a
	// response some tens of milliseconds late.
	lagStepMs = 2.0
	maxLagMs  = 100.0
)

// KVCache describes a prompt's KV cache in a [Query].
type KVCache struct {
	// Engine holds the cache; empty means that there is none.
	Engine string
	// PrefilledTokens is the number of tokens that were prefilled for it.
	PrefilledTokens int
}

// transfer is the transfer that a choice or an attempt needs.
type transfer struct {
	path            kvtransfer.Path
	tokens          float64
	prefilledTokens float64
	// expectedMs is the expected time in milliseconds, zero while transfers are fast.
	expectedMs float64
	// aheadTokens is the size of the transfers ahead of it. waits says that the request may
	// have to wait for a slot or memory at the target as well.
	aheadTokens float64
	waits       bool
}

// needed reports whether there is a transfer.
func (t transfer) needed() bool { return t.path.Source != "" }

// transferTo returns the transfer that decoding at w needs.
func (p *Placer) transferTo(now kumquatlug.Millis, w *worker, q *Query) transfer {
	if q.Cache.Engine == "" || q.Cache.Engine == w.member.Worker.ID() {
		return transfer{}
	}
	t := transfer{
		path:   kvtransfer.Path{Source: q.Cache.Engine, SourceZone: q.CacheZone, Target: w.member.Worker.ID(), TargetZone: w.member.Zone},
		tokens: float64(q.Prompt.Input()), prefilledTokens: float64(q.Cache.PrefilledTokens),
	}
	t.expectedMs = p.transfers.Expected(now, t.path, t.tokens)
	return t
}

// choosePromptByTransfer chooses between one engine and two while transfers are slow or
// after one has failed. output and prefill are the engines that are used if it is two, and
// prefillCost is the cost of the second one.
func (p *Placer) choosePromptByTransfer(now kumquatlug.Millis, q Query, output, prefill Choice, prefillCost float64, prefillFound bool) (Choice, bool) {
	if !prefillFound || q.OneEngine {
		q.mixedOwner = p.decodeOwner(now, q)
		mixed, _, found := p.cheapestMixed(now, q)
		return mixed, found
	}
	output = p.decodeAfter(now, q, prefill, output)
	transferMs, exceeded := output.transfer.expectedMs, p.transfers.WasteExceeded(now)
	avoid := transferMs > 0 || exceeded
	if avoid {
		q.mixedOwner = p.decodeOwner(now, q)
	}
	mixed, mixedCost, mixedFound := p.cheapestMixed(now, q)
	prefill.waitMs += output.waitMs
	prefill.reservation = p.reservationFor(now, output)
	split := prefillCost + output.cost + q.SecondBodyMs
	late := q.FirstOutputDue != 0 && float64(q.FirstOutputDue-now) < prefill.waitMs
	switch {
	case !mixedFound:
		return prefill, !exceeded
	case mixedCost < split-transferMs:
		// One engine is cheaper whatever the transfer takes.
		return mixed, true
	case !avoid:
		return prefill, true
	case exceeded, mixedCost < split, transferMs > 0 && late && mixed.waitMs < prefill.waitMs:
		if !p.transfers.Avoid(now, float64(q.Prompt.Input())) {
			return mixed, true
		}
	}
	return prefill, true
}

// decodeAfter returns the engine that decodes after a prefill, which depends on where the
// prefill runs if its transfer is slow, and otherwise is output.
func (p *Placer) decodeAfter(now kumquatlug.Millis, q Query, prefill, output Choice) Choice {
	decode := Query{
		Prompt: q.Prompt, Version: q.Version, FirstOutputDue: q.FirstOutputDue, Deadline: q.Deadline, MaxEventGap: q.MaxEventGap,
		CacheZone: prefill.zone, Cache: KVCache{Engine: prefill.worker.ID()},
	}
	if best, found := p.ChooseDecode(now, decode); found && best.transfer.expectedMs > 0 {
		return best
	}
	return output
}

// decodeOwner returns the owner of a prompt's prefix among the engines that decode, nil if
// there is none. While prompts run on one engine, every decode engine would otherwise
// prefill each shared prefix.
func (p *Placer) decodeOwner(now kumquatlug.Millis, q Query) *worker {
	return p.prefixOwner(q.Prompt, func(w *worker) bool { return p.acceptsOutput(now, w, &q, kumquatlug.RoleDecode) })
}

// mixedUncachedTokens returns the number of tokens of a prompt that w, which also decodes,
// has to prefill. The engine that prefilled the prompt before has all of it.
func (p *Placer) mixedUncachedTokens(now kumquatlug.Millis, w *worker, q *Query) float64 {
	if q.OneEngine && q.Cache.Engine == w.member.Worker.ID() {
		return 0
	}
	return p.uncachedTokens(now, w, q.Prompt, q.mixedOwner == w)
}

// beginTransfer records that the transfer of an attempt begins.
func (p *Placer) beginTransfer(now kumquatlug.Millis, t *Attempt, plan transfer) {
	if !plan.needed() {
		return
	}
	t.transfer = plan
	t.transfer.waits = p.waitsForCapacity(now, t.worker)
	t.transfer.aheadTokens = p.transfers.Begin(plan.path, plan.tokens)
}

// waitsForCapacity reports whether a request may have to wait for a slot, memory or a prefill at
// w. The time until its first output then does not show how long its transfer took.
func (p *Placer) waitsForCapacity(now kumquatlug.Millis, w *worker) bool {
	if w.slotsTaken || w.prefillTokens > smallPrefillTokens || float64(w.running)+p.otherRequestsAt(now, w) > float64(w.member.Slots) {
		return true
	}
	return p.kvCapacityTokens > 0 && w.kvTokens+p.otherRequestsAt(now, w)*p.meanKVTokens > kvFillFraction*p.kvCapacityTokens
}

// endTransfer records the time of an attempt's transfer at its first output, or how long it
// has taken at least when the attempt is given up.
func (p *Placer) endTransfer(now kumquatlug.Millis, t *Attempt, bound kvtransfer.Bound) {
	if t.ended || t.prefillDone {
		return
	}
	if now < t.sentAt {
		p.dropTransfer(t)
		return
	}
	late := float64(now-t.sentAt) - t.expectedWaitMs
	if !t.transfer.needed() {
		if bound == kvtransfer.BoundExact && t.worker.member.Role == kumquatlug.RoleDecode && t.uncachedTokens > 0 && t.uncachedTokens <= smallPrefillTokens {
			p.learnLag(late)
		}
		return
	}
	plan := t.transfer
	p.dropTransfer(t)
	if bound == kvtransfer.BoundExact && (plan.waits || p.waitsForCapacity(now, t.worker)) {
		bound = kvtransfer.BoundAtMost
	}
	ms := late + plan.expectedMs - p.firstOutputLagMs
	if bound == kvtransfer.BoundAtLeast && p.transfers.Slow(ms) {
		p.transfers.AddWasted(now, plan.prefilledTokens)
	}
	p.transfers.Observe(now, kvtransfer.Sample{Path: plan.path, Tokens: plan.tokens, AheadTokens: plan.aheadTokens, Ms: ms, Bound: bound})
}

// dropTransfer removes the pending transfer of an attempt.
func (p *Placer) dropTransfer(t *Attempt) {
	if t.transfer.needed() {
		p.transfers.End(t.transfer.path, t.transfer.tokens)
		t.transfer = transfer{}
	}
}

// transferBoundAtEnd returns what the end of an attempt says about its transfer. A response
// that is not a stream arrives as a whole, long after its transfer.
func transferBoundAtEnd(o Outcome) kvtransfer.Bound {
	if o == OutcomeServed {
		return kvtransfer.BoundAtMost
	}
	return kvtransfer.BoundAtLeast
}

// learnLag updates the usual lateness of first outputs.
func (p *Placer) learnLag(lateMs float64) {
	step := -lagStepMs * (1 - lagQuantile)
	if lateMs > p.firstOutputLagMs {
		step = lagStepMs * lagQuantile
	}
	p.firstOutputLagMs = min(max(p.firstOutputLagMs+step, 0), maxLagMs)
}

// CacheRecovery says what becomes of a request whose KV cache a decode engine refused.
type CacheRecovery string

// The recoveries from a refused cache.
const (
	// RecoverAtOtherEngine: another decode engine may take the same cache.
	RecoverAtOtherEngine CacheRecovery = "other_engine"
	// RecoverOnOneEngine: the prompt runs on one engine, which prefills it again.
	RecoverOnOneEngine CacheRecovery = "one_engine"
	// RecoverByPrefill: the prompt is prefilled again anywhere.
	RecoverByPrefill CacheRecovery = "prefill"
	// RecoverNot: the prompt has been prefilled twice, and the request is refused.
	RecoverNot CacheRecovery = "refuse"
)

// RefusedCache describes the refusal of a request whose KV cache another engine holds.
type RefusedCache struct {
	Query Query
	// TransferFailed says that nothing but the transfer explains the refusal, Reused that
	// the cache was refused before, Prefills how often the prompt has been prefilled.
	TransferFailed, Reused bool
	Prefills               int
}

// RecordRefusedCache records that an attempt was refused which needed a transfer, and
// returns how the request continues. It has to be called before the attempt ends.
func (p *Placer) RecordRefusedCache(now kumquatlug.Millis, t *Attempt, r RefusedCache) CacheRecovery {
	plan := t.transfer
	if t.ended || !plan.needed() {
		return RecoverAtOtherEngine
	}
	p.dropTransfer(t)
	r.TransferFailed = r.TransferFailed && !t.worker.changingRole(now) && !t.worker.slotsTaken
	if r.TransferFailed {
		t.transferFailed = true
		p.transfers.Fail(now, plan.path)
	}
	if !r.Reused {
		q := r.Query
		q.Exclude = append(slices.Clone(q.Exclude), t.id)
		other, found := p.ChooseDecode(now, q)
		if !r.TransferFailed || found && other.transfer.expectedMs == 0 {
			return RecoverAtOtherEngine
		}
	}
	p.transfers.AddWasted(now, plan.prefilledTokens)
	switch {
	case r.Prefills >= maxPrefillsPerRequest:
		return RecoverNot
	case r.TransferFailed:
		return RecoverOnOneEngine
	}
	return RecoverByPrefill
}

// maxPrefillsPerRequest is how often a prompt is prefilled if its cache can't be obtained.
const maxPrefillsPerRequest = 2

// TransferStats returns the counts of transfers and of the tokens prefilled for them.
func (p *Placer) TransferStats() kvtransfer.Stats { return p.transfers.Stats() }

// TransferChanges returns the pairs of data centres between which transfers became slow or
// recovered since the last call.
func (p *Placer) TransferChanges(now kumquatlug.Millis) []kvtransfer.ZoneChange {
	return p.transfers.Changes(now)
}
