package placement

import (
	"math"
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/rendezvous"
)

// Query asks for a worker.
type Query struct {
	Prompt kumquatlug.Prompt
	// Exclude are workers not to be chosen.
	Exclude []string
	// Target is when the first output is due for its full worth, Until when the
	// client gives up; zero for never.
	Target kumquatlug.Millis
	Until  kumquatlug.Millis
	// Worth is what the request is worth beside the mean one of its route; zero
	// stands for 1.
	Worth float64
	// Begun says that the client has a part of the answer: to refuse it now breaks
	// that answer off, late as the rest may be.
	Begun bool
	// CacheZone is the data centre in which the prompt's KV cache lies, empty for
	// none.
	CacheZone string
	// Place is what was kept for the output when the prompt entered.
	Place Place
}

// Choice is the answer to a [Query].
type Choice struct {
	worker      kumquatlug.Worker
	zone        string
	prefillOnly bool
	// uncachedTokens is how many tokens are believed to be read anew, tokens the same with
	// the price of their context, as if there were none.
	uncachedTokens  float64
	effectiveTokens float64
	wait            float64
	cost            float64
	// delay is the part of wait before the attempt is sent.
	delay float64
	// reservation is what is kept for the output; kept says that the worker's limit counts the
	// attempt already.
	reservation Place
	reserved    bool
}

// Place returns what is kept for the output of a prompt that is read apart.
func (c Choice) Place() Place { return c.reservation }

// Zone returns the worker's data centre.
func (c Choice) Zone() string { return c.zone }

// Worker returns whom to call.
func (c Choice) Worker() kumquatlug.Worker { return c.worker }

// Apart reports that the worker only reads the prompt and another one is to be
// chosen for the output.
func (c Choice) Apart() bool { return c.prefillOnly }

// Wait returns the expected span until the first output.
func (c Choice) Wait() kumquatlug.Millis { return kumquatlug.Millis(c.wait) }

// Delay returns how long the attempt must be held back before it is sent, as its worker
// takes no more requests yet. Where no worker was found it is the least one of all.
func (c Choice) Delay() kumquatlug.Millis { return kumquatlug.Millis(math.Ceil(c.delay)) }

// eligible reports whether a worker may be given new work of a role. An engine
// that names no role reads and generates.
func (p *Placer) eligible(now kumquatlug.Millis, w *worker, q Query, role kumquatlug.Role) bool {
	id := w.member.Worker.ID()
	roleMatches := w.member.Role == role || role == kumquatlug.RoleDecode && w.member.Role == ""
	return w.member.State == kumquatlug.MemberReady && roleMatches && now >= max(w.backoffUntil, w.pausedUntil) && !w.changingRole(now) &&
		!slices.Contains(q.Exclude, id) && p.health.Weight(now, id) > 0
}

// Plain chooses the worker of a plain service with the least expected wait.
func (p *Placer) Plain(now kumquatlug.Millis, q Query) (Choice, bool) {
	var best Choice
	minCost, found := math.Inf(1), false
	limited := newLimitedWorkers()
	for _, w := range p.ordered {
		if !p.eligible(now, w, q, w.member.Role) {
			continue
		}
		ahead := float64(w.running) + p.otherRequestsAt(now, w)
		slots := float64(max(w.member.Slots, 1))
		queue := max(0, ahead+1-slots) / slots * p.meanPlainMs
		if limited.exclude(now, w, q, queue+p.meanPlainMs) {
			continue
		}
		delay := w.limit.Delay(now)
		wait := delay + queue
		cost := (wait + ahead/slots + p.zonePenalty(w)) / p.health.Weight(now, w.member.Worker.ID())
		if cost < minCost {
			minCost, found = cost, true
			best = Choice{worker: w.member.Worker, wait: wait, delay: delay}
		}
	}
	return p.bestOrDelay(now, best, found, limited), found
}

// Prompt chooses where a prompt is read: apart from its output, or by the
// engine that then generates.
func (p *Placer) Prompt(now kumquatlug.Millis, q Query) (Choice, bool) {
	output, outputFound := p.Output(now, Query{Prompt: q.Prompt, Target: q.Target, Until: q.Until})
	if !outputFound {
		return output, false
	}
	mixed, mixedCost, mixedFound := p.cheapestMixed(now, q)
	prefill, prefillCost, prefillFound := p.cheapestPrefill(now, q)
	if !prefillFound || mixedFound && mixedCost < prefillCost+output.cost {
		return mixed, mixedFound
	}
	prefill.wait += output.wait
	prefill.reservation = p.reservationFor(now, output)
	return prefill, true
}

