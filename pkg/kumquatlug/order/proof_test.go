package order

import (
	"fmt"
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

// move is one step of a proof.
type move struct {
	proof.Step
	what   string
	who    int
	choice int
}

func newMove(what string, who, choice int) commands.Command {
	return move{what: what, who: who, choice: choice}
}

func (m move) Run(sut commands.SystemUnderTest) commands.Result { return sut.(*world).play(m) }
func (m move) String() string                                   { return fmt.Sprintf("%s(%d,%d)", m.what, m.who, m.choice) }

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
		Command: proof.Moves(moves, worldSenders, newMove),
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

func (w *world) play(m move) commands.Result {
	switch m.what {
	case "elect":
		w.elect(m.who)
	case "give":
		w.give(m.who, m.choice)
	case "ghost":
		w.ghost(m.choice)
	case "push":
		w.push(m)
	case "send":
		w.send(m.who)
	case "deliver":
		w.deliver(m.choice, false)
	case "duplicate":
		w.deliver(m.choice, true)
	case "drop":
		if len(w.messages) > 0 {
			if m := w.take(m.choice); m.lost != nil {
				m.lost()
			}
		}
	case "report":
		w.report(m.who)
	case "tick":
		w.now += kumquatlug.Millis(m.choice / 4)
	case "heal":
		w.heal()
	case "quiet":
		w.quiet(m.choice % 8)
	default:
		w.playTarget(m)
	}
	w.check()
	if w.wrong != nil {
		return w.wrong
	}
	return nil
}

func (w *world) playTarget(m move) {
	switch m.what {
	case "step":
		w.step(m.choice%4 == 0, false)
	case "late":
		w.step(false, true)
	case "begin":
		w.begin()
	case "end":
		w.end()
	case "finish":
		w.finish(m.choice%3 == 0)
	case "give-up":
		if w.running != nil {
			w.gate.Ran(*w.running, OutcomeUnknown)
			w.running = nil
		}
	case "crash":
		w.crash(m.choice%2 == 0, m.choice%3 == 0)
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
func (w *world) push(m move) {
	i := w.holder()
	w.step(false, false)
	w.step(false, false)
	w.report(i)
	w.deliver(len(w.messages)-1, false)
	w.give(i, m.choice)
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

// step does what the gate asks of its engine and the table. Late answers tell
// what was true when they left.
func (w *world) step(fails, late bool) {
	defer w.check()
	gate, s := w.gate, w.gate.Next(w.now)
	var answer, failure func()
	switch s.Action() {
	case StepRead:
		state := NewState(w.engine.changing == nil && !w.engine.reloading, Fact{VerbRole, w.engine.role}, Fact{VerbAdapter, "none"})
		answer = func() { gate.Read(s, state) }
		failure = func() { gate.ReadFailed(s) }
	case StepFence:
		number := w.number
		answer = func() { gate.Fenced(s, number) }
		failure = func() { gate.FenceFailed(s) }
	case StepRun:
		w.check()
		w.run(s)
		return
	default:
		return
	}
	switch {
	case fails:
		failure()
	case late:
		w.messages = append(w.messages, message{run: answer, lost: failure})
	default:
		answer()
	}
}

// run is the engine getting an order: here the oracle looks at everything that
// must hold.
func (w *world) run(s Step) {
	o := s.Order()
	id := o.ID()
	if w.engine.changing != nil {
		w.fail("order %s reached the engine in the middle of %s", id, w.engine.changing.ID())
	}
	if w.engine.reloading && !w.unnoticed {
		w.fail("order %s reached an engine that was not back", id)
	}
	if lost, gone := w.lostAt[id.Number()]; gone && w.now-lost > defaultFenceAge {
		w.fail("order %s ran %d ms after its sender lost the lease", id, w.now-lost)
	}
	if w.ran[id] {
		w.fail("order %s ran twice", id)
	}
	if id.Number() < w.lastRan.Number() || (id.Incarnation() == w.lastRan.Incarnation() && !id.after(w.lastRan)) {
		w.fail("order %s ran after %s", id, w.lastRan)
	}
	if id.Incarnation() != w.incarnation {
		w.fail("order %s ran at incarnation %d", id, w.incarnation)
	}
	if o.Verb().Away() && w.engine.work > 0 {
		w.fail("order %s cut %d calls", id, w.engine.work)
	}
	w.ran[id], w.lastRan = true, id
	w.engine.changing, w.running = &o, &s
}

func (w *world) begin() {
	if !w.gate.Begin() {
		return
	}
	if w.engine.changing != nil && w.engine.changing.Verb().Away() {
		w.fail("a call began in the middle of %s", w.engine.changing.ID())
	}
	if w.engine.reloading && !w.unnoticed {
		w.fail("a call began at an engine that was not back")
	}
	w.engine.work++
}

func (w *world) end() {
	if w.engine.work > 0 {
		w.engine.work--
		w.gate.End()
	}
}

// finish lets the engine complete its change; the answer may come late.
func (w *world) finish(late bool) {
	w.engine.reloading = false
	if w.engine.changing == nil {
		return
	}
	if w.engine.changing.Verb() == VerbRole {
		w.engine.role = w.engine.changing.Argument()
	}
	w.engine.changing = nil
	if w.running == nil {
		return
	}
	gate, s := w.gate, *w.running
	w.running = nil
	if late {
		w.messages = append(w.messages, message{
			run:  func() { gate.Ran(s, OutcomeApplied) },
			lost: func() { gate.Ran(s, OutcomeUnknown) },
		})
		return
	}
	gate.Ran(s, OutcomeApplied)
}

// crash ends the engine and all its work; it comes back with the old role or,
// in the middle of a change, perhaps with the new one, at once or after a while.
// The agent notices later.
func (w *world) crash(changed, reloads bool) {
	if o := w.engine.changing; o != nil && changed && o.Verb() == VerbRole {
		w.engine.role = o.Argument()
	}
	w.engine.changing, w.engine.reloading = nil, reloads
	for w.engine.work > 0 {
		w.end()
	}
	w.unnoticed = true
}

func (w *world) notice() {
	if w.unnoticed {
		w.gate.Crashed()
		w.unnoticed, w.running = false, nil
	}
}

// restart is another start of the agent: it remembers nothing, and the calls
// that went through it are gone.
func (w *world) restart() {
	w.incarnation++
	w.gate = NewGate(GateConfig{Incarnation: w.incarnation})
	w.engine.work, w.running, w.unnoticed = 0, nil, false
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
