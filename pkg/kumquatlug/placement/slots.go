package placement

import (
	"math"
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/decodeslots"
)

// Where there are more gateways than an engine has slots, a gateway asks the coordinator of
// an engine for a slot before it decodes there; see package decodeslots. For a prompt that is
// prefilled at another engine it asks when the prefill begins, for all others after the engine
// was chosen.

// sharedSlots is the state of the slots of a service.
type sharedSlots struct {
	slots *decodeslots.Slots
	// active says that there are more gateways than slots.
	active bool
	// asks are the questions without a response, by sequence.
	asks map[uint64]*SlotAsk
}

// SlotAsk is a question for a decode slot. If an engine denies one, the engine with the next
// lowest cost is asked.
type SlotAsk struct {
	query Query
	// cached says that the KV cache of the prompt exists or is being made, so that the
	// engine does not prefill.
	cached bool
	choice Choice
	// worker is the engine that was asked last. After a restart under the same name it is
	// another one, and the slot is not held there.
	worker   *worker
	attempt  *Attempt
	decision decodeslots.Decision
	sequence uint64
	denied   []string
}

// Decision returns the current decision.
func (a *SlotAsk) Decision() decodeslots.Decision { return a.decision }

// Choice returns the engine that was asked last.
func (a *SlotAsk) Choice() Choice { return a.choice }

// Attempt returns the attempt that has begun at that engine, nil if none has.
func (a *SlotAsk) Attempt() *Attempt { return a.attempt }

// ShareSlots sets the number of gateways that use the engines. Slots are shared if all
// engines that decode have fewer slots than that.
func (p *Placer) ShareSlots(gateways int, c decodeslots.Config) {
	most := 0
	for _, w := range p.ordered {
		if w.member.Role != kumquatlug.RolePrefill {
			most = max(most, w.member.Slots)
		}
	}
	active := c.Coordinators != nil && most > 0 && most < gateways
	if active == p.shared.active {
		return
	}
	p.shared.active = active
	if !active {
		return
	}
	if p.shared.slots == nil {
		p.shared.slots = decodeslots.New(c)
	}
	p.shared.asks = map[uint64]*SlotAsk{}
	for id, w := range p.workers {
		p.shared.slots.Reset(id)
		for _, t := range w.attempts {
			if t.usesSlot = !t.prefillOnly; t.usesSlot {
				p.shared.slots.Begin(id)
			}
		}
	}
}

// SlotsShared reports whether gateways share the decode slots of the engines.
func (p *Placer) SlotsShared() bool { return p.shared.active }

// SlotReport is what a gateway has to send, log and count.
type SlotReport struct {
	Messages []decodeslots.Message
	Changes  []decodeslots.Change
	Stats    decodeslots.Stats
}

// Empty reports whether there is nothing to send, log or count.
func (r *SlotReport) Empty() bool {
	return len(r.Messages) == 0 && len(r.Changes) == 0 && r.Stats == decodeslots.Stats{}
}

// SlotReport returns what has happened since the last call.
func (p *Placer) SlotReport() SlotReport {
	if !p.shared.active {
		return SlotReport{}
	}
	s := p.shared.slots
	return SlotReport{Messages: s.Outbox(), Changes: s.Changes(), Stats: s.TakeStats()}
}

// TickSlots sends the counts that are due. It has to be called every few hundredths of a
// second.
func (p *Placer) TickSlots(now kumquatlug.Millis) {
	if p.shared.active {
		p.shared.slots.Tick(now)
	}
}

// resetSlots forgets the streams at an engine that restarted, removeSlots those at one that
// left.
func (p *Placer) resetSlots(id string) {
	if p.shared.active {
		p.shared.slots.Reset(id)
	}
}

func (p *Placer) removeSlots(id string) {
	// Also while slots are not shared: they may be again, and the engine would be reported
	// for the life of the process.
	if p.shared.slots != nil {
		p.shared.slots.Remove(id)
	}
}

// sharedRequestsAt returns the number of requests of other gateways at w by the newest total,
// and the slots that this gateway holds for prompts that are being prefilled.
func (p *Placer) sharedRequestsAt(now kumquatlug.Millis, w *worker) (float64, bool) {
	if !p.shared.active {
		return 0, false
	}
	return p.shared.slots.Others(now, w.member.Worker.ID())
}

// beginSlot records that an attempt decodes at its engine.
func (p *Placer) beginSlot(c Choice, t *Attempt) {
	if !p.shared.active || t.prefillOnly {
		return
	}
	t.usesSlot = true
	if c.slotHeld {
		p.shared.slots.Start(t.id)
		return
	}
	p.shared.slots.Begin(t.id)
}

// endSlot records that an attempt no longer decodes.
func (p *Placer) endSlot(now kumquatlug.Millis, t *Attempt) {
	if p.shared.active && t.usesSlot && p.workers[t.id] == t.worker {
		p.shared.slots.End(now, t.id)
	}
}

