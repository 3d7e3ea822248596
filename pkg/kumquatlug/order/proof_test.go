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
	worldSenders = 2
	target       = "vm-1"
)

// moves lists each kind of step as often as it is to come up among the others.
var moves = []string{
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
		Command: proof.Moves(moves, worldSenders, play),
		World:   func() commands.SystemUnderTest { return newWorld() },
	})
}

// engine is a target that takes every order and asks no questions.
type engine struct {
	role      string
	changing  *Order
	reloading bool
	work      int
}

// message is something on its way: run hands it over, lost tells whoever waits
// for it that it won't come.
type message struct {
	run  func()
	lost func()
}

// world is the gate and the senders over one engine, with the oracle's notes.
type world struct {
	now         kumquatlug.Millis
	number      lease.Number
	lostAt      map[lease.Number]kumquatlug.Millis
	senders     []*Sender
	numbers     []lease.Number
	gate        *Gate
	incarnation Incarnation
	engine      engine
	running     *Step
	unnoticed   bool
	messages    []message
	ran         map[ID]bool
	given       map[ID]Order
	judged      map[ID]Outcome
	learned     map[ID]bool
	lastRan     ID
	wrong       error
}

func newWorld() *world {
	w := &world{
		lostAt: map[lease.Number]kumquatlug.Millis{}, numbers: make([]lease.Number, worldSenders),
		engine: engine{role: "both"}, ran: map[ID]bool{}, given: map[ID]Order{}, judged: map[ID]Outcome{}, learned: map[ID]bool{},
	}
	for range worldSenders {
		w.senders = append(w.senders, NewSender(SenderConfig{}))
	}
	w.restart()
	w.elect(0)
	return w
}

func (w *world) fail(format string, args ...any) {
	if w.wrong == nil {
		w.wrong = errors.Newf(format, args...)
	}
}

func play(sut commands.SystemUnderTest, m proof.Move) commands.Result {
	w := sut.(*world)
	switch m.Kind {
	case "elect":
		w.elect(m.Actor)
	case "give":
		w.give(m.Actor, m.Choice)
	case "ghost":
		w.ghost(m.Choice)
	case "push":
		w.push(m)
	case "send":
		w.send(m.Actor)
	case "deliver":
		w.deliver(m.Choice, false)
	case "duplicate":
		w.deliver(m.Choice, true)
	case "drop":
		if len(w.messages) > 0 {
			if m := w.take(m.Choice); m.lost != nil {
				m.lost()
			}
		}
	case "report":
		w.report(m.Actor)
	case "tick":
		w.now += kumquatlug.Millis(m.Choice / 4)
	case "heal":
		w.heal()
	case "quiet":
		w.quiet(m.Choice % 8)
	default:
		w.playTarget(m)
	}
	w.check()
	if w.wrong != nil {
		return w.wrong
	}
	return nil
}

func (w *world) playTarget(m proof.Move) {
	switch m.Kind {
	case "step":
		w.step(m.Choice%4 == 0, false)
	case "late":
		w.step(false, true)
	case "begin":
		w.begin()
	case "end":
		w.end()
	case "finish":
		w.finish(m.Choice%3 == 0)
	case "give-up":
		if w.running != nil {
			w.gate.Ran(*w.running, OutcomeUnknown)
			w.running = nil
		}
	case "crash":
		w.crash(m.Choice%2 == 0, m.Choice%3 == 0)
	case "notice":
		w.notice()
	case "restart":
		w.restart()
	}
}

// elect gives the lease to a sender; the other one is told nothing.
func (w *world) elect(i int) {
	w.lostAt[w.number] = w.now
	w.number++
	w.numbers[i] = w.number
	w.senders[i].Granted(w.number)
}

func (w *world) give(i, choice int) {
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
	if _, twice := w.given[o.ID()]; outstanding || twice {
		w.fail("order %s was given before the last was settled, or under an id used before", o.ID())
	}
	w.given[o.ID()] = o
}

// ghost is an order of any earlier holder, or of one that keeps to no rule. It
// takes sequences that no sender reaches.
func (w *world) ghost(choice int) {
	number := lease.Number(choice)%w.number + 1
	o := NewOrder(NewID(w.incarnation, number, int64(1000+len(w.given))), VerbRole, "prefill")
	w.given[o.ID()] = o
	w.messages = append(w.messages, message{run: func() { w.gate.Offer(o) }})
}

