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
	worker kumquatlug.Worker
	zone   string
	apart  bool
	// fresh is how many tokens are believed to be read anew, tokens the same with
	// the price of their context, as if there were none.
	fresh  float64
	tokens float64
	wait   float64
	cost   float64
	// delay is the part of wait before the attempt is sent.
	delay float64
	// place is what is kept for the output; kept says that the worker's limit counts the
	// attempt already.
	place Place
	kept  bool
}

// Place returns what is kept for the output of a prompt that is read apart.
func (c Choice) Place() Place { return c.place }

// Zone returns the worker's data centre.
func (c Choice) Zone() string { return c.zone }

// Worker returns whom to call.
func (c Choice) Worker() kumquatlug.Worker { return c.worker }

// Apart reports that the worker only reads the prompt and another one is to be
// chosen for the output.
func (c Choice) Apart() bool { return c.apart }

// Wait returns the expected span until the first output.
func (c Choice) Wait() kumquatlug.Millis { return kumquatlug.Millis(c.wait) }

// Delay returns how long the attempt must be held back before it is sent, as its worker
// takes no more requests yet. Where no worker was found it is the least one of all.
func (c Choice) Delay() kumquatlug.Millis { return kumquatlug.Millis(math.Ceil(c.delay)) }

// usable reports whether a worker may be given new work of a role. An engine
// that names no role reads and generates.
func (p *Placer) usable(now kumquatlug.Millis, w *worker, q Query, role kumquatlug.Role) bool {
	id := w.member.Worker.ID()
	has := w.member.Role == role || role == kumquatlug.RoleDecode && w.member.Role == ""
	return w.member.State == kumquatlug.MemberReady && has && now >= max(w.until, w.pausedUntil) && !w.leaves(now) &&
		!slices.Contains(q.Exclude, id) && p.health.Weight(now, id) > 0
}

// Plain chooses the worker of a plain service with the least expected wait.
func (p *Placer) Plain(now kumquatlug.Millis, q Query) (Choice, bool) {
	var best Choice
	least, found := math.Inf(1), false
	held := newHeld()
	for _, w := range p.list {
		if !p.usable(now, w, q, w.member.Role) {
			continue
		}
		ahead := float64(w.runs) + p.othersNow(now, w)
		slots := float64(max(w.member.Slots, 1))
		queue := max(0, ahead+1-slots) / slots * p.meanTime
		if held.back(now, w, q, queue+p.meanTime) {
			continue
		}
		delay := w.limit.Delay(now)
		wait := delay + queue
		cost := (wait + ahead/slots + p.zonePrice(w)) / p.health.Weight(now, w.member.Worker.ID())
		if cost < least {
			least, found = cost, true
			best = Choice{worker: w.member.Worker, wait: wait, delay: delay}
		}
	}
	return p.bestOr(now, best, found, held), found
}

// Prompt chooses where a prompt is read: apart from its output, or by the
// engine that then generates.
func (p *Placer) Prompt(now kumquatlug.Millis, q Query) (Choice, bool) {
	output, can := p.Output(now, Query{Prompt: q.Prompt, Target: q.Target, Until: q.Until})
	if !can {
		return output, false
	}
	mixed, mixedCost, also := p.mixed(now, q)
	apart, apartCost, found := p.reader(now, q)
	if !found || also && mixedCost < apartCost+output.cost {
		return mixed, also
	}
	apart.wait += output.wait
	apart.place = p.placeAt(now, output)
	return apart, true
}

