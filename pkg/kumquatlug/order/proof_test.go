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

// moveKinds lists the kinds of moves, each repeated according to its weight.
var moveKinds = []string{
	"grant", "issue", "issue", "send", "send", "stale", "stale", "run", "run", "run", "deliver", "deliver", "deliver", "deliver", "duplicate", "duplicate", "duplicate", "drop",
	"step", "step", "step", "step", "step", "step", "late", "report", "report", "begin", "begin", "end", "end",
	"finish", "finish", "disconnect", "crash", "notice", "restart", "tick", "undisturbed", "undisturbed", "recover",
}

// Two planners send orders to one engine that ignores fencing tokens. Each may
// have lost the lease long ago without having detected it; messages are lost,
// duplicated and reordered; the agent restarts, the table is unavailable, the
// engine crashes during a change and restarts with the old or the new role. A
// fault shows as an engine that is moved back and forth or is stuck, or as a
// response that a planned change cut off.
func TestProofOrdersNeverConflict(t *testing.T) {
	proof.Run(t, proof.Config{
		Property: "orders have authority, come one at a time and cut no work",
		Seed:     1, Runs: 300, Steps: 100,
		StepGen:   proof.Actions(moveKinds, senderCount, play),
		NewSystem: func() commands.SystemUnderTest { return newWorld() },
	})
}

// engine simulates a target that executes every order without checks.
type engine struct {
	role      string
	changing  *Order
	reloading bool
	calls     int
}

// message is a message in transit. deliver delivers it; onLoss notifies the side that
// waits for it that it was lost.
type message struct {
	deliver func()
	onLoss  func()
}

