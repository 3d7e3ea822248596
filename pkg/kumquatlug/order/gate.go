package order

import (
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/lease"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/standard"
)

// defaultMaxTokenAge is the default of [GateConfig.MaxFencingTokenAge].
const defaultMaxTokenAge = kumquatlug.Second

// defaultMaxRemembered is the default of [GateConfig.MaxRemembered]. Only a resend of
// the last order is likely, since a sender issues one at a time; 64 entries take
// a few kilobytes.
const defaultMaxRemembered = 64

// GateConfig configures a [Gate].
type GateConfig struct {
	// Incarnation is the agent's current incarnation, from the table. Required,
	// at least 1.
	Incarnation Incarnation
	// MaxRemembered is the number of completed orders whose outcomes are kept to answer
	// resends. Default 64.
	MaxRemembered int
	// MaxFencingTokenAge is the maximum age of the fencing token read from the table when
	// an order is sent to the engine, measured from before the read was issued.
	// Default 1 s: above the duration of a slow read and far below a lease's time
	// to live. It costs one table read per order. While the table is unavailable
	// no order runs, but no lease can be renewed then either.
	MaxFencingTokenAge kumquatlug.Millis
}

// finishedOrder is the record of a completed order.
type finishedOrder struct {
	id      ID
	outcome Outcome
}

// StepAction is the kind of request that a [Step] makes.
type StepAction string

// Step actions.
const (
	// StepNone: there is nothing to do now.
	StepNone StepAction = "none"
	// StepReadState: read the engine's state; see [Gate.StateRead].
	StepReadState StepAction = "read"
	// StepReadFencingToken: read the group's fencing token from the table; see [Gate.FencingTokenRead].
	StepReadFencingToken StepAction = "fence"
	// StepRun: send the order to the engine; see [Gate.RunFinished].
	StepRun StepAction = "run"
)

// Step is one request to the engine or the table.
type Step struct {
	action   StepAction
	sequence int64
	order    Order
	issuedAt kumquatlug.Millis
}

// Action returns the kind of request.
func (s Step) Action() StepAction { return s.action }

// Order returns the order to send, for a StepRun.
func (s Step) Order() Order { return s.order }

// Gate is an agent's admission check for the orders and calls to its engine. For
// engines that ignore fencing tokens it is the only check. It is not safe for
// concurrent use.
type Gate struct {
	config       GateConfig
	tokenRead    bool
	tokenReadAt  kumquatlug.Millis
	highestToken lease.FencingToken
	lastID       ID
	stateKnown   bool
	blocked      bool
	current      *Order
	sent         bool
	pending      Step
	sequence     int64
	inFlight     int
	finished     []finishedOrder
}

// NewGate returns a gate that accepts no orders and no calls until the fencing
// token and the engine's state have been read.
func NewGate(c GateConfig) *Gate {
	c.MaxRemembered = standard.Int(c.MaxRemembered, defaultMaxRemembered)
	c.MaxFencingTokenAge = standard.Millis(c.MaxFencingTokenAge, defaultMaxTokenAge)
	return &Gate{config: c, blocked: true, pending: Step{action: StepNone}}
}

// FencingTokenRead handles the result of a StepReadFencingToken: [lease.Record.MinFencingToken] of the group's
// row. No order is accepted before the first result.
//
// An agent that restarted has lost the tokens it had seen. If it accepted the
// first order that arrived, an order of a holder that lost its lease long ago could
// run, so the token is read from the table first. It is read again before each
// order runs: the next holder owns the lease for a while before its first message
// arrives, and an order of the previous holder may have waited long for calls in
// flight.
func (g *Gate) FencingTokenRead(s Step, token lease.FencingToken) {
	if !g.completePending(s) {
		return
	}
	g.tokenRead, g.tokenReadAt = true, s.issuedAt
	g.ObserveFencingToken(token)
}

// FencingTokenReadFailed handles a failed StepReadFencingToken. [Gate.Next] repeats the read.
func (g *Gate) FencingTokenReadFailed(s Step) { g.completePending(s) }

// ObserveFencingToken records a fencing token learned from another source, such as a new
// holder's report. An order with a lower token that has not been sent to the
// engine is superseded, since its sender no longer holds the lease.
func (g *Gate) ObserveFencingToken(token lease.FencingToken) {
	if token <= g.highestToken {
		return
	}
	g.highestToken = token
	if g.current != nil && !g.sent {
		g.finishCurrent(OutcomeSuperseded)
	}
}

// FencingToken returns the highest fencing token seen.
func (g *Gate) FencingToken() lease.FencingToken { return g.highestToken }

// Phase returns the target's current phase.
func (g *Gate) Phase() Phase {
	switch {
	case !g.stateKnown:
		return PhaseUnknown
	case g.current == nil:
		return PhaseIdle
	case g.sent:
		return PhaseRunning
	default:
		return PhaseDraining
	}
}

