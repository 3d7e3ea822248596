// Package order implements the protocol for orders that reconfigure a target,
// such as a role change. An agent's [Gate] decides which orders reach the engine
// and when; a lease holder's [Sender] tracks the outstanding order of each target.
//
// It handles these failures: a planner that was paused past its lease resumes
// and sends what it had decided; two planners send concurrently; a reply is lost;
// the engine crashes during a role change or a model load; the agent restarts
// without its state; an order takes an engine offline while it still generates a
// long response. Without the protocol an engine could receive orders from two
// planners, or a second order before the first has completed, and planned changes
// would cut callers' responses.
//
// An order carries a fencing token, a sequence number under that fencing token
// and the incarnation of the agent that it is for. A gate rejects every order
// until it has read the fencing token from the table. It then rejects orders with
// a lower fencing token than the highest one seen, orders that are not later than
// the last one, and orders for another incarnation. It accepts one order at a
// time, and reads the fencing token again right before an order runs. After a
// start, a lost reply or a crash the engine's state is unknown until it has been
// read from the engine, and no order runs before that. An order that takes the
// engine offline waits, without a time limit, until all calls in flight have
// ended; new calls are refused meanwhile.
package order

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/lease"
)

// Incarnation counts the starts of a target's agent. It increases with each
// start and is stored in the table.
type Incarnation int64

// ID identifies an order by the incarnation of the agent, the fencing token and
// a sequence number. It is unique among the orders to a target.
type ID struct {
	incarnation  Incarnation
	fencingToken lease.FencingToken
	sequence     int64
}

// NewID returns an order ID. The sequence starts at 1 for each fencing token.
func NewID(incarnation Incarnation, token lease.FencingToken, sequence int64) ID {
	return ID{incarnation: incarnation, fencingToken: token, sequence: sequence}
}

// ParseID parses the format of [ID.String]. It returns an error for any other text.
func ParseID(text string) (ID, error) {
	var id ID
	n, err := fmt.Sscanf(text, "%d/%d.%d", &id.incarnation, &id.fencingToken, &id.sequence)
	if err != nil || n != 3 || id.String() != text {
		return ID{}, errors.Newf("%q is no order id", text)
	}
	return id, nil
}

// String returns the ID as "incarnation/token.sequence".
func (i ID) String() string {
	return fmt.Sprintf("%d/%d.%d", i.incarnation, i.fencingToken, i.sequence)
}

// Incarnation returns the agent incarnation that the order is for.
func (i ID) Incarnation() Incarnation { return i.incarnation }

// FencingToken returns the fencing token.
func (i ID) FencingToken() lease.FencingToken { return i.fencingToken }

// Sequence returns the order's sequence number under its fencing token.
func (i ID) Sequence() int64 { return i.sequence }

// after reports whether the order was issued later than other.
func (i ID) after(other ID) bool {
	if i.fencingToken != other.fencingToken {
		return i.fencingToken > other.fencingToken
	}
	return i.sequence > other.sequence
}

// Verb is the property of the target that an order changes.
type Verb string

// Verbs.
const (
	// VerbRole sets the engine's role.
	VerbRole Verb = "role"
	// VerbModel and VerbVersion load different weights.
	VerbModel   Verb = "model"
	VerbVersion Verb = "version"
	// VerbAdapter loads an adapter alongside the running model.
	VerbAdapter Verb = "adapter"
)

// TakesOffline reports whether the engine serves no calls while it applies the order.
func (v Verb) TakesOffline() bool { return v != VerbAdapter }

// Order is a request to change one property of a target.
type Order struct {
	id       ID
	verb     Verb
	argument string
}

// NewOrder returns the order.
func NewOrder(id ID, verb Verb, argument string) Order {
	return Order{id: id, verb: verb, argument: argument}
}

// ID returns the order's ID, which is the same for every resend.
func (o Order) ID() ID { return o.id }

// Verb returns the property to change.
func (o Order) Verb() Verb { return o.verb }

// Argument returns the new value: a role, model, version or adapter.
func (o Order) Argument() string { return o.argument }

// Property is one property of an engine's state, such as verb "role" with argument
// "decode". A state may hold several properties with the same verb.
type Property struct {
	Verb     Verb
	Argument string
}

// State is an engine's state as the engine reports it.
type State struct {
	idle       bool
	properties []Property
}

// NewState returns a state. idle is false while the engine is applying a
// change, including one that the agent has no record of.
func NewState(idle bool, properties ...Property) State {
	return State{idle: idle, properties: properties}
}

// Idle reports whether the engine is not applying a change.
func (s State) Idle() bool { return s.idle }

// Satisfies reports whether the state matches what o requests.
func (s State) Satisfies(o Order) bool {
	for _, f := range s.properties {
		if f.Verb == o.verb && f.Argument == o.argument {
			return true
		}
	}
	return false
}

// Outcome is how an order ended.
type Outcome string

// Outcomes.
const (
	// OutcomeApplied: the engine's state matches the order.
	OutcomeApplied Outcome = "applied"
	// OutcomeNotApplied: the engine refused the order, or its state does not match it.
	OutcomeNotApplied Outcome = "not-applied"
	// OutcomeSuperseded: a higher fencing token was seen before the order was
	// sent to the engine.
	OutcomeSuperseded Outcome = "superseded"
	// OutcomeUnknown: the agent restarted or has no record of the order. Only the
	// engine's state shows whether it was applied.
	OutcomeUnknown Outcome = "unknown"
)

// Verdict is a gate's decision on an order.
type Verdict string

// Verdicts.
const (
	// VerdictAccepted: the order is accepted now, or was before and is in progress.
	VerdictAccepted Verdict = "accepted"
	// VerdictCompleted: the order has completed; see [Response.Outcome].
	VerdictCompleted Verdict = "settled"
	// VerdictStale: the order comes from a process that has lost the lease, or a
	// later order has been accepted. A resend cannot succeed.
	VerdictStale Verdict = "old"
	// VerdictOtherIncarnation: the order is for another incarnation of the agent.
	VerdictOtherIncarnation Verdict = "other-incarnation"
	// VerdictBusy: another order is in progress.
	VerdictBusy Verdict = "busy"
	// VerdictNotReady: the fencing token has not been read from the table, or
	// the engine's state is unknown.
	VerdictNotReady Verdict = "not-ready"
)

// Response is a gate's response to an order.
type Response struct {
	verdict      Verdict
	outcome      Outcome
	fencingToken lease.FencingToken
}

// NewResponse returns a reply decoded from a message.
func NewResponse(verdict Verdict, outcome Outcome, token lease.FencingToken) Response {
	return Response{verdict: verdict, outcome: outcome, fencingToken: token}
}

// Verdict returns the gate's decision.
func (r Response) Verdict() Verdict { return r.verdict }

// Outcome returns how the order ended, empty unless the verdict is VerdictCompleted.
func (r Response) Outcome() Outcome { return r.outcome }

// FencingToken returns the highest fencing token that the gate has seen.
func (r Response) FencingToken() lease.FencingToken { return r.fencingToken }

// Phase is a target's progress on its current order.
type Phase string

// Phases.
const (
	// PhaseUnknown: the engine's state has not been read since it became uncertain.
	PhaseUnknown Phase = "unknown"
	// PhaseIdle: no order is in progress; the target can accept one.
	PhaseIdle Phase = "settled"
	// PhaseDraining: an order waits for calls in flight and has not been sent to
	// the engine.
	PhaseDraining Phase = "draining"
	// PhaseRunning: the order has been sent to the engine.
	PhaseRunning Phase = "running"
)
