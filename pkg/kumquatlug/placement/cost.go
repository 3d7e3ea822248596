package placement

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// otherRequestsAt estimates the number of requests of other gateways in flight at w.
// The last report of w decays to the mean of all workers: with thirty gateways each
// gets a report of a worker only every few hundred milliseconds, and a worker assumed
// to be idle by then would be given prompts to prefill beside the streams of other
// gateways. Prefill engines report no load.
func (p *Placer) otherRequestsAt(now kumquatlug.Millis, w *worker) float64 {
	if w.member.Role == kumquatlug.RolePrefill {
		return 0
	}
	if others, known := p.sharedRequestsAt(now, w); known {
		return others
	}
	return p.reportedRequestsAt(now, w)
}

// reportedRequestsAt is otherRequestsAt by the last report of w alone.
func (p *Placer) reportedRequestsAt(now kumquatlug.Millis, w *worker) float64 {
	mean := p.meanOtherRequests
	if p.speeds.Active() {
		// Workers of different speeds have different numbers of requests.
		mean = w.meanOtherRequests
	}
	return mean + (w.otherRequests-mean)*math.Exp(-float64(now-w.reportedAt)/loadReportDecayMs)
}

// zonePenalty returns the cost of a worker in another data centre, in milliseconds.
func (p *Placer) zonePenalty(w *worker) float64 {
	if w.member.Zone == p.config.Zone {
		return 0
	}
	return p.config.ZonePenaltyMs
}

// backlogTokens returns the number of tokens to prefill at w before a new prompt. It
// includes the prompts of other gateways only if this one coordinates w: prefill
// engines report no load, and if the queues of others were assumed to be as long as
// this gateway's, a single prompt that waits by chance would look like an overload. The
// delay that the prompts of others cause is part of slowdown.
func (p *Placer) backlogTokens(now kumquatlug.Millis, w *worker) float64 {
	return p.inFlightTokens(now, w) + w.queuedTokens()
}

// prefillRate returns the number of tokens that an engine prefills in a ms.
func (p *Placer) prefillRate() float64 { return p.prefillModel.TokensPerMs() }

// effectiveTokens returns the number of tokens without context that take as long to
// prefill as the uncached tokens of a prompt.
func (p *Placer) effectiveTokens(uncached float64, prompt kumquatlug.Prompt) float64 {
	if uncached <= 0 {
		return 0
	}
	ms := p.prefillModel.Time(uncached, max(float64(prompt.Input())-uncached, 0)) - p.prefillModel.FixedCost()
	return ms * p.prefillRate()
}

// handoffMs returns how much longer an engine's response to a prefill takes than the
// prefill itself, in milliseconds.
func (p *Placer) handoffMs() float64 { return p.prefillModel.FixedCost() + p.config.TransferCostMs }

// unsharedTokens returns the number of tokens of a prompt that no other request shares.
func (p *Placer) unsharedTokens(prompt kumquatlug.Prompt) float64 {
	shared := 0
	for _, part := range prompt.Shared() {
		shared += part.Tokens()
	}
	return float64(max(prompt.Input()-shared, 0))
}

// uncachedTokens returns the number of tokens of a prompt that w has to prefill. The
// owner of a shared prefix is assumed to have it cached, as the other gateways send it
// there, too.
func (p *Placer) uncachedTokens(now kumquatlug.Millis, w *worker, prompt kumquatlug.Prompt, owner bool) float64 {
	if owner {
		return p.unsharedTokens(prompt)
	}
	left := prompt.Input()
	for _, part := range prompt.Shared() {
		last, cached := w.cachedParts[part.ID()]
		if !cached || now-last.lastUsedAt > cacheLifetime {
			break
		}
		left -= part.Tokens()
	}
	return float64(max(left, 0))
}

// slotWaitMs returns how long a request waits for a slot at w, in milliseconds: beyond
// the slots or the KV memory, until earlier requests have ended.
func (p *Placer) slotWaitMs(now kumquatlug.Millis, w *worker, prompt kumquatlug.Prompt) float64 {
	ahead := float64(w.running) + p.otherRequestsAt(now, w)
	slots := float64(w.member.Slots)
	wait := max(0, ahead+1-slots) * p.meanRunMs / max(slots, 1)
	if wait > 0 {
		wait *= p.workTime(now, w, p.meanRunMs)
	}
	if p.kvCapacityTokens == 0 || ahead == 0 {
		return wait
	}
	lack := w.kvTokens + p.otherRequestsAt(now, w)*p.meanKVTokens + kvTokensFor(prompt) - kvFillFraction*p.kvCapacityTokens
	return wait + max(0, lack)/p.meanKVTokens*p.meanRunMs/ahead
}

// kvTokensFor returns the KV memory that a request takes while it runs, in tokens.
func kvTokensFor(prompt kumquatlug.Prompt) float64 {
	return float64(prompt.Input()) + meanOutputFraction*float64(prompt.Output())
}

// batchCostMs returns how much longer the output of a request takes at w because of the
// other requests there, in milliseconds.
func (p *Placer) batchCostMs(now kumquatlug.Millis, w *worker, prompt kumquatlug.Prompt) float64 {
	return (float64(w.running) + p.otherRequestsAt(now, w)) * batchTokenCostMs * meanOutputFraction * float64(prompt.Output())
}

// prefixKey returns the hash of the prefix that a prompt shares with others.
func prefixKey(prompt kumquatlug.Prompt) uint64 {
	d := xxhash.New()
	for _, part := range prompt.Shared() {
		// Writing to a digest never fails.
		_, _ = d.WriteString(part.ID())
		_, _ = d.WriteString(",")
	}
	return d.Sum64()
}
