package order

import (
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/lease"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/standard"
)

// defaultFenceAge is how old a reading of the number may be when an order runs.
const defaultFenceAge = kumquatlug.Second

// defaultRemember is how many ended orders a gate can answer again. Only a
// resend of the last one is likely, since a sender gives one at a time; 64 are
// a few kilobytes.
const defaultRemember = 64

// GateConfig is what a [Gate] is made of.
type GateConfig struct {
	// Incarnation is this start of the agent, from the table. Required, 1 or
	// higher.
	Incarnation Incarnation
	// Remember is how many ended orders are answered from memory, 64 by default.
	Remember int
	// FenceAge is how old the table's number may be when an order is sent to
	// the engine, counted from before it was asked for; 1 s by default. It is
	// above a slow read and far below a lease's time to live. The price is one
	// read of the table an order; while the table is out there are no orders,
	// nor any lease to give them under.
	FenceAge kumquatlug.Millis
}

// ended is an order that has settled.
type ended struct {
	id      ID
	outcome Outcome
}

// StepAction is what a gate asks of its engine.
type StepAction string

// The steps of a gate.
const (
	// StepNone: nothing to do now.
	StepNone StepAction = "none"
	// StepRead: ask the engine for its state; see [Gate.Read].
	StepRead StepAction = "read"
	// StepFence: read the group's number from the table; see [Gate.Fenced].
	StepFence StepAction = "fence"
	// StepRun: send the engine the order; see [Gate.Ran].
	StepRun StepAction = "run"
)

// Step is one request to the engine or the table.
type Step struct {
	action   StepAction
	sequence int64
	order    Order
	asked    kumquatlug.Millis
}

// Action returns what is to be done.
func (s Step) Action() StepAction { return s.action }

// Order returns the order to run.
func (s Step) Order() Order { return s.order }

// Gate is the agent's check in front of its engine: for engines that ignore
// fencing numbers it is the only one. It is not safe for concurrent use.
type Gate struct {
	c        GateConfig
	fenced   bool
	fencedAt kumquatlug.Millis
	number   lease.Number
	last     ID
	known    bool
	shut     bool
	order    *Order
	sent     bool
	pending  Step
	sequence int64
	inHand   int
	memory   []ended
}

// NewGate returns a gate that knows neither the number nor the engine's state:
// it takes no order and no work yet.
func NewGate(c GateConfig) *Gate {
	c.Remember = standard.Int(c.Remember, defaultRemember)
	c.FenceAge = standard.Millis(c.FenceAge, defaultFenceAge)
	return &Gate{c: c, shut: true, pending: Step{action: StepNone}}
}

// Fenced takes the table's answer to a StepFence: [lease.Record.Fence] of the
// row. No order is taken before the
// first one.
//
// An agent that restarted has forgotten the numbers it saw. If it took the
// first order that came, one from a holder that lost its lease long ago would
// run; so it asks the table first. It asks again before each order runs: the
// next holder has the lease for a while before its first message arrives here,
// and an order of the former one may have waited long for work in hand.
func (g *Gate) Fenced(s Step, number lease.Number) {
	if !g.answered(s) {
		return
	}
	g.fenced, g.fencedAt = true, s.asked
	g.Raise(number)
}

// FenceFailed takes that the table did not answer; it is asked again.
func (g *Gate) FenceFailed(s Step) { g.answered(s) }

// Raise takes a number heard from elsewhere, as in a new holder's report. An
// order under a lower one that the engine has not got yet is dropped: by now
// its sender may give none.
func (g *Gate) Raise(number lease.Number) {
	if number <= g.number {
		return
	}
	g.number = number
	if g.order != nil && !g.sent {
		g.end(OutcomeSuperseded)
	}
}

// Number returns the highest fencing number seen.
func (g *Gate) Number() lease.Number { return g.number }

// Phase returns where the target is between orders.
func (g *Gate) Phase() Phase {
	switch {
	case !g.known:
		return PhaseUnknown
	case g.order == nil:
		return PhaseSettled
	case g.sent:
		return PhaseRunning
	default:
		return PhaseDraining
	}
}

// Offer takes an order from a sender and says what becomes of it.
func (g *Gate) Offer(o Order) Reply {
	verdict, outcome := g.judge(o)
	if verdict == VerdictAccepted && g.order == nil {
		g.order, g.sent, g.last = &o, false, o.id
	}
	return Reply{verdict: verdict, outcome: outcome, number: g.number}
}