// cheapestPrefill finds the engine to read the prompt apart.
func (p *Placer) cheapestPrefill(now kumquatlug.Millis, q Query) (Choice, float64, bool) {
	key := prefixKey(q.Prompt)
	owner, ownerKey := (*worker)(nil), uint64(0)
	for _, w := range p.ordered {
		if !p.canPrefill(now, w, q) {
			continue
		}
		if h := rendezvous.Mix(key ^ w.hash); owner == nil || h > ownerKey {
			owner, ownerKey = w, h
		}
	}
	if owner == nil {
		return Choice{}, 0, false
	}
	minCost, best := math.Inf(1), Choice{}
	for _, w := range p.ordered {
		if !p.canPrefill(now, w, q) {
			continue
		}
		weight := p.health.Weight(now, w.member.Worker.ID())
		uncached := p.uncachedTokens(now, w, q.Prompt, w == owner)
		tokens := p.effectiveTokens(uncached, q.Prompt)
		wait := (p.backlogTokens(now, w) + tokens) / p.prefillRate() * p.slowdown / weight
		recomputed := uncached - p.unsharedTokens(q.Prompt)
		cost := wait + p.config.AwayPrice*recomputed/p.prefillRate() + p.zonePenalty(w)
		if cost < minCost {
			minCost = cost
			best = Choice{
				worker: w.member.Worker, zone: w.member.Zone, prefillOnly: true, uncachedTokens: uncached, effectiveTokens: tokens, wait: wait + p.handoffMs(),
			}
		}
	}
	return best, minCost + p.config.TransferCost, true
}

// canPrefill reports that an engine may be given a prompt to read apart. One that takes no
// more requests yet is left out: a prompt is better read elsewhere than late.
func (p *Placer) canPrefill(now kumquatlug.Millis, w *worker, q Query) bool {
	return p.eligible(now, w, q, kumquatlug.RolePrefill) && w.limit.Delay(now) == 0
}

// cheapestMixed finds the engine to read the prompt and generate.
func (p *Placer) cheapestMixed(now kumquatlug.Millis, q Query) (Choice, float64, bool) {
	minCost, best, found := math.Inf(1), Choice{}, false
	limited := newLimitedWorkers()
	for _, w := range p.ordered {
		if !p.eligible(now, w, q, kumquatlug.RoleDecode) {
			continue
		}
		uncached, rate := p.uncachedTokens(now, w, q.Prompt, false), p.prefillRate()
		if w.member.Role == kumquatlug.RoleDecode {
			rate *= p.config.MixedPart
		}
		tokens := p.effectiveTokens(uncached, q.Prompt)
		read := tokens / rate
		rest := w.prefillTokens/rate + read + p.slotWaitMs(now, w, q.Prompt)
		if limited.exclude(now, w, q, rest+postPrefillMs) {
			continue
		}
		delay := w.limit.Delay(now)
		wait := delay + rest
		weight := p.health.Weight(now, w.member.Worker.ID())
		slotLoad := (float64(w.running) + p.otherRequestsAt(now, w)) / float64(max(w.member.Slots, 1))
		blockedMs := max(0, uncached-smallPrefillTokens) / rate
		cost := (wait+p.batchCostMs(now, w, q.Prompt))/weight + p.config.MixedPrice*slotLoad*blockedMs + p.zonePenalty(w)
		if cost < minCost {
			minCost, found = cost, true
			best = Choice{worker: w.member.Worker, uncachedTokens: uncached, effectiveTokens: tokens, wait: wait, delay: delay}
		}
	}
	return p.bestOrDelay(now, best, found, limited), minCost, found
}

// Output chooses the engine that generates from a KV cache read elsewhere.
func (p *Placer) Output(now kumquatlug.Millis, q Query) (Choice, bool) {
	if c, reserved := p.reservedChoice(now, q); reserved {
		return c, true
	}
	minCost, best, found := math.Inf(1), Choice{}, false
	limited := newLimitedWorkers()
	for _, w := range p.ordered {
		if !p.eligible(now, w, q, kumquatlug.RoleDecode) {
			continue
		}
		slot := p.slotWaitMs(now, w, q.Prompt)
		if limited.exclude(now, w, q, slot+postPrefillMs) {
			continue
		}
		delay := w.limit.Delay(now)
		wait := delay + slot
		cost := wait + p.batchCostMs(now, w, q.Prompt) + w.prefillTokens/p.prefillRate()
		cost = cost/p.health.Weight(now, w.member.Worker.ID()) + p.zonePenalty(w)
		if q.CacheZone != "" && w.member.Zone != q.CacheZone {
			cost += crossZoneCacheCostMs
		}
		if cost < minCost {
			minCost, found = cost, true
			best = Choice{worker: w.member.Worker, wait: wait, cost: cost, delay: delay}
		}
	}
	return p.bestOrDelay(now, best, found, limited), found
}