// world simulates the gate and the senders of one engine, and records what the
// invariants need.
type world struct {
	now            kumquatlug.Millis
	leaseToken     lease.FencingToken
	leaseLostAt    map[lease.FencingToken]kumquatlug.Millis
	senders        []*Sender
	senderTokens   []lease.FencingToken
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
		leaseLostAt: map[lease.FencingToken]kumquatlug.Millis{}, senderTokens: make([]lease.FencingToken, senderCount),
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

func play(sut commands.SystemUnderTest, m proof.Action) commands.Result {
	w := sut.(*world)
	switch m.Kind {
	case "grant":
		w.grantLease(m.Actor)
	case "issue":
		w.issueOrder(m.Actor, m.Choice)
	case "stale":
		w.sendStaleOrder(m.Choice)
	case "run":
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
	case "recover":
		w.checkRecovery()
	case "undisturbed":
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

func (w *world) playTargetMove(m proof.Action) {
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
	case "disconnect":
		if w.runningStep != nil {
			w.gate.RunFinished(*w.runningStep, OutcomeUnknown)
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

// grantLease grants the lease to a sender without notifying the other one.
func (w *world) grantLease(i int) {
	w.leaseLostAt[w.leaseToken] = w.now
	w.leaseToken++
	w.senderTokens[i] = w.leaseToken
	w.senders[i].LeaseAcquired(w.now, w.leaseToken)
}

func (w *world) issueOrder(i, choice int) {
	roles := []string{"both", "prefill", "decode"}
	verb, argument := VerbRole, roles[choice%3]
	if choice%7 == 0 {
		verb, argument = VerbAdapter, "a"
	}
	_, outstanding := w.senders[i].Outstanding(target)
	o, err := w.senders[i].Issue(target, verb, argument)
	if err != nil {
		return
	}
	if _, twice := w.issued[o.ID()]; outstanding || twice {
		w.fail("order %s was issued while another was outstanding, or its ID was used before", o.ID())
	}
	w.issued[o.ID()] = o
}

// sendStaleOrder sends an order of an earlier holder or of a sender that ignores the
// protocol. Its sequence numbers are above those that the senders reach.
func (w *world) sendStaleOrder(choice int) {
	token := lease.FencingToken(choice)%w.leaseToken + 1
	o := NewOrder(NewID(w.incarnation, token, int64(1000+len(w.issued))), VerbRole, "prefill")
	w.issued[o.ID()] = o
	w.messages = append(w.messages, message{deliver: func() { w.gate.Offer(o) }})
}

// runOrder issues an order of the lease holder and, unless something blocks it,
// leaves it running at the engine.
func (w *world) runOrder(m proof.Action) {
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

// holder returns the index of the sender that holds the lease.
func (w *world) holder() int {
	for i, n := range w.senderTokens {
		if n == w.leaseToken {
			return i
		}
	}
	return 0
}

// send sends a sender's due orders, as if the sender had not detected that it lost
// the lease.
func (w *world) send(i int) {
	for _, out := range w.senders[i].Due(w.now, w.senderTokens[i], true) {
		o := out.Order()
		w.messages = append(w.messages, message{deliver: func() {
			reply := w.gate.Offer(o)
			w.messages = append(w.messages, message{deliver: func() { w.handleReply(i, o.ID(), reply) }})
		}})
	}
}

// handleReply passes a reply to its sender and compares the result with the gate's.
func (w *world) handleReply(i int, id ID, reply Response) {
	w.checkFinished()
	ended, ok := w.senders[i].HandleResponse(w.now, target, id, reply)
	if !ok || ended.Outcome() == OutcomeUnknown {
		return
	}
	if w.outcomes[ended.Order().ID()] != ended.Outcome() {
		w.fail("order %s was %s, but its sender recorded %s", ended.Order().ID(), w.outcomes[ended.Order().ID()], ended.Outcome())
	}
	w.confirmed[ended.Order().ID()] = true
}

func (w *world) report(i int) {
	r := Report{Target: target, Incarnation: w.incarnation, FencingToken: w.gate.FencingToken(), Phase: w.gate.Phase(), RequestedAt: w.now}
	w.messages = append(w.messages, message{deliver: func() { w.senders[i].HandleReport(r) }})
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

// checkFinished compares the gate's records of completed orders with the engine.
func (w *world) checkFinished() {
	for _, e := range w.gate.finished {
		before, known := w.outcomes[e.id]
		if known && before != e.outcome {
			w.fail("outcome of order %s changed from %s to %s", e.id, before, e.outcome)
		}
		if !known {
			w.outcomes[e.id] = e.outcome
			w.checkOutcome(e)
		}
	}
	for id := range w.ran {
		if w.outcomes[id] == OutcomeSuperseded {
			w.fail("order %s was recorded as superseded but ran", id)
		}
	}
}

// checkOutcome compares the outcome of an order that has just completed with the
// engine's role. It skips an engine with an undetected crash, which may have lost
// the change since.
func (w *world) checkOutcome(e finishedOrder) {
	o := w.issued[e.id]
	if o.Verb() != VerbRole || e.outcome == OutcomeSuperseded || w.crashUnnoticed {
		return
	}
	if w.engine.changing != nil {
		w.fail("order %s was recorded as %s during the change", e.id, e.outcome)
	}
	if applied := w.engine.role == o.Argument(); applied != (e.outcome == OutcomeApplied) {
		w.fail("order %s to %s was recorded as %s, but the engine is %s", e.id, o.Argument(), e.outcome, w.engine.role)
	}
}

// runUndisturbed runs the system without faults for a number of rounds of one
// second each.
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

// checkRecovery ends all faults and checks that, once the calls in flight have ended,
// the lease holder can issue an order and the order is applied.
func (w *world) checkRecovery() {
	for len(w.messages) > 0 {
		w.deliver(0, false)
	}
	holder := w.holder()
	w.grantLease(holder)
	w.runUndisturbed(w.engine.calls + 8)
	s := w.senders[holder]
	o, err := s.Issue(target, VerbRole, "decode")
	if err != nil {
		w.fail("no order can be issued: %v, phase %s", err, w.gate.Phase())
		return
	}
	w.issued[o.ID()] = o
	w.runUndisturbed(6)
	if !w.confirmed[o.ID()] || w.engine.role != "decode" || !w.gate.BeginCall() {
		w.fail("order %s is not applied: the engine is %s, phase %s", o.ID(), w.engine.role, w.gate.Phase())
		return
	}
	w.gate.EndCall()
}
