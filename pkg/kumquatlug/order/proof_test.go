package order

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/leanovate/gopter/commands"

	"github.com/kumquatlug/kumquatlug/internal/proof"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/lease"
)

const (
	senderCount = 2
	target      = "vm-1"
)

// moveKinds lists each kind of step as often as it is to come up among the others.
var moveKinds = []string{
	"elect", "give", "give", "send", "send", "ghost", "ghost", "push", "push", "push", "deliver", "deliver", "deliver", "deliver", "duplicate", "duplicate", "duplicate", "drop",
	"step", "step", "step", "step", "step", "step", "late", "report", "report", "begin", "begin", "end", "end",
	"finish", "finish", "give-up", "crash", "notice", "restart", "tick", "quiet", "quiet", "heal",
}

// Two planners give orders to one engine that ignores fencing numbers. Each may
// have lost the lease long ago without knowing it; messages are lost, doubled
// and overtake one another; the agent restarts, the table is out, the engine
// crashes in the middle of a change and comes back with the old role or the new
// one. An operator would notice an engine that is moved to and fro or stuck, and
// a caller an answer that was cut by a planned change.
func TestProofOrdersNeverConflict(t *testing.T) {
	proof.Run(t, proof.Config{
		Claim: "orders have authority, come one at a time and cut no work",
		Seed:  1, Runs: 300, Steps: 100,
		Command: proof.Moves(moveKinds, senderCount, play),
		World:   func() commands.SystemUnderTest { return newWorld() },
	})
}

// engine is a target that takes every order and asks no questions.
type engine struct {
	role      string
	changing  *Order
	reloading bool
	calls     int
}

// message is something on its way: run hands it over, lost tells whoever waits
// for it that it won't come.
type message struct {
	deliver func()
	onLoss  func()
}

// world is the gate and the senders over one engine, with the oracle's notes.
type world struct {
	now            kumquatlug.Millis
	leaseNumber    lease.Number
	leaseLostAt    map[lease.Number]kumquatlug.Millis
	senders        []*Sender
	senderNumbers  []lease.Number
	gate           *Gate
	incarnation    Incarnation
	engine         engine
	runningStep    *Step
	crashUnnoticed bool
	messages       []message
	ran            map[ID]bool
	issued         map[ID]Order
	outcomes       map[ID]Outcome
	confirmed      map[ID]bool
	lastRan        ID
	err            error
}

func newWorld() *world {
	w := &world{
		leaseLostAt: map[lease.Number]kumquatlug.Millis{}, senderNumbers: make([]lease.Number, senderCount),
		engine: engine{role: "both"}, ran: map[ID]bool{}, issued: map[ID]Order{}, outcomes: map[ID]Outcome{}, confirmed: map[ID]bool{},
	}
	for range senderCount {
		w.senders = append(w.senders, NewSender(SenderConfig{}))
	}
	w.restartAgent()
	w.grantLease(0)
	return w
}

func (w *world) fail(format string, args ...any) {
	if w.err == nil {
		w.err = errors.Newf(format, args...)
	}
}

func play(sut commands.SystemUnderTest, m proof.Move) commands.Result {
	w := sut.(*world)
	switch m.Kind {
	case "elect":
		w.grantLease(m.Actor)
	case "give":
		w.issueOrder(m.Actor, m.Choice)
	case "ghost":
		w.sendStaleOrder(m.Choice)
	case "push":
		w.runOrder(m)
	case "send":
		w.send(m.Actor)
	case "deliver":
		w.deliver(m.Choice, false)
	case "duplicate":
		w.deliver(m.Choice, true)
	case "drop":
		if len(w.messages) > 0 {
			if m := w.takeMessage(m.Choice); m.onLoss != nil {
				m.onLoss()
			}
		}
	case "report":
		w.report(m.Actor)
	case "tick":
		w.now += kumquatlug.Millis(m.Choice / 4)
	case "heal":
		w.checkRecovery()
	case "quiet":
		w.runUndisturbed(m.Choice % 8)
	default:
		w.playTargetMove(m)
	}
	w.checkFinished()
	if w.err != nil {
		return w.err
	}
	return nil
}

func (w *world) playTargetMove(m proof.Move) {
	switch m.Kind {
	case "step":
		w.step(m.Choice%4 == 0, false)
	case "late":
		w.step(false, true)
	case "begin":
		w.beginCall()
	case "end":
		w.endCall()
	case "finish":
		w.finishChange(m.Choice%3 == 0)
	case "give-up":
		if w.runningStep != nil {
			w.gate.Ran(*w.runningStep, OutcomeUnknown)
			w.runningStep = nil
		}
	case "crash":
		w.crash(m.Choice%2 == 0, m.Choice%3 == 0)
	case "notice":
		w.noticeCrash()
	case "restart":
		w.restartAgent()
	}
}

// grantLease gives the lease to a sender; the other one is told nothing.
func (w *world) grantLease(i int) {
	w.leaseLostAt[w.leaseNumber] = w.now
	w.leaseNumber++
	w.senderNumbers[i] = w.leaseNumber
	w.senders[i].Granted(w.leaseNumber)
}

func (w *world) issueOrder(i, choice int) {
	roles := []string{"both", "prefill", "decode"}
	verb, argument := VerbRole, roles[choice%3]
	if choice%7 == 0 {
		verb, argument = VerbAdapter, "a"
	}
	_, outstanding := w.senders[i].Outstanding(target)
	o, err := w.senders[i].Give(target, verb, argument)
	if err != nil {
		return
	}
	if _, twice := w.issued[o.ID()]; outstanding || twice {
		w.fail("order %s was given before the last was settled, or under an id used before", o.ID())
	}
	w.issued[o.ID()] = o
}

