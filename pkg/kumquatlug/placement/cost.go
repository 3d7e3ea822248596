package placement

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// otherRequestsAt is how many requests of other fronts are believed to be in hand at w.
// What it said fades to the mean of all: with thirty fronts each hears of a worker
// once in some hundred milliseconds, and one that was taken for empty by then would
// be given prompts to read beside the streams of the others. Reading engines say
// nothing of their load.
func (p *Placer) otherRequestsAt(now kumquatlug.Millis, w *worker) float64 {
	if w.member.Role == kumquatlug.RolePrefill {
		return 0
	}
	return p.meanOtherRequests + (w.otherRequests-p.meanOtherRequests)*math.Exp(-float64(now-w.reportedAt)/loadReportDecayMs)
}

// zonePenalty is what a worker in another data centre costs, in milliseconds.
func (p *Placer) zonePenalty(w *worker) float64 {
	if w.member.Zone == p.config.Zone {
		return 0
	}
	return p.config.ZonePrice
}

// backlogTokens is how many tokens are to be read at w before a new prompt. What other
// fronts have there is a part of it only where this one coordinates w: reading
// engines tell no load, and taken to be as long as this front's queue, a single prompt
// that waits by chance would look like an overload. How much longer reading takes
// beside theirs is in pace.
func (p *Placer) backlogTokens(now kumquatlug.Millis, w *worker) float64 {
	return p.inFlightTokens(now, w) + w.queuedTokens()
}

// prefillRate is how many tokens an engine reads in a ms.
func (p *Placer) prefillRate() float64 { return p.prefillModel.Rate() }

// effectiveTokens is how many tokens without context would be read in the time of the
// fresh ones of a prompt.
func (p *Placer) effectiveTokens(uncached float64, prompt kumquatlug.Prompt) float64 {
	if uncached <= 0 {
		return 0
	}
	ms := p.prefillModel.Time(uncached, max(float64(prompt.Input())-uncached, 0)) - p.prefillModel.Fixed()
	return ms * p.prefillRate()
}

// handoffMs is how much longer an engine's answer that it has read a prompt takes
// than the reading itself, in milliseconds.
func (p *Placer) handoffMs() float64 { return p.prefillModel.Fixed() + p.config.TransferCost }

// unsharedTokens is how many tokens of a prompt no other request shares.
func (p *Placer) unsharedTokens(prompt kumquatlug.Prompt) float64 {
	shared := 0
	for _, part := range prompt.Shared() {
		shared += part.Tokens()
	}
	return float64(max(prompt.Input()-shared, 0))
}

// uncachedTokens is how many tokens of a prompt w has to read. A chain's owner is taken
// to hold it: the other fronts send it there, too.
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

// slotWaitMs is how long a request waits for its place in the batch at w: beyond
// the slots, until requests before it have ended.
func (p *Placer) slotWaitMs(now kumquatlug.Millis, w *worker, prompt kumquatlug.Prompt) float64 {
	ahead := float64(w.running) + p.otherRequestsAt(now, w)
	slots := float64(w.member.Slots)
	wait := max(0, ahead+1-slots) * p.meanRunMs / max(slots, 1)
	if p.kvCapacity == 0 || ahead == 0 {
		return wait
	}
	lack := w.kvTokens + p.otherRequestsAt(now, w)*p.meanKVTokens + kvTokensFor(prompt) - kvFillFraction*p.kvCapacity
	return wait + max(0, lack)/p.meanKVTokens*p.meanRunMs/ahead
}

// kvTokensFor is the memory that a request takes while it runs, in tokens.
func kvTokensFor(prompt kumquatlug.Prompt) float64 {
	return float64(prompt.Input()) + meanOutputFraction*float64(prompt.Output())
}

// batchCostMs is how much longer a request's output takes at w for those that are
// there, in milliseconds.
func (p *Placer) batchCostMs(now kumquatlug.Millis, w *worker, prompt kumquatlug.Prompt) float64 {
	return (float64(w.running) + p.otherRequestsAt(now, w)) * batchTokenCostMs * meanOutputFraction * float64(prompt.Output())
}

// prefixKey names the chain of parts that a prompt shares with others.
func prefixKey(prompt kumquatlug.Prompt) uint64 {
	d := xxhash.New()
	for _, part := range prompt.Shared() {
		// A digest takes every byte and never fails.
		_, _ = d.WriteString(part.ID())
		_, _ = d.WriteString(",")
	}
	return d.Sum64()
}