// push brings an order of the holder up to the engine, if nothing is in its
// way, and leaves it there.
func (w *world) push(m proof.Move) {
	i := w.holder()
	w.step(false, false)
	w.step(false, false)
	w.report(i)
	w.deliver(len(w.messages)-1, false)
	w.give(i, m.Choice)
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
	for i, n := range w.numbers {
		if n == w.number {
			return i
		}
	}
	return 0
}

// send puts a sender's orders on their way; it believes to hold its lease.
func (w *world) send(i int) {
	for _, out := range w.senders[i].Due(w.now, w.numbers[i], true) {
		o := out.Order()
		w.messages = append(w.messages, message{run: func() {
			reply := w.gate.Offer(o)
			w.messages = append(w.messages, message{run: func() { w.answered(i, o.ID(), reply) }})
		}})
	}
}

// answered holds what a sender makes of a reply against the gate.
func (w *world) answered(i int, id ID, reply Reply) {
	w.check()
	ended, ok := w.senders[i].Answered(target, id, reply)
	if !ok || ended.Outcome() == OutcomeUnknown {
		return
	}
	if w.judged[ended.Order().ID()] != ended.Outcome() {
		w.fail("order %s was %s, its sender takes it for %s", ended.Order().ID(), w.judged[ended.Order().ID()], ended.Outcome())
	}
	w.learned[ended.Order().ID()] = true
}

func (w *world) report(i int) {
	r := Report{Target: target, Incarnation: w.incarnation, Number: w.gate.Number(), Phase: w.gate.Phase()}
	w.messages = append(w.messages, message{run: func() { w.senders[i].Heard(r) }})
}

func (w *world) take(choice int) message {
	k := choice % len(w.messages)
	m := w.messages[k]
	w.messages = append(w.messages[:k:k], w.messages[k+1:]...)
	return m
}

func (w *world) deliver(choice int, keep bool) {
	defer w.check()
	if len(w.messages) == 0 {
		return
	}
	if keep {
		w.messages[choice%len(w.messages)].run()
		return
	}
	w.take(choice).run()
}

// check holds what the gate tells of ended orders against the engine.
func (w *world) check() {
	for _, e := range w.gate.memory {
		before, known := w.judged[e.id]
		if known && before != e.outcome {
			w.fail("order %s was %s and is %s", e.id, before, e.outcome)
		}
		if !known {
			w.judged[e.id] = e.outcome
			w.judge(e)
		}
	}
	for id := range w.ran {
		if w.judged[id] == OutcomeSuperseded {
			w.fail("order %s was called superseded and ran", id)
		}
	}
}

// judge looks at an order that has ended just now. An engine that crashed
// unnoticed may have lost it since.
func (w *world) judge(e ended) {
	o := w.given[e.id]
	if o.Verb() != VerbRole || e.outcome == OutcomeSuperseded || w.unnoticed {
		return
	}
	if w.engine.changing != nil {
		w.fail("order %s was called %s in the middle of the change", e.id, e.outcome)
	}
	if applied := w.engine.role == o.Argument(); applied != (e.outcome == OutcomeApplied) {
		w.fail("order %s to %s was called %s, the engine is %s", e.id, o.Argument(), e.outcome, w.engine.role)
	}
}

// quiet lets everything work for some rounds of a second each.
func (w *world) quiet(rounds int) {
	for range rounds {
		w.now += kumquatlug.Second
		w.notice()
		w.end()
		for range 3 {
			w.step(false, false)
		}
		w.check()
		w.finish(false)
		for i := range w.senders {
			w.report(i)
			w.send(i)
		}
		for n := len(w.messages); n > 0; n-- {
			w.deliver(0, false)
		}
	}
}

// heal ends the trouble: once the work in hand is finished, whoever has the
// lease can give an order, and it is applied.
func (w *world) heal() {
	for len(w.messages) > 0 {
		w.deliver(0, false)
	}
	holder := w.holder()
	w.elect(holder)
	w.quiet(w.engine.work + 8)
	s := w.senders[holder]
	o, err := s.Give(target, VerbRole, "decode")
	if err != nil {
		w.fail("no order can be given: %v, the gate is %s", err, w.gate.Phase())
		return
	}
	w.given[o.ID()] = o
	w.quiet(6)
	if !w.learned[o.ID()] || w.engine.role != "decode" || !w.gate.Begin() {
		w.fail("order %s is not applied: the engine is %s, the gate %s", o.ID(), w.engine.role, w.gate.Phase())
		return
	}
	w.gate.End()
}