// slotEngine describes an engine for a decision about its slots. One that drains or changes
// its role grants none.
func (p *Placer) slotEngine(now kumquatlug.Millis, w *worker) decodeslots.Engine {
	e := decodeslots.Engine{ID: w.member.Worker.ID(), Estimate: float64(w.running) + p.reportedRequestsAt(now, w)}
	if p.accepts(now, w, nil, kumquatlug.RoleDecode) {
		e.Slots = w.member.Slots
	}
	return e
}

// HandleDecodeCount handles the count of another gateway.
func (p *Placer) HandleDecodeCount(now kumquatlug.Millis, gateway string, m kumquatlug.DecodeCount) {
	if w, known := p.workers[m.Engine]; known && p.shared.active {
		p.shared.slots.HandleCount(now, gateway, m, p.slotEngine(now, w))
	}
}

// HandleDecodeTotal handles the response of a coordinator. It returns the question that is
// decided by it, nil if there is none.
func (p *Placer) HandleDecodeTotal(now kumquatlug.Millis, gateway string, m kumquatlug.DecodeTotal) *SlotAsk {
	if !p.shared.active {
		return nil
	}
	decision, expected := p.shared.slots.HandleTotal(now, gateway, m)
	a, known := p.shared.asks[m.Sequence]
	if !expected || !known {
		return nil
	}
	delete(p.shared.asks, m.Sequence)
	a.decision = decision
	p.askNext(now, a)
	if a.decision == decodeslots.Pending {
		return nil
	}
	return a
}

// AskSlot asks for a slot to decode a prompt that is about to be prefilled at another engine.
// It returns nil if slots are not shared or there is no engine. The result is passed to
// [Placer.ClaimSlot] or [Placer.CancelSlot].
func (p *Placer) AskSlot(now kumquatlug.Millis, q Query) *SlotAsk {
	if !p.shared.active {
		return nil
	}
	c, found := p.ChooseDecode(now, q)
	if !found {
		return nil
	}
	a := &SlotAsk{query: q, cached: true, choice: c}
	p.askEngine(now, a)
	p.askNext(now, a)
	return a
}

// ConfirmSlot asks for a slot for an attempt that has begun but was not sent yet. It returns
// nil if no slot is needed. cached says that the KV cache of the prompt exists.
func (p *Placer) ConfirmSlot(now kumquatlug.Millis, c Choice, t *Attempt, q Query, cached bool) *SlotAsk {
	if !p.shared.active || c.slotHeld || !t.usesSlot || p.workers[t.id] != t.worker {
		return nil
	}
	a := &SlotAsk{query: q, cached: cached, choice: c, attempt: t}
	p.askEngine(now, a)
	p.askNext(now, a)
	return a
}

// RetrySlot asks once more for a request that was denied a slot and withdrawn. It returns
// false if there is no engine.
func (p *Placer) RetrySlot(now kumquatlug.Millis, a *SlotAsk) bool {
	a.denied = nil
	c, found := p.chooseForSlot(now, a)
	if !found {
		return false
	}
	a.choice, a.attempt = c, p.Begin(now, c, a.query.Prompt)
	if !p.shared.active || !a.attempt.usesSlot {
		a.decision = decodeslots.Unanswered
		return true
	}
	p.askEngine(now, a)
	return true
}

// askEngine asks for a slot at the engine of a.choice.
func (p *Placer) askEngine(now kumquatlug.Millis, a *SlotAsk) {
	w := p.workers[a.choice.worker.ID()]
	a.worker = w
	a.decision, a.sequence = p.shared.slots.Ask(now, p.slotEngine(now, w), a.attempt != nil)
	if a.decision == decodeslots.Pending {
		p.shared.asks[a.sequence] = a
	}
}

// askNext asks the engines with the next lowest costs while a question is denied.
func (p *Placer) askNext(now kumquatlug.Millis, a *SlotAsk) {
	for a.decision == decodeslots.Denied {
		a.denied = append(a.denied, a.choice.worker.ID())
		if len(a.denied) >= decodeslots.MaxDenials {
			return
		}
		c, found := p.chooseForSlot(now, a)
		if !found {
			return
		}
		if a.attempt != nil {
			p.withdraw(now, a.attempt)
			a.attempt = p.Begin(now, c, a.query.Prompt)
		}
		a.choice = c
		p.askEngine(now, a)
	}
}

// chooseForSlot returns the engine with the lowest cost that has not denied a slot.
func (p *Placer) chooseForSlot(now kumquatlug.Millis, a *SlotAsk) (Choice, bool) {
	q := a.query
	q.Exclude = slices.Concat(q.Exclude, a.denied)
	if a.cached {
		return p.ChooseDecode(now, q)
	}
	c, _, found := p.cheapestMixed(now, q)
	return c, found
}

