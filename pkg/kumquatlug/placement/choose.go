package placement

import (
	"math"
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Query describes the request for which a worker is chosen.
type Query struct {
	Prompt kumquatlug.Prompt
	// Exclude lists workers that must not be chosen.
	Exclude []string
	// Version is the version of the worker that generates the output, empty for any. The prompt
	// may be prefilled at another one.
	Version string
	// FirstOutputDue is when the first output is due for the request to have its full value,
	// Deadline when the client gives up; zero for never.
	FirstOutputDue kumquatlug.Millis
	Deadline       kumquatlug.Millis
	// Value is the value of the request relative to the mean of its route; zero means
	// 1.
	Value float64
	// ResponseStarted says that the client already has part of the response: refusing the
	// request now truncates that response, however late the rest is.
	ResponseStarted bool
	// CacheZone is the data centre that holds the prompt's KV cache, empty if there is
	// none.
	CacheZone string
	// MaxEventGap is the longest permitted pause between two events, zero for any.
	MaxEventGap kumquatlug.Millis
	// Cache is the KV cache that the request is decoded from, or that could not be obtained.
	Cache KVCache
	// OneEngine says that the prompt must be prefilled by the engine that decodes.
	OneEngine bool
	// mixedOwner is the engine assumed to have the shared prefix cached if the prompt runs
	// on one engine, nil for none.
	mixedOwner *worker
	// Reservation is what was reserved for decoding when the prompt was submitted.
	Reservation Reservation
	// SecondBodyMs is what sending the request to a second engine costs on the gateway's
	// link, in milliseconds.
	SecondBodyMs float64
}

// Choice is the result of a [Query].
type Choice struct {
	worker      kumquatlug.Worker
	zone        string
	prefillOnly bool
	// uncachedTokens is the number of tokens assumed to need prefill. effectiveTokens
	// is the number of tokens without preceding context that would take as long.
	uncachedTokens  float64
	effectiveTokens float64
	waitMs          float64
	cost            float64
	// delayMs is the part of waitMs that passes before the attempt is sent.
	delayMs float64
	// reservation is what is reserved for decoding. reserved says that the worker's
	// rate limit already counts the attempt.
	reservation Reservation
	reserved    bool
	// slotHeld says that a decode slot at the worker is held for the request.
	slotHeld bool
	// transfer is the transfer of the KV cache to the worker; waitMs includes its expected
	// time.
	transfer transfer
	// returned says that a stream goes on at the worker that it could not be moved away from.
	returned bool
}

// Returned reports whether a stream goes on at the worker that it could not be moved away from.
func (c Choice) Returned() bool { return c.returned }

// Reservation returns what is reserved for decoding a prompt that is prefilled at another
// engine.
func (c Choice) Reservation() Reservation { return c.reservation }

// Zone returns the worker's data centre.
func (c Choice) Zone() string { return c.zone }

// Worker returns the worker to call.
func (c Choice) Worker() kumquatlug.Worker { return c.worker }

// PrefillOnly reports whether the worker only prefills the prompt, so that another one has to
// be chosen for decoding.
func (c Choice) PrefillOnly() bool { return c.prefillOnly }

// UncachedTokens returns the number of tokens that the worker is expected to prefill.
func (c Choice) UncachedTokens() int { return int(c.uncachedTokens) }

// Wait returns the expected time until the first output.
func (c Choice) Wait() kumquatlug.Millis { return kumquatlug.Millis(c.waitMs) }

// Delay returns how long the attempt must be delayed before it is sent, because its
// worker's rate limit allows no request yet. If no worker was found, it is the shortest
// delay of all workers.
func (c Choice) Delay() kumquatlug.Millis { return kumquatlug.Millis(math.Ceil(c.delayMs)) }

// accepts reports whether a worker may be given new requests of a role. An engine without a
// role prefills and decodes. Each choice calls it several times for every worker; a copy of the
// whole [Query] would take a good part of its time.
func (p *Placer) accepts(now kumquatlug.Millis, w *worker, exclude []string, role kumquatlug.Role) bool {
	id := w.member.Worker.ID()
	roleMatches := w.member.Role == role || role == kumquatlug.RoleDecode && w.member.Role == ""
	return w.member.State == kumquatlug.MemberReady && roleMatches && now >= max(w.backoffUntil, w.requestedBackoffUntil) && !w.changingRole(now) &&
		!w.barred(now) && !slices.Contains(exclude, id) && p.health.Weight(now, id) > 0
}

// acceptsOutput reports whether a worker may be given a request of which it generates the output.
func (p *Placer) acceptsOutput(now kumquatlug.Millis, w *worker, q *Query, role kumquatlug.Role) bool {
	return (q.Version == "" || w.member.Worker.Version() == q.Version) && p.accepts(now, w, q.Exclude, role)
}

// ChoosePlain chooses the worker of a plain service with the shortest expected wait.
func (p *Placer) ChoosePlain(now kumquatlug.Millis, q Query) (Choice, bool) {
	var best Choice
	minCost, found := math.Inf(1), false
	limited := newLimitedWorkers()
	for _, w := range p.ordered {
		if !p.acceptsOutput(now, w, &q, w.member.Role) {
			continue
		}
		ahead := float64(w.running) + p.otherRequestsAt(now, w)
		slots := float64(max(w.member.Slots, 1))
		ratio := p.workTime(now, w, p.meanPlainMs)
		queue := max(0, ahead+1-slots) / slots * p.meanPlainMs * ratio
		if limited.exclude(now, w, &q, queue+p.meanPlainMs*ratio) {
			continue
		}
		delay := w.limit.Delay(now)
		wait := delay + queue
		cost := (wait + p.plainSpeedCostMs(ratio, ahead/slots) + ahead/slots + p.zonePenalty(w)) / p.health.Weight(now, w.member.Worker.ID())
		if cost < minCost {
			minCost, found = cost, true
			best = Choice{worker: w.member.Worker, waitMs: wait, delayMs: delay}
		}
	}
	return p.bestOrDelay(now, best, found, limited), found
}

// ChoosePrompt chooses where a prompt is prefilled: at an engine that only prefills, or at
// the one that then decodes.
func (p *Placer) ChoosePrompt(now kumquatlug.Millis, q Query) (Choice, bool) {
	output, outputFound := p.ChooseDecode(now, Query{Prompt: q.Prompt, Version: q.Version, FirstOutputDue: q.FirstOutputDue, Deadline: q.Deadline, MaxEventGap: q.MaxEventGap})
	if !outputFound {
		return output, false
	}
	prefill, prefillCost, prefillFound := p.cheapestPrefill(now, q)
	if q.OneEngine || p.transfers.Relevant(now) {
		return p.choosePromptByTransfer(now, q, output, prefill, prefillCost, prefillFound)
	}
	mixed, mixedCost, mixedFound := p.cheapestMixed(now, q)
	if !prefillFound || mixedFound && mixedCost < prefillCost+output.cost+q.SecondBodyMs {
		return mixed, mixedFound
	}
	prefill.waitMs += output.waitMs
	prefill.reservation = p.reservationFor(now, output)
	return prefill, true
}

// cheapestPrefill returns the engine that only prefills the prompt at the lowest cost.
func (p *Placer) cheapestPrefill(now kumquatlug.Millis, q Query) (Choice, float64, bool) {
	owner := p.prefixOwner(q.Prompt, func(w *worker) bool { return p.canPrefill(now, w, q.Exclude) })
	if owner == nil {
		return Choice{}, 0, false
	}
	minCost, best := math.Inf(1), Choice{}
	for _, w := range p.ordered {
		if !p.canPrefill(now, w, q.Exclude) {
			continue
		}
		weight := p.health.Weight(now, w.member.Worker.ID())
		uncached := p.uncachedTokens(now, w, q.Prompt, w == owner)
		tokens := p.effectiveTokens(uncached, q.Prompt)
		wait := p.prefillMs(now, w, p.backlogTokens(now, w)+tokens) / weight
		recomputed := uncached - p.unsharedTokens(q.Prompt)
		cost := wait + p.config.RecomputePenalty*recomputed/p.prefillRate() + p.zonePenalty(w)
		if cost < minCost {
			minCost = cost
			best = Choice{
				worker: w.member.Worker, zone: w.member.Zone, prefillOnly: true, uncachedTokens: uncached, effectiveTokens: tokens, waitMs: wait + p.handoffMs(),
			}
		}
	}
	return best, minCost + p.config.TransferCostMs, true
}

// prefixOwner returns the owner of a prompt's prefix among the workers that are candidates,
// nil if there is none.
func (p *Placer) prefixOwner(prompt kumquatlug.Prompt, candidate func(w *worker) bool) *worker {
	key := prefixKey(prompt)
	owner, highest := (*worker)(nil), 0.0
	for _, w := range p.ordered {
		if !candidate(w) {
			continue
		}
		if score := p.ownerScore(w, key); owner == nil || score > highest {
			owner, highest = w, score
		}
	}
	return owner
}

// canPrefill reports whether an engine may be given a prompt to prefill only. One whose
// rate limit allows no request yet is excluded: it is better to prefill a prompt
// elsewhere than late.
func (p *Placer) canPrefill(now kumquatlug.Millis, w *worker, exclude []string) bool {
	return p.accepts(now, w, exclude, kumquatlug.RolePrefill) && w.limit.Delay(now) == 0
}

// cheapestMixed returns the engine that prefills and decodes at the lowest cost.
func (p *Placer) cheapestMixed(now kumquatlug.Millis, q Query) (Choice, float64, bool) {
	minCost, best, found := math.Inf(1), Choice{}, false
	limited, keeps := newLimitedWorkers(), p.keepsPauseLimit(now, q)
	for _, w := range p.ordered {
		if !p.acceptsOutput(now, w, &q, kumquatlug.RoleDecode) || keeps && p.exceedsPauseLimit(now, w, &q) {
			continue
		}
		uncached, rate := p.mixedUncachedTokens(now, w, &q), p.prefillRate()
		if w.member.Role == kumquatlug.RoleDecode {
			rate *= p.config.MixedPrefillFraction
		}
		tokens := p.effectiveTokens(uncached, q.Prompt)
		rate /= p.workTime(now, w, tokens/rate)
		prefill := tokens / rate
		rest := w.prefillTokens/rate + prefill + p.slotWaitMs(now, w, q.Prompt)
		if limited.exclude(now, w, &q, rest+postPrefillMs) {
			continue
		}
		delay := w.limit.Delay(now)
		wait := delay + rest
		weight := p.health.Weight(now, w.member.Worker.ID())
		slotLoad := (float64(w.running) + p.otherRequestsAt(now, w)) / float64(max(w.member.Slots, 1))
		blockedMs := max(0, uncached-smallPrefillTokens) / rate
		cost := (wait+p.batchCostMs(now, w, q.Prompt)+p.decodeCostMs(now, w, q.Prompt))/weight + p.config.MixedPrefillPenalty*slotLoad*blockedMs + p.zonePenalty(w)
		if cost < minCost {
			minCost, found = cost, true
			best = Choice{worker: w.member.Worker, uncachedTokens: uncached, effectiveTokens: tokens, waitMs: wait, delayMs: delay}
		}
	}
	return p.bestOrDelay(now, best, found, limited), minCost, found
}

// ChooseDecode chooses the engine that decodes from a KV cache that was prefilled at another
// one.
func (p *Placer) ChooseDecode(now kumquatlug.Millis, q Query) (Choice, bool) {
	if c, reserved := p.reservedChoice(now, q); reserved {
		return c, true
	}
	p.noteStream(q)
	minCost, best, found := math.Inf(1), Choice{}, false
	limited, keeps := newLimitedWorkers(), p.keepsPauseLimit(now, q)
	for _, w := range p.ordered {
		if !p.acceptsOutput(now, w, &q, kumquatlug.RoleDecode) || keeps && p.exceedsPauseLimit(now, w, &q) {
			continue
		}
		slot := p.slotWaitMs(now, w, q.Prompt)
		if limited.exclude(now, w, &q, slot+postPrefillMs) {
			continue
		}
		delay, cacheTransfer := w.limit.Delay(now), transfer{}
		if q.Cache.Engine != "" {
			cacheTransfer = p.transferTo(now, w, &q)
		}
		wait := delay + slot + cacheTransfer.expectedMs
		cost := wait + p.batchCostMs(now, w, q.Prompt) + p.decodeCostMs(now, w, q.Prompt) + p.reservedSlotCostMs(w, q.Prompt) + w.prefillTokens/p.prefillRate()
		cost = cost/p.health.Weight(now, w.member.Worker.ID()) + p.zonePenalty(w)
		if q.CacheZone != "" && w.member.Zone != q.CacheZone {
			cost += crossZoneCacheCostMs
		}
		if cost < minCost {
			minCost, found = cost, true
			best = Choice{worker: w.member.Worker, waitMs: wait, cost: cost, delayMs: delay, transfer: cacheTransfer}
		}
	}
	return p.bestOrDelay(now, best, found, limited), found
}