// Offer submits a sender's order and returns the gate's decision. A resend of an
// order that is in progress or remembered starts nothing and returns its state.
func (g *Gate) Offer(o Order) Response {
	verdict, outcome := g.evaluate(o)
	if verdict == VerdictAccepted && g.current == nil {
		g.current, g.sent, g.lastID = &o, false, o.id
	}
	return Response{verdict: verdict, outcome: outcome, fencingToken: g.highestToken}
}

func (g *Gate) evaluate(o Order) (Verdict, Outcome) {
	if o.id.incarnation != g.config.Incarnation {
		// The message was in transit across a restart. The agent may have lost the
		// record of a later order that already ran; the incarnation excludes that.
		return VerdictOtherIncarnation, ""
	}
	// An order accepted earlier is answered before the tokens are compared, even
	// if its sender has lost the lease: the reply has no further effect, and
	// VerdictStale would mean that the order never took effect.
	if outcome, ok := g.recordedOutcome(o.id); ok {
		return VerdictCompleted, outcome
	}
	if g.current != nil && g.current.id == o.id {
		return VerdictAccepted, ""
	}
	if !g.tokenRead {
		return VerdictNotReady, ""
	}
	if o.id.fencingToken < g.highestToken {
		return VerdictStale, ""
	}
	g.ObserveFencingToken(o.id.fencingToken)
	switch {
	case !o.id.after(g.lastID):
		return VerdictStale, ""
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

// Next returns the next request to the engine or the table. Pass the result to
// the method that the step's action names; until then Next returns StepNone.
// After a failure, or while the engine is applying a change, Next returns the same
// step again. The caller is responsible for the delay between retries.
func (g *Gate) Next(now kumquatlug.Millis) Step {
	switch {
	case g.pending.action != StepNone:
		return Step{action: StepNone}
	case !g.stateKnown:
		return g.issue(Step{action: StepReadState}, now)
	case !g.tokenRead:
		return g.issue(Step{action: StepReadFencingToken}, now)
	case g.current == nil || g.sent:
		return Step{action: StepNone}
	case g.current.verb.TakesOffline() && g.inFlight > 0:
		// There is no time limit: a caller whose long response is cut by a planned
		// change would have to start again. The number of calls in flight only
		// falls, since no new call starts.
		return Step{action: StepNone}
	case now-g.tokenReadAt > g.config.MaxFencingTokenAge:
		return g.issue(Step{action: StepReadFencingToken}, now)
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

// completePending clears the pending step and returns true if it is s. A result
// that arrives after a crash or after its step was given up is stale and ignored.
func (g *Gate) completePending(s Step) bool {
	if g.pending.action == StepNone || g.pending.sequence != s.sequence {
		return false
	}
	g.pending = Step{action: StepNone}
	return true
}

// RunFinished handles the result of a StepRun: OutcomeApplied, OutcomeNotApplied, or
// OutcomeUnknown if the connection closed without a response. The caller must not
// set a timeout: a paused engine may not have read the order yet, and would run it
// after its state was read.
func (g *Gate) RunFinished(s Step, outcome Outcome) {
	if !g.completePending(s) {
		return
	}
	if outcome == OutcomeUnknown {
		g.invalidateState(s.order.verb.TakesOffline())
		return
	}
	g.finishCurrent(outcome)
}

// StateRead handles the result of a StepReadState. If the engine is applying a change,
// [Gate.Next] repeats the read.
func (g *Gate) StateRead(s Step, state State) {
	if !g.completePending(s) || !state.idle {
		return
	}
	g.stateKnown, g.blocked = true, false
	if g.current == nil || !g.sent {
		return
	}
	if state.Satisfies(*g.current) {
		g.finishCurrent(OutcomeApplied)
	} else {
		g.finishCurrent(OutcomeNotApplied)
	}
}

// StateReadFailed handles a failed StepReadState. [Gate.Next] repeats the read.
func (g *Gate) StateReadFailed(s Step) { g.completePending(s) }

// Crashed records that the engine stopped or restarted by itself. Whether an order
// in progress took effect is then read from the engine, never assumed.
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
	if len(g.finished) > g.config.MaxRemembered {
		g.finished = append([]finishedOrder(nil), g.finished[1:]...)
	}
	g.current, g.sent = nil, false
}

// BeginCall reports whether a call may start at the engine, and counts it as in
// flight. False means that the call was not run, because an order takes the engine
// offline or the engine's state has not been read since.
func (g *Gate) BeginCall() bool {
	if g.blocked || (g.current != nil && g.current.verb.TakesOffline()) {
		return false
	}
	g.inFlight++
	return true
}

// EndCall records that a call has ended, successfully or not.
func (g *Gate) EndCall() {
	if g.inFlight > 0 {
		g.inFlight--
	}
}

// InFlight returns the number of calls in flight.
func (g *Gate) InFlight() int { return g.inFlight }