// sendStaleOrder is an order of any earlier holder, or of one that keeps to no rule. It
// takes sequences that no sender reaches.
func (w *world) sendStaleOrder(choice int) {
	number := lease.Number(choice)%w.leaseNumber + 1
	o := NewOrder(NewID(w.incarnation, number, int64(1000+len(w.issued))), VerbRole, "prefill")
	w.issued[o.ID()] = o
	w.messages = append(w.messages, message{deliver: func() { w.gate.Offer(o) }})
}

// runOrder brings an order of the holder up to the engine, if nothing is in its
// way, and leaves it there.
func (w *world) runOrder(m proof.Move) {
	i := w.holder()
	w.step(false, false)
	w.step(false, false)
	w.report(i)
	w.deliver(len(w.messages)-1, false)
	w.issueOrder(i, m.Choice)
	before := len(w.messages)
	w.send(i)
	if len(w.messages) > before {
		w.deliver(len(w.messages)-1, false)
	}
	w.step(false, false)
	w.step(false, false)
}

// holder returns the sender that has the lease.
func (w *world) holder() int {
	for i, n := range w.senderNumbers {
		if n == w.leaseNumber {
			return i
		}
	}
	return 0
}

// send puts a sender's orders on their way; it believes to hold its lease.
func (w *world) send(i int) {
	for _, out := range w.senders[i].Due(w.now, w.senderNumbers[i], true) {
		o := out.Order()
		w.messages = append(w.messages, message{deliver: func() {
			reply := w.gate.Offer(o)
			w.messages = append(w.messages, message{deliver: func() { w.handleReply(i, o.ID(), reply) }})
		}})
	}
}

// handleReply holds what a sender makes of a reply against the gate.
func (w *world) handleReply(i int, id ID, reply Reply) {
	w.checkFinished()
	ended, ok := w.senders[i].Answered(target, id, reply)
	if !ok || ended.Outcome() == OutcomeUnknown {
		return
	}
	if w.outcomes[ended.Order().ID()] != ended.Outcome() {
		w.fail("order %s was %s, its sender takes it for %s", ended.Order().ID(), w.outcomes[ended.Order().ID()], ended.Outcome())
	}
	w.confirmed[ended.Order().ID()] = true
}

func (w *world) report(i int) {
	r := Report{Target: target, Incarnation: w.incarnation, Number: w.gate.Number(), Phase: w.gate.Phase()}
	w.messages = append(w.messages, message{deliver: func() { w.senders[i].Heard(r) }})
}

func (w *world) takeMessage(choice int) message {
	k := choice % len(w.messages)
	m := w.messages[k]
	w.messages = append(w.messages[:k:k], w.messages[k+1:]...)
	return m
}

func (w *world) deliver(choice int, keep bool) {
	defer w.checkFinished()
	if len(w.messages) == 0 {
		return
	}
	if keep {
		w.messages[choice%len(w.messages)].deliver()
		return
	}
	w.takeMessage(choice).deliver()
}

// checkFinished holds what the gate tells of ended orders against the engine.
func (w *world) checkFinished() {
	for _, e := range w.gate.finished {
		before, known := w.outcomes[e.id]
		if known && before != e.outcome {
			w.fail("order %s was %s and is %s", e.id, before, e.outcome)
		}
		if !known {
			w.outcomes[e.id] = e.outcome
			w.checkOutcome(e)
		}
	}
	for id := range w.ran {
		if w.outcomes[id] == OutcomeSuperseded {
			w.fail("order %s was called superseded and ran", id)
		}
	}
}

// checkOutcome looks at an order that has ended just now. An engine that crashed
// unnoticed may have lost it since.
func (w *world) checkOutcome(e finishedOrder) {
	o := w.issued[e.id]
	if o.Verb() != VerbRole || e.outcome == OutcomeSuperseded || w.crashUnnoticed {
		return
	}
	if w.engine.changing != nil {
		w.fail("order %s was called %s in the middle of the change", e.id, e.outcome)
	}
	if applied := w.engine.role == o.Argument(); applied != (e.outcome == OutcomeApplied) {
		w.fail("order %s to %s was called %s, the engine is %s", e.id, o.Argument(), e.outcome, w.engine.role)
	}
}

// runUndisturbed lets everything work for some rounds of a second each.
func (w *world) runUndisturbed(rounds int) {
	for range rounds {
		w.now += kumquatlug.Second
		w.noticeCrash()
		w.endCall()
		for range 3 {
			w.step(false, false)
		}
		w.checkFinished()
		w.finishChange(false)
		for i := range w.senders {
			w.report(i)
			w.send(i)
		}
		for n := len(w.messages); n > 0; n-- {
			w.deliver(0, false)
		}
	}
}

// checkRecovery ends the trouble: once the work in hand is finished, whoever has the
// lease can give an order, and it is applied.
func (w *world) checkRecovery() {
	for len(w.messages) > 0 {
		w.deliver(0, false)
	}
	holder := w.holder()
	w.grantLease(holder)
	w.runUndisturbed(w.engine.calls + 8)
	s := w.senders[holder]
	o, err := s.Give(target, VerbRole, "decode")
	if err != nil {
		w.fail("no order can be given: %v, the gate is %s", err, w.gate.Phase())
		return
	}
	w.issued[o.ID()] = o
	w.runUndisturbed(6)
	if !w.confirmed[o.ID()] || w.engine.role != "decode" || !w.gate.Begin() {
		w.fail("order %s is not applied: the engine is %s, the gate %s", o.ID(), w.engine.role, w.gate.Phase())
		return
	}
	w.gate.End()
}