// withdraw ends an attempt that was never sent. Its end says nothing about the engine.
func (p *Placer) withdraw(now kumquatlug.Millis, t *Attempt) {
	p.dropTransfer(t)
	if !t.ended && !t.prefillDone {
		t.prefillDone = true
		t.worker.prefillTokens = max(0, t.worker.prefillTokens-t.effectiveTokens)
		if t.effectiveTokens > 0 {
			t.worker.prefilledTokens -= t.uncachedTokens
			p.transfers.AddPrefilled(now, -t.uncachedTokens)
		}
	}
	p.End(now, t, OutcomeNeutral)
}

// WithdrawSlot ends the attempt of a question, because the request waits or is given up.
func (p *Placer) WithdrawSlot(now kumquatlug.Millis, a *SlotAsk) {
	p.AbandonSlot(now, a, false)
	if a.attempt != nil {
		p.withdraw(now, a.attempt)
		a.attempt = nil
	}
}

// AbandonSlot stops waiting for the response to a question. timedOut says that the coordinator
// had time to respond.
func (p *Placer) AbandonSlot(now kumquatlug.Millis, a *SlotAsk, timedOut bool) {
	if a.decision != decodeslots.Pending {
		return
	}
	a.decision = decodeslots.Unanswered
	delete(p.shared.asks, a.sequence)
	if p.shared.slots != nil {
		p.shared.slots.Abandon(now, a.sequence, timedOut)
	}
}

// CancelSlot gives up the slot of a prompt that is not decoded.
func (p *Placer) CancelSlot(now kumquatlug.Millis, a *SlotAsk) {
	p.AbandonSlot(now, a, false)
	if id := a.choice.worker.ID(); a.decision == decodeslots.Granted && a.attempt == nil && p.shared.active && p.workers[id] == a.worker {
		p.shared.slots.Release(now, id)
	}
	a.decision = decodeslots.Unanswered
}

// ClaimSlot begins decoding a prompt for which a slot was requested. It returns false if the
// slot was not granted or its engine can't be used any more. The response had the time of a
// prefill to arrive, so that a missing one is not waited for.
func (p *Placer) ClaimSlot(now kumquatlug.Millis, a *SlotAsk, q Query) bool {
	p.AbandonSlot(now, a, true)
	w, known := p.workers[a.choice.worker.ID()]
	if a.decision != decodeslots.Granted || !known || w != a.worker || !p.acceptsOutput(now, w, &q, kumquatlug.RoleDecode) {
		return false
	}
	a.choice.delayMs = w.limit.Delay(now)
	if a.choice.reserved {
		a.choice.delayMs = max(0, float64(q.Reservation.at-now))
	}
	a.choice.transfer = p.transferTo(now, w, &q)
	a.choice.slotHeld, a.choice.waitMs = p.shared.active, a.choice.delayMs+a.choice.transfer.expectedMs
	a.attempt = p.Begin(now, a.choice, q.Prompt)
	return true
}

// LowestTotal returns the engine that has the most free slots, or the fewest requests beyond
// its slots.
func (p *Placer) LowestTotal(now kumquatlug.Millis, q Query) (Choice, bool) {
	lowest, best, found := math.Inf(1), Choice{}, false
	for _, w := range p.ordered {
		if !p.acceptsOutput(now, w, &q, kumquatlug.RoleDecode) || w.limit.Delay(now) > 0 {
			continue
		}
		if excess := float64(w.running) + p.otherRequestsAt(now, w) - float64(w.member.Slots); excess < lowest {
			lowest, found = excess, true
			best = Choice{worker: w.member.Worker, waitMs: p.slotWaitMs(now, w, q.Prompt)}
		}
	}
	return best, found
}

// SettleSlot moves an attempt that was denied a slot to the engine with the lowest total.
func (p *Placer) SettleSlot(now kumquatlug.Millis, a *SlotAsk) {
	if a.attempt != nil {
		p.withdraw(now, a.attempt)
	}
	c, found := p.LowestTotal(now, a.query)
	if !found {
		c = a.choice
	}
	w, known := p.workers[c.worker.ID()]
	switch {
	case known && a.cached && found:
		c.transfer = p.transferTo(now, w, &a.query)
		c.waitMs += c.transfer.expectedMs
	case known && !a.cached:
		c.uncachedTokens = p.uncachedTokens(now, w, a.query.Prompt, false)
		c.effectiveTokens = p.effectiveTokens(c.uncachedTokens, a.query.Prompt)
		c.waitMs += c.effectiveTokens / (p.prefillRate() * p.config.MixedPrefillFraction)
	}
	a.choice, a.attempt = c, p.Begin(now, c, a.query.Prompt)
}