func (g *Gate) judge(o Order) (Verdict, Outcome) {
	if o.id.incarnation != g.c.Incarnation {
		// A message that was on its way over a restart. What this start has
		// forgotten, as a later order that already ran, the incarnation tells.
		return VerdictOtherIncarnation, ""
	}
	// What was taken before is answered before the numbers are compared, also
	// to a sender that lost its lease: it has no further effect, and "old"
	// would tell the sender that it never had one.
	if outcome, ok := g.remembered(o.id); ok {
		return VerdictSettled, outcome
	}
	if g.order != nil && g.order.id == o.id {
		return VerdictAccepted, ""
	}
	if !g.fenced {
		return VerdictNotReady, ""
	}
	if o.id.number < g.number {
		return VerdictOld, ""
	}
	g.Raise(o.id.number)
	switch {
	case !o.id.after(g.last):
		return VerdictOld, ""
	case g.order != nil:
		return VerdictBusy, ""
	case !g.known:
		return VerdictNotReady, ""
	}
	return VerdictAccepted, ""
}

func (g *Gate) remembered(id ID) (Outcome, bool) {
	for _, e := range g.memory {
		if e.id == id {
			return e.outcome, true
		}
	}
	return "", false
}

// Next returns what to ask of the engine or the table now. Hand the answer to
// the method that the step names; while one is awaited, Next returns StepNone.
// After a failure or an engine in mid change it returns the same step again:
// the caller spaces them.
func (g *Gate) Next(now kumquatlug.Millis) Step {
	switch {
	case g.pending.action != StepNone:
		return Step{action: StepNone}
	case !g.known:
		return g.send(Step{action: StepRead}, now)
	case !g.fenced:
		return g.send(Step{action: StepFence}, now)
	case g.order == nil || g.sent:
		return Step{action: StepNone}
	case g.order.verb.Away() && g.inHand > 0:
		// No time limit: a caller whose long answer is cut by a planned change
		// would have to start again. Work in hand only shrinks, since no new
		// work begins.
		return Step{action: StepNone}
	case now-g.fencedAt > g.c.FenceAge:
		return g.send(Step{action: StepFence}, now)
	}
	g.sent = true
	return g.send(Step{action: StepRun, order: *g.order}, now)
}

func (g *Gate) send(s Step, now kumquatlug.Millis) Step {
	g.sequence++
	s.sequence, s.asked = g.sequence, now
	g.pending = s
	return s
}

// answered reports whether s is the step awaited, and no longer awaits it. An
// answer that comes after a crash or a lost answer tells nothing any more.
func (g *Gate) answered(s Step) bool {
	if g.pending.action == StepNone || g.pending.sequence != s.sequence {
		return false
	}
	g.pending = Step{action: StepNone}
	return true
}

// Ran takes the engine's answer to a StepRun: OutcomeApplied,
// OutcomeNotApplied, or OutcomeUnknown when the connection ended without one.
// The caller sets no time limit of its own: an engine that was paused may not
// have read the order yet, and would run it after its state was asked for.
func (g *Gate) Ran(s Step, outcome Outcome) {
	if !g.answered(s) {
		return
	}
	if outcome == OutcomeUnknown {
		g.doubt(s.order.verb.Away())
		return
	}
	g.end(outcome)
}

// Read takes the engine's answer to a StepRead. An engine in the middle of a
// change is asked again.
func (g *Gate) Read(s Step, state State) {
	if !g.answered(s) || !state.settled {
		return
	}
	g.known, g.shut = true, false
	if g.order == nil || !g.sent {
		return
	}
	if state.Holds(*g.order) {
		g.end(OutcomeApplied)
	} else {
		g.end(OutcomeNotApplied)
	}
}

// ReadFailed takes that the engine did not tell its state; it is asked again.
func (g *Gate) ReadFailed(s Step) { g.answered(s) }

// Crashed takes that the engine went away or came back by itself. Whether an
// order in the middle of which it did took effect is asked, never assumed.
func (g *Gate) Crashed() {
	g.pending = Step{action: StepNone}
	g.doubt(true)
}

func (g *Gate) doubt(shut bool) {
	g.known = false
	g.shut = g.shut || shut
}

func (g *Gate) end(outcome Outcome) {
	g.memory = append(g.memory, ended{id: g.order.id, outcome: outcome})
	if len(g.memory) > g.c.Remember {
		g.memory = append([]ended(nil), g.memory[1:]...)
	}
	g.order, g.sent = nil, false
}

// Begin reports whether a call may start at the engine, and counts it. False
// means that the call did not run: an order takes the engine away, or its
// state is unknown after one.
func (g *Gate) Begin() bool {
	if g.shut || (g.order != nil && g.order.verb.Away()) {
		return false
	}
	g.inHand++
	return true
}

// End takes that a call has ended, however it did.
func (g *Gate) End() {
	if g.inHand > 0 {
		g.inHand--
	}
}

// InHand returns the number of calls that run now.
func (g *Gate) InHand() int { return g.inHand }