// reader finds the engine to read the prompt apart.
func (p *Placer) reader(now kumquatlug.Millis, q Query) (Choice, float64, bool) {
	key := chainKey(q.Prompt)
	owner, ownerKey := (*worker)(nil), uint64(0)
	for _, w := range p.list {
		if !p.readable(now, w, q) {
			continue
		}
		if h := rendezvous.Mix(key ^ w.hash); owner == nil || h > ownerKey {
			owner, ownerKey = w, h
		}
	}
	if owner == nil {
		return Choice{}, 0, false
	}
	least, best := math.Inf(1), Choice{}
	for _, w := range p.list {
		if !p.readable(now, w, q) {
			continue
		}
		weight := p.health.Weight(now, w.member.Worker.ID())
		fresh := p.unheld(now, w, q.Prompt, w == owner)
		tokens := p.priced(fresh, q.Prompt)
		wait := (p.backlog(now, w) + tokens) / p.rate() * p.pace / weight
		away := fresh - p.own(q.Prompt)
		cost := wait + p.c.AwayPrice*away/p.rate() + p.zonePrice(w)
		if cost < least {
			least = cost
			best = Choice{
				worker: w.member.Worker, zone: w.member.Zone, apart: true, fresh: fresh, tokens: tokens, wait: wait + p.handOver(),
			}
		}
	}
	return best, least + p.c.TransferCost, true
}

// readable reports that an engine may be given a prompt to read apart. One that takes no
// more requests yet is left out: a prompt is better read elsewhere than late.
func (p *Placer) readable(now kumquatlug.Millis, w *worker, q Query) bool {
	return p.usable(now, w, q, kumquatlug.RolePrefill) && w.limit.Delay(now) == 0
}

// mixed finds the engine to read the prompt and generate.
func (p *Placer) mixed(now kumquatlug.Millis, q Query) (Choice, float64, bool) {
	least, best, found := math.Inf(1), Choice{}, false
	held := newHeld()
	for _, w := range p.list {
		if !p.usable(now, w, q, kumquatlug.RoleDecode) {
			continue
		}
		fresh, rate := p.unheld(now, w, q.Prompt, false), p.rate()
		if w.member.Role == kumquatlug.RoleDecode {
			rate *= p.c.MixedPart
		}
		tokens := p.priced(fresh, q.Prompt)
		read := tokens / rate
		rest := w.tokens/rate + read + p.slotWait(now, w, q.Prompt)
		if held.back(now, w, q, rest+afterRead) {
			continue
		}
		delay := w.limit.Delay(now)
		wait := delay + rest
		weight := p.health.Weight(now, w.member.Worker.ID())
		taken := (float64(w.runs) + p.othersNow(now, w)) / float64(max(w.member.Slots, 1))
		disturbed := max(0, fresh-smallRead) / rate
		cost := (wait+p.batchCost(now, w, q.Prompt))/weight + p.c.MixedPrice*taken*disturbed + p.zonePrice(w)
		if cost < least {
			least, found = cost, true
			best = Choice{worker: w.member.Worker, fresh: fresh, tokens: tokens, wait: wait, delay: delay}
		}
	}
	return p.bestOr(now, best, found, held), least, found
}

// Output chooses the engine that generates from a KV cache read elsewhere.
func (p *Placer) Output(now kumquatlug.Millis, q Query) (Choice, bool) {
	if c, kept := p.atPlace(now, q); kept {
		return c, true
	}
	least, best, found := math.Inf(1), Choice{}, false
	held := newHeld()
	for _, w := range p.list {
		if !p.usable(now, w, q, kumquatlug.RoleDecode) {
			continue
		}
		slot := p.slotWait(now, w, q.Prompt)
		if held.back(now, w, q, slot+afterRead) {
			continue
		}
		delay := w.limit.Delay(now)
		wait := delay + slot
		cost := wait + p.batchCost(now, w, q.Prompt) + w.tokens/p.rate()
		cost = cost/p.health.Weight(now, w.member.Worker.ID()) + p.zonePrice(w)
		if q.CacheZone != "" && w.member.Zone != q.CacheZone {
			cost += cacheZoneCost
		}
		if cost < least {
			least, found = cost, true
			best = Choice{worker: w.member.Worker, wait: wait, cost: cost, delay: delay}
		}
	}
	return p.bestOr(now, best, found, held), found
}
