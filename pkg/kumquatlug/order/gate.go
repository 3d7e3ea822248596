package order

import (
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/lease"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/standard"
)

// defaultMaxNumberAge is how old a reading of the number may be when an order runs.
const defaultMaxNumberAge = kumquatlug.Second

// defaultMaxRemembered is how many ended orders a gate can answer again. Only a
// resend of the last one is likely, since a sender gives one at a time; 64 are
// a few kilobytes.
const defaultMaxRemembered = 64

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

// finishedOrder is an order that has settled.
type finishedOrder struct {
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
	issuedAt kumquatlug.Millis
}

// Action returns what is to be done.
func (s Step) Action() StepAction { return s.action }

// Order returns the order to run.
func (s Step) Order() Order { return s.order }

// Gate is the agent's check in front of its engine: for engines that ignore
// fencing numbers it is the only one. It is not safe for concurrent use.
type Gate struct {
	config        GateConfig
	numberRead    bool
	numberReadAt  kumquatlug.Millis
	highestNumber lease.Number
	lastID        ID
	stateKnown    bool
	blocked       bool
	current       *Order
	sent          bool
	pending       Step
	sequence      int64
	inFlight      int
	finished      []finishedOrder
}

// NewGate returns a gate that knows neither the number nor the engine's state:
// it takes no order and no work yet.
func NewGate(c GateConfig) *Gate {
	c.Remember = standard.Int(c.Remember, defaultMaxRemembered)
	c.FenceAge = standard.Millis(c.FenceAge, defaultMaxNumberAge)
	return &Gate{config: c, blocked: true, pending: Step{action: StepNone}}
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
	if !g.completePending(s) {
		return
	}
	g.numberRead, g.numberReadAt = true, s.issuedAt
	g.Raise(number)
}

// FenceFailed takes that the table did not answer; it is asked again.
func (g *Gate) FenceFailed(s Step) { g.completePending(s) }

// Raise takes a number heard from elsewhere, as in a new holder's report. An
// order under a lower one that the engine has not got yet is dropped: by now
// its sender may give none.
func (g *Gate) Raise(number lease.Number) {
	if number <= g.highestNumber {
		return
	}
	g.highestNumber = number
	if g.current != nil && !g.sent {
		g.finishCurrent(OutcomeSuperseded)
	}
}

// Number returns the highest fencing number seen.
func (g *Gate) Number() lease.Number { return g.highestNumber }

// Phase returns where the target is between orders.
func (g *Gate) Phase() Phase {
	switch {
	case !g.stateKnown:
		return PhaseUnknown
	case g.current == nil:
		return PhaseSettled
	case g.sent:
		return PhaseRunning
	default:
		return PhaseDraining
	}
}

// Offer takes an order from a sender and says what becomes of it.
func (g *Gate) Offer(o Order) Reply {
	verdict, outcome := g.evaluate(o)
	if verdict == VerdictAccepted && g.current == nil {
		g.current, g.sent, g.lastID = &o, false, o.id
	}
	return Reply{verdict: verdict, outcome: outcome, number: g.highestNumber}
}

func (g *Gate) evaluate(o Order) (Verdict, Outcome) {
	if o.id.incarnation != g.config.Incarnation {
		// A message that was on its way over a restart. What this start has
		// forgotten, as a later order that already ran, the incarnation tells.
		return VerdictOtherIncarnation, ""
	}
	// What was taken before is answered before the numbers are compared, also
	// to a sender that lost its lease: it has no further effect, and "old"
	// would tell the sender that it never had one.
	if outcome, ok := g.recordedOutcome(o.id); ok {
		return VerdictSettled, outcome
	}
	if g.current != nil && g.current.id == o.id {
		return VerdictAccepted, ""
	}
	if !g.numberRead {
		return VerdictNotReady, ""
	}
	if o.id.number < g.highestNumber {
		return VerdictOld, ""
	}
	g.Raise(o.id.number)
	switch {
	case !o.id.after(g.lastID):
		return VerdictOld, ""
	case g.current != nil:
		return VerdictBusy, ""
	case !g.stateKnown:
		return VerdictNotReady, ""
	}
	return VerdictAccepted, ""
}

func (g *Gate) recordedOutcome(id ID) (Outcome, bool) {
	for _, e := range g.finished {
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
	case !g.stateKnown:
		return g.issue(Step{action: StepRead}, now)
	case !g.numberRead:
		return g.issue(Step{action: StepFence}, now)
	case g.current == nil || g.sent:
		return Step{action: StepNone}
	case g.current.verb.Away() && g.inFlight > 0:
		// No time limit: a caller whose long answer is cut by a planned change
		// would have to start again. Work in hand only shrinks, since no new
		// work begins.
		return Step{action: StepNone}
	case now-g.numberReadAt > g.config.FenceAge:
		return g.issue(Step{action: StepFence}, now)
	}
	g.sent = true
	return g.issue(Step{action: StepRun, order: *g.current}, now)
}

func (g *Gate) issue(s Step, now kumquatlug.Millis) Step {
	g.sequence++
	s.sequence, s.issuedAt = g.sequence, now
	g.pending = s
	return s
}

// completePending reports whether s is the step awaited, and no longer awaits it. An
// answer that comes after a crash or a lost answer tells nothing any more.
func (g *Gate) completePending(s Step) bool {
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
	if !g.completePending(s) {
		return
	}
	if outcome == OutcomeUnknown {
		g.invalidateState(s.order.verb.Away())
		return
	}
	g.finishCurrent(outcome)
}

// Read takes the engine's answer to a StepRead. An engine in the middle of a
// change is asked again.
func (g *Gate) Read(s Step, state State) {
	if !g.completePending(s) || !state.settled {
		return
	}
	g.stateKnown, g.blocked = true, false
	if g.current == nil || !g.sent {
		return
	}
	if state.Holds(*g.current) {
		g.finishCurrent(OutcomeApplied)
	} else {
		g.finishCurrent(OutcomeNotApplied)
	}
}

// ReadFailed takes that the engine did not tell its state; it is asked again.
func (g *Gate) ReadFailed(s Step) { g.completePending(s) }

// Crashed takes that the engine went away or came back by itself. Whether an
// order in the middle of which it did took effect is asked, never assumed.
func (g *Gate) Crashed() {
	g.pending = Step{action: StepNone}
	g.invalidateState(true)
}

func (g *Gate) invalidateState(block bool) {
	g.stateKnown = false
	g.blocked = g.blocked || block
}

func (g *Gate) finishCurrent(outcome Outcome) {
	g.finished = append(g.finished, finishedOrder{id: g.current.id, outcome: outcome})
	if len(g.finished) > g.config.Remember {
		g.finished = append([]finishedOrder(nil), g.finished[1:]...)
	}
	g.current, g.sent = nil, false
}

// Begin reports whether a call may start at the engine, and counts it. False
// means that the call did not run: an order takes the engine away, or its
// state is unknown after one.
func (g *Gate) Begin() bool {
	if g.blocked || (g.current != nil && g.current.verb.Away()) {
		return false
	}
	g.inFlight++
	return true
}

// End takes that a call has ended, however it did.
func (g *Gate) End() {
	if g.inFlight > 0 {
		g.inFlight--
	}
}

// InHand returns the number of calls that run now.
func (g *Gate) InHand() int { return g.inFlight }
